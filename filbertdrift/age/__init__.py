"""How old a request is, from the caller's socket to the target's.

It decides from when the time of a request counts: at its ingress from when its
head may have arrived, at the node of its target from when the ingress may
have sent it. State: when this process last read all of its sockets, and for
each connection to another node what is known of the clock at its other end.
Messages: keepalives, whose replies state a clock, and the opening message of a
request. It relies on a clock that counts suspensions of the machine.
"""
