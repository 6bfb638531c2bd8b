"""Statements that wait for room at a member: who runs next, and who need not wait any longer.

Tenants of one urgency share the member by their weights, by start-time fair queueing: each start
puts a tenant's tag forward by 1 / weight, and the one with the smallest tag is next. A tenant's
rush stands behind its own tag.
"""

import bisect
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

__all__ = ["Entry", "Pick", "Queued", "WorkQueue", "is_hopeless", "tenant_weight"]

# Every tenth start is a less urgent class's while more urgent ones wait. Its statements may belong
# to operations of several, which are lost with any of them, and its callers come back as more load
# if nothing of theirs ends. A ninth more waiting is far within what urgent callers bear.
TURNS_BETWEEN = 9
# Of an entry's own time: for so long it may be passed over by entries of the same urgency for which
# a connection is idle, as one that is opened takes a slot for about a statement's time. With up to
# five statements an operation keeps half of its time if each of them is passed over.
REUSE_SHARE = 0.1
LONGEST_REUSE = 100.0  # ms, where an entry's time has no bound that the queue knows
# Of an entry's own time: at most so much is set aside for its run, so that one that has just come
# is never hopeless, however slow the member was of late.
LONGEST_RUN_SHARE = 0.25
LATEST_STARTS = 64  # by which the part that each class has of the starts is told
WEIGHT_STEP = 2.0  # factor between tenants of neighbouring priorities
LOWEST_WEIGHT = 1 / 16  # a tenant's wait stays bounded, whatever its priority


@dataclass(frozen=True, slots=True)
class Entry:
    """A statement that waits for room at one member.

    Parameters
    ----------
    urgency : int
        Priority of its route, 0 for the most urgent; the system's own samples have -1.
    tenant : str or None
        Whose connection it needs; None if anybody's will do, "" where connections belong to nobody.
    arrived : float
        Milliseconds on the steady clock at which it came.
    deadline : float
        Milliseconds on the steady clock after which its answer would come too late.
    weight : float
        Share of its tenant among tenants of the same urgency.
    returned : bool
        Whether its client was turned away a moment ago and has come back as it was told.
    """

    urgency: int
    tenant: str | None
    arrived: float
    deadline: float = float("inf")
    weight: float = 1.0
    returned: bool = False


def tenant_weight(priority: int) -> float:
    """Return the share of a tenant, by its priority, among those of one urgency.

    Examples
    --------
    >>> [tenant_weight(priority) for priority in (0, 1, 2, 9)]
    [1.0, 0.5, 0.25, 0.0625]
    """
    return max(LOWEST_WEIGHT, WEIGHT_STEP**-priority)


def is_hopeless(entry: Entry, now: float, run_time: float) -> bool:
    """Return whether an entry's answer would come too late if it were sent now.

    Parameters
    ----------
    entry : Entry
    now : float
        Steady milliseconds.
    run_time : float
        Milliseconds from sending a statement to its answer.

    Examples
    --------
    >>> entry = Entry(0, "", arrived=0.0, deadline=800.0)
    >>> is_hopeless(entry, 700.0, 90.0), is_hopeless(entry, 700.0, 110.0)
    (False, True)
    """
    run_time = min(run_time, LONGEST_RUN_SHARE * (entry.deadline - entry.arrived))
    return entry.deadline < now + run_time


class Queued(Protocol):
    """What stands in a queue."""

    @property
    def entry(self) -> Entry:
        """How it stands there."""


T = TypeVar("T", bound=Queued)


@dataclass(frozen=True, slots=True)
class Pick(Generic[T]):
    """Who is next.

    Parameters
    ----------
    item : Queued
    needs_opening : bool
        Whether a connection has to be opened for it; it waits on until that is there.
    """

    item: T
    needs_opening: bool


@dataclass(frozen=True, slots=True)
class _Place(Generic[T]):
    """A place among the entries of one tenant and urgency."""

    item: T
    since: float
    number: int

    @property
    def order(self) -> tuple[bool, float, int]:
        entry = self.item.entry
        return (not entry.returned, entry.deadline, self.number)


@dataclass(slots=True)
class _Flow(Generic[T]):
    """The entries of one tenant in one class, and its tag."""

    places: list[_Place[T]]
    tag: float


