"""One service at one gateway: its members' pools, its primary, the choice of a member.

Owns estimates, weights and probes of members. Relies on ``gateway.pools``, ``members`` and the
decisions of ``scheduling``.
"""
