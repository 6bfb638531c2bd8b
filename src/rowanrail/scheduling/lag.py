"""Estimated replication lag of a member, from its answers to reads.

Does not affect consistency: the member itself compares its log with the position that a read
requires. A wrong estimate costs a round trip, or a slot of the primary.
"""

import math

__all__ = ["LagEstimate"]

# ms in which an estimate without new answers decays to 1/e, so that a replica that was behind is
# soon tried again.
LAG_DECAY_MS = 1000.0
# A log that lacks a position may be behind by more than the position's age. The estimate doubles
# until a read shows that the log contains something older, so that few reads are spent on that.
LAG_GROWTH = 2.0
MIN_LAG_MS = 20.0  # ms; a shorter lag cannot be told from the round trip


class LagEstimate:
    """The estimated lag of one member, in milliseconds.

    Examples
    --------
    >>> lag = LagEstimate()
    >>> lag.note_missing(200.0, now=0.0)
    >>> lag.expected_catch_up(100.0, now=0.0), lag.expected_catch_up(500.0, now=0.0)
    (300.0, 0.0)
    >>> lag.note_present(50.0, now=10.0)
    >>> lag.expected_catch_up(100.0, now=10.0)
    0.0
    """

    __slots__ = ("_lag", "_noted_at")

    def __init__(self) -> None:
        self._lag = 0.0
        self._noted_at = 0.0

    def at(self, now: float) -> float:
        """Return the estimated lag at a time."""
        return self._lag * math.exp((self._noted_at - now) / LAG_DECAY_MS)

    def note_missing(self, age: float, now: float) -> None:
        """Record that its log lacks a position that the primary reached ``age`` ago."""
        self._lag = max(self.at(now), LAG_GROWTH * age, MIN_LAG_MS)
        self._noted_at = now

    def note_present(self, age: float, now: float) -> None:
        """Record that its log contains a position that the primary reached ``age`` ago."""
        self._lag = min(self.at(now), age)
        self._noted_at = now

    def expected_catch_up(self, age: float, now: float) -> float:
        """Return the time until its log has a position that the primary reached ``age`` ago."""
        return max(0.0, self.at(now) - age)
