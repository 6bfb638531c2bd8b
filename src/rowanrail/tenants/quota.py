"""Limits of tenants over all gateways, kept by letting a part of what is asked for begin.

Each gateway counts what its own clients ask for and what begins, and learns the sums of the fleet a
few times a second. From these it works out which part of what is asked for may begin so that the
count of a window comes to the limit within half a second: all of it while the limit is far, and in
the long run as many as leave the window. Every gateway works out the same part from the same
sums, so that it does not matter at which of them a tenant's clients are, and nothing is divided.

A split of the network parts these sums. Gateways know from the directory how many they are, and
from the sums how many of them are heard; a side that hears a share of the gateways takes the others
to run as much as those it hears, so that the sides together stay at the limit whatever each of them
runs. Neither a meter nor a gateway need remember anything for that.

A share of the limit for each gateway, by its part of the demand, was tried before: with 58 gateways
a share was often below one operation, and clients were refused at half of a limit.
"""

import math
from dataclasses import dataclass

from rowanrail.kernel.clock import Clock
from rowanrail.tenants.demand import Demand, DemandSummary
from rowanrail.tenants.model import Tenant, Tenants
from rowanrail.tenants.quota_parameters import URGENT_MARGIN, USED_MARGIN, QuotaParameters
from rowanrail.tenants.tenant_counters import RATE_WINDOW_MS, TenantCounters, TenantUsage

__all__ = ["QuotaExceeded", "QuotaLimiter"]

# For which sums of a part of the fleet are passed over after sums of all of it: two reports, after
# which a meter that has just taken over has heard of everybody.
GRACE_MS = 700.0
# Age of the fleet's sums while a tenant's demand grows: two checks for a burst, and the way between
# regions. At other times they are up to 600 ms old, but then little changes.
LATE_MS = 300.0
# In which the count is led to the limit. With 1,000 refusals begin while a tenth of a limit is
# free; with 300 the count swings by a tenth.
REACH_MS = 500.0
# Without sums of the fleet for so long a gateway counts as alone. Shorter than the 5 s for which
# others count its last report, so that its part is not given away while it still uses it.
ISOLATED_AFTER_MS = 3000.0
# Of a target, for a gateway that is alone, and operations on top, so that a small tenant is not
# shut out: three such gateways stay within what is tolerated beyond a limit.
ALONE_SHARE = 0.01
ALONE_LEAST = 2.0
UNKNOWN_STEP = 0.2  # of a window: what leaves a window of 5 s in a second
# Of the gateways, that are heard when nothing is split: some are always being started again, and
# their last reports of before still count.
WHOLE_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class QuotaExceeded:
    """Why an operation may not begin.

    Parameters
    ----------
    limit : float
        Operations of the tenant in a window.
    fleet_admitted : int
        What began at all gateways in the last window, as far as known.
    fleet_requested : int
        What was asked for at all gateways in the last second.
    admitted_fraction : float
        Of what is asked for may begin.
    totals_age : float
        Milliseconds since the last sums of the fleet.
    reporting_share : float
        Share of the fleet's gateways that were heard.
    """

    limit: float
    fleet_admitted: int
    fleet_requested: int
    admitted_fraction: float
    totals_age: float
    reporting_share: float = 1.0

    @property
    def retry_after(self) -> float:
        """Milliseconds after which to retry: until about one in two may begin."""
        return min(LONGEST_WAIT_MS, REACH_MS / max(self.admitted_fraction, 0.01) / 2)


LONGEST_WAIT_MS = 3000.0  # more than half of a window has left by then


def admitted_fraction(fleet: Demand, target: float, unknown: float = 0.0) -> float:
    """Return which part of what is asked for may begin; 1 or more for all.

    Parameters
    ----------
    fleet : Demand
        The sums of all gateways, LATE_MS old.
    target : float
        Operations in a window.
    unknown : float
        Operations that may have begun, but of which nothing is known since gateways started.

    Examples
    --------
    At the limit as many begin as leave the window, here a third of what is asked for:

    >>> round(admitted_fraction(Demand(500, 100, 300, 100), 500), 2)
    0.33
    >>> admitted_fraction(Demand(300, 60, 60, 60), 500) > 1
    True
    """
    leaving = fleet.expiring / RATE_WINDOW_MS
    growing = fleet.recently_admitted / RATE_WINDOW_MS - leaving
    by_now = fleet.admitted + LATE_MS * growing + unknown
    may_begin = leaving + (target - by_now) / REACH_MS
    asked = fleet.recently_requested / RATE_WINDOW_MS
    return max(0.0, may_begin / asked) if asked else 1.0


