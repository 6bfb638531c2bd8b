"""Whether a member can be reached, and for how long it is left alone after failures.

A state on plain values, without I/O: the pool tells it what connections and answers showed. Times
are steady milliseconds.
"""

from rowanrail.gateway.pools.error_rate import ErrorRate

__all__ = ["MemberHealth", "backoff_ms"]

# A failed connection is tried again after twice this; chosen, not measured apart.
BASE_BACKOFF_MS = 100.0
# A member that came back is noticed by samples sooner, see MemberPool.note_reachable.
MAXIMUM_BACKOFF_MS = 2000.0


def backoff_ms(failures: int) -> float:
    """Return for how many milliseconds a member is left alone after so many failures running.

    Examples
    --------
    >>> [backoff_ms(failures) for failures in (1, 2, 3, 9)]
    [200.0, 400.0, 800.0, 2000.0]
    """
    return min(BASE_BACKOFF_MS * 2.0**failures, MAXIMUM_BACKOFF_MS)


class MemberHealth:
    """What failures and answers say of one member.

    Examples
    --------
    >>> health = MemberHealth()
    >>> health.note_failure(now=0.0), health.is_failing(now=100.0), health.is_failing(now=300.0)
    (200.0, True, False)

    After a failure it is tried by one request at a time:

    >>> health.is_suspect(now=300.0, load=0), health.is_suspect(now=300.0, load=1)
    (False, True)
    >>> health.note_success()
    >>> health.is_suspect(now=300.0, load=1)
    False
    """

    __slots__ = ("_errors", "_failures", "failing_until")

    def __init__(self) -> None:
        self.failing_until = 0.0  # until then it is left alone
        self._failures = 0
        self._errors = ErrorRate()

    def is_failing(self, now: float) -> bool:
        """Return whether connections failed a moment ago."""
        return now < self.failing_until

    def is_suspect(self, now: float, load: int) -> bool:
        """Return whether new work should go elsewhere.

        After failures the member is tried by one request at a time until one succeeds.

        Parameters
        ----------
        load : int
            How many use or wait for a connection to it.
        """
        return self._failures > 0 and (self.is_failing(now) or load > 0)

    def error_rate(self, now: float) -> float:
        """Return the share of the latest answers that were errors; forgotten with time."""
        return self._errors.at(now)

    def note_failure(self, now: float) -> float:
        """Note a failure, and return for how many milliseconds the member is left alone."""
        self._failures += 1
        backoff = backoff_ms(self._failures)
        self.failing_until = now + backoff
        return backoff

    def note_success(self) -> None:
        """Note that a connection was opened."""
        self._failures = 0

    def note_reachable(self) -> None:
        """Note that it answers on another connection: nothing need be waited out."""
        self._failures = 0
        self.failing_until = 0.0

    def note_answer(self, is_error: bool, now: float) -> None:
        """Note an answer, or an error of the member's own."""
        if not is_error:
            self._failures = 0
        self._errors.note(float(is_error), now)
