"""The rate of a member's latest answers that were errors of its own.

A moving average on plain values, in steady milliseconds. Without new answers it fades, so that a
member that nobody asks is asked again.
"""

import math

__all__ = ["ErrorRate"]

ERROR_SMOOTHING = 0.2  # of the newest answer in the rate of answers that were errors
ERROR_DECAY_MS = 2000.0  # after it a rate without new answers has shrunk to 1/e


class ErrorRate:
    """A moving average that is forgotten with time.

    Examples
    --------
    >>> errors = ErrorRate()
    >>> errors.note(1.0, 10_000.0)
    >>> errors.at(10_000.0), errors.at(20_000.0) < 0.01
    (0.2, True)
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._noted_at = 0.0

    def note(self, newest: float, now: float) -> None:
        """Note an answer: 1 for an error, 0 for any other."""
        rate = self.at(now)
        if rate or newest:
            self._rate = rate + ERROR_SMOOTHING * (newest - rate)
            self._noted_at = now

    def at(self, now: float) -> float:
        """Return the rate at a moment in milliseconds."""
        if not self._rate:
            return 0.0
        return self._rate * math.exp((self._noted_at - now) / ERROR_DECAY_MS)
