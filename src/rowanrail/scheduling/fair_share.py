"""Entries of one urgency, shared fairly between tenants.

Start-time fair queueing: each start puts a tenant's tag forward by 1 / weight, and the one with the
smallest tag is next. A tenant's burst stands behind its own tag.
"""

import bisect
from dataclasses import dataclass
from typing import Generic

from rowanrail.scheduling.entry import QueueEntry, Waiting

__all__ = ["FairShare", "Flow", "QueuePosition"]


@dataclass(frozen=True, slots=True, eq=False)
class QueuePosition(Generic[Waiting]):
    """A place among the entries of one tenant and urgency."""

    item: Waiting
    since: float
    number: int

    @property
    def order(self) -> tuple[bool, float, int]:
        """How it stands among those of its tenant: those that retry first, then by deadline."""
        entry = self.item.entry
        return (not entry.is_retrying, entry.deadline, self.number)


@dataclass(slots=True)
class Flow(Generic[Waiting]):
    """The entries of one tenant in one class, and its tag."""

    places: list[QueuePosition[Waiting]]
    tag: float


class FairShare(Generic[Waiting]):
    """The entries of one urgency, in the order in which their tenants' shares let them run."""

    def __init__(self) -> None:
        self.flows: dict[str | None, Flow[Waiting]] = {}
        self.passed_over = 0
        self._virtual = 0.0

    def __len__(self) -> int:
        return sum(len(flow.places) for flow in self.flows.values())

    @property
    def is_waiting(self) -> bool:
        """Whether anybody waits."""
        return any(flow.places for flow in self.flows.values())

    def add(self, place: QueuePosition[Waiting]) -> None:
        """Put an entry behind those of its tenant that go before it."""
        tenant = place.item.entry.tenant
        flow = self.flows.get(tenant)
        if flow is None:
            flow = self.flows[tenant] = Flow([], self._virtual)
        elif not flow.places:
            flow.tag = max(flow.tag, self._virtual)  # nothing is saved up while it has no work
        bisect.insort(flow.places, place, key=lambda place: place.order)

    def heads(self) -> list[QueuePosition[Waiting]]:
        """Return the first entry of each tenant, in the order in which they should run."""
        waiting = [flow for flow in self.flows.values() if flow.places]
        waiting.sort(key=self._order)
        return [flow.places[0] for flow in waiting]

    def _order(self, flow: Flow[Waiting]) -> tuple[bool, float, float, int]:
        head = flow.places[0]
        entry = head.item.entry
        # One that retries goes first, but not by taking more than its tenant's share.
        is_within_share = flow.tag <= self._virtual
        return (not (entry.is_retrying and is_within_share), flow.tag, entry.deadline, head.number)

    def start(self, place: QueuePosition[Waiting]) -> None:
        """Note that an entry runs."""
        entry = place.item.entry
        flow = self.flows[entry.tenant]
        flow.places.remove(place)
        self._virtual = max(self._virtual, flow.tag)
        flow.tag += 1 / entry.weight
        self._forget()

    def remove(self, place: QueuePosition[Waiting]) -> None:
        """Forget an entry that doesn't run."""
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

    def _is_done(self, flow: Flow[Waiting]) -> bool:
        return not flow.places and flow.tag <= self._virtual

    def ahead_of(self, entry: QueueEntry) -> float:
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


def _is_before(place: QueuePosition[Waiting], entry: QueueEntry) -> bool:
    if place.item.entry is entry:
        return False  # its own place
    return place.order[:2] <= (not entry.is_retrying, entry.deadline)
