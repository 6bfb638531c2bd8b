"""Health of one member as seen by its pool, with backoff after failures.

Performs no I/O: the pool reports the outcome of connections and answers. Times are monotonic
milliseconds.
"""

from rowanrail.gateway.pools.error_rate import ErrorRate

__all__ = ["MemberHealth", "backoff_ms"]

BASE_BACKOFF_MS = 100.0  # doubled for each failure, including the first
MAXIMUM_BACKOFF_MS = 2000.0  # samples and probes may end it sooner, see note_reachable


def backoff_ms(failures: int) -> float:
    """Return the backoff in milliseconds after a number of consecutive failures.

    Examples
    --------
    >>> [backoff_ms(failures) for failures in (1, 2, 3, 9)]
    [200.0, 400.0, 800.0, 2000.0]
    """
    return min(BASE_BACKOFF_MS * 2.0**failures, MAXIMUM_BACKOFF_MS)


class MemberHealth:
    """Failures, backoff and error rate of one member.

    Examples
    --------
    >>> health = MemberHealth()
    >>> health.note_failure(now=0.0), health.is_failing(now=100.0), health.is_failing(now=300.0)
    (200.0, True, False)

    After a failure it gets one request at a time:

    >>> health.is_suspect(now=300.0, load=0), health.is_suspect(now=300.0, load=1)
    (False, True)
    >>> health.note_success()
    >>> health.is_suspect(now=300.0, load=1)
    False
    """

    __slots__ = ("_errors", "_failures", "failing_until")

    def __init__(self) -> None:
        self.failing_until = 0.0  # end of the backoff
        self._failures = 0
        self._errors = ErrorRate()

    def is_failing(self, now: float) -> bool:
        """Return whether the member is in backoff."""
        return now < self.failing_until

    def is_suspect(self, now: float, load: int) -> bool:
        """Return whether new work should use another member.

        After a failure the member gets one request at a time until one succeeds.

        Parameters
        ----------
        load : int
            Number of requests that use or wait for a connection to it.
        """
        return self._failures > 0 and (self.is_failing(now) or load > 0)

    def error_rate(self, now: float) -> float:
        """Return the share of recent answers that were errors, see :class:`ErrorRate`."""
        return self._errors.at(now)

    def note_failure(self, now: float) -> float:
        """Record a failure and return the backoff in milliseconds."""
        self._failures += 1
        backoff = backoff_ms(self._failures)
        self.failing_until = now + backoff
        return backoff

    def note_success(self) -> None:
        """Record that a connection was opened."""
        self._failures = 0

    def note_reachable(self) -> None:
        """End the backoff, because the member answers on another connection."""
        self._failures = 0
        self.failing_until = 0.0

    def note_answer(self, is_error: bool, now: float) -> None:
        """Record an answer, or an error of the member itself."""
        if not is_error:
            self._failures = 0
        self._errors.note(float(is_error), now)
