"""Samples of a primary's position that prove that it led, newest and older ones.

A sample is a position with the moment at which it was asked for. A read whose log holds a
sample misses nothing that was acknowledged before the sample was asked for. A read that accepts
some age is therefore served behind the oldest sample that is young enough, so that replicas that
lag less than that can serve it.
"""

from bisect import bisect_left
from collections import deque
from collections.abc import Callable

import msgspec

from rowanrail.model.position import Position

__all__ = ["FloorWaiters", "GiveFloor", "PositionSample", "SampleHistory"]

HISTORY_SECONDS = 5.0  # age of the oldest sample that is kept
HISTORY_STEP_SECONDS = 0.02  # between samples that are kept


GiveFloor = Callable[[Position | None], None]


class PositionSample(msgspec.Struct, frozen=True, gc=False):
    """The primary's position.

    Parameters
    ----------
    asked_at : float
        Steady time in seconds at which it was asked for.
    instance : str
        The member that answered.
    """

    asked_at: float
    position: Position
    instance: str


class SampleHistory:
    """The samples of one service in the newest term that was proved.

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

    __slots__ = ("_kept", "_newest")

    def __init__(self) -> None:
        self._kept: deque[PositionSample] = deque()
        self._newest: PositionSample | None = None

    @property
    def newest(self) -> PositionSample | None:
        """The sample that was asked for last, None if there is none."""
        return self._newest

    def add(self, asked_at: float, position: Position, instance: str) -> bool:
        """Take a proved position; return False if its member has been replaced since.

        A position that was asked for before the newest sample adds nothing, and is no news of
        another primary either.
        """
        newest = self._newest
        if newest is not None and position.term < newest.position.term:
            return False
        if newest is None or asked_at >= newest.asked_at:
            highest = position if newest is None else max(position, newest.position)
            self._keep(PositionSample(asked_at, highest, instance))
        return True

    def _keep(self, sample: PositionSample) -> None:
        kept = self._kept
        if self._newest is not None and self._newest.position.term != sample.position.term:
            kept.clear()  # what they show may have been undone
        while kept and sample.asked_at - kept[0].asked_at > HISTORY_SECONDS:
            kept.popleft()
        if not kept or sample.asked_at - kept[-1].asked_at >= HISTORY_STEP_SECONDS:
            kept.append(sample)
        self._newest = sample

    def oldest_since(self, asked_since: float) -> PositionSample | None:
        """Return the oldest sample asked for at ``asked_since`` or later, None without one."""
        place = bisect_left(self._kept, asked_since, key=lambda sample: sample.asked_at)
        if place < len(self._kept):
            return self._kept[place]
        newest = self._newest
        return newest if newest is not None and newest.asked_at >= asked_since else None

    def held_since(self, position: Position) -> float | None:
        """Return since when the primary's log is known to hold a position, None if it is not.

        Examples
        --------
        >>> history = SampleHistory()
        >>> _ = [history.add(at, Position(1, int(at)), "m1") for at in (10.0, 11.0, 12.0)]
        >>> history.held_since(Position(1, 11)), history.held_since(Position(1, 13))
        (11.0, None)
        """
        place = bisect_left(self._kept, position, key=lambda sample: sample.position)
        if place < len(self._kept):
            return self._kept[place].asked_at
        newest = self._newest
        return newest.asked_at if newest is not None and newest.position >= position else None


class FloorWaiters:
    """Reads that wait for a sample that was asked for late enough.

    Examples
    --------
    >>> waiters, given = FloorWaiters(), []
    >>> waiters.add(10.0, given.append)
    >>> waiters.serve(PositionSample(9.9, Position(1, 3), "m1")), len(waiters)
    (None, 1)
    >>> waiters.serve(PositionSample(10.1, Position(1, 4), "m1")), given
    (None, [Position(term=1, index=4)])
    """

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: list[tuple[float, GiveFloor]] = []

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    def add(self, asked_since: float, give: GiveFloor) -> None:
        """Have ``give`` called with a sample that was asked for at ``asked_since`` or later."""
        self._waiting.append((asked_since, give))

    def forget(self, give: GiveFloor | None) -> None:
        """Withdraw a wait."""
        self._waiting = [entry for entry in self._waiting if entry[1] != give]

    def serve(self, sample: PositionSample | None) -> None:
        """Give the position of a sample to all waits for which it is new enough."""
        if sample is None or not self._waiting:
            return
        ready = [entry for entry in self._waiting if entry[0] <= sample.asked_at]
        if ready:
            self._waiting = [entry for entry in self._waiting if entry[0] > sample.asked_at]
            for _, give in ready:
                give(sample.position)

    def close(self) -> None:
        """End all waits without a position: no sample will come."""
        waiting, self._waiting = self._waiting, []
        for _, give in waiting:
            give(None)
