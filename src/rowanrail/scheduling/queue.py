"""Order in which statements that wait for room at a member run.

Samples come first, then classes by urgency, where each class keeps a share of the starts; within a
class tenants share by weight (:mod:`rowanrail.scheduling.fair_share`), and a tenant's entries are
ordered by retries and deadlines. Also selects the tenant for which a connection is opened next, but
opens none.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Generic

from rowanrail.scheduling.entry import Queued, QueueEntry, Waiting, is_past_deadline, tenant_weight
from rowanrail.scheduling.fair_share import FairShare, QueuePosition

__all__ = [
    "QueueEntry",
    "Pick",
    "Queued",
    "ConnectionSupply",
    "WorkQueue",
    "is_past_deadline",
    "tenant_weight",
]

# Starts of more urgent classes after which a waiting class gets the next one, so that it is not
# starved: its clients would retry, which adds load, and an operation of several statements fails
# with any of them. More urgent statements wait at most a ninth longer.
MAX_TIMES_PASSED_OVER = 9
# Starts on idle connections that may be preferred to an opening, which takes a slot for longer than
# most statements. With this bound openings take at most a twelfth of the slots while work of the
# same urgency can use idle connections. A single tenant without a connection is delayed by about
# 0.1 s, an eighth of a statement's usual time limit.
REUSES_PER_OPENING = 16
# The same bound if the opening is for more urgent work: a delay of about 25 ms, a twentieth of the
# objective of urgent callers; openings may take a quarter of the slots for it.
URGENT_REUSES_PER_OPENING = 4
# Factor on both bounds for a tenant with connections in use, one of which is usually released
# sooner. The tenant itself must have been delayed that often as well, since its connections may be
# passed on from one statement to the next.
IN_USE_FACTOR = 4
RECENT_STARTS = 64  # window of the moving average of each class's share of the starts

FlowKey = tuple[int, str | None]  # urgency and tenant


def _flow_key(item: Queued) -> FlowKey:
    return (item.entry.urgency, item.entry.tenant)


@dataclass(frozen=True, slots=True)
class Pick(Generic[Waiting]):
    """The item that is next.

    Parameters
    ----------
    item : Queued
    needs_opening : bool
        Whether a connection has to be opened for it; it stays in the queue until that is open.
    """

    item: Waiting
    needs_opening: bool


@dataclass(frozen=True, slots=True)
class ConnectionSupply:
    """The connections to a member that are available to waiting statements.

    Parameters
    ----------
    idle : collection of str
        Tenants that have an idle connection.
    may_open : callable
        Returns whether a connection may be opened for a tenant whose statement has waited since a
        time in milliseconds.
    has_in_use : callable
        Returns whether a connection of a tenant is in use, and thus will be released.
    """

    idle: Collection[str]
    may_open: Callable[[str | None, float], bool] = lambda tenant, since: False
    has_in_use: Callable[[str], bool] = lambda tenant: False

    def has_idle(self, tenant: str | None) -> bool:
        """Return whether a tenant has an idle connection; any connection will do for None."""
        return tenant in self.idle or (tenant is None and bool(self.idle))


class WorkQueue(Generic[Waiting]):
    """Ordering of the items that wait at one member; does not notify or expire them.

    Samples run first, since all reads depend on them. Then comes the most urgent class; within it
    the tenant that has had least of its share, and among its entries the earliest deadline.

    Examples
    --------
    >>> @dataclass(frozen=True)
    ... class Statement:
    ...     name: str
    ...     entry: QueueEntry
    >>> queue = WorkQueue()
    >>> for number in range(3):
    ...     queue.add(Statement(f"burst {number}", QueueEntry(1, "large", 0.0)), 0.0)
    >>> queue.add(Statement("small", QueueEntry(1, "small", 1.0)), 1.0)
    >>> queue.add(Statement("urgent", QueueEntry(0, "large", 2.0)), 2.0)
    >>> order = []
    >>> while (pick := queue.next(ConnectionSupply({"large", "small"}))) is not None:
    ...     order.append(pick.item.name)
    ...     queue.start(pick.item)
    >>> order
    ['urgent', 'burst 0', 'small', 'burst 1', 'burst 2']
    """

    def __init__(self) -> None:
        self._classes: dict[int, FairShare[Waiting]] = {}
        self._positions: dict[int, QueuePosition[Waiting]] = {}  # by id of the item, in order
        self._tenants: Counter[str | None] = Counter()
        self._last_number = 0
        self._reuses = 0  # starts since the last opening
        self._delays: Counter[FlowKey] = Counter()  # delayed openings since a tenant's last start
        self._start_shares: dict[int, float] = defaultdict(float)  # of recent starts, by urgency

    def __len__(self) -> int:
        return len(self._positions)

    def __iter__(self) -> Iterator[Waiting]:
        return (position.item for position in self._positions.values())

    @property
    def lengths(self) -> dict[int, int]:
        """Number of waiting statements, by urgency."""
        return {urgency: len(tenants) for urgency, tenants in self._classes.items()}

    @property
    def oldest(self) -> float | None:
        """Time in milliseconds since which the first statement has waited; None if none waits."""
        first = next(iter(self._positions.values()), None)
        return None if first is None else first.since

    def count_waiting(self, tenant: str | None) -> int:
        """Return the number of statements that wait for a connection of a tenant."""
        return self._tenants[tenant]

    def add(self, item: Waiting, now: float) -> None:
        """Add a statement."""
        self._last_number += 1
        position = QueuePosition(item, now, self._last_number)
        self._positions[id(item)] = position
        self._tenants[item.entry.tenant] += 1
        self._classes.setdefault(item.entry.urgency, FairShare()).add(position)

    def remove(self, item: Waiting) -> bool:
        """Remove a statement that does not run; return whether it was in the queue."""
        position = self._take(item)
        if position is None:
            return False
        self._classes[item.entry.urgency].remove(position)
        return True

    def _take(self, item: Waiting) -> QueuePosition[Waiting] | None:
        position = self._positions.pop(id(item), None)
        if position is not None:
            self._tenants[item.entry.tenant] -= 1
        return position

    def start(self, item: Waiting) -> None:
        """Remove a statement that starts to run, and charge its tenant and its class."""
        position = self._take(item)
        if position is None:
            return
        urgency = item.entry.urgency
        self._reuses += 1
        self._delays.pop(_flow_key(item), None)
        self._note_start(urgency)
        self._classes[urgency].start(position)
        self._classes[urgency].passed_over = 0
        if urgency < 0:
            return  # samples serve all classes, so none counts as passed over
        for other, tenants in self._classes.items():
            if other > urgency:
                tenants.passed_over = tenants.passed_over + 1 if tenants.is_waiting else 0

    def _note_start(self, urgency: int) -> None:
        for other in self._start_shares:
            self._start_shares[other] -= self._start_shares[other] / RECENT_STARTS
        self._start_shares[urgency] += 1 / RECENT_STARTS

    def next(self, supply: ConnectionSupply, only_samples: bool = False) -> Pick[Waiting] | None:
        """Return the statement to run next, or to open a connection for; None if there is none.

        A statement with an idle connection goes before one that needs an opening, up to a bound.

        Parameters
        ----------
        supply : ConnectionSupply
        only_samples : bool
            Whether there is room for samples only.
        """
        opening: QueuePosition[Waiting] | None = None
        for position in self._heads(only_samples):
            tenant = position.item.entry.tenant
            if supply.has_idle(tenant):
                if opening is not None and self._is_opening_due(opening, position, supply):
                    break
                if opening is not None:
                    self._delays[_flow_key(opening.item)] += 1
                return Pick(position.item, needs_opening=False)
            if opening is None and supply.may_open(tenant, position.since):
                opening = position
        if opening is None:
            return None
        self._reuses = 0
        return Pick(opening.item, needs_opening=True)

    def _is_opening_due(
        self,
        opening: QueuePosition[Waiting],
        other: QueuePosition[Waiting],
        supply: ConnectionSupply,
    ) -> bool:
        """Return whether an opening now goes before another statement that needs none."""
        is_more_urgent = opening.item.entry.urgency < other.item.entry.urgency
        bound = URGENT_REUSES_PER_OPENING if is_more_urgent else REUSES_PER_OPENING
        if supply.has_in_use(opening.item.entry.tenant or ""):
            delays = self._delays[_flow_key(opening.item)]
            return delays >= IN_USE_FACTOR * bound <= self._reuses
        return self._reuses >= bound

    def _heads(self, only_samples: bool) -> Iterator[QueuePosition[Waiting]]:
        """Yield the first entry of each tenant in each class, in order."""
        for tenants in self._ordered_classes(only_samples):
            yield from tenants.heads()

    def _ordered_classes(self, only_samples: bool) -> list[FairShare[Waiting]]:
        """Return the waiting classes: one that was passed over for too long, then by urgency."""
        waiting = sorted(
            urgency for urgency, tenants in self._classes.items() if tenants.is_waiting
        )
        if only_samples:
            return [self._classes[urgency] for urgency in waiting if urgency < 0]

        def order(urgency: int) -> tuple[bool, int, int]:
            passed_over = self._classes[urgency].passed_over
            overdue = passed_over if passed_over >= MAX_TIMES_PASSED_OVER else 0
            return (urgency >= 0, -overdue, urgency)

        return [self._classes[urgency] for urgency in sorted(waiting, key=order)]

    def past_deadline(self, now: float, run_time: float = 0.0) -> list[Waiting]:
        """Return the statements for which :func:`is_past_deadline` holds; times in ms."""
        return [item for item in self if is_past_deadline(item.entry, now, run_time)]

    def ahead_of(self, entry: QueueEntry, needs_opening: bool = False) -> float:
        """Return the estimated number of starts before an entry that is new, or waits already.

        Counts all more urgent entries, those of the same urgency by their tenants' shares, and the
        starts that less urgent classes get meanwhile; scaled up for more urgent ones that arrive
        later. An entry that needs an opening is delayed by some more starts.
        """
        own = more_urgent = less_urgent = 0.0
        for urgency, tenants in self._classes.items():
            if urgency < entry.urgency:
                more_urgent += len(tenants)
            elif urgency == entry.urgency:
                own += tenants.ahead_of(entry)
            else:
                less_urgent += len(tenants)
        ahead = own + more_urgent
        ahead += min(less_urgent, ahead // MAX_TIMES_PASSED_OVER)
        ahead /= max(1 / (MAX_TIMES_PASSED_OVER + 1), 1 - self._more_urgent_share(entry.urgency))
        if needs_opening:
            ahead += min(len(self), URGENT_REUSES_PER_OPENING)
        # The class is guaranteed its share of the starts.
        return min(ahead, own + (own + 1) * MAX_TIMES_PASSED_OVER)

    def _more_urgent_share(self, urgency: int) -> float:
        """Return the share of recent starts that were of more urgent classes."""
        total = sum(self._start_shares.values())
        more_urgent = sum(
            share for other, share in self._start_shares.items() if 0 <= other < urgency
        )
        return more_urgent / total if total else 0.0
