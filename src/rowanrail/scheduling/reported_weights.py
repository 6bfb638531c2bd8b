"""Weights of members that other gateways reported, used as a hint that decays.

Each gateway reports only the failures of its own statements, not what others reported, so that
reports do not circulate. A member that one gateway cannot reach may serve another well, so a report
reduces a weight only in part, and for a short time. Without recent reports a member keeps its own
weight.
"""

import math
from dataclasses import dataclass

__all__ = ["ReportedWeights"]

# Share of a reported loss of weight that is applied. With all of it a gateway that is cut off would
# keep others away from working members; with this share another member is preferred only if it is
# as near.
REPORTED_TRUST = 0.7
# ms in which a report decays to 1/e. A gateway that still sees failures repeats its report with its
# next answer.
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
        """Record a gateway's report of the members that lost weight there."""
        for instance, weight in weights.items():
            if weight <= self.factor(instance, now):
                self._reports[instance] = _Report(weight, now)

    def factor(self, instance: str, now: float) -> float:
        """Return the factor by which a member's own weight is multiplied."""
        report = self._reports.get(instance)
        if report is None:
            return 1.0
        decay = math.exp((report.heard_at - now) / REPORTED_DECAY_MS)
        return 1.0 - REPORTED_TRUST * (1.0 - report.weight) * decay

    def retain_only(self, instances: set[str]) -> None:
        """Discard the reports about all members but these."""
        self._reports = {
            name: report for name, report in self._reports.items() if name in instances
        }
