"""Fair sharing between tenants among the entries of one urgency.

Implements start-time fair queueing: each start advances the tenant's tag by 1 / weight, and the
tenant with the smallest tag is next, so that a tenant's burst delays mainly that tenant.
"""

import bisect
from dataclasses import dataclass
from typing import Generic

from rowanrail.scheduling.entry import QueueEntry, Waiting

__all__ = ["FairShare", "Flow", "QueuePosition"]


@dataclass(frozen=True, slots=True, eq=False)
class QueuePosition(Generic[Waiting]):
    """Position of an item among those of its tenant and urgency.

    Parameters
    ----------
    item : Queued
    since : float
        Time in milliseconds at which it was added.
    number : int
        Sequence number of its addition.
    """

    item: Waiting
    since: float
    number: int

    @property
    def order(self) -> tuple[bool, float, int]:
        """Sort key within its tenant: retrying clients first, then by deadline."""
        entry = self.item.entry
        return (not entry.is_retrying, entry.deadline, self.number)


@dataclass(slots=True)
class Flow(Generic[Waiting]):
    """The waiting entries of one tenant, in order, and the tenant's start tag."""

    positions: list[QueuePosition[Waiting]]
    tag: float


class FairShare(Generic[Waiting]):
    """The entries of one urgency, ordered by start-time fair queueing of their tenants."""

    def __init__(self) -> None:
        self.flows: dict[str | None, Flow[Waiting]] = {}
        self.passed_over = 0
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(len(flow.positions) for flow in self.flows.values())

    @property
    def is_waiting(self) -> bool:
        """Whether any entry waits."""
        return any(flow.positions for flow in self.flows.values())

    def add(self, position: QueuePosition[Waiting]) -> None:
        """Insert an entry among those of its tenant."""
        tenant = position.item.entry.tenant
        flow = self.flows.get(tenant)
        if flow is None:
            flow = self.flows[tenant] = Flow([], self._virtual_time)
        elif not flow.positions:
            flow.tag = max(flow.tag, self._virtual_time)  # an idle tenant accumulates no credit
        bisect.insort(flow.positions, position, key=lambda position: position.order)

    def heads(self) -> list[QueuePosition[Waiting]]:
        """Return the first entry of each tenant, in the order in which they should run."""
        waiting = [flow for flow in self.flows.values() if flow.positions]
        waiting.sort(key=self._order)
        return [flow.positions[0] for flow in waiting]

    def _order(self, flow: Flow[Waiting]) -> tuple[bool, float, float, int]:
        head = flow.positions[0]
        entry = head.item.entry
        # A retrying client goes first, but only within its tenant's share.
        is_within_share = flow.tag <= self._virtual_time
        return (not (entry.is_retrying and is_within_share), flow.tag, entry.deadline, head.number)

    def start(self, position: QueuePosition[Waiting]) -> None:
        """Remove an entry that starts to run, and charge its tenant."""
        entry = position.item.entry
        flow = self.flows[entry.tenant]
        flow.positions.remove(position)
        self._virtual_time = max(self._virtual_time, flow.tag)
        flow.tag += 1 / entry.weight
        self._remove_idle_flows()

    def remove(self, position: QueuePosition[Waiting]) -> None:
        """Remove an entry that does not run."""
        flow = self.flows[position.item.entry.tenant]
        flow.positions.remove(position)
        self._remove_idle_flows()

    def _remove_idle_flows(self) -> None:
        """Remove the flows without entries whose tag no longer affects the order."""
        if not self.is_waiting:
            self.flows.clear()
            return
        idle = [name for name, flow in self.flows.items() if self._is_idle(flow)]
        for name in idle:
            del self.flows[name]

    def _is_idle(self, flow: Flow[Waiting]) -> bool:
        return not flow.positions and flow.tag <= self._virtual_time

    def ahead_of(self, entry: QueueEntry) -> float:
        """Return the estimated number of entries that run before one that is added now."""
        flow = self.flows.get(entry.tenant)
        own = (
            [position for position in flow.positions if _is_before(position, entry)] if flow else []
        )
        turns = (len(own) + 1) / entry.weight
        tag = max(flow.tag, self._virtual_time) if flow else self._virtual_time
        ahead = float(len(own))
        for tenant, other in self.flows.items():
            if tenant == entry.tenant or not other.positions:
                continue
            weight = other.positions[0].item.entry.weight
            share = (tag + turns - other.tag) * weight
            ahead += min(len(other.positions), max(0.0, share))
        return ahead


def _is_before(position: QueuePosition[Waiting], entry: QueueEntry) -> bool:
    if position.item.entry is entry:
        return False  # its own position
    return position.order[:2] <= (not entry.is_retrying, entry.deadline)
