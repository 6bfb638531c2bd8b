"""Announcements that are rejected: counted by reason, and logged at a bounded rate."""

import enum
from collections import Counter
from collections.abc import Callable

from rowanrail.coordination.events import ANNOUNCEMENT_REJECTED, MEMBER_LIMIT_REACHED
from rowanrail.kernel.catalogue import Event
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import RowanrailError

__all__ = ["AnnouncementRejectedError", "RejectedAnnouncements", "RejectionReason"]

LOG_INTERVAL_SECONDS = 1.0  # at least, between two lines of one event
MAX_LOGGED_CHARS = 120  # of what the sender chose


class RejectionReason(enum.Enum):
    """Why an announcement is rejected; the values label the metric."""

    INVALID = "invalid"  # the body, or the id, is no announcement
    TOO_LARGE = "too-large"
    NO_START = "no-start"  # the member of this id reports one, or others of its service
    OTHER_SERVICE = "other-service"  # contradicts a member of a configured service
    LIMIT = "limit"  # of members


class AnnouncementRejectedError(RowanrailError):
    """The announcement was rejected and changed nothing."""

    def __init__(self, reason: RejectionReason, problem: str) -> None:
        super().__init__(problem, step="announce")
        self.reason = reason


class RejectedAnnouncements:
    """Counts rejected announcements and logs a sample of them.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.
    decisions : DecisionLog
        Where to log them.
    """

    def __init__(self, now: Callable[[], float], decisions: DecisionLog) -> None:
        self.counts = dict.fromkeys(RejectionReason, 0)
        self._now = now
        self._decisions = decisions
        self._logged_at: dict[Event, float] = {}
        self._unlogged: Counter[Event] = Counter()

    def note(self, reason: RejectionReason, instance: str, problem: str) -> None:
        """Count a rejected announcement, and log it unless another was logged just before."""
        self.counts[reason] += 1
        shown = instance[:MAX_LOGGED_CHARS]
        problem = problem[:MAX_LOGGED_CHARS]
        if reason is RejectionReason.LIMIT:
            count = self._unlogged_if_due(MEMBER_LIMIT_REACHED)
            if count:
                self._decisions.note(
                    MEMBER_LIMIT_REACHED, instance=shown, problem=problem, count=count
                )
            return
        count = self._unlogged_if_due(ANNOUNCEMENT_REJECTED)
        if count:
            self._decisions.note(
                ANNOUNCEMENT_REJECTED,
                instance=shown,
                reason=reason.value,
                problem=problem,
                count=count,
            )

    def _unlogged_if_due(self, event: Event) -> int:
        """Return how many rejections a line now represents; 0 if the last line is too recent."""
        self._unlogged[event] += 1
        now = self._now()
        logged_at = self._logged_at.get(event)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_SECONDS:
            return 0
        self._logged_at[event] = now
        return self._unlogged.pop(event)
