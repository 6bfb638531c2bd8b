"""What one gateway counts of one tenant.

Owns sliding counts of what was asked for and began here, and the credits of each class of urgency;
:class:`rowanrail.tenants.quota.QuotaLimiter` decides by them and by the sums of the fleet.
"""

from dataclasses import dataclass

from rowanrail.tenants.demand import Demand
from rowanrail.tenants.priority_classes import class_fraction
from rowanrail.tenants.sliding_window import SlidingWindowCounter

__all__ = ["RATE_WINDOW_MS", "REPORT_INTERVAL_MS", "TenantCounters", "TenantUsage"]

# Between reports of a gateway. With 58 gateways and 72 tenants about 35 KB a second inside of
# regions and 14 KB between them, reckoned from the sizes of the messages.
REPORT_INTERVAL_MS = 300.0
RATE_WINDOW_MS = 1000.0  # over which rates are taken: three reports
# What a tenant asks for here since the last report, against what the last report lets expect, and
# operations at least: then the next report doesn't wait for its turn. The sums would else tell of
# a burst 0.3 to 0.6 s late, and at four times a limit that is all that is tolerated beyond it.
BURST_FACTOR = 2.0
BURST_LEAST = 3
# Over which a gateway counts how a tenant's demand is made up of urgent and other operations: a
# few of each kind come to one gateway in it, and a mix changes slowly.
MIX_MS = 3000.0
FIRST_CREDIT = 0.5  # of an operation: gateways that begin together don't all begin with one


@dataclass(frozen=True, slots=True)
class TenantUsage:
    """One tenant at this gateway, for operators.

    Parameters
    ----------
    limit : float
        Operations of the tenant in a window, over all gateways.
    admitted : float
        What began here in the last window.
    requested : float
        What was asked for here in the last second.
    refused : int
        What was refused here since the start.
    """

    name: str
    limit: float
    admitted: float
    requested: float
    refused: int


class TenantCounters:
    """One tenant at this gateway."""

    __slots__ = (
        "requested_by_urgency",
        "recently_requested",
        "admitted",
        "recently_admitted",
        "credits",
        "expected",
        "fleet",
        "refused",
        "unreported",
    )

    def __init__(self, window_ms: float) -> None:
        self.admitted = SlidingWindowCounter(window_ms)
        self.recently_admitted = SlidingWindowCounter(RATE_WINDOW_MS)
        self.recently_requested = SlidingWindowCounter(RATE_WINDOW_MS)
        self.fleet = Demand()
        self.requested_by_urgency: dict[int, SlidingWindowCounter] = {}
        self.credits: dict[int, float] = {}
        self.refused = 0
        self.unreported = 0  # asked for since the last report
        self.expected = 0.0  # to be asked for until the next one

    @property
    def is_burst(self) -> bool:
        """Whether much more is asked for than the last report lets expect."""
        return self.unreported >= max(BURST_LEAST, BURST_FACTOR * self.expected)

    def record_request(self, now: float, urgency: int) -> None:
        """Count an operation that is asked for."""
        self.recently_requested.add(now)
        self.unreported += 1
        count = self.requested_by_urgency.get(urgency)
        if count is None:
            count = self.requested_by_urgency[urgency] = SlidingWindowCounter(MIX_MS)
        count.add(now)

    def has_less_urgent_requests(self, urgency: int) -> bool:
        """Whether the tenant also asks for what is less urgent."""
        return urgency < max(self.requested_by_urgency)

    def spend_credit(self, now: float, part: float, urgency: int) -> bool:
        """Return whether an operation is among the part of its class that may begin."""
        asked = {other: count.count(now) for other, count in self.requested_by_urgency.items()}
        credit = self.credits.get(urgency, FIRST_CREDIT) + class_fraction(part, asked, urgency)
        is_enough = credit >= 1
        self.credits[urgency] = min(credit - is_enough, 1.0)
        return is_enough

    def make_report(self, now: float) -> Demand:
        """Return what is reported."""
        self.unreported = 0
        self.expected = self.recently_requested.count(now) * REPORT_INTERVAL_MS / RATE_WINDOW_MS
        return Demand(
            round(self.admitted.count(now)),
            round(self.recently_admitted.count(now)),
            round(self.recently_requested.count(now)),
            round(self._expiring(now)),
        )

    def _expiring(self, now: float) -> float:
        """Return what leaves the window within a second, at the slower rate if that changes.

        After a burst many leave at once, and then few. Room that is only about to come free is not
        given away: the sums of others are late by as much.
        """
        soon = self.admitted.expiring(now, REPORT_INTERVAL_MS) * RATE_WINDOW_MS / REPORT_INTERVAL_MS
        return min(soon, self.admitted.expiring(now, RATE_WINDOW_MS))

    def record_admission(self, now: float, number: float = 1.0) -> None:
        """Count an operation that begins; a negative number takes back one that did not run."""
        self.admitted.add(now, number)
        self.recently_admitted.add(now, number)
