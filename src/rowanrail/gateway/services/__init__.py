"""A service at one gateway: its members' pools, its primary and the choice of a member for reads.

Includes the estimates, weights and probes of members. The decisions themselves are in
:mod:`rowanrail.scheduling`.
"""
