"""Which gateways hold the connections to a service's members, and how many each.

By rendezvous hashing (:mod:`hashed`), or by the leader's plan (:mod:`planned`). Gateways and
control nodes work out the same from the same directory.

Owns the rules; asks nobody and opens nothing. Relies on ``scheduling.plan`` for the form of a plan.
"""
