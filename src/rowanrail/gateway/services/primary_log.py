"""Log lines about a service's primary: lost, or found again.

Decides nothing: it writes what the tracker already holds, after its alarm begins or ends.
"""

from rowanrail.gateway.events import PRIMARY_LOST, PRIMARY_PROVED
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.members.primary import PrimaryTracker
from rowanrail.model.position import Position

__all__ = ["log_primary_state"]


def log_primary_state(decisions: DecisionLog, tracker: PrimaryTracker, now: float) -> None:
    """Log the state of a service's primary, after an alarm about it.

    Parameters
    ----------
    now : float
        Steady seconds.
    """
    if tracker.failing_since:
        decisions.note(
            PRIMARY_LOST,
            service=tracker.service,
            instance=tracker.presumed_primary,
            failing_for=round(now - tracker.failing_since, 3),
            proved_ago=round(now - tracker.proved_at, 3),
        )
    elif tracker.sample is not None:
        decisions.note(
            PRIMARY_PROVED,
            service=tracker.service,
            instance=tracker.sample.instance,
            position=_text(tracker.sample.position),
        )


def _text(position: Position) -> str:
    return f"{position.term}.{position.index}"
