"""Exchange of tenants' demand between gateways, for quotas of the whole fleet.

One gateway of a region, the aggregator, sums the reports of the region's gateways and exchanges the
sums with the aggregators of other regions. Statements never wait for it: quotas are decided by what
is known. A report has all counts of a window, so that a lost report or a new aggregator causes no
lasting error.

Owns the schedule of reports. Relies on ``tenants`` for the counts and sums, and on
:mod:`neighbours` and :mod:`detours` for the choice of the aggregators.
"""

import secrets

import msgspec

from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.holder_choice import HeldLocally, HeldRemotely, NoHolder
from rowanrail.gateway.relay.link import Outcome, TotalsReceived
from rowanrail.gateway.relay.messages import DemandReport
from rowanrail.gateway.relay.neighbours import Neighbours
from rowanrail.kernel.clock import Clock
from rowanrail.placement.hashed import DEMAND_AGGREGATOR
from rowanrail.tenants.demand import DemandAggregator
from rowanrail.tenants.quota import QuotaLimiter
from rowanrail.tenants.tenant_counters import REPORT_INTERVAL_MS

__all__ = ["DemandExchange"]

# Interval between checks for a burst, which is reported early. A burst of four times a limit uses
# up the tolerance beyond it in 0.3 s; two regions learn of it after two checks and 40 ms.
BURST_CHECK_MS = 75.0
INCARNATION_BYTES = 4  # two incarnations within 8 s collide with probability 1 in 4e9


class DemandExchange:
    """Reports this gateway's demand, and sums that of its region if it is the aggregator.

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
    limiter : QuotaLimiter
        Counts the demand at this gateway, and enforces quotas.
    aggregator : DemandAggregator
        Sums the reports of other gateways.
    """

    def __init__(
        self,
        name: str,
        region: str,
        clock: Clock,
        neighbours: Neighbours,
        detours: Detours,
        limiter: QuotaLimiter,
        aggregator: DemandAggregator,
    ) -> None:
        self._incarnation = f"{name} {secrets.token_hex(INCARNATION_BYTES)}"
        self._region = region
        self._clock = clock
        self._neighbours = neighbours
        self._detours = detours
        self._limiter = limiter
        self._aggregator = aggregator
        self._due_at = clock.now + REPORT_INTERVAL_MS

    def start(self) -> None:
        """Start the periodic reports."""
        self._clock.call_in(BURST_CHECK_MS, self._tick)

    def _tick(self) -> None:
        is_due = self._clock.now >= self._due_at
        if self._limiter.has_limits and (
            is_due or self._limiter.has_burst or self._aggregator.has_burst
        ):
            self._due_at = self._clock.now + REPORT_INTERVAL_MS
            self._report(is_early=self._limiter.has_burst)
        self._clock.call_in(BURST_CHECK_MS, self._tick)

    def _report(self, is_early: bool) -> None:
        report = msgspec.structs.replace(self._limiter.report(), is_early=is_early)
        match self._neighbours.hashed_holder(DEMAND_AGGREGATOR):
            case HeldLocally():
                self._aggregator.record_gateway(self._incarnation, report)
                self._limiter.set_fleet_totals(self._aggregator.fleet_totals())
                self._report_to_regions()
            case HeldRemotely(link=link):
                message = DemandReport(link.next_call_id(), self._incarnation, report)
                link.request(message, self._on_outcome, may_persist=False)
            case NoHolder():
                pass  # the limiter sees by the age of its data that no aggregator is reached

    def forward_to_aggregator(self, message: DemandReport) -> None:
        """Forward another region's report to the aggregator of this region.

        Other regions know only a few gateways of this one, and send reports to the first that they
        reach. During a network partition that may not be the aggregator.
        """
        if message.is_forwarded:
            return  # two gateways that take each other for the aggregator would loop
        holder = self._neighbours.hashed_holder(DEMAND_AGGREGATOR)
        if isinstance(holder, HeldRemotely):
            link = holder.link
            forwarded = msgspec.structs.replace(
                message, call=link.next_call_id(), is_forwarded=True
            )
            link.request(forwarded, lambda outcome: None, may_persist=False)

    def _on_outcome(self, outcome: Outcome) -> None:
        if isinstance(outcome, TotalsReceived):
            self._limiter.set_fleet_totals(outcome.fleet)

    def _report_to_regions(self) -> None:
        report = self._aggregator.take_region_totals()
        for group in self._detours.groups:
            holder = self._detours.hashed_holder_in(group, DEMAND_AGGREGATOR)
            if isinstance(holder, HeldRemotely):
                link = holder.link
                message = DemandReport(link.next_call_id(), self._region, report, is_region=True)
                link.request(message, lambda outcome: None, may_persist=False)
