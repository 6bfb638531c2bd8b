"""Rules for which groups a proxy watches, and how often it polls their members.

Pure functions; times are seconds of the event loop. They keep the load of a proxy on members and
control nodes from growing with the number of configured groups.
"""

__all__ = [
    "ALWAYS_WATCHED_GROUPS",
    "BACKGROUND_QUERIES_PER_SECOND",
    "MINIMUM_CONNECTIONS_PER_PROXY",
    "UNUSED_GROUP_SECONDS",
    "POLL_SECONDS",
    "background_interval_seconds",
    "is_poll_due",
    "is_shared_by_many",
    "is_unused",
]

# Number of groups, in the order of the configuration, that are watched even while unused.
ALWAYS_WATCHED_GROUPS = 16
# Seconds without a statement after which any other group is no longer watched.
UNUSED_GROUP_SECONDS = 300.0
# Seconds between checks which groups are due for a poll, with a jitter of 20 %.
POLL_SECONDS = 0.25
# Maximum rate of status queries to the members of all idle groups together.
BACKGROUND_QUERIES_PER_SECOND = 6.0
# Connections per proxy and member below which a proxy that does not use a group holds none.
MINIMUM_CONNECTIONS_PER_PROXY = 4


def background_interval_seconds(members: int) -> float:
    """Return the seconds between two polls of an idle group.

    Parameters
    ----------
    members : int
        Number of members of all watched groups, which share the rate limit.

    Examples
    --------
    >>> background_interval_seconds(48), background_interval_seconds(0)
    (7.875, 0.0)
    """
    return max(0.0, members / BACKGROUND_QUERIES_PER_SECOND - POLL_SECONDS / 2)


def is_poll_due(is_busy: bool, now: float, polled_at: float, interval_seconds: float) -> bool:
    """Return whether to poll a group's members now; a busy group is polled at each check."""
    return is_busy or now >= polled_at + interval_seconds


def is_shared_by_many(proxies: int, connections_per_member: int) -> bool:
    """Return whether too many proxies use a group for idle ones to keep connections to it.

    Parameters
    ----------
    proxies : int
        Number of proxies that use the group.
    connections_per_member : int
        Maximum number of connections that a member accepts from all proxies.

    Examples
    --------
    >>> is_shared_by_many(25, 100), is_shared_by_many(26, 100)
    (False, True)
    """
    return proxies * MINIMUM_CONNECTIONS_PER_PROXY > connections_per_member


def is_unused(now: float, used_at: float) -> bool:
    """Return whether a group has been unused for longer than ``UNUSED_GROUP_SECONDS``."""
    return now - used_at > UNUSED_GROUP_SECONDS
