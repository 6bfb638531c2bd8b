"""What the gateways of a region, and the other regions, run for tenants: summed by one of them.

Owns the last report of each gateway and region with its age; what is older than its time is left
out of the sums. The order of the messages' fields is on the wire.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from rowanrail.kernel.clock import Clock

__all__ = ["Demand", "DemandAggregator", "DemandSummary"]

# A gateway's last report counts for a window, and for the 3 s before it counts as alone.
GATEWAY_REPORT_TTL_MS = 8000.0
# Another region's counts for longer, since its clients go on where it is only cut off; twice
# the time for which regions lose each other on most days.
REGION_REPORT_TTL_MS = 10000.0
# Three reports: after it nothing is known of how a count goes on, and the sender counts as silent.
STALE_MS = 1000.0


class Demand(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Operations of one tenant.

    Parameters
    ----------
    admitted : int
        That began in the last window.
    recently_admitted : int
        That began in the last second.
    recently_requested : int
        That were asked for in the last second, begun or refused.
    expiring : int
        That leave the window within the next second.
    stale : int
        Of those that began, what is known from gateways that are not heard any more.
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
        """Return the demand of the whole fleet, of which only a share is heard.

        Who is not heard is taken to run as much as the others: all sides of a split do so, and
        hold themselves to parts of a limit that add up to the limit.

        Examples
        --------
        >>> Demand(60, 10, 20, 8, stale=20).scaled(0.5)
        Demand(admitted=80, recently_admitted=20, recently_requested=40, expiring=16, stale=20)
        """
        heard = (self.admitted - self.stale) / reporting_share
        return Demand(
            max(self.admitted, round(heard)),
            round(self.recently_admitted / reporting_share),
            round(self.recently_requested / reporting_share),
            round(self.expiring / reporting_share),
            self.stale,
        )


class DemandSummary(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What one gateway, or all of a region, run for tenants.

    Parameters
    ----------
    tenants : dict of str to Demand
    gateways : int
        How many gateways it speaks for that are still heard.
    unknown_windows : float
        Of how many of their windows nothing is known, since they have started a short while ago.
    is_early : bool
        Whether it comes before its turn, since some tenant's demand has grown suddenly.
    """

    tenants: dict[str, Demand]
    gateways: int = 1
    unknown_windows: float = 0.0
    is_early: bool = False

    @property
    def unknown_share(self) -> float:
        """Which share of the last window nothing is known of."""
        return self.unknown_windows / max(1, self.gateways)


class _Heard(NamedTuple):
    report: DemandSummary
    at: float


class DemandAggregator:
    """The last report of each gateway of the own region and of each other region.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._gateways: dict[str, _Heard] = {}
        self._regions: dict[str, _Heard] = {}
        self._has_burst = False

    @property
    def has_burst(self) -> bool:
        """Whether a gateway reported a burst that other regions have not heard of yet."""
        return self._has_burst

    def record_gateway(self, name: str, report: DemandSummary) -> None:
        """Note what a gateway of this region runs for its clients.

        Parameters
        ----------
        name : str
            Another one for each life of a gateway: what it began before it ended still counts.
        """
        self._has_burst = self._has_burst or report.is_early
        self._gateways[name] = _Heard(report, self._clock.now)

    def record_region(self, name: str, report: DemandSummary) -> None:
        """Note what another region runs for its clients."""
        self._regions[name] = _Heard(report, self._clock.now)

    def take_region_totals(self) -> DemandSummary:
        """Return the sums of this region for the others, who know of each burst then."""
        self._has_burst = False
        return self.region_totals()

    def region_totals(self) -> DemandSummary:
        """Return the sums of this region."""
        self._gateways = self._since(self._gateways, GATEWAY_REPORT_TTL_MS)
        return _sum(map(self._as_of_now, self._gateways.values()))

    def fleet_totals(self) -> DemandSummary:
        """Return the sums of all regions."""
        self._regions = self._since(self._regions, REGION_REPORT_TTL_MS)
        return _sum([self.region_totals(), *map(self._as_of_now, self._regions.values())])

    def _as_of_now(self, heard: _Heard) -> DemandSummary:
        """Return a report; of an old one only what began, not how that goes on."""
        if self._clock.now - heard.at <= STALE_MS:
            return heard.report
        tenants = heard.report.tenants.items()
        silent = {name: Demand(demand.admitted, stale=demand.admitted) for name, demand in tenants}
        return DemandSummary(silent, gateways=0)

    def _since(self, known: dict[str, _Heard], age: float) -> dict[str, _Heard]:
        limit = self._clock.now - age
        return {name: heard for name, heard in known.items() if heard.at >= limit}


def _sum(reports: Iterable[DemandSummary]) -> DemandSummary:
    tenants: dict[str, Demand] = {}
    gateways = 0
    unknown = 0.0
    for report in reports:
        gateways += report.gateways
        unknown += report.unknown_windows
        for tenant, demand in report.tenants.items():
            tenants[tenant] = tenants.get(tenant, _NONE) + demand
    return DemandSummary(tenants, gateways, unknown)


_NONE = Demand()
