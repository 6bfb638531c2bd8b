"""Limits tenants to their quota over all gateways by admitting a fraction of their requests.

Each gateway counts the requests and admissions of its own clients and receives the fleet's totals a
few times a second. From the totals it computes the fraction of requests to admit so that the
window's count converges to the limit within ``CONVERGENCE_MS``: all requests far below the limit,
and at the limit as many as expire from the window. Every gateway computes the same fraction from
the same totals, so the limit is not divided among gateways and clients may use any of them.

A network partition splits the totals. A gateway knows the number of gateways from the directory
and the number of those that report from the totals, and assumes that the others admit as much as
those that report. The partitions together stay at the limit, whatever each of them admits, and
neither an aggregator nor a gateway has to remember anything.

A share of the limit for each gateway by its share of the demand does not work: with 58 gateways it
was often below one operation, and clients were refused at half of the limit.
"""

import math
from dataclasses import dataclass

from rowanrail.kernel.clock import Clock
from rowanrail.tenants.demand import Demand, DemandSummary
from rowanrail.tenants.model import Tenant, Tenants
from rowanrail.tenants.quota_parameters import URGENT_MARGIN, USED_MARGIN, QuotaParameters
from rowanrail.tenants.tenant_counters import RATE_WINDOW_MS, TenantCounters, TenantUsage

__all__ = ["QuotaExceeded", "QuotaLimiter"]

# For how long partial totals are ignored after complete ones: two reports, within which a new
# aggregator hears from all gateways.
PARTIAL_TOTALS_GRACE_MS = 700.0
# Age of the totals while a tenant's demand grows: two burst checks and the delay between regions.
# Totals may otherwise be up to 600 ms old, but change little then.
TOTALS_DELAY_MS = 300.0
# Time in which the count converges to the limit. A longer time refuses requests well below the
# limit; a shorter one makes the count oscillate.
CONVERGENCE_MS = 500.0
# Age of the totals after which a gateway counts as isolated. Shorter than the time for which other
# gateways count its last report, so that its share is not used twice.
ISOLATED_AFTER_MS = 3000.0
# Share of a target that an isolated gateway admits, plus a minimum of operations that keeps small
# tenants running. Three isolated gateways stay within the tolerated excess.
ISOLATED_SHARE = 0.01
ISOLATED_MINIMUM = 2.0
UNKNOWN_TOLERANCE = 0.2  # share of a window: what expires from a window of 5 s in one second
# Share of gateways that report while the network is whole: some are always restarting, and the
# last reports from before their restart still count.
COMPLETE_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class QuotaExceeded:
    """Why an operation was refused.

    Parameters
    ----------
    limit : float
        Operations of the tenant in a window.
    fleet_admitted : int
        Operations that all reporting gateways admitted in the last window.
    fleet_requested : int
        Operations that were requested at all reporting gateways in the last second.
    admitted_fraction : float
        Fraction of the requests that may be admitted.
    totals_age : float
        Milliseconds since the fleet's totals were last received.
    reporting_share : float
        Share of the fleet's gateways that report.
    """

    limit: float
    fleet_admitted: int
    fleet_requested: int
    admitted_fraction: float
    totals_age: float
    reporting_share: float = 1.0

    @property
    def retry_after(self) -> float:
        """Milliseconds until about one in two retries is admitted."""
        return min(MAXIMUM_RETRY_MS, CONVERGENCE_MS / max(self.admitted_fraction, 0.01) / 2)


MAXIMUM_RETRY_MS = 3000.0  # more than half of a window has expired by then


def admitted_fraction(fleet: Demand, target: float, unknown: float = 0.0) -> float:
    """Return the fraction of requests to admit; 1 or more for all.

    Parameters
    ----------
    fleet : Demand
        Totals of all gateways, ``TOTALS_DELAY_MS`` old.
    target : float
        Operations in a window.
    unknown : float
        Operations that may have been admitted unseen before gateways restarted.

    Examples
    --------
    At the limit as many are admitted as expire from the window, here a third of the requests:

    >>> round(admitted_fraction(Demand(500, 100, 300, 100), 500), 2)
    0.33
    >>> admitted_fraction(Demand(300, 60, 60, 60), 500) > 1
    True
    """
    expiring = fleet.expiring / RATE_WINDOW_MS
    growth = fleet.recently_admitted / RATE_WINDOW_MS - expiring
    admitted_now = fleet.admitted + TOTALS_DELAY_MS * growth + unknown
    admissible = expiring + (target - admitted_now) / CONVERGENCE_MS
    requested = fleet.recently_requested / RATE_WINDOW_MS
    return max(0.0, admissible / requested) if requested else 1.0


