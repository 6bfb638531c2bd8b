"""Statements that wait for room at a member: who runs next, and who need not wait any longer.

Owns the order of those who wait: samples, urgency with a share of the turns for each class, tenants
by their weights (:mod:`rowanrail.scheduling.fair_share`), retries and deadlines. Says also for whom
a connection is opened; opens none.
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

# Every tenth start is a less urgent class's while more urgent ones wait. Its statements may belong
# to operations of several, which are lost with any of them, and its callers retry, which is more
# load if nothing of theirs ends. A ninth more waiting is far within what urgent callers bear.
TURNS_BETWEEN = 9
# Starts on idle connections for each opening that they may put off: an opening takes a slot for
# longer than most statements. So openings take at most a twelfth of the slots while work of the
# same urgency waits that needs none. A tenant without a connection is put off for about 0.1 s then,
# an eighth of a statement's usual time, if it is the only one.
REUSES_BETWEEN = 16
# The same for an opening that is put off by less urgent work: about 25 ms, a twentieth of what
# urgent callers aim at; openings may take a quarter of the slots for it.
URGENT_REUSES_BETWEEN = 4
# Factor on both for a tenant of which connections are in use, which must itself have been put off
# so often: one of them is mostly released sooner, unless others pass theirs on to themselves.
COMING_BACK_FACTOR = 4
LATEST_STARTS = 64  # by which the part that each class has of the starts is told

FlowKey = tuple[int, str | None]  # urgency and tenant


def _flow_of(item: Queued) -> FlowKey:
    return (item.entry.urgency, item.entry.tenant)


@dataclass(frozen=True, slots=True)
class Pick(Generic[Waiting]):
    """Who is next.

    Parameters
    ----------
    item : Queued
    needs_opening : bool
        Whether a connection has to be opened for it; it waits on until that is there.
    """

    item: Waiting
    needs_opening: bool


@dataclass(frozen=True, slots=True)
class ConnectionSupply:
    """Which connections to the member there are.

    Parameters
    ----------
    idle : collection of str
        Tenants that have an idle one.
    may_open : callable
        Says whether one may be opened for a tenant of which somebody has waited since a moment.
    may_come_back : callable
        Says whether one of a tenant is in use, and will be free again.
    """

    idle: Collection[str]
    may_open: Callable[[str | None, float], bool] = lambda tenant, since: False
    may_come_back: Callable[[str], bool] = lambda tenant: False

    def has_idle(self, tenant: str | None) -> bool:
        """Return whether a tenant has an idle one; anybody's will do for None."""
        return tenant in self.idle or (tenant is None and bool(self.idle))


