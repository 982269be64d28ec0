"""Departures of the local target that this node has acknowledged.

Decides whether a message of a target is from before its departure, and whether
a departure may be acknowledged: once the log holds it, as all else is lost
with the process. `history` keeps which incarnations have left, in memory;
`keeper` writes them to a keyed stream of the log, one record an instance, and
reads those of earlier processes of this node. Sends no messages. Relies on the
log, on targets that state their start if they use the same instance id again,
and on the keepers of the directory to delete the records of nodes that are
gone.
"""
