"""Log events for the loss and recovery of a service's primary."""

from rowanrail.gateway.events import PRIMARY_LOST, PRIMARY_PROVED
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.members.primary import PrimaryTracker
from rowanrail.model.position import Position

__all__ = ["log_primary_state"]


def log_primary_state(decisions: DecisionLog, tracker: PrimaryTracker, now: float) -> None:
    """Log the state of a service's primary after its alarm was raised or cleared.

    Parameters
    ----------
    now : float
        Monotonic seconds.
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
            position=_format_position(tracker.sample.position),
        )


def _format_position(position: Position) -> str:
    return f"{position.term}.{position.index}"
