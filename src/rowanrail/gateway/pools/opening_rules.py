"""Rules for when to open another connection to a member, and how many may be open.

Opening a connection occupies a slot of the member, and the member keeps counting the connection for
seconds if this gateway crashes. One is therefore opened only for statements that would wait longer
without it.
"""

import enum

__all__ = [
    "CONNECTION_CAP_MS",
    "INITIAL_OPENING_MS",
    "MAX_CONCURRENT_OPENINGS",
    "MAX_OPENING_MS",
    "ConnectionCap",
    "OpeningDecision",
    "decide_opening",
    "may_open_connection",
    "smoothed_opening",
]

MAX_CONCURRENT_OPENINGS = 2  # per pool, as each occupies a slot of the member
CONNECTION_CAP_MS = 500.0  # time without new connections after a member had none free
INITIAL_OPENING_MS = 30.0  # 12 ms at the member and two round trips within a region
MAX_OPENING_MS = 100.0  # bounds the average, so that a slow opening does not delay others
OPENING_SMOOTHING = 0.1  # weight of the newest opening; averages about the last ten


class OpeningDecision(enum.Enum):
    """Whether to open another connection for a tenant."""

    NOW = "now"
    ENOUGH = "as many are being opened as are wanted"
    WAIT = "one that is in use may come back sooner"


def may_open_connection(openings: int, idle: int, count: int, limit: int) -> bool:
    """Return whether a pool may start to open another connection, for any tenant.

    Parameters
    ----------
    openings : int
        Number of connections being opened.
    idle : int
        Number of idle connections, one of which can be closed to make room.
    count : int
        Number of all connections, including those being opened.
    limit : int
        How many connections are allowed now.

    Examples
    --------
    >>> may_open_connection(0, idle=0, count=3, limit=4)
    True
    >>> may_open_connection(2, 0, 3, 4), may_open_connection(0, 0, 4, 4)
    (False, False)
    >>> may_open_connection(0, idle=1, count=4, limit=4)
    True
    """
    if openings >= MAX_CONCURRENT_OPENINGS:
        return False
    return idle > 0 or count < limit


def decide_opening(
    waiting: int, opening: int, may_be_released: bool, waited: float, opening_time: float
) -> OpeningDecision:
    """Return whether to open another connection for a tenant, given that the limit allows it.

    A connection in use may be released sooner than a new one opens. One is therefore opened only
    after the first statement has waited for as long as an opening takes, or if none is in use.

    Parameters
    ----------
    waiting : int
        Number of statements that wait for a connection of the tenant.
    opening : int
        Number of connections being opened for it.
    may_be_released : bool
        Whether one of its connections is being opened, or in use by other than an idle transaction.
    waited : float
        Time in milliseconds for which the first of them has waited.
    opening_time : float
        Moving average of the time that an opening takes, in milliseconds.

    Examples
    --------
    >>> decide_opening(2, 0, True, waited=10, opening_time=30).name
    'WAIT'
    >>> decide_opening(2, 0, True, 40, 30).name, decide_opening(2, 0, False, 0, 30).name
    ('NOW', 'NOW')
    >>> decide_opening(1, 1, False, 40, 30).name
    'ENOUGH'
    """
    if opening >= waiting:
        return OpeningDecision.ENOUGH
    if waited >= opening_time or not may_be_released:
        return OpeningDecision.NOW
    return OpeningDecision.WAIT


def smoothed_opening(average: float, newest: float) -> float:
    """Return the average time of an opening in milliseconds, updated with the newest one.

    Examples
    --------
    >>> smoothed_opening(30.0, 50.0), smoothed_opening(30.0, 60_000.0)
    (32.0, 100.0)
    """
    change = OPENING_SMOOTHING * (newest - average)
    return min(MAX_OPENING_MS, average + change)


class ConnectionCap:
    """Temporary limit of connections after a member had none free.

    Examples
    --------
    >>> cap = ConnectionCap()
    >>> cap.effective_limit(14, now=0.0)
    14
    >>> cap.note_limit_reached(open_count=5, now=0.0)
    >>> cap.effective_limit(14, now=400.0), cap.effective_limit(14, now=600.0)
    (5, 14)
    """

    __slots__ = ("_limit", "_until")

    def __init__(self) -> None:
        self._until = 0.0
        self._limit = 0

    def note_limit_reached(self, open_count: int, now: float) -> None:
        """Record that the member refused more connections than ``open_count``."""
        self._until = now + CONNECTION_CAP_MS
        self._limit = max(1, open_count)

    def effective_limit(self, limit: int, now: float) -> int:
        """Return the limit that applies at ``now`` milliseconds, at most ``limit``."""
        return min(limit, self._limit) if now < self._until else limit