class QuotaLimiter:
    """Counts a gateway's operations by tenant and says which may begin.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    terms : QuotaParameters
        How limits are judged.
    """

    def __init__(self, clock: Clock, terms: QuotaParameters) -> None:
        self._clock = clock
        self._terms = terms
        self._tenants = Tenants()
        self._counts: dict[str, TenantCounters] = {}
        self._started_at = self._heard_at = clock.now
        self._unknown_share = 0.0
        self._population = 0
        self._reporting_share = 1.0
        self._whole_at = -math.inf
        self._has_burst = False

    @property
    def has_burst(self) -> bool:
        """Whether some tenant's demand has grown so much that others should know at once."""
        return self._has_burst

    @property
    def reporting_share(self) -> float:
        """Share of the fleet's gateways that are heard; 1 unless the network is split."""
        return self._reporting_share

    @property
    def has_limits(self) -> bool:
        """Whether any tenant has a limit."""
        return any(tenant.rate is not None for tenant in self._tenants.by_name.values())

    def set_tenants(self, tenants: Tenants) -> None:
        """Take the limits of a configuration; what was counted stays."""
        self._tenants = tenants
        gone = [name for name in self._counts if name not in tenants.by_name]
        for name in gone:
            del self._counts[name]

    def set_population(self, gateways: int) -> None:
        """Know how many gateways there are; 0 if that is not known."""
        self._population = gateways

    def admit(self, name: str, urgency: int = 0) -> QuotaExceeded | None:
        """Count an operation of a tenant that begins now, or return why it may not.

        Parameters
        ----------
        urgency : int
            Priority of its route: at a limit the most urgent operations begin first.
        """
        tenant = self._tenants.by_name.get(name)
        if tenant is None or tenant.rate is None:
            return None
        now = self._clock.now
        counts = self._counts.get(name)
        if counts is None:
            counts = self._counts[name] = TenantCounters(self._terms.window_ms)
        counts.record_request(now, urgency)
        self._has_burst = self._has_burst or counts.is_burst
        margin = URGENT_MARGIN if counts.has_less_urgent_requests(urgency) else USED_MARGIN
        target = self._terms.target(tenant, margin)
        part = admitted_fraction(counts.fleet, target, self._unknown(tenant))
        if not self._may_begin(counts, target, part, urgency):
            counts.refused += 1
            fleet = counts.fleet
            age = now - self._heard_at
            limit = self._terms.limit(tenant)
            return QuotaExceeded(
                limit, fleet.admitted, fleet.recently_requested, part, age, self._reporting_share
            )
        counts.record_admission(now)
        return None

    def _unknown(self, tenant: Tenant) -> float:
        """Return what a tenant may have begun in the unknown part of the window, in a second."""
        share = max(0.0, self._unknown_share - UNKNOWN_STEP)
        return share * self._terms.assumed_admissions(tenant)

    def _may_begin(self, counts: TenantCounters, target: float, part: float, urgency: int) -> bool:
        now = self._clock.now
        begun = counts.admitted.count(now)
        if now - self._heard_at > ISOLATED_AFTER_MS:
            return begun + 1 <= ALONE_LEAST + ALONE_SHARE * target
        if begun + 1 > target:
            return False
        return part >= 1 or counts.spend_credit(now, part, urgency)

    def refund(self, name: str) -> None:
        """Take back an operation of which no member ran anything."""
        counts = self._counts.get(name)
        if counts is not None:
            counts.record_admission(self._clock.now, -1.0)

    def top_tenants(self, number: int) -> list[TenantUsage]:
        """Return the tenants that were refused, or ask for, most here."""
        now = self._clock.now
        counted = [
            TenantUsage(
                name,
                self._terms.limit(self._tenants.by_name[name]),
                counts.admitted.count(now),
                counts.recently_requested.count(now),
                counts.refused,
            )
            for name, counts in self._counts.items()
        ]
        return sorted(counted, key=lambda one: (one.refused, one.admitted), reverse=True)[:number]

    # What gateways tell each other

    def report(self) -> DemandSummary:
        """Return what began and was asked for here."""
        now = self._clock.now
        self._has_burst = False
        demands = {name: counts.make_report(now) for name, counts in self._counts.items()}
        reported = {name: demand for name, demand in demands.items() if demand != _NOTHING}
        unknown = max(0.0, 1 - (now - self._started_at) / self._terms.window_ms)
        return DemandSummary(reported, unknown_windows=unknown)

    def set_fleet_totals(self, fleet: DemandSummary) -> None:
        """Learn the sums of all gateways."""
        now = self._clock.now
        share = self._share_of(fleet.gateways)
        if share >= 1:
            self._whole_at = now
        elif now - self._whole_at < GRACE_MS:
            return
        self._heard_at = now
        self._unknown_share = fleet.unknown_share
        self._reporting_share = share
        for name, counts in self._counts.items():
            heard = fleet.tenants.get(name, _NOTHING)
            counts.fleet = (
                heard if self._reporting_share >= 1 else heard.scaled(self._reporting_share)
            )

    def _share_of(self, gateways: int) -> float:
        """Return which share of the fleet so many gateways are, 1 if nothing is split."""
        share = max(1, gateways) / max(1, self._population)
        return 1.0 if share >= WHOLE_SHARE else share


_NOTHING = Demand()
