"""What the gateways of a region, and the other regions, run for tenants: summed by one of them.

Owns the last report of each gateway and region with its age; what is older than its time is left
out of the sums. The order of the messages' fields is on the wire.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from rowanrail.kernel.clock import Clock

__all__ = ["Demand", "DemandBook", "Report"]

# A gateway's last report counts for a window, and for the 3 s before it counts as alone.
GATEWAY_MS = 8000.0
# Another region's counts for longer, since its clients go on where it is only cut off; twice
# the time for which regions lose each other on most days.
REGION_MS = 10000.0
# Three reports: after it nothing is known of how a count goes on, and the sender counts as silent.
STALE_MS = 1000.0


class Demand(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Operations of one tenant.

    Parameters
    ----------
    begun : int
        That began in the last window.
    begun_lately : int
        That began in the last second.
    asked_lately : int
        That were asked for in the last second, begun or refused.
    leaving : int
        That leave the window within the next second.
    silent : int
        Of those that began, what is known from gateways that are not heard any more.
    """

    begun: int = 0
    begun_lately: int = 0
    asked_lately: int = 0
    leaving: int = 0
    silent: int = 0

    def __add__(self, other: "Demand") -> "Demand":
        """Return the sum.

        Examples
        --------
        >>> Demand(5, 1, 2) + Demand(1, 1, 1)
        Demand(begun=6, begun_lately=2, asked_lately=3, leaving=0, silent=0)
        """
        return Demand(
            self.begun + other.begun,
            self.begun_lately + other.begun_lately,
            self.asked_lately + other.asked_lately,
            self.leaving + other.leaving,
            self.silent + other.silent,
        )

    def scaled(self, heard_share: float) -> "Demand":
        """Return the demand of the whole fleet, of which only a share is heard.

        Who is not heard is taken to run as much as the others: all sides of a split do so, and
        hold themselves to parts of a limit that add up to the limit.

        Examples
        --------
        >>> Demand(60, 10, 20, 8, silent=20).scaled(0.5)
        Demand(begun=80, begun_lately=20, asked_lately=40, leaving=16, silent=20)
        """
        heard = (self.begun - self.silent) / heard_share
        return Demand(
            max(self.begun, round(heard)),
            round(self.begun_lately / heard_share),
            round(self.asked_lately / heard_share),
            round(self.leaving / heard_share),
            self.silent,
        )


class Report(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What one gateway, or all of a region, run for tenants.

    Parameters
    ----------
    tenants : dict of str to Demand
    gateways : int
        How many gateways it speaks for that are still heard.
    unknown : float
        Of how many of their windows nothing is known, since they have started a short while ago.
    is_early : bool
        Whether it comes before its turn, since some tenant's demand has grown suddenly.
    """

    tenants: dict[str, Demand]
    gateways: int = 1
    unknown: float = 0.0
    is_early: bool = False

    @property
    def unknown_share(self) -> float:
        """Which share of the last window nothing is known of."""
        return self.unknown / max(1, self.gateways)


class _Heard(NamedTuple):
    report: Report
    at: float


class DemandBook:
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

    def note_gateway(self, name: str, report: Report) -> None:
        """Note what a gateway of this region runs for its clients.

        Parameters
        ----------
        name : str
            Another one for each life of a gateway: what it began before it ended still counts.
        """
        self._has_burst = self._has_burst or report.is_early
        self._gateways[name] = _Heard(report, self._clock.now)

    def note_region(self, name: str, report: Report) -> None:
        """Note what another region runs for its clients."""
        self._regions[name] = _Heard(report, self._clock.now)

    def tell_region(self) -> Report:
        """Return the sums of this region for the others, who know of each burst then."""
        self._has_burst = False
        return self.region()

    def region(self) -> Report:
        """Return the sums of this region."""
        self._gateways = self._since(self._gateways, GATEWAY_MS)
        return _sum(map(self._as_of_now, self._gateways.values()))

    def fleet(self) -> Report:
        """Return the sums of all regions."""
        self._regions = self._since(self._regions, REGION_MS)
        return _sum([self.region(), *map(self._as_of_now, self._regions.values())])

    def _as_of_now(self, heard: _Heard) -> Report:
        """Return a report; of an old one only what began, not how that goes on."""
        if self._clock.now - heard.at <= STALE_MS:
            return heard.report
        tenants = heard.report.tenants.items()
        silent = {name: Demand(demand.begun, silent=demand.begun) for name, demand in tenants}
        return Report(silent, gateways=0)

    def _since(self, known: dict[str, _Heard], age: float) -> dict[str, _Heard]:
        limit = self._clock.now - age
        return {name: heard for name, heard in known.items() if heard.at >= limit}


def _sum(reports: Iterable[Report]) -> Report:
    tenants: dict[str, Demand] = {}
    gateways = 0
    unknown = 0.0
    for report in reports:
        gateways += report.gateways
        unknown += report.unknown
        for tenant, demand in report.tenants.items():
            tenants[tenant] = tenants.get(tenant, _NONE) + demand
    return Report(tenants, gateways, unknown)


_NONE = Demand()
