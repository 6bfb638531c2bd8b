"""Counters of one tenant at one gateway.

Sliding counts of requested and admitted operations, and the credits of each priority class;
:class:`rowanrail.tenants.quota.QuotaLimiter` decides by them and by the fleet's totals.
"""

from dataclasses import dataclass

from rowanrail.tenants.demand import Demand
from rowanrail.tenants.priority_classes import class_fraction
from rowanrail.tenants.sliding_window import SlidingWindowCounter

__all__ = ["RATE_WINDOW_MS", "REPORT_INTERVAL_MS", "TenantCounters", "TenantUsage"]

# Between reports of a gateway. With 58 gateways and 72 tenants they add up to about 35 KB/s within
# regions and 14 KB/s between them, computed from the sizes of the messages.
REPORT_INTERVAL_MS = 300.0
RATE_WINDOW_MS = 1000.0  # over which rates are averaged: three reports
# Requests since the last report, as a multiple of what that report predicts and as a minimum, that
# make the next report immediate. Otherwise the totals show a burst 0.3 to 0.6 s late, in which four
# times a limit uses up the tolerated excess.
BURST_FACTOR = 2.0
BURST_MINIMUM = 3
# Over which the shares of the priority classes are counted: long enough for a gateway to see a few
# operations of each class, and the shares change slowly.
CLASS_MIX_WINDOW_MS = 3000.0
INITIAL_CREDIT = 0.5  # operations; below 1 so that gateways don't all start by admitting one


@dataclass(frozen=True, slots=True)
class TenantUsage:
    """Usage of one tenant at this gateway, for operators.

    Parameters
    ----------
    limit : float
        Operations of the tenant in a window, over all gateways.
    admitted : float
        Operations admitted here in the last window.
    requested : float
        Operations requested here in the last second.
    refused : int
        Operations refused here since the start.
    """

    name: str
    limit: float
    admitted: float
    requested: float
    refused: int


class TenantCounters:
    """Counts the operations of one tenant at this gateway."""

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
        self.unreported = 0  # requests since the last report
        self.expected = 0.0  # requests expected until the next report

    @property
    def is_burst(self) -> bool:
        """Whether requests far exceed the number that the last report predicts."""
        return self.unreported >= max(BURST_MINIMUM, BURST_FACTOR * self.expected)

    def record_request(self, now: float, urgency: int) -> None:
        """Count a requested operation."""
        self.recently_requested.add(now)
        self.unreported += 1
        counter = self.requested_by_urgency.get(urgency)
        if counter is None:
            counter = self.requested_by_urgency[urgency] = SlidingWindowCounter(CLASS_MIX_WINDOW_MS)
        counter.add(now)

    def has_less_urgent_requests(self, urgency: int) -> bool:
        """Return whether the tenant also requests less urgent operations."""
        return urgency < max(self.requested_by_urgency)

    def spend_credit(self, now: float, fraction: float, urgency: int) -> bool:
        """Return whether an operation is in the fraction of its class that is admitted."""
        requested = {
            other: counter.count(now) for other, counter in self.requested_by_urgency.items()
        }
        credit = self.credits.get(urgency, INITIAL_CREDIT) + class_fraction(
            fraction, requested, urgency
        )
        is_enough = credit >= 1
        self.credits[urgency] = min(credit - is_enough, 1.0)
        return is_enough

    def make_report(self, now: float) -> Demand:
        """Return the demand to report, and start counting for the next report."""
        self.unreported = 0
        self.expected = self.recently_requested.count(now) * REPORT_INTERVAL_MS / RATE_WINDOW_MS
        return Demand(
            round(self.admitted.count(now)),
            round(self.recently_admitted.count(now)),
            round(self.recently_requested.count(now)),
            round(self._expiring(now)),
        )

    def _expiring(self, now: float) -> float:
        """Return the operations that expire from the window within a second.

        The lower of the rates over a report interval and over a second: after a burst many expire
        at once and then few, and capacity that is not free yet must not be granted, since the
        totals of other gateways are late by as much.
        """
        soon = self.admitted.expiring(now, REPORT_INTERVAL_MS) * RATE_WINDOW_MS / REPORT_INTERVAL_MS
        return min(soon, self.admitted.expiring(now, RATE_WINDOW_MS))

    def record_admission(self, now: float, number: float = 1.0) -> None:
        """Count an admitted operation; a negative number takes back one that did not run."""
        self.admitted.add(now, number)
        self.recently_admitted.add(now, number)
