"""How gateways learn what a tenant's clients ask for at all of them.

One gateway of a region, the meter, sums what the gateways of the region report and exchanges the
sums with the meters of the other regions. No statement waits for it: what is known decides. A
report is the whole count of a window, so that a lost one, or a meter that takes over, leaves
nothing wrong.

Owns when reports are due. Relies on ``tenants`` for the counts and the sums, and on
:mod:`neighbours` and :mod:`detours` for who sums them.
"""

import secrets

import msgspec

from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.holder_choice import HeldLocally, HeldRemotely, NoHolder
from rowanrail.gateway.relay.link import Counted, Outcome
from rowanrail.gateway.relay.messages import DemandReport
from rowanrail.gateway.relay.neighbours import Neighbours
from rowanrail.kernel.clock import Clock
from rowanrail.placement.hashed import DEMAND_AGGREGATOR
from rowanrail.tenants.demand import DemandAggregator
from rowanrail.tenants.quota import QuotaLimiter
from rowanrail.tenants.tenant_counters import REPORT_INTERVAL_MS

__all__ = ["Metering"]

# Between checks for a burst, which is reported before its turn. A burst of four times a limit fills
# what is tolerated beyond it in 0.3 s; two regions learn of it after two checks and 40 ms.
BURST_CHECK_MS = 75.0
INCARNATION_BYTES = 4  # two lives of a gateway within 8 s are alike once in 4e9


class Metering:
    """Reports this gateway's demand, and sums that of others where this gateway is the meter.

    Parameters
    ----------
    name : str
        Name of this gateway.
    region : str
        Its region.
    clock : Clock
        Time and timers.
    neighbours : Neighbours
        The gateways of the region.
    detours : Detours
        Gateways of other regions.
    guard : QuotaLimiter
        Counts here, and decides.
    book : DemandAggregator
        Sums what others reported to this gateway.
    """

    def __init__(
        self,
        name: str,
        region: str,
        clock: Clock,
        neighbours: Neighbours,
        detours: Detours,
        guard: QuotaLimiter,
        book: DemandAggregator,
    ) -> None:
        self._incarnation = f"{name} {secrets.token_hex(INCARNATION_BYTES)}"
        self._region = region
        self._clock = clock
        self._neighbours = neighbours
        self._detours = detours
        self._guard = guard
        self._book = book
        self._due_at = clock.now + REPORT_INTERVAL_MS

    def start(self) -> None:
        """Begin to report."""
        self._clock.call_in(BURST_CHECK_MS, self._tick)

    def _tick(self) -> None:
        is_due = self._clock.now >= self._due_at
        if self._guard.has_limits and (is_due or self._guard.has_burst or self._book.has_burst):
            self._due_at = self._clock.now + REPORT_INTERVAL_MS
            self._report(is_early=self._guard.has_burst)
        self._clock.call_in(BURST_CHECK_MS, self._tick)

    def _report(self, is_early: bool) -> None:
        report = msgspec.structs.replace(self._guard.report(), is_early=is_early)
        match self._neighbours.hashed_holder(DEMAND_AGGREGATOR):
            case HeldLocally():
                self._book.record_gateway(self._incarnation, report)
                self._guard.set_fleet_totals(self._book.fleet_totals())
                self._report_to_regions()
            case HeldRemotely(link=link):
                message = DemandReport(link.next_call_id(), self._incarnation, report)
                link.request(message, self._on_outcome, may_persist=False)
            case NoHolder():
                pass  # the guard sees by the age of what it knows that it is alone

    def forward_to_aggregator(self, message: DemandReport) -> None:
        """Pass on to the meter of this region what another region reported to this gateway.

        Other regions know of a few gateways of each region, and take the first that they reach for
        its meter. While the network is split that may be another one.
        """
        if message.is_forwarded:
            return  # two that take each other for the meter would go on for ever
        holder = self._neighbours.hashed_holder(DEMAND_AGGREGATOR)
        if isinstance(holder, HeldRemotely):
            link = holder.link
            passed_on = msgspec.structs.replace(
                message, call=link.next_call_id(), is_forwarded=True
            )
            link.request(passed_on, lambda outcome: None, may_persist=False)

    def _on_outcome(self, outcome: Outcome) -> None:
        if isinstance(outcome, Counted):
            self._guard.set_fleet_totals(outcome.fleet)

    def _report_to_regions(self) -> None:
        report = self._book.take_region_totals()
        for group in self._detours.groups:
            holder = self._detours.hashed_holder_in(group, DEMAND_AGGREGATOR)
            if isinstance(holder, HeldRemotely):
                link = holder.link
                message = DemandReport(link.next_call_id(), self._region, report, is_region=True)
                link.request(message, lambda outcome: None, may_persist=False)
