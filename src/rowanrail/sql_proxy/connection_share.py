"""A proxy's share of the connections that a member can hold, without I/O.

The limit of a member is one budget of all proxies that use its group. Control nodes count
those proxies (see ``sql_control.census``). A share shrinks at once and grows late: whoever
held the connections before, also a dead proxy, must have given them up first. While the
number is unknown, or new, a proxy takes no more than a small starting share, for which
one share is kept free.
"""

# Connections to a member while the number of proxies is unknown or new. Chosen.
STARTING_CONNECTIONS = 3
# Seconds that a number counts as new: the other proxies give up connections meanwhile. Chosen.
SHARE_SETTLE_SECONDS = 8.0
# Seconds for which fewer proxies must have been counted before a share grows. Chosen.
GROW_DELAY_SECONDS = 20.0
# Number of proxies that use a group, as long as it is not known.
UNKNOWN_PROXY_COUNT = 0


class ConnectionShare:
    """The number of proxies by which a group's limits are divided here."""

    def __init__(self) -> None:
        self._proxy_count = UNKNOWN_PROXY_COUNT
        self._known_since = float("inf")
        self._lower_count = UNKNOWN_PROXY_COUNT
        self._lower_since = 0.0

    def observe(self, proxies: int, now: float) -> None:
        """Note how many proxies use the group, this one included.

        :param proxies: 0 if that is not known; nothing changes then.
        """
        if proxies == UNKNOWN_PROXY_COUNT:
            return
        if self._proxy_count == UNKNOWN_PROXY_COUNT:
            self._known_since = now
        if proxies >= self._proxy_count:
            self._proxy_count = proxies
            self._lower_count = UNKNOWN_PROXY_COUNT
            return
        if self._lower_count == UNKNOWN_PROXY_COUNT or proxies > self._lower_count:
            self._lower_count = proxies
            self._lower_since = now
        if now - self._lower_since >= GROW_DELAY_SECONDS:
            self._proxy_count = self._lower_count
            self._lower_count = UNKNOWN_PROXY_COUNT

    def connections(self, limit: int, now: float) -> int:
        """Return how many connections to one member this proxy may hold.

        :param limit: what the member can hold in all.
        """
        if self._proxy_count == UNKNOWN_PROXY_COUNT:
            return min(STARTING_CONNECTIONS, limit)
        share = max(1, limit // (self._proxy_count + 1))
        if now - self._known_since < SHARE_SETTLE_SECONDS:
            return min(STARTING_CONNECTIONS, share)
        return share
