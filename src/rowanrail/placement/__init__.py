"""Which gateways hold the connections to a service's members, and how many each.

By rendezvous hashing (:mod:`hashed`), or by the leader's plan (:mod:`planned`). Gateways and
control nodes reckon the same from the same directory.
"""
