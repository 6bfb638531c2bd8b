"""Control nodes for gateways: versioned configuration, directory of members, failover.

They replicate their state by the log of :mod:`rowanrail.consensus`.
"""
