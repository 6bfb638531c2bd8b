"""The share of a member's latest answers that were errors of its own.

A moving average on plain values, in steady milliseconds. Without new answers it fades, so that a
member that nobody asks is asked again.
"""

import math

__all__ = ["ErrorRate"]

ERROR_WEIGHT = 0.2  # of the newest answer in the share of answers that were errors
ERROR_DECAY_MS = 2000.0  # after it a share without new answers has shrunk to 1/e


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
        self._share = 0.0
        self._noted_at = 0.0

    def note(self, newest: float, now: float) -> None:
        """Note an answer: 1 for an error, 0 for any other."""
        share = self.at(now)
        if share or newest:
            self._share = share + ERROR_WEIGHT * (newest - share)
            self._noted_at = now

    def at(self, now: float) -> float:
        """Return the share at a moment in milliseconds."""
        if not self._share:
            return 0.0
        return self._share * math.exp((self._noted_at - now) / ERROR_DECAY_MS)
