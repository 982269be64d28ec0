"""Departures of the local target that this node has acknowledged.

Decides whether a message of a target is from before its departure. Keeps which
incarnations have left; sends no messages, and relies on targets to state their
start if they use the same instance id again.
"""
