"""Placement: which gateways hold the connections to a service's members, and how many each.

Holders are chosen by rendezvous hashing (:mod:`hashed`) or by the leader's plan (:mod:`planned`).
Gateways and control nodes compute the same result from the same directory.

Owns the rules; does no I/O. Relies on ``scheduling.plan`` for the form of a plan.
"""