class _Class(Generic[T]):
    """The entries of one urgency."""

    def __init__(self) -> None:
        self.flows: dict[str | None, _Flow[T]] = {}
        self.passed_over = 0
        self._virtual = 0.0

    def __len__(self) -> int:
        return sum(len(flow.places) for flow in self.flows.values())

    @property
    def is_waiting(self) -> bool:
        return any(flow.places for flow in self.flows.values())

    def add(self, place: _Place[T]) -> None:
        tenant = place.item.entry.tenant
        flow = self.flows.get(tenant)
        if flow is None:
            flow = self.flows[tenant] = _Flow([], self._virtual)
        elif not flow.places:
            flow.tag = max(flow.tag, self._virtual)  # nothing is saved up while it has no work
        bisect.insort(flow.places, place, key=lambda place: place.order)

    def heads(self) -> list[_Place[T]]:
        """Return the first entry of each tenant, in the order in which they should run."""
        waiting = [flow for flow in self.flows.values() if flow.places]
        waiting.sort(key=self._order)
        return [flow.places[0] for flow in waiting]

    def _order(self, flow: _Flow[T]) -> tuple[bool, float, float, int]:
        head = flow.places[0]
        entry = head.item.entry
        # One that came back goes first, but not by taking more than its tenant's share.
        is_within_share = flow.tag <= self._virtual
        return (not (entry.returned and is_within_share), flow.tag, entry.deadline, head.number)

    def start(self, place: _Place[T]) -> None:
        """Note that an entry runs."""
        entry = place.item.entry
        flow = self.flows[entry.tenant]
        flow.places.remove(place)
        self._virtual = max(self._virtual, flow.tag)
        flow.tag += 1 / entry.weight
        self._forget()

    def remove(self, place: _Place[T]) -> None:
        flow = self.flows[place.item.entry.tenant]
        flow.places.remove(place)
        self._forget()

    def _forget(self) -> None:
        """Forget tenants without work whose tag means nothing any more."""
        if not self.is_waiting:
            self.flows.clear()
            return
        done = [name for name, flow in self.flows.items() if self._is_done(flow)]
        for name in done:
            del self.flows[name]

    def _is_done(self, flow: _Flow[T]) -> bool:
        return not flow.places and flow.tag <= self._virtual

    def ahead_of(self, entry: Entry) -> float:
        """Return about how many of the class run before an entry that comes now."""
        flow = self.flows.get(entry.tenant)
        own = [place for place in flow.places if _is_before(place, entry)] if flow else []
        turns = (len(own) + 1) / entry.weight
        tag = max(flow.tag, self._virtual) if flow else self._virtual
        ahead = float(len(own))
        for tenant, other in self.flows.items():
            if tenant == entry.tenant or not other.places:
                continue
            weight = other.places[0].item.entry.weight
            share = (tag + turns - other.tag) * weight
            ahead += min(len(other.places), max(0.0, share))
        return ahead


def _is_before(place: _Place[T], entry: Entry) -> bool:
    if place.item.entry is entry:
        return False  # its own place
    return place.order[:2] <= (not entry.returned, entry.deadline)


