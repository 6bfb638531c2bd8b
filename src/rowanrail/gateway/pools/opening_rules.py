"""When one more connection to a member is opened, and how many there may be.

Functions and a small state on plain values; :class:`.connections.Connections` and
:class:`.openings.Openings` ask them and act. Each opening takes a slot of the member for a while,
and its connection still counts there for seconds when this gateway is lost, so that one more is
opened only for those who would wait longer without it.
"""

import enum

__all__ = [
    "CROWDED_SECONDS",
    "INITIAL_OPENING_SECONDS",
    "LONGEST_OPENING_SECONDS",
    "OPENINGS_AT_ONCE",
    "ConnectionCap",
    "Opening",
    "has_room_for_opening",
    "judge_opening",
    "smoothed_opening",
]

OPENINGS_AT_ONCE = 2  # of one pool; each takes a slot of the member for a while; chosen
CROWDED_SECONDS = 0.5  # without new connections after a member had none left; chosen
INITIAL_OPENING_SECONDS = 0.03  # 12 ms at the member and two round trips inside a region
LONGEST_OPENING_SECONDS = 0.1  # a slow opening is no reason to let everybody wait long; chosen
OPENING_WEIGHT = 0.1  # of the newest opening in the average: about the last ten count; chosen


class Opening(enum.Enum):
    """Whether one more connection is opened for a tenant."""

    NOW = "now"
    ENOUGH = "as many are being opened as are wanted"
    WAIT = "one that is in use may come back sooner"


def has_room_for_opening(openings: int, idle: int, count: int, allowed: int) -> bool:
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
    >>> has_room_for_opening(0, idle=0, count=3, allowed=4)
    True
    >>> has_room_for_opening(2, 0, 3, 4), has_room_for_opening(0, 0, 4, 4)
    (False, False)
    >>> has_room_for_opening(0, idle=1, count=4, allowed=4)
    True
    """
    if openings >= OPENINGS_AT_ONCE:
        return False
    return idle > 0 or count < allowed


def judge_opening(
    waiting: int, opening: int, may_come_back: bool, waited_seconds: float, opening_seconds: float
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
    may_come_back : bool
        Whether one of its connections is in use by more than a transaction that is idle.
    waited_seconds : float
        For which the first of them has waited.
    opening_seconds : float
        That an opening takes, as smoothed over the latest.

    Examples
    --------
    >>> judge_opening(2, 0, True, waited_seconds=0.01, opening_seconds=0.03).name
    'WAIT'
    >>> judge_opening(2, 0, True, 0.04, 0.03).name, judge_opening(2, 0, False, 0.0, 0.03).name
    ('NOW', 'NOW')
    >>> judge_opening(1, 1, False, 0.04, 0.03).name
    'ENOUGH'
    """
    if opening >= waiting:
        return Opening.ENOUGH
    if waited_seconds >= opening_seconds or not may_come_back:
        return Opening.NOW
    return Opening.WAIT


def smoothed_opening(average_seconds: float, newest_seconds: float) -> float:
    """Return how long an opening takes, with the newest one counted in.

    Examples
    --------
    >>> round(smoothed_opening(0.03, 0.05), 3), smoothed_opening(0.03, 60.0)
    (0.032, 0.1)
    """
    share = OPENING_WEIGHT * (newest_seconds - average_seconds)
    return min(LONGEST_OPENING_SECONDS, average_seconds + share)


class ConnectionCap:
    """How many connections there may be at a member that had none left a moment ago.

    Examples
    --------
    >>> cap = ConnectionCap()
    >>> cap.allowed(14, now=10.0)
    14
    >>> cap.note_crowded(open_count=5, now=10.0)
    >>> cap.allowed(14, now=10.4), cap.allowed(14, now=10.6)
    (5, 14)
    """

    __slots__ = ("_limit", "_until")

    def __init__(self) -> None:
        self._until = 0.0
        self._limit = 0

    def note_crowded(self, open_count: int, now: float) -> None:
        """Note that the member has no more connections than those that are open."""
        self._until = now + CROWDED_SECONDS
        self._limit = max(1, open_count)

    def allowed(self, limit: int, now: float) -> int:
        """Return how many there may be at a moment in seconds, of a limit."""
        return min(limit, self._limit) if now < self._until else limit
