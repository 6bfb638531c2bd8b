"""How far a replica's log is behind, told from its answers; it decides nothing about freshness.

A wrong estimate costs a round trip or a slot of the primary, never a stale answer: the member
itself checks its log against the position that a read must see.
"""

import math

__all__ = ["LagEstimate"]

# ms; after it a lag without new answers has shrunk to 1/e, so that a replica that was behind for a
# while is tried again well before callers' next complaints.
LAG_DECAY_MS = 1000.0
# A log that lacks what is some age old may be behind by more: the estimate doubles until a read
# shows that it holds something older, so that few reads are spent on finding the lag.
LAG_GROWTH = 2.0
SHORTEST_LAG_MS = 20.0  # ms; less can't be told from the time that answers take on their way


class LagEstimate:
    """The lag of one member in milliseconds.

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
        """Return the lag that is assumed now."""
        return self._lag * math.exp((self._noted_at - now) / LAG_DECAY_MS)

    def note_missing(self, age: float, now: float) -> None:
        """Note that its log lacks what the primary's log has held for ``age``."""
        self._lag = max(self.at(now), LAG_GROWTH * age, SHORTEST_LAG_MS)
        self._noted_at = now

    def note_present(self, age: float, now: float) -> None:
        """Note that its log holds what the primary's log has held for ``age``."""
        self._lag = min(self.at(now), age)
        self._noted_at = now

    def expected_catch_up(self, age: float, now: float) -> float:
        """Return for how long it is expected to lack what the primary has held for ``age``."""
        return max(0.0, self.at(now) - age)
