"""Samples of a primary's replication position, and reads that wait for one.

A sample is a position with the time at which it was requested. A member whose log holds the
sampled position has everything that was acknowledged before the request. A read with bounded
staleness therefore needs only the oldest sample within its bound, so that lagging replicas can
serve it.
"""

from bisect import bisect_left
from collections import deque
from collections.abc import Callable

import msgspec

from rowanrail.model.position import Position

__all__ = ["PositionCallback", "PositionSample", "PositionWaiters", "SampleHistory"]

HISTORY_SECONDS = 5.0  # maximum age of a retained sample
HISTORY_STEP_SECONDS = 0.02  # minimum time between retained samples

PositionCallback = Callable[[Position | None], None]


class PositionSample(msgspec.Struct, frozen=True, gc=False):
    """Position of the primary at some time after a request.

    Parameters
    ----------
    asked_at : float
        Monotonic time in seconds at which it was requested.
    position : Position
        The position in the answer.
    instance : str
        The member that answered.
    """

    asked_at: float
    position: Position
    instance: str


class SampleHistory:
    """Recent samples of one service in the newest term.

    Examples
    --------
    >>> history = SampleHistory()
    >>> history.add(10.0, Position(1, 7), "m1"), history.add(11.0, Position(1, 9), "m1")
    (True, True)
    >>> history.oldest_since(9.5).position, history.oldest_since(10.5).position
    (Position(term=1, index=7), Position(term=1, index=9))
    >>> history.add(12.0, Position(2, 8), "m2"), history.add(12.5, Position(1, 9), "m1")
    (True, False)
    >>> history.oldest_since(9.5).instance
    'm2'
    """

    __slots__ = ("_retained", "_newest")

    def __init__(self) -> None:
        self._retained: deque[PositionSample] = deque()
        self._newest: PositionSample | None = None

    @property
    def newest(self) -> PositionSample | None:
        """The sample that was requested last, None without one."""
        return self._newest

    def add(self, asked_at: float, position: Position, instance: str) -> bool:
        """Add a position; return False if it is of an older term, so its member was replaced.

        A position that was requested before the newest sample is accepted but not stored.
        """
        newest = self._newest
        if newest is not None and position.term < newest.position.term:
            return False
        if newest is None or asked_at >= newest.asked_at:
            highest = position if newest is None else max(position, newest.position)
            self._append(PositionSample(asked_at, highest, instance))
        return True

    def _append(self, sample: PositionSample) -> None:
        retained = self._retained
        if self._newest is not None and self._newest.position.term != sample.position.term:
            retained.clear()  # a failover may have discarded these positions
        while retained and sample.asked_at - retained[0].asked_at > HISTORY_SECONDS:
            retained.popleft()
        if not retained or sample.asked_at - retained[-1].asked_at >= HISTORY_STEP_SECONDS:
            retained.append(sample)
        self._newest = sample

    def oldest_since(self, asked_since: float) -> PositionSample | None:
        """Return the oldest sample requested at ``asked_since`` or later, None without one."""
        place = bisect_left(self._retained, asked_since, key=lambda sample: sample.asked_at)
        if place < len(self._retained):
            return self._retained[place]
        newest = self._newest
        return newest if newest is not None and newest.asked_at >= asked_since else None

    def held_since(self, position: Position) -> float | None:
        """Return since when the primary's log is known to hold a position, None if unknown.

        Examples
        --------
        >>> history = SampleHistory()
        >>> _ = [history.add(at, Position(1, int(at)), "m1") for at in (10.0, 11.0, 12.0)]
        >>> history.held_since(Position(1, 11)), history.held_since(Position(1, 13))
        (11.0, None)
        """
        place = bisect_left(self._retained, position, key=lambda sample: sample.position)
        if place < len(self._retained):
            return self._retained[place].asked_at
        newest = self._newest
        return newest.asked_at if newest is not None and newest.position >= position else None


class PositionWaiters:
    """Callbacks of reads that wait for a sample.

    Examples
    --------
    >>> waiters, positions = PositionWaiters(), []
    >>> waiters.add(10.0, positions.append)
    >>> waiters.notify(PositionSample(9.9, Position(1, 3), "m1")), len(waiters)
    (None, 1)
    >>> waiters.notify(PositionSample(10.1, Position(1, 4), "m1")), positions
    (None, [Position(term=1, index=4)])
    """

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: list[tuple[float, PositionCallback]] = []

    def __len__(self) -> int:
        """Return the number of waiting callbacks."""
        return len(self._waiting)

    def add(self, asked_since: float, callback: PositionCallback) -> None:
        """Register a callback for a position requested at ``asked_since`` or later."""
        self._waiting.append((asked_since, callback))

    def remove(self, callback: PositionCallback | None) -> None:
        """Remove a callback, if it is registered."""
        self._waiting = [entry for entry in self._waiting if entry[1] != callback]

    def notify(self, sample: PositionSample | None) -> None:
        """Call all callbacks for which a sample is new enough."""
        if sample is None or not self._waiting:
            return
        ready = [entry for entry in self._waiting if entry[0] <= sample.asked_at]
        if ready:
            self._waiting = [entry for entry in self._waiting if entry[0] > sample.asked_at]
            for _, callback in ready:
                callback(sample.position)

    def close(self) -> None:
        """Call all callbacks with None."""
        waiting, self._waiting = self._waiting, []
        for _, callback in waiting:
            callback(None)
