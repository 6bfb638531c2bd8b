"""Control nodes for gateways: numbered configuration, announced members, failover.

The replicated log is that of :mod:`rowanrail.consensus`; what it decides is here.
"""
