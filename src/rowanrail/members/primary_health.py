"""Health report of a primary for the control nodes.

Times are reported as ages in milliseconds, because monotonic clocks of different machines are not
comparable.
"""

from rowanrail.members.primary import PrimaryTracker
from rowanrail.model.members import PrimaryHealth

__all__ = ["primary_health_report"]


def primary_health_report(tracker: PrimaryTracker, now: float) -> PrimaryHealth:
    """Return the health report of a primary at ``now``, in monotonic seconds."""
    proved_ago = round(1000 * (now - tracker.proved_at)) if tracker.proved_at >= 0 else -1
    failing = tracker.failing_since
    # At least 1, because 0 stands for no failure.
    failing_for = max(1, round(1000 * (now - failing))) if failing else 0
    return PrimaryHealth(tracker.service, tracker.presumed_primary, proved_ago, failing_for)
