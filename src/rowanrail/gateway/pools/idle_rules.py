"""Rules for how long idle connections are kept.

Members keep counting the connections of a crashed gateway for a few seconds, so a pool with fewer
idle connections lets its successor connect sooner.
"""

import math

__all__ = [
    "IDLE_TIMEOUT_MS",
    "MIN_IDLE_CONNECTIONS",
    "RETAINED_SHARE",
    "SURPLUS_IDLE_TIMEOUT_MS",
    "TENANT_IDLE_TIMEOUT_MS",
    "UNROUTED_IDLE_TIMEOUT_MS",
    "idle_timeout",
    "surplus_connections",
]

IDLE_TIMEOUT_MS = 600.0  # longer than the gap between two statements of a busy service
# Reopening a tenant's connection takes 12 ms of a member's slot, so it is kept until another tenant
# needs its place. Below the 60 s after which members close idle connections.
TENANT_IDLE_TIMEOUT_MS = 30_000.0
# For tenants that are no longer routed to this gateway; statements in flight may still need the
# connection. The gateway that takes over needs the places at the member.
UNROUTED_IDLE_TIMEOUT_MS = 100.0
SURPLUS_IDLE_TIMEOUT_MS = 2000.0  # upper bound for surplus connections
MIN_IDLE_CONNECTIONS = 1  # kept without a timeout, for the next statement and for samples
# Share of the limit that is retained without demand. Members count the connections of crashed
# gateways for 3 s more; with half of the limit free, restarted gateways can open as many at once as
# they had.
RETAINED_SHARE = 0.5


def surplus_connections(count: int, limit: int) -> int:
    """Return how many of a pool's connections exceed the share retained without demand.

    Negative if there are fewer.

    Examples
    --------
    >>> surplus_connections(count=14, limit=14), surplus_connections(count=3, limit=14)
    (7, -4)
    """
    return count - math.ceil(RETAINED_SHARE * limit)


def idle_timeout(
    lru_index: int, idle: int, surplus: int, is_routed_here: bool, is_tenant_bound: bool
) -> float:
    """Return the idle timeout of a connection in milliseconds; infinite for none.

    Parameters
    ----------
    lru_index : int
        Index of the connection among the idle ones, 0 for the least recently used.
    idle : int
        Number of idle connections.
    surplus : int
        Number of connections that exceed the share retained without demand.
    is_routed_here : bool
        Whether statements of its tenant are routed to this gateway.
    is_tenant_bound : bool
        Whether only the statements of one tenant can use it.

    Examples
    --------
    >>> idle_timeout(0, 1, surplus=0, is_routed_here=True, is_tenant_bound=False)
    inf
    >>> idle_timeout(0, 2, 0, True, False), idle_timeout(0, 2, 0, True, True)
    (600.0, 30000.0)
    >>> idle_timeout(0, 2, 1, True, True), idle_timeout(1, 2, 0, False, True)
    (2000.0, 100.0)
    """
    if is_routed_here and lru_index >= idle - MIN_IDLE_CONNECTIONS:
        return math.inf
    usual = TENANT_IDLE_TIMEOUT_MS if is_tenant_bound else IDLE_TIMEOUT_MS
    timeout = usual if is_routed_here else UNROUTED_IDLE_TIMEOUT_MS
    return min(timeout, SURPLUS_IDLE_TIMEOUT_MS) if lru_index < surplus else timeout
