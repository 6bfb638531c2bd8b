"""Limits of tenants over all gateways, kept by letting a part of what is asked for begin.

Each gateway counts what its own clients ask for and what begins, and learns the sums of the fleet a
few times a second. From these it works out which part of what is asked for may begin so that the
count of a window comes to the limit within a second: all of it while the limit is far, and in
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
from rowanrail.tenants.demand import Demand, Report
from rowanrail.tenants.model import Tenant, Tenants
from rowanrail.tenants.precedence import part_of_class
from rowanrail.tenants.window import SlidingCount

__all__ = ["REPORT_MS", "OverLimit", "QuotaGuard", "QuotaTerms", "TenantCount"]

# Of what is tolerated beyond the limit, so that nothing is refused below it though the sums are a
# little late, and though a side's part of the demand is not exactly its part of the gateways while
# the network is split. The rest is for what begins before the sums come. With a quarter in place
# of half, 28 in place of 11 of 1,444 operations were refused below a limit (12 gateways, test).
USED_MARGIN = 0.5
# The same for operations that are more urgent than others of their tenant. The count swings about
# the limit; what is between the two margins keeps urgent operations going when it is above.
URGENT_MARGIN = 0.9
# For which sums of a part of the fleet are passed over after sums of all of it: two reports, after
# which a meter that has just taken over has heard of everybody.
GRACE_MS = 700.0
# Between reports of a gateway. With 58 gateways and 72 tenants about 35 KB a second inside of
# regions and 14 KB between them, reckoned from the sizes of the messages.
REPORT_MS = 300.0
LATELY_MS = 1000.0  # over which rates are taken: three reports
# Age of the fleet's sums while a tenant's demand grows: two looks for a rush, and the way between
# regions. At other times they are up to 600 ms old, but then little changes.
LATE_MS = 300.0
# In which the count is led to the limit. With 1,000 refusals begin while a tenth of a limit is
# free; with 300 the count swings by a tenth.
REACH_MS = 500.0
# Without word of the fleet for so long a gateway counts as alone. Shorter than the 5 s for which
# others count its last word, so that its part is not given away while it still uses it.
ALONE_MS = 3000.0
# Of a target, for a gateway that is alone, and operations on top, so that a small tenant is not
# shut out: three such gateways stay within what is tolerated beyond a limit.
ALONE_SHARE = 0.01
ALONE_LEAST = 2.0
# Of a window that is empty when gateways are back after a loss of all: 0.5 s at the least until
# they start; the 0.27 s until they listen are left as a margin.
RESTART_SHARE = 0.1
UNKNOWN_MARGIN = 0.2  # of what is tolerated beyond a limit; the rest is used otherwise
UNKNOWN_STEP = 0.2  # of a window: what leaves a window of 5 s in REACH_MS
# Of the gateways, that are heard when nothing is split: some are always being started again, and
# their last words of before still count.
WHOLE_SHARE = 0.9
# What a tenant asks for here since the last report, against what the last report lets expect, and
# operations at least: then the next report doesn't wait for its turn. The sums would else tell of
# a rush 0.3 to 0.6 s late, and at four times a limit that is all that is tolerated beyond it.
RUSH_FACTOR = 2.0
RUSH_LEAST = 3
# Over which a gateway counts how a tenant's demand is made up of urgent and other operations: a
# few of each kind come to one gateway in it, and a mix changes slowly.
MIX_MS = 3000.0
FIRST_CREDIT = 0.5  # of an operation: gateways that begin together don't all begin with one


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

    def target(self, tenant: Tenant, margin: float = USED_MARGIN) -> float:
        """Return to how many operations in a window a tenant is held.

        Parameters
        ----------
        margin : float
            Of what is tolerated beyond the limit.

        Examples
        --------
        >>> QuotaTerms().target(Tenant("a", rate=100, burst=100))
        640.0
        """
        limit = self.limit(tenant)
        return limit + margin * (limit * self.excess + self.slack)

    def unknown(self, tenant: Tenant) -> float:
        """Return what a tenant is taken to have begun in a window of which nothing is known.

        That is its limit, without what a restart leaves empty and what is tolerated beyond it.

        Examples
        --------
        >>> round(QuotaTerms().unknown(Tenant("a", rate=100, burst=100)))
        524
        >>> QuotaTerms().unknown(Tenant("a", rate=0.5, burst=0.5))
        0.0
        """
        limit = self.limit(tenant)
        tolerated = UNKNOWN_MARGIN * (limit * self.excess + self.slack)
        return max(0.0, (1 - RESTART_SHARE) * limit - tolerated)


@dataclass(frozen=True, slots=True)
class OverLimit:
    """Why an operation may not begin.

    Parameters
    ----------
    limit : float
        Operations of the tenant in a window.
    fleet : int
        What began at all gateways in the last window, as far as known.
    asked : int
        What was asked for at all gateways in the last second.
    part : float
        Of what is asked for may begin.
    age : float
        Milliseconds since word of the fleet.
    heard : float
        Share of the fleet's gateways that were heard.
    """

    limit: float
    fleet: int
    asked: int
    part: float
    age: float
    heard: float = 1.0

    @property
    def wait(self) -> float:
        """Milliseconds after which to come back: until about one in two may begin."""
        return min(LONGEST_WAIT_MS, REACH_MS / max(self.part, 0.01) / 2)


LONGEST_WAIT_MS = 3000.0  # more than half of a window has left by then


@dataclass(frozen=True, slots=True)
class TenantCount:
    """One tenant at this gateway, for operators.

    Parameters
    ----------
    limit : float
        Operations of the tenant in a window, over all gateways.
    begun : float
        What began here in the last window.
    asked : float
        What was asked for here in the last second.
    refused : int
        What was refused here since the start.
    """

    name: str
    limit: float
    begun: float
    asked: float
    refused: int


class _Counts:
    """One tenant at this gateway."""

    __slots__ = (
        "asked_by_urgency",
        "asked_lately",
        "begun",
        "begun_lately",
        "credits",
        "expected",
        "fleet",
        "refused",
        "unreported",
    )

    def __init__(self, window: float) -> None:
        self.begun = SlidingCount(window)
        self.begun_lately = SlidingCount(LATELY_MS)
        self.asked_lately = SlidingCount(LATELY_MS)
        self.fleet = Demand()
        self.asked_by_urgency: dict[int, SlidingCount] = {}
        self.credits: dict[int, float] = {}
        self.refused = 0
        self.unreported = 0  # asked for since the last report
        self.expected = 0.0  # to be asked for until the next one

    @property
    def is_rush(self) -> bool:
        """Whether much more is asked for than the last report lets expect."""
        return self.unreported >= max(RUSH_LEAST, RUSH_FACTOR * self.expected)

    def ask(self, now: float, urgency: int) -> None:
        """Count an operation that is asked for."""
        self.asked_lately.add(now)
        self.unreported += 1
        count = self.asked_by_urgency.get(urgency)
        if count is None:
            count = self.asked_by_urgency[urgency] = SlidingCount(MIX_MS)
        count.add(now)

    def is_urgent(self, urgency: int) -> bool:
        """Whether the tenant also asks for what is less urgent."""
        return urgency < max(self.asked_by_urgency)

    def spend_credit(self, now: float, part: float, urgency: int) -> bool:
        """Return whether an operation is among the part of its class that may begin."""
        asked = {other: count.at(now) for other, count in self.asked_by_urgency.items()}
        credit = self.credits.get(urgency, FIRST_CREDIT) + part_of_class(part, asked, urgency)
        is_enough = credit >= 1
        self.credits[urgency] = min(credit - is_enough, 1.0)
        return is_enough

    def demand(self, now: float) -> Demand:
        """Return what is reported."""
        self.unreported = 0
        self.expected = self.asked_lately.at(now) * REPORT_MS / LATELY_MS
        return Demand(
            round(self.begun.at(now)),
            round(self.begun_lately.at(now)),
            round(self.asked_lately.at(now)),
            round(self._leaving(now)),
        )

    def _leaving(self, now: float) -> float:
        """Return what leaves the window within a second, at the slower rate if that changes.

        After a rush many leave at once, and then few. Room that is only about to come free is not
        given away: the sums of others are late by as much.
        """
        soon = self.begun.leaving(now, REPORT_MS) * LATELY_MS / REPORT_MS
        return min(soon, self.begun.leaving(now, LATELY_MS))

    def begin(self, now: float, number: float = 1.0) -> None:
        """Count an operation that begins; a negative number takes back one that did not run."""
        self.begun.add(now, number)
        self.begun_lately.add(now, number)


def part_that_begins(fleet: Demand, target: float, unknown: float = 0.0) -> float:
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

    >>> round(part_that_begins(Demand(500, 100, 300, 100), 500), 2)
    0.33
    >>> part_that_begins(Demand(300, 60, 60, 60), 500) > 1
    True
    """
    leaving = fleet.leaving / LATELY_MS
    growing = fleet.begun_lately / LATELY_MS - leaving
    by_now = fleet.begun + LATE_MS * growing + unknown
    may_begin = leaving + (target - by_now) / REACH_MS
    asked = fleet.asked_lately / LATELY_MS
    return max(0.0, may_begin / asked) if asked else 1.0


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
        self._started_at = self._told_at = clock.now
        self._unknown_share = 0.0
        self._population = 0
        self._heard_share = 1.0
        self._whole_at = -math.inf
        self._has_rush = False

    @property
    def has_rush(self) -> bool:
        """Whether some tenant's demand has grown so much that others should know at once."""
        return self._has_rush

    @property
    def heard_share(self) -> float:
        """Share of the fleet's gateways that are heard; 1 unless the network is split."""
        return self._heard_share

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

    def set_population(self, gateways: int) -> None:
        """Know how many gateways there are; 0 if that is not known."""
        self._population = gateways

    def begin(self, name: str, urgency: int = 0) -> OverLimit | None:
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
            counts = self._counts[name] = _Counts(self._terms.window)
        counts.ask(now, urgency)
        self._has_rush = self._has_rush or counts.is_rush
        margin = URGENT_MARGIN if counts.is_urgent(urgency) else USED_MARGIN
        target = self._terms.target(tenant, margin)
        part = part_that_begins(counts.fleet, target, self._unknown(tenant))
        if not self._may_begin(counts, target, part, urgency):
            counts.refused += 1
            fleet = counts.fleet
            age = now - self._told_at
            limit = self._terms.limit(tenant)
            return OverLimit(limit, fleet.begun, fleet.asked_lately, part, age, self._heard_share)
        counts.begin(now)
        return None

    def _unknown(self, tenant: Tenant) -> float:
        """Return what a tenant may have begun in the unknown part of the window, in a second."""
        share = max(0.0, self._unknown_share - UNKNOWN_STEP)
        return share * self._terms.unknown(tenant)

    def _may_begin(self, counts: _Counts, target: float, part: float, urgency: int) -> bool:
        now = self._clock.now
        begun = counts.begun.at(now)
        if now - self._told_at > ALONE_MS:
            return begun + 1 <= ALONE_LEAST + ALONE_SHARE * target
        if begun + 1 > target:
            return False
        return part >= 1 or counts.spend_credit(now, part, urgency)

    def note_not_run(self, name: str) -> None:
        """Take back an operation of which no member ran anything."""
        counts = self._counts.get(name)
        if counts is not None:
            counts.begin(self._clock.now, -1.0)

    def largest(self, number: int) -> list[TenantCount]:
        """Return the tenants that were refused, or ask for, most here."""
        now = self._clock.now
        counted = [
            TenantCount(
                name,
                self._terms.limit(self._tenants.by_name[name]),
                counts.begun.at(now),
                counts.asked_lately.at(now),
                counts.refused,
            )
            for name, counts in self._counts.items()
        ]
        return sorted(counted, key=lambda one: (one.refused, one.begun), reverse=True)[:number]

    # What gateways tell each other

    def report(self) -> Report:
        """Return what began and was asked for here."""
        now = self._clock.now
        self._has_rush = False
        demands = {name: counts.demand(now) for name, counts in self._counts.items()}
        told = {name: demand for name, demand in demands.items() if demand != _NOTHING}
        unknown = max(0.0, 1 - (now - self._started_at) / self._terms.window)
        return Report(told, unknown=unknown)

    def take_fleet(self, fleet: Report) -> None:
        """Learn the sums of all gateways."""
        now = self._clock.now
        share = self._share_of(fleet.gateways)
        if share >= 1:
            self._whole_at = now
        elif now - self._whole_at < GRACE_MS:
            return
        self._told_at = now
        self._unknown_share = fleet.unknown_share
        self._heard_share = share
        for name, counts in self._counts.items():
            heard = fleet.tenants.get(name, _NOTHING)
            counts.fleet = heard if self._heard_share >= 1 else heard.scaled(self._heard_share)

    def _share_of(self, gateways: int) -> float:
        """Return which share of the fleet so many gateways are, 1 if nothing is split."""
        share = max(1, gateways) / max(1, self._population)
        return 1.0 if share >= WHOLE_SHARE else share


_NOTHING = Demand()
