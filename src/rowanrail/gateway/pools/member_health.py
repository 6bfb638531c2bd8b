"""Whether a member can be reached, and for how long it is left alone after failures."""

from rowanrail.gateway.pools.error_share import ErrorShare
from rowanrail.kernel.clock import Scheduler

__all__ = ["MemberHealth"]

# A failed connection is tried again after twice this; chosen, not measured apart.
MINIMUM_BACKOFF_SECONDS = 0.1
# A member that came back is noticed by samples sooner, see MemberPool.note_reachable.
MAXIMUM_BACKOFF_SECONDS = 2.0


class MemberHealth:
    """What failures and answers say of one member."""

    def __init__(self, clock: Scheduler) -> None:
        self.failing_until = 0.0
        self._clock = clock
        self._failures = 0
        self._errors = ErrorShare()

    @property
    def is_failing(self) -> bool:
        """Whether connections failed a moment ago."""
        return self._clock.time() < self.failing_until

    @property
    def has_failed(self) -> bool:
        """Whether nothing has succeeded since the last failure."""
        return self._failures > 0

    @property
    def error_share(self) -> float:
        """Share of the latest answers that were errors; forgotten with time."""
        return self._errors.at(self._clock.time())

    def note_failure(self) -> float:
        """Note a failure, and return for how many seconds the member is left alone."""
        self._failures += 1
        backoff = MINIMUM_BACKOFF_SECONDS * 2.0**self._failures
        backoff = min(backoff, MAXIMUM_BACKOFF_SECONDS)
        self.failing_until = self._clock.time() + backoff
        return backoff

    def note_success(self) -> None:
        """Note that a connection was opened, or a statement answered."""
        self._failures = 0

    def note_reachable(self) -> None:
        """Note that it answers on another connection: nothing need be waited out."""
        self._failures = 0
        self.failing_until = 0.0

    def note_answer(self, is_error: bool) -> None:
        """Note an answer, or an error of the member's own."""
        if not is_error:
            self._failures = 0
        self._errors.note(float(is_error), self._clock.time())