class WorkQueue(Generic[Waiting]):
    """Those who wait at one member.

    Samples run first, since all reads wait for one. Then comes the most urgent class; among its
    tenants the one that had least of its share, and of that one's entries the earliest deadline.

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
        self._places: dict[
            int, QueuePosition[Waiting]
        ] = {}  # by the identity of what stands there, in order
        self._tenants: Counter[str | None] = Counter()
        self._numbers = 0
        self._reuses = 0  # starts since the last opening
        self._put_off: Counter[FlowKey] = Counter()  # times since a tenant's last start
        self._parts: dict[int, float] = defaultdict(float)  # of the latest starts, by urgency

    def __len__(self) -> int:
        return len(self._places)

    def __iter__(self) -> Iterator[Waiting]:
        return (place.item for place in self._places.values())

    @property
    def lengths(self) -> dict[int, int]:
        """How many wait, by urgency."""
        return {urgency: len(known) for urgency, known in self._classes.items()}

    @property
    def oldest(self) -> float | None:
        """Moment since which the first of those who came has waited."""
        first = next(iter(self._places.values()), None)
        return None if first is None else first.since

    def count_waiting(self, tenant: str | None) -> int:
        """Return how many want a connection of a tenant."""
        return self._tenants[tenant]

    def add(self, item: Waiting, now: float) -> None:
        """Put somebody in."""
        self._numbers += 1
        place = QueuePosition(item, now, self._numbers)
        self._places[id(item)] = place
        self._tenants[item.entry.tenant] += 1
        self._classes.setdefault(item.entry.urgency, FairShare()).add(place)

    def remove(self, item: Waiting) -> bool:
        """Forget somebody; return whether it was there."""
        place = self._take(item)
        if place is None:
            return False
        self._classes[item.entry.urgency].remove(place)
        return True

    def _take(self, item: Waiting) -> QueuePosition[Waiting] | None:
        place = self._places.pop(id(item), None)
        if place is not None:
            self._tenants[item.entry.tenant] -= 1
        return place

    def start(self, item: Waiting) -> None:
        """Take somebody out who runs now: it counts against its tenant's and its class's share."""
        place = self._take(item)
        if place is None:
            return
        urgency = item.entry.urgency
        self._reuses += 1
        self._put_off.pop(_flow_of(item), None)
        self._note_part(urgency)
        self._classes[urgency].start(place)
        self._classes[urgency].passed_over = 0
        if urgency < 0:
            return  # samples serve all classes
        for other, known in self._classes.items():
            if other > urgency:
                known.passed_over = known.passed_over + 1 if known.is_waiting else 0

    def _note_part(self, urgency: int) -> None:
        for known in self._parts:
            self._parts[known] -= self._parts[known] / LATEST_STARTS
        self._parts[urgency] += 1 / LATEST_STARTS

    def next(self, supply: ConnectionSupply, only_samples: bool = False) -> Pick[Waiting] | None:
        """Return who runs next, or for whom a connection is opened next; None if nobody can.

        Somebody for whom a connection is idle goes before one that needs an opening, up to a bound.

        Parameters
        ----------
        supply : ConnectionSupply
        only_samples : bool
            Whether there is room for samples only.
        """
        opening: QueuePosition[Waiting] | None = None
        for place in self._in_order(only_samples):
            tenant = place.item.entry.tenant
            if supply.has_idle(tenant):
                if opening is not None and self._is_due(opening, place, supply):
                    break
                if opening is not None:
                    self._put_off[_flow_of(opening.item)] += 1
                return Pick(place.item, needs_opening=False)
            if opening is None and supply.may_open(tenant, place.since):
                opening = place
        if opening is None:
            return None
        self._reuses = 0
        return Pick(opening.item, needs_opening=True)

    def _is_due(
        self,
        opening: QueuePosition[Waiting],
        other: QueuePosition[Waiting],
        supply: ConnectionSupply,
    ) -> bool:
        """Return whether an opening is put off no longer for another that needs none."""
        is_more_urgent = opening.item.entry.urgency < other.item.entry.urgency
        bound = URGENT_REUSES_BETWEEN if is_more_urgent else REUSES_BETWEEN
        if supply.may_come_back(opening.item.entry.tenant or ""):
            put_off = self._put_off[_flow_of(opening.item)]
            return put_off >= COMING_BACK_FACTOR * bound <= self._reuses
        return self._reuses >= bound

    def _in_order(self, only_samples: bool) -> Iterator[QueuePosition[Waiting]]:
        """Return the first entry of each tenant in each class."""
        for known in self._in_turn(only_samples):
            yield from known.heads()

    def _in_turn(self, only_samples: bool) -> list[FairShare[Waiting]]:
        """Return classes that wait: one that was passed over for long, then by urgency."""
        waiting = sorted(urgency for urgency, known in self._classes.items() if known.is_waiting)
        if only_samples:
            return [self._classes[urgency] for urgency in waiting if urgency < 0]

        def order(urgency: int) -> tuple[bool, int, int]:
            passed_over = self._classes[urgency].passed_over
            turn = passed_over if passed_over >= TURNS_BETWEEN else 0
            return (urgency >= 0, -turn, urgency)

        return [self._classes[urgency] for urgency in sorted(waiting, key=order)]

    def past_deadline(self, now: float, run_time: float = 0.0) -> list[Waiting]:
        """Return those for whom :func:`is_past_deadline` is true."""
        return [item for item in self if is_past_deadline(item.entry, now, run_time)]

    def ahead_of(self, entry: QueueEntry, needs_opening: bool = False) -> float:
        """Return about how many run before an entry that comes now, or waits already.

        All that are more urgent do, those of its own urgency by their tenants' shares, and of the
        less urgent their share of the turns; and while these run, more urgent ones come. An entry
        that needs an opening is put off for some starts more.
        """
        own = more_urgent = less_urgent = 0.0
        for urgency, known in self._classes.items():
            if urgency < entry.urgency:
                more_urgent += len(known)
            elif urgency == entry.urgency:
                own += known.ahead_of(entry)
            else:
                less_urgent += len(known)
        ahead = own + more_urgent
        ahead += min(less_urgent, ahead // TURNS_BETWEEN)
        ahead /= max(1 / (TURNS_BETWEEN + 1), 1 - self._more_urgent_part(entry.urgency))
        if needs_opening:
            ahead += min(len(self), URGENT_REUSES_BETWEEN)
        return min(ahead, own + (own + 1) * TURNS_BETWEEN)  # its class keeps its turns

    def _more_urgent_part(self, urgency: int) -> float:
        """Return which part of the latest starts was of more urgent classes."""
        known = sum(self._parts.values())
        more_urgent = sum(part for other, part in self._parts.items() if 0 <= other < urgency)
        return more_urgent / known if known else 0.0
