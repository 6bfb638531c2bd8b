"""When one more connection to a member is opened, and how many there may be.

Functions and a small state on plain values; :class:`.connections.Connections` and
:class:`.openings.Openings` ask them and act. Each opening takes a slot of the member for a while,
and its connection still counts there for seconds when this gateway is lost, so that one more is
opened only for those who would wait longer without it.
"""

import enum

__all__ = [
    "CONNECTION_CAP_MS",
    "INITIAL_OPENING_MS",
    "MAX_OPENING_MS",
    "MAX_CONCURRENT_OPENINGS",
    "ConnectionCap",
    "Opening",
    "may_open_connection",
    "decide_opening",
    "smoothed_opening",
]

MAX_CONCURRENT_OPENINGS = 2  # of one pool; each takes a slot of the member for a while; chosen
CONNECTION_CAP_MS = 500.0  # without new connections after a member had none left; chosen
INITIAL_OPENING_MS = 30.0  # 12 ms at the member and two round trips inside a region
MAX_OPENING_MS = 100.0  # a slow opening is no reason to let everybody wait long; chosen
OPENING_SMOOTHING = 0.1  # of the newest opening in the average: about the last ten count; chosen


class Opening(enum.Enum):
    """Whether one more connection is opened for a tenant."""

    NOW = "now"
    ENOUGH = "as many are being opened as are wanted"
    WAIT = "one that is in use may come back sooner"


def may_open_connection(openings: int, idle: int, count: int, allowed: int) -> bool:
    """Return whether a pool may begin to open one more connection, for whomever.

    Parameters
    ----------
    openings : int
        Connections that are being opened.
    idle : int
        Connections that nobody uses: one of them is given up for the new one if need be.
    count : int
        All connections, those that are being opened included.
    allowed : int
        How many there may be now.

    Examples
    --------
    >>> may_open_connection(0, idle=0, count=3, allowed=4)
    True
    >>> may_open_connection(2, 0, 3, 4), may_open_connection(0, 0, 4, 4)
    (False, False)
    >>> may_open_connection(0, idle=1, count=4, allowed=4)
    True
    """
    if openings >= MAX_CONCURRENT_OPENINGS:
        return False
    return idle > 0 or count < allowed


def decide_opening(
    waiting: int, opening: int, may_be_released: bool, waited: float, opening_time: float
) -> Opening:
    """Return whether one more connection is opened for a tenant, given that there is room.

    Until the first of its statements has waited for about as long as an opening takes, a
    connection that is in use may still come back; if none is, there is nothing to wait for.

    Parameters
    ----------
    waiting : int
        Statements that want a connection of the tenant.
    opening : int
        Connections that are being opened for it.
    may_be_released : bool
        Whether one of its connections is in use by more than a transaction that is idle.
    waited : float
        Milliseconds for which the first of them has waited.
    opening_time : float
        Milliseconds that an opening takes, as smoothed over the latest.

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
        return Opening.ENOUGH
    if waited >= opening_time or not may_be_released:
        return Opening.NOW
    return Opening.WAIT


def smoothed_opening(average: float, newest: float) -> float:
    """Return how many milliseconds an opening takes, with the newest one counted in.

    Examples
    --------
    >>> smoothed_opening(30.0, 50.0), smoothed_opening(30.0, 60_000.0)
    (32.0, 100.0)
    """
    share = OPENING_SMOOTHING * (newest - average)
    return min(MAX_OPENING_MS, average + share)


class ConnectionCap:
    """How many connections there may be at a member that had none left a moment ago.

    Examples
    --------
    >>> cap = ConnectionCap()
    >>> cap.allowed(14, now=0.0)
    14
    >>> cap.note_limit_reached(open_count=5, now=0.0)
    >>> cap.allowed(14, now=400.0), cap.allowed(14, now=600.0)
    (5, 14)
    """

    __slots__ = ("_limit", "_until")

    def __init__(self) -> None:
        self._until = 0.0
        self._limit = 0

    def note_limit_reached(self, open_count: int, now: float) -> None:
        """Note that the member has no more connections than those that are open."""
        self._until = now + CONNECTION_CAP_MS
        self._limit = max(1, open_count)

    def allowed(self, limit: int, now: float) -> int:
        """Return how many there may be at a moment in milliseconds, of a limit."""
        return min(limit, self._limit) if now < self._until else limit
