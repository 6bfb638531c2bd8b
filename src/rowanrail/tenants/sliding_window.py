"""Event counts over a sliding time window, in monotonic milliseconds.

Events are counted in steps of ``STEP_MS``: a count is never too low, and includes at most one
expired step.
"""

from collections import deque

__all__ = ["SlidingWindowCounter"]

STEP_MS = 100.0  # events expire at most this much late


class SlidingWindowCounter:
    """Counts the events of the last window; a count is never too low.

    Parameters
    ----------
    window_ms : float
        Length of the window in milliseconds.

    Examples
    --------
    >>> counter = SlidingWindowCounter(5000.0)
    >>> counter.add(0.0)
    >>> counter.add(4000.0)
    >>> counter.count(4900.0), counter.count(5200.0), counter.count(9999.0)
    (2.0, 1.0, 0.0)
    """

    __slots__ = ("_sum", "_steps", "_window_ms")

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._steps: deque[list[float]] = deque()  # [end of the step, count]
        self._sum = 0.0

    def add(self, now: float, number: float = 1.0) -> None:
        """Count events that happen now; a negative number takes events back."""
        if not self._steps or now >= self._steps[-1][0]:
            self._steps.append([now + STEP_MS, 0.0])
        self._steps[-1][1] += number
        self._sum += number

    def count(self, now: float) -> float:
        """Return the count of the window that ends now."""
        while self._steps and self._steps[0][0] + self._window_ms <= now:
            self._sum -= self._steps.popleft()[1]
        return max(0.0, self._sum)

    def expiring(self, now: float, span: float) -> float:
        """Return how many events of the current window expire within ``span`` milliseconds.

        Examples
        --------
        >>> counter = SlidingWindowCounter(5000.0)
        >>> counter.add(0.0)
        >>> counter.add(1000.0)
        >>> counter.expiring(4900.0, 500.0)
        1.0
        """
        self.count(now)
        limit = now + span - self._window_ms
        return max(0.0, sum(number for end, number in self._steps if end <= limit))
