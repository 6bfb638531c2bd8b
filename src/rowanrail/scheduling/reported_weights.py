"""What other gateways reported of members' weights: a hint that ages and never binds.

Each reports what its own statements met, never what others reported, so that nothing goes round. A
member that one gateway can't reach may serve another well: a report takes a part of a weight only,
and for a short while. Without reports, or with old ones, a member keeps its own weight.
"""

import math
from dataclasses import dataclass

__all__ = ["ReportedWeights"]

# Of what a report takes away. With all of it a gateway that is cut off would keep others from
# members that serve them; with this part a near member is left for one that is as near.
REPORTED_TRUST = 0.7
# ms; after it a report has shrunk to 1/e. A gateway that goes on to see trouble reports it again
# with its next answer.
REPORTED_DECAY_MS = 2000.0


@dataclass(frozen=True, slots=True)
class _Report:
    weight: float
    heard_at: float


class ReportedWeights:
    """The lowest weight reported of each member; times in milliseconds.

    Examples
    --------
    >>> reported = ReportedWeights()
    >>> reported.note({"m1": 0.05}, now=0.0)
    >>> round(reported.factor("m1", now=0.0), 3), round(reported.factor("m1", now=9000.0), 1)
    (0.335, 1.0)
    >>> reported.factor("m2", now=0.0)
    1.0
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def note(self, weights: dict[str, float], now: float) -> None:
        """Take what a gateway reported of the members that lost weight there."""
        for instance, weight in weights.items():
            if weight <= self.factor(instance, now):
                self._reports[instance] = _Report(weight, now)

    def factor(self, instance: str, now: float) -> float:
        """Return by what a member's own weight is multiplied."""
        report = self._reports.get(instance)
        if report is None:
            return 1.0
        fading = math.exp((report.heard_at - now) / REPORTED_DECAY_MS)
        return 1.0 - REPORTED_TRUST * (1.0 - report.weight) * fading

    def keep(self, instances: set[str]) -> None:
        """Forget all other members."""
        self._reports = {
            name: report for name, report in self._reports.items() if name in instances
        }
