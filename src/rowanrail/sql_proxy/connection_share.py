"""A proxy's share of the connections that a member accepts.

All proxies that use a group share the connection limit of its members. Control nodes count those
proxies (see ``sql_control.census``). A share shrinks at once but grows with a delay, because other
proxies, including failed ones, must have released their connections first. Until the number of
proxies is known and has settled, a proxy opens at most ``STARTING_CONNECTIONS``; one share is
reserved for such a proxy.
"""

# Maximum number of connections to a member until the number of proxies is known and has settled.
STARTING_CONNECTIONS = 3
# Seconds until the first known number of proxies has settled; others release connections meanwhile.
SHARE_SETTLE_SECONDS = 8.0
# Seconds for which fewer proxies must have been counted before a share grows.
GROW_DELAY_SECONDS = 20.0
# Stands for an unknown number of proxies.
UNKNOWN_PROXY_COUNT = 0


class ConnectionShare:
    """Computes a proxy's connection limit from the number of proxies that use a group."""

    def __init__(self) -> None:
        self._proxy_count = UNKNOWN_PROXY_COUNT
        self._known_since = float("inf")
        self._lower_count = UNKNOWN_PROXY_COUNT
        self._lower_since = 0.0

    def observe(self, proxies: int, now: float) -> None:
        """Record the number of proxies that use the group, including this one.

        :param proxies: ``UNKNOWN_PROXY_COUNT`` is ignored.
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
        """Return the maximum number of connections of this proxy to a member.

        :param limit: maximum number of connections of all proxies to the member.
        """
        if self._proxy_count == UNKNOWN_PROXY_COUNT:
            return min(STARTING_CONNECTIONS, limit)
        share = max(1, limit // (self._proxy_count + 1))
        if now - self._known_since < SHARE_SETTLE_SECONDS:
            return min(STARTING_CONNECTIONS, share)
        return share