class QuotaLimiter:
    """Counts a gateway's operations by tenant and decides which to admit.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    parameters : QuotaParameters
        Window and tolerance of the limits.
    """

    def __init__(self, clock: Clock, parameters: QuotaParameters) -> None:
        self._clock = clock
        self._parameters = parameters
        self._tenants = Tenants()
        self._counts: dict[str, TenantCounters] = {}
        self._started_at = self._totals_at = clock.now
        self._unknown_share = 0.0
        self._population = 0
        self._reporting_share = 1.0
        self._complete_at = -math.inf
        self._has_burst = False

    @property
    def has_burst(self) -> bool:
        """Whether a tenant's demand grew so much that it should be reported immediately."""
        return self._has_burst

    @property
    def reporting_share(self) -> float:
        """Share of the fleet's gateways that report; 1 unless the network is partitioned."""
        return self._reporting_share

    @property
    def has_limits(self) -> bool:
        """Whether any tenant has a limit."""
        return any(tenant.rate is not None for tenant in self._tenants.by_name.values())

    def set_tenants(self, tenants: Tenants) -> None:
        """Apply the limits of a configuration and keep the counts of remaining tenants."""
        self._tenants = tenants
        removed = [name for name in self._counts if name not in tenants.by_name]
        for name in removed:
            del self._counts[name]

    def set_population(self, gateways: int) -> None:
        """Set the number of gateways; 0 if it is unknown."""
        self._population = gateways

    def admit(self, name: str, urgency: int = 0) -> QuotaExceeded | None:
        """Count and admit an operation of a tenant, or return why it is refused.

        Parameters
        ----------
        urgency : int
            Priority of its route: at a limit the most urgent operations are admitted first.
        """
        tenant = self._tenants.by_name.get(name)
        if tenant is None or tenant.rate is None:
            return None
        now = self._clock.now
        counts = self._counts.get(name)
        if counts is None:
            counts = self._counts[name] = TenantCounters(self._parameters.window_ms)
        counts.record_request(now, urgency)
        self._has_burst = self._has_burst or counts.is_burst
        margin = URGENT_MARGIN if counts.has_less_urgent_requests(urgency) else USED_MARGIN
        target = self._parameters.target(tenant, margin)
        fraction = admitted_fraction(counts.fleet, target, self._unknown(tenant))
        if not self._is_admissible(counts, target, fraction, urgency):
            counts.refused += 1
            fleet = counts.fleet
            age = now - self._totals_at
            limit = self._parameters.limit(tenant)
            return QuotaExceeded(
                limit,
                fleet.admitted,
                fleet.recently_requested,
                fraction,
                age,
                self._reporting_share,
            )
        counts.record_admission(now)
        return None

    def _unknown(self, tenant: Tenant) -> float:
        """Return the operations that may be unknown in the window that ends one second from now."""
        share = max(0.0, self._unknown_share - UNKNOWN_TOLERANCE)
        return share * self._parameters.assumed_admissions(tenant)

    def _is_admissible(
        self, counts: TenantCounters, target: float, fraction: float, urgency: int
    ) -> bool:
        now = self._clock.now
        admitted = counts.admitted.count(now)
        if now - self._totals_at > ISOLATED_AFTER_MS:
            return admitted + 1 <= ISOLATED_MINIMUM + ISOLATED_SHARE * target
        if admitted + 1 > target:
            return False
        return fraction >= 1 or counts.spend_credit(now, fraction, urgency)

    def refund(self, name: str) -> None:
        """Take back an admitted operation of which no member ran anything."""
        counts = self._counts.get(name)
        if counts is not None:
            counts.record_admission(self._clock.now, -1.0)

    def top_tenants(self, number: int) -> list[TenantUsage]:
        """Return the tenants with the most refusals here, then with the most admissions."""
        now = self._clock.now
        usages = [
            TenantUsage(
                name,
                self._parameters.limit(self._tenants.by_name[name]),
                counts.admitted.count(now),
                counts.recently_requested.count(now),
                counts.refused,
            )
            for name, counts in self._counts.items()
        ]
        return sorted(usages, key=lambda usage: (usage.refused, usage.admitted), reverse=True)[
            :number
        ]

    # Exchange with other gateways

    def report(self) -> DemandSummary:
        """Return the admissions and requests of this gateway."""
        now = self._clock.now
        self._has_burst = False
        demands = {name: counts.make_report(now) for name, counts in self._counts.items()}
        reported = {name: demand for name, demand in demands.items() if demand != _NO_DEMAND}
        unknown = max(0.0, 1 - (now - self._started_at) / self._parameters.window_ms)
        return DemandSummary(reported, unknown_windows=unknown)

    def set_fleet_totals(self, fleet: DemandSummary) -> None:
        """Apply the totals of all gateways; partial ones are ignored for a grace time."""
        now = self._clock.now
        share = self._share_of(fleet.gateways)
        if share >= 1:
            self._complete_at = now
        elif now - self._complete_at < PARTIAL_TOTALS_GRACE_MS:
            return
        self._totals_at = now
        self._unknown_share = fleet.unknown_share
        self._reporting_share = share
        for name, counts in self._counts.items():
            total = fleet.tenants.get(name, _NO_DEMAND)
            counts.fleet = (
                total if self._reporting_share >= 1 else total.scaled(self._reporting_share)
            )

    def _share_of(self, gateways: int) -> float:
        """Return a number of gateways as a share of the fleet; 1 if enough report."""
        share = max(1, gateways) / max(1, self._population)
        return 1.0 if share >= COMPLETE_SHARE else share


_NO_DEMAND = Demand()
