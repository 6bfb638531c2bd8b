"""Moving average of a member's error rate.

It decays without new answers, so that an unused member is tried again. Times are monotonic
milliseconds.
"""

import math

__all__ = ["ErrorRate"]

ERROR_WEIGHT = 0.2  # weight of the newest answer
ERROR_DECAY_MS = 2000.0  # time in which the rate decays to 1/e without new answers


class ErrorRate:
    """Exponentially weighted share of answers that were errors, with decay over time.

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
        """Return the error rate at ``now``, from 0 to 1."""
        if not self._share:
            return 0.0
        return self._share * math.exp((self._noted_at - now) / ERROR_DECAY_MS)
