"""Which idle connection is taken or given up, and for how long one is kept.

Functions on plain values; :class:`rowanrail.gateway.pools.idle_channels.IdleChannels` asks them and
acts. Members count the connections of a lost gateway for seconds more: the fewer there are, the
sooner its successor gets some.
"""

import math

__all__ = [
    "UNROUTED_IDLE_TIMEOUT_MS",
    "IDLE_TIMEOUT_MS",
    "MIN_IDLE_CONNECTIONS",
    "RETAINED_SHARE",
    "SURPLUS_IDLE_TIMEOUT_MS",
    "TENANT_IDLE_TIMEOUT_MS",
    "idle_timeout",
    "surplus_connections",
]

# A gap between two statements of a busy service is shorter; chosen, not measured apart.
IDLE_TIMEOUT_MS = 600.0
# A connection of a tenant is kept until another tenant needs its place: opening one again takes
# 12 ms of a slot. Shorter than the 60 s after which members close idle connections; chosen.
TENANT_IDLE_TIMEOUT_MS = 30_000.0
# At a gateway to which statements no longer come: those under way may still want it. The one that
# takes over needs the places; with both full a member refuses a third of them.
UNROUTED_IDLE_TIMEOUT_MS = 100.0
# The same for connections of tenants beyond those that are to be left free for successors.
SURPLUS_IDLE_TIMEOUT_MS = 2000.0
# Connections that are kept however long they are idle: for the next statement and for samples; each
# more would be one that others lack.
MIN_IDLE_CONNECTIONS = 1
# Of the limit, are kept while nobody needs more. Members count the connections of gateways that
# lost their power for 3 s more; with half of them left free, those that start again have as many at
# once as they had.
RETAINED_SHARE = 0.5


def surplus_connections(count: int, limit: int) -> int:
    """Return how many of a pool's connections are beyond what is kept while nobody needs more.

    Examples
    --------
    >>> surplus_connections(count=14, limit=14), surplus_connections(count=3, limit=14)
    (7, -4)
    """
    return count - math.ceil(RETAINED_SHARE * limit)


def idle_timeout(place: int, idle: int, spare: int, is_kept: bool, is_of_tenant: bool) -> float:
    """Return after how many milliseconds without use a connection is closed; infinite for never.

    Parameters
    ----------
    place : int
        Of the connection among the idle ones, 0 for the one that was used longest ago.
    idle : int
        How many are idle.
    spare : int
        How many connections there are beyond what is kept while nobody needs more.
    is_kept : bool
        Whether statements of its tenant come to this gateway.
    is_of_tenant : bool
        Whether it belongs to a tenant, so that only that tenant's statements can use it.

    Examples
    --------
    >>> idle_timeout(0, 1, spare=0, is_kept=True, is_of_tenant=False)
    inf
    >>> idle_timeout(0, 2, 0, True, False), idle_timeout(0, 2, 0, True, True)
    (600.0, 30000.0)
    >>> idle_timeout(0, 2, 1, True, True), idle_timeout(1, 2, 0, False, True)
    (2000.0, 100.0)
    """
    if is_kept and place >= idle - MIN_IDLE_CONNECTIONS:
        return math.inf
    usual = TENANT_IDLE_TIMEOUT_MS if is_of_tenant else IDLE_TIMEOUT_MS
    limit = usual if is_kept else UNROUTED_IDLE_TIMEOUT_MS
    return min(limit, SURPLUS_IDLE_TIMEOUT_MS) if place < spare else limit
