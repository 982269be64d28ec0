"""Roll-outs: moving a service's traffic to a new version of its targets.

Decides which targets an ingress may use while an operator's order moves a
service to a version, and, at the member that drives the roll-out, when the
next step is due. Keeps the newest step of each service, the counts of this
node's own requests, and at the driver the sums of all nodes. Sends
RolloutReport to the driver and RolloutNotice in reply, and appends steps and
the status to the platform's log. Relies on membership for who drives and who
has to report, and on the log's conditional append for the order of steps. See
docs/design/rollouts.md.
"""
