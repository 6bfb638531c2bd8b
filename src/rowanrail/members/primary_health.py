"""What a gateway reports of a primary to the control nodes.

A function of a tracker's times, without state; steady seconds become milliseconds of age here, as
clocks of two machines can't be compared.
"""

from rowanrail.members.primary import PrimaryTracker
from rowanrail.model.members import PrimaryHealth

__all__ = ["primary_health_report"]


def primary_health_report(tracker: PrimaryTracker, now: float) -> PrimaryHealth:
    """Return what to report of a primary at a moment in seconds."""
    proved_ago = round(1000 * (now - tracker.proved_at)) if tracker.proved_at >= 0 else -1
    failing = tracker.failing_since
    # A failure of less than a millisecond is one all the same.
    failing_for = max(1, round(1000 * (now - failing))) if failing else 0
    return PrimaryHealth(tracker.service, tracker.presumed_primary, proved_ago, failing_for)
