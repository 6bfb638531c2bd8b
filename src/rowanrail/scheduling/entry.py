"""What determines an item's position in a member's queue: urgency, tenant and deadline.

Values and functions without state.
"""

from dataclasses import dataclass
from typing import Protocol, TypeVar

__all__ = ["QueueEntry", "Queued", "Waiting", "is_past_deadline", "tenant_weight"]

# Upper bound of the run time that is reserved, as a share of an entry's time limit, so that a new
# entry is never past its deadline, however slow the member has been.
MAX_RUN_SHARE = 0.25
WEIGHT_STEP = 2.0  # ratio between the weights of adjacent tenant priorities
MIN_WEIGHT = 1 / 16  # bounds a tenant's wait, whatever its priority


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """The urgency, tenant and deadline by which a queue orders an item; a plain value.

    Parameters
    ----------
    urgency : int
        Priority of its route, 0 for the most urgent; the system's own samples have -1.
    tenant : str or None
        Tenant whose connection it needs; None if any connection will do, "" where connections
        belong to no tenant.
    arrived : float
        Arrival time in milliseconds on the steady clock.
    deadline : float
        Milliseconds on the steady clock after which its answer would come too late.
    weight : float
        Share of its tenant among tenants of the same urgency.
    is_retrying : bool
        Whether its client was rejected more than once and retries when it was told to.
    """

    urgency: int
    tenant: str | None
    arrived: float
    deadline: float = float("inf")
    weight: float = 1.0
    is_retrying: bool = False


def tenant_weight(priority: int) -> float:
    """Return the weight of a tenant, by its priority, among those of one urgency.

    Examples
    --------
    >>> [tenant_weight(priority) for priority in (0, 1, 2, 9)]
    [1.0, 0.5, 0.25, 0.0625]
    """
    return max(MIN_WEIGHT, WEIGHT_STEP**-priority)


def is_past_deadline(entry: QueueEntry, now: float, run_time: float) -> bool:
    """Return whether an entry's answer would come too late if it were sent now.

    Parameters
    ----------
    entry : QueueEntry
    now : float
        Steady milliseconds.
    run_time : float
        Milliseconds from sending a statement to its answer.

    Examples
    --------
    >>> entry = QueueEntry(0, "", arrived=0.0, deadline=800.0)
    >>> is_past_deadline(entry, 700.0, 90.0), is_past_deadline(entry, 700.0, 110.0)
    (False, True)
    """
    run_time = min(run_time, MAX_RUN_SHARE * (entry.deadline - entry.arrived))
    return entry.deadline < now + run_time


class Queued(Protocol):
    """Interface: an item of a :class:`rowanrail.scheduling.queue.WorkQueue`, with its entry."""

    @property
    def entry(self) -> QueueEntry:
        """The entry that determines the item's position."""


Waiting = TypeVar("Waiting", bound=Queued)
"""Type of the items of a queue."""
