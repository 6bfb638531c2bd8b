"""Rules for which groups a proxy watches, and how often it asks their members.

For the table of groups, which asks here and does what the verdict says. Owns nothing: pure
functions on plain values; times are seconds of the event loop. They keep what a proxy costs the
members and control from growing with the number of configured groups.
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

# Groups, in the order of the configuration, that are watched whether they are used or not. Chosen.
ALWAYS_WATCHED_GROUPS = 16
# Seconds without a statement after which another group is no longer watched. Chosen.
UNUSED_GROUP_SECONDS = 300.0
# Seconds between checks which groups to ask, spread by a fifth. Chosen.
POLL_SECONDS = 0.25
# Members asked in a second for all groups in which nothing runs. Chosen.
BACKGROUND_QUERIES_PER_SECOND = 6.0
# Connections of a member's limit for each proxy, below which an idle proxy holds none. Chosen.
MINIMUM_CONNECTIONS_PER_PROXY = 4


def background_interval_seconds(members: int) -> float:
    """Return the seconds between two rounds of questions to a group in which nothing runs.

    Parameters
    ----------
    members : int
        Members of all watched groups: they share one budget of questions.

    Examples
    --------
    >>> background_interval_seconds(48), background_interval_seconds(0)
    (7.875, 0.0)
    """
    return max(0.0, members / BACKGROUND_QUERIES_PER_SECOND - POLL_SECONDS / 2)


def is_poll_due(is_busy: bool, now: float, polled_at: float, interval_seconds: float) -> bool:
    """Return whether a group's members are asked now: always while statements run there."""
    return is_busy or now >= polled_at + interval_seconds


def is_shared_by_many(proxies: int, connections_per_member: int) -> bool:
    """Return whether so many proxies use a group that an idle one holds no connections to it.

    Parameters
    ----------
    proxies : int
        Proxies that use the group.
    connections_per_member : int
        Connections that a member takes from all of them.

    Examples
    --------
    >>> is_shared_by_many(25, 100), is_shared_by_many(26, 100)
    (False, True)
    """
    return proxies * MINIMUM_CONNECTIONS_PER_PROXY > connections_per_member


def is_unused(now: float, used_at: float) -> bool:
    """Return whether a group was last used so long ago that it is no longer watched."""
    return now - used_at > UNUSED_GROUP_SECONDS
