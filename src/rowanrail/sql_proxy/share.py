"""A proxy's share of the connections that a member can hold, pure and apart from I/O.

The limit of a member is one budget of all proxies that use its group. Control nodes count
those proxies (see ``control.census``). A share shrinks at once and grows late: whoever
held the connections before, also a dead proxy, must have given them up first. While the
number is unknown, or new, a proxy takes no more than a small starting share, for which
one share is kept free.
"""

STARTING_CONNECTIONS = 3
SETTLE_SECONDS = 8.0
GROW_SECONDS = 20.0
UNKNOWN = 0


class ConnectionShare:
    """The number of proxies by which a group's limits are divided here."""

    def __init__(self) -> None:
        self._divisor = UNKNOWN
        self._known_since = float("inf")
        self._lower = UNKNOWN
        self._lower_since = 0.0

    def observe(self, proxies: int, now: float) -> None:
        """Note how many proxies use the group, this one included.

        :param proxies: 0 if that is not known; nothing changes then.
        """
        if proxies == UNKNOWN:
            return
        if self._divisor == UNKNOWN:
            self._known_since = now
        if proxies >= self._divisor:
            self._divisor = proxies
            self._lower = UNKNOWN
            return
        if self._lower == UNKNOWN or proxies > self._lower:
            self._lower = proxies
            self._lower_since = now
        if now - self._lower_since >= GROW_SECONDS:
            self._divisor = self._lower
            self._lower = UNKNOWN

    def connections(self, limit: int, now: float) -> int:
        """Return how many connections to one member this proxy may hold.

        :param limit: what the member can hold in all.
        """
        if self._divisor == UNKNOWN:
            return min(STARTING_CONNECTIONS, limit)
        share = max(1, limit // (self._divisor + 1))
        if now - self._known_since < SETTLE_SECONDS:
            return min(STARTING_CONNECTIONS, share)
        return share
