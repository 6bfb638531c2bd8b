"""Limits of tenants over all gateways, kept by shares that follow demand.

Each gateway counts what its own clients ask for and learns, a few times a second, what the clients
of the whole fleet ask for. While a tenant asks for less than half of its limit nothing is refused.
Above, each gateway lets its part of the demand have the same part of the limit, and a part of
what is still free; the parts add up to the limit whoever asks where.

What others asked for is known up to 0.9 s late. A gateway therefore compares it with its own demand
of that time, not with its newest: else all that grow would overrate their part, and a tenant that
begins at thrice its limit would pass it by a quarter (simulated, 12 gateways in 3 regions).
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from rowanrail.kernel.clock import Clock
from rowanrail.tenants.model import Tenant, Tenants
from rowanrail.tenants.window import SlidingCount

__all__ = ["OverLimit", "QuotaGuard", "QuotaTerms"]

# Of what is tolerated beyond the limit, so that a share which is a little off refuses nothing
# below it. The other half is for what passes before a report comes.
USED_MARGIN = 0.5
# Of a target, below which nothing is refused: a demand would have to double in 0.9 s to pass it.
FREE_SHARE = 0.5
# Reports after which a gateway's own demand is as old as what it knows of other regions.
REPORTS_LATE = 2
# Without word of the fleet for so long a gateway counts as alone. Shorter than the 5 s for which
# others count its last word, so that its part is not given away while it still uses it.
ALONE_MS = 3000.0
# Of a target, for a gateway that is alone, and operations on top, so that a small tenant is not
# shut out: three such gateways stay within what is tolerated beyond a limit.
ALONE_SHARE = 0.02
ALONE_LEAST = 3.0


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """How limits are judged.

    Parameters
    ----------
    window : float
        Milliseconds of a window.
    excess : float
        Share of a limit that is tolerated beyond it.
    slack : float
        Operations that are tolerated beyond that.
    """

    window: float = 5000.0
    excess: float = 0.1
    slack: float = 20.0

    def limit(self, tenant: Tenant) -> float:
        """Return the operations of a tenant in a window, infinite without a rate."""
        if tenant.rate is None:
            return float("inf")
        return tenant.rate * self.window / 1000 + tenant.burst

    def target(self, tenant: Tenant) -> float:
        """Return to how many operations in a window a tenant is held.

        Examples
        --------
        >>> QuotaTerms().target(Tenant("a", rate=100, burst=100))
        640.0
        """
        limit = self.limit(tenant)
        return limit + USED_MARGIN * (limit * self.excess + self.slack)


@dataclass(frozen=True, slots=True)
class OverLimit:
    """Why an operation may not begin; counts are of the last window.

    Parameters
    ----------
    limit : float
        Operations of the tenant in a window.
    fleet : float
        What was asked for at all gateways, as far as known.
    here : float
        What was asked for at this gateway.
    share : float
        What this gateway may let begin.
    age : float
        Milliseconds since word of the fleet.
    wait : float
        Milliseconds until one of this gateway's operations leaves the window.
    """

    limit: float
    fleet: float
    here: float
    share: float
    age: float
    wait: float


class _Counts:
    """One tenant at this gateway."""

    __slots__ = ("asked", "begun", "fleet", "reported")

    def __init__(self, window: float) -> None:
        self.asked = SlidingCount(window)
        self.begun = SlidingCount(window)
        self.fleet = 0.0
        self.reported: deque[int] = deque([0] * (REPORTS_LATE + 1), REPORTS_LATE + 1)

    def part(self) -> float:
        """Return this gateway's part of the fleet's demand, as of when others told theirs."""
        here = self.reported[0]
        others = max(0.0, self.fleet - self.reported[-1])
        return here / (here + others) if here else 0.0


class QuotaGuard:
    """Counts a gateway's operations by tenant and says which may begin.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    terms : QuotaTerms
        How limits are judged.
    """

    def __init__(self, clock: Clock, terms: QuotaTerms) -> None:
        self._clock = clock
        self._terms = terms
        self._tenants = Tenants()
        self._counts: dict[str, _Counts] = {}
        self._told_at = clock.now
        self._gateways = 1

    @property
    def is_limiting(self) -> bool:
        """Whether any tenant has a limit."""
        return any(tenant.rate is not None for tenant in self._tenants.by_name.values())

    def set_tenants(self, tenants: Tenants) -> None:
        """Take the limits of a configuration; what was counted stays."""
        self._tenants = tenants
        gone = [name for name in self._counts if name not in tenants.by_name]
        for name in gone:
            del self._counts[name]

    def begin(self, name: str) -> OverLimit | None:
        """Count an operation of a tenant that begins now, or return why it may not."""
        tenant = self._tenants.by_name.get(name)
        if tenant is None or tenant.rate is None:
            return None
        now = self._clock.now
        counts = self._counts.get(name)
        if counts is None:
            counts = self._counts[name] = _Counts(self._terms.window)
        counts.asked.add(now)
        here = counts.asked.at(now)
        share = self._share(self._terms.target(tenant), counts)
        if counts.begun.at(now) + 1 > share:
            return OverLimit(
                self._terms.limit(tenant),
                counts.fleet,
                here,
                share,
                now - self._told_at,
                counts.begun.until_less(now),
            )
        counts.begun.add(now)
        return None

    def _share(self, target: float, counts: _Counts) -> float:
        """Return how many operations in a window this gateway may let begin."""
        if self._clock.now - self._told_at > ALONE_MS:
            return ALONE_LEAST + ALONE_SHARE * target
        if counts.fleet <= FREE_SHARE * target:
            return target
        part = counts.part()
        free = max(0.0, target - counts.fleet)
        even = 1 / max(1, self._gateways)
        return part * min(counts.fleet, target) + free * (part + even) / 2

    def note_not_run(self, name: str) -> None:
        """Take back an operation of which no member ran anything."""
        counts = self._counts.get(name)
        if counts is not None:
            counts.begun.add(self._clock.now, -1.0)

    # What gateways tell each other

    def report(self) -> dict[str, int]:
        """Return how many operations of each tenant were asked for here in the last window.

        To be called once for each report.
        """
        now = self._clock.now
        demand = {}
        for name, counts in self._counts.items():
            asked = round(counts.asked.at(now))
            counts.reported.append(asked)
            if asked:
                demand[name] = asked
        return demand

    def take_fleet(self, demand: Mapping[str, int], gateways: int) -> None:
        """Learn what was asked for at all gateways, and how many there are."""
        self._gateways = gateways
        self._told_at = self._clock.now
        for name, counts in self._counts.items():
            counts.fleet = float(demand.get(name, 0))
