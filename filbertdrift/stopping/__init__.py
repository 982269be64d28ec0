"""Planned stops of a node.

`plan` fixes all times of a stop when it is ordered and decides which requests
a node that stops still takes; `drain` waits for the requests in progress and
ends those that last too long; `steps` runs each step up to its deadline and
logs its duration; `order` receives the signal and exits in time; `early`
handles signals while the process starts. The plan is their only state; they
send no messages.
"""