class WorkQueue(Generic[T]):
    """Those who wait at one member.

    Samples run first, since all reads wait for one. Then comes the most urgent class; among its
    tenants the one that had least of its share, and of that one's entries the earliest deadline.

    Examples
    --------
    >>> @dataclass(frozen=True)
    ... class Statement:
    ...     name: str
    ...     entry: Entry
    >>> queue = WorkQueue()
    >>> for number in range(3):
    ...     queue.add(Statement(f"rush {number}", Entry(1, "large", 0.0)), 0.0)
    >>> queue.add(Statement("small", Entry(1, "small", 1.0)), 1.0)
    >>> queue.add(Statement("urgent", Entry(0, "large", 2.0)), 2.0)
    >>> order = []
    >>> while (pick := queue.next(3.0, {"large", "small"})) is not None:
    ...     order.append(pick.item.name)
    ...     queue.start(pick.item)
    >>> order
    ['urgent', 'rush 0', 'small', 'rush 1', 'rush 2']
    """

    def __init__(self) -> None:
        self._classes: dict[int, _Class[T]] = {}
        self._places: dict[int, _Place[T]] = {}  # by the identity of what stands there, in order
        self._tenants: Counter[str | None] = Counter()
        self._numbers = 0
        self._parts: dict[int, float] = defaultdict(float)  # of the latest starts, by urgency

    def __len__(self) -> int:
        return len(self._places)

    def __iter__(self) -> Iterator[T]:
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

    def waiting_of(self, tenant: str | None) -> int:
        """Return how many want a connection of a tenant."""
        return self._tenants[tenant]

    def add(self, item: T, now: float) -> None:
        """Put somebody in."""
        self._numbers += 1
        place = _Place(item, now, self._numbers)
        self._places[id(item)] = place
        self._tenants[item.entry.tenant] += 1
        self._classes.setdefault(item.entry.urgency, _Class()).add(place)

    def remove(self, item: T) -> bool:
        """Forget somebody; return whether it was there."""
        place = self._take(item)
        if place is None:
            return False
        self._classes[item.entry.urgency].remove(place)
        return True

    def _take(self, item: T) -> _Place[T] | None:
        place = self._places.pop(id(item), None)
        if place is not None:
            self._tenants[item.entry.tenant] -= 1
        return place

    def start(self, item: T) -> None:
        """Take somebody out who runs now: it counts against its tenant's and its class's share."""
        place = self._take(item)
        if place is None:
            return
        urgency = item.entry.urgency
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

    def next(
        self,
        now: float,
        idle: Collection[str],
        may_open: Callable[[str | None, float], bool] = lambda tenant, since: False,
        only_samples: bool = False,
    ) -> Pick[T] | None:
        """Return who runs next, or for whom a connection is opened next; None if nobody can.

        Parameters
        ----------
        now : float
            Steady milliseconds.
        idle : collection of str
            Tenants that have an idle connection.
        may_open : callable
            Says whether one may be opened for a tenant of which somebody has waited since a moment.
        only_samples : bool
            Whether there is room for samples only.
        """
        for known in self._in_turn(only_samples):
            pick = self._next_of(known, now, idle, may_open)
            if pick is not None:
                return pick
        return None

    def _in_turn(self, only_samples: bool) -> list[_Class[T]]:
        """Return classes that wait: one that was passed over for long, then by urgency."""
        waiting = sorted(urgency for urgency, known in self._classes.items() if known.is_waiting)
        if only_samples:
            return [self._classes[urgency] for urgency in waiting if urgency < 0]

        def order(urgency: int) -> tuple[bool, int, int]:
            passed_over = self._classes[urgency].passed_over
            is_due = passed_over >= TURNS_BETWEEN
            return (urgency >= 0, -passed_over if is_due else 0, urgency)

        return [self._classes[urgency] for urgency in sorted(waiting, key=order)]

    def _next_of(
        self,
        known: _Class[T],
        now: float,
        idle: Collection[str],
        may_open: Callable[[str | None, float], bool],
    ) -> Pick[T] | None:
        """Return the next of a class; one with an idle connection, unless another has waited."""
        opening: Pick[T] | None = None
        for head in known.heads():
            tenant = head.item.entry.tenant
            if tenant in idle or (tenant is None and idle):
                return Pick(head.item, needs_opening=False)
            if opening is None and may_open(tenant, head.since):
                opening = Pick(head.item, needs_opening=True)
                if now - head.since >= _reuse_bound(head):
                    return opening
        return opening

    def hopeless(self, now: float, run_time: float = 0.0) -> list[T]:
        """Return those for whom :func:`is_hopeless` is true."""
        return [item for item in self if is_hopeless(item.entry, now, run_time)]

    def ahead_of(self, entry: Entry) -> float:
        """Return about how many run before an entry that comes now, or waits already.

        All that are more urgent do, those of its own urgency by their tenants' shares, and of the
        less urgent their share of the turns; and while these run, more urgent ones come.
        """
        ahead = 0.0
        less_urgent = 0
        for urgency, known in self._classes.items():
            if urgency < entry.urgency:
                ahead += len(known)
            elif urgency == entry.urgency:
                ahead += known.ahead_of(entry)
            else:
                less_urgent += len(known)
        ahead += min(less_urgent, ahead // TURNS_BETWEEN)
        return ahead / max(1 / (TURNS_BETWEEN + 1), 1 - self._more_urgent_part(entry.urgency))

    def _more_urgent_part(self, urgency: int) -> float:
        """Return which part of the latest starts was of more urgent classes."""
        return sum(part for other, part in self._parts.items() if 0 <= other < urgency)


def _reuse_bound(place: _Place[T]) -> float:
    """Return how long an entry may be passed over by others that need no opening."""
    entry = place.item.entry
    return min(LONGEST_REUSE, REUSE_SHARE * (entry.deadline - entry.arrived))
