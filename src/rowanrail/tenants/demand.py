"""Tenants' demand, summed over the gateways of a region and over all regions.

One gateway of a region aggregates the last report of each gateway and region; expired reports are
left out. The structs are encoded as arrays, so the order of their fields is fixed.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from rowanrail.kernel.clock import Clock

__all__ = ["Demand", "DemandAggregator", "DemandSummary"]

# A window, plus the 3 s after which a gateway without totals counts as isolated.
GATEWAY_REPORT_TTL_MS = 8000.0
# Longer than for a gateway, since an unreachable region still serves its clients.
REGION_REPORT_TTL_MS = 10000.0
# Three report intervals, after which the sender's rates are unknown.
STALE_MS = 1000.0


class Demand(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Numbers of operations of one tenant.

    Parameters
    ----------
    admitted : int
        Admitted in the last window.
    recently_admitted : int
        Admitted in the last second.
    recently_requested : int
        Requested in the last second, whether admitted or refused.
    expiring : int
        Expiring from the window within the next second.
    stale : int
        Admitted ones that are known only from stale reports.
    """

    admitted: int = 0
    recently_admitted: int = 0
    recently_requested: int = 0
    expiring: int = 0
    stale: int = 0

    def __add__(self, other: "Demand") -> "Demand":
        """Return the sum.

        Examples
        --------
        >>> Demand(5, 1, 2) + Demand(1, 1, 1)
        Demand(admitted=6, recently_admitted=2, recently_requested=3, expiring=0, stale=0)
        """
        return Demand(
            self.admitted + other.admitted,
            self.recently_admitted + other.recently_admitted,
            self.recently_requested + other.recently_requested,
            self.expiring + other.expiring,
            self.stale + other.stale,
        )

    def scaled(self, reporting_share: float) -> "Demand":
        """Return the demand extrapolated to the whole fleet, of which only a share reports.

        Gateways that don't report are assumed to admit as much as the others. All partitions of a
        network do so, and thus hold themselves to shares that add up to the limit.

        Examples
        --------
        >>> Demand(60, 10, 20, 8, stale=20).scaled(0.5)
        Demand(admitted=80, recently_admitted=20, recently_requested=40, expiring=16, stale=20)
        """
        extrapolated = (self.admitted - self.stale) / reporting_share
        return Demand(
            max(self.admitted, round(extrapolated)),
            round(self.recently_admitted / reporting_share),
            round(self.recently_requested / reporting_share),
            round(self.expiring / reporting_share),
            self.stale,
        )


class DemandSummary(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Demand of all tenants at one gateway, or at all gateways of a region.

    Parameters
    ----------
    tenants : dict of str to Demand
    gateways : int
        Number of gateways included whose reports are not stale.
    unknown_windows : float
        Sum of the unknown shares of their windows, from before the gateways started.
    is_early : bool
        Whether a burst of some tenant made it immediate.
    """

    tenants: dict[str, Demand]
    gateways: int = 1
    unknown_windows: float = 0.0
    is_early: bool = False

    @property
    def unknown_share(self) -> float:
        """Share of the last window of which nothing is known."""
        return self.unknown_windows / max(1, self.gateways)


class _ReceivedReport(NamedTuple):
    report: DemandSummary
    received_at: float


class DemandAggregator:
    """Sums the last reports of the gateways of this region and of the other regions.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._gateways: dict[str, _ReceivedReport] = {}
        self._regions: dict[str, _ReceivedReport] = {}
        self._has_burst = False

    @property
    def has_burst(self) -> bool:
        """Whether a gateway reported a burst that other regions don't know yet."""
        return self._has_burst

    def record_gateway(self, name: str, report: DemandSummary) -> None:
        """Record the report of a gateway of this region.

        Parameters
        ----------
        name : str
            Unique to each run of a gateway: what it admitted before a restart still counts.
        """
        self._has_burst = self._has_burst or report.is_early
        self._gateways[name] = _ReceivedReport(report, self._clock.now)

    def record_region(self, name: str, report: DemandSummary) -> None:
        """Record the report of another region."""
        self._regions[name] = _ReceivedReport(report, self._clock.now)

    def take_region_totals(self) -> DemandSummary:
        """Return the totals of this region for the others, and reset the burst flag."""
        self._has_burst = False
        return self.region_totals()

    def region_totals(self) -> DemandSummary:
        """Return the totals of this region."""
        self._gateways = self._unexpired(self._gateways, GATEWAY_REPORT_TTL_MS)
        return _sum(map(self._as_of_now, self._gateways.values()))

    def fleet_totals(self) -> DemandSummary:
        """Return the totals of all regions."""
        self._regions = self._unexpired(self._regions, REGION_REPORT_TTL_MS)
        return _sum([self.region_totals(), *map(self._as_of_now, self._regions.values())])

    def _as_of_now(self, received: _ReceivedReport) -> DemandSummary:
        """Return a report; of a stale one only the admitted operations, without rates."""
        if self._clock.now - received.received_at <= STALE_MS:
            return received.report
        tenants = received.report.tenants.items()
        stale = {name: Demand(demand.admitted, stale=demand.admitted) for name, demand in tenants}
        return DemandSummary(stale, gateways=0)

    def _unexpired(
        self, reports: dict[str, _ReceivedReport], ttl_ms: float
    ) -> dict[str, _ReceivedReport]:
        since = self._clock.now - ttl_ms
        return {name: report for name, report in reports.items() if report.received_at >= since}


def _sum(reports: Iterable[DemandSummary]) -> DemandSummary:
    tenants: dict[str, Demand] = {}
    gateways = 0
    unknown = 0.0
    for report in reports:
        gateways += report.gateways
        unknown += report.unknown_windows
        for tenant, demand in report.tenants.items():
            tenants[tenant] = tenants.get(tenant, _NO_DEMAND) + demand
    return DemandSummary(tenants, gateways, unknown)


_NO_DEMAND = Demand()
