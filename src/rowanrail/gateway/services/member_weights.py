"""Weights of one service's members: those found by this gateway and those reported by others.

The rule for one member is :class:`rowanrail.scheduling.member_weight.MemberWeight`.
"""

from collections import Counter
from collections.abc import Callable

from rowanrail.kernel.clock import Clock
from rowanrail.scheduling.member_weight import (
    FailureKind,
    MemberWeight,
    WeightStatus,
    is_persistently_busy,
)
from rowanrail.scheduling.reported_weights import ReportedWeights

__all__ = ["MemberWeights"]


class MemberWeights:
    """Weights by member.

    Parameters
    ----------
    clock : Clock
        Monotonic clock in milliseconds.

    Attributes
    ----------
    on_change : callable
        Called with the instance and True when a member is degraded, False when it has recovered.
    """

    def __init__(self, clock: Clock) -> None:
        self.on_change: Callable[[str, bool], None] = lambda instance, is_degraded: None
        self._clock = clock
        self._weights: dict[str, MemberWeight] = {}
        self._reported = ReportedWeights()
        self._busy: Counter[str] = Counter()  # consecutive busy refusals

    def set_members(self, instances: set[str]) -> None:
        """Replace the members; discard the weights of those that are gone."""
        self._weights = {name: self._weights.get(name) or MemberWeight() for name in instances}
        self._reported.retain_only(instances)
        for gone in self._busy.keys() - instances:
            del self._busy[gone]

    def local_weight(self, instance: str) -> WeightStatus:
        """Return a member's weight according to this gateway alone."""
        member = self._weights.get(instance)
        return WeightStatus(1.0, "", 0) if member is None else member.weight

    def effective_weight(self, instance: str) -> float:
        """Return a member's weight, reduced by the reports of other gateways."""
        return self.local_weight(instance).value * self._reported.factor(instance, self._clock.now)

    # Outcomes at this gateway

    def note_served(self, instance: str) -> None:
        """Reset the count of busy refusals; a served statement does not restore weight."""
        self._busy.pop(instance, None)

    def note_busy(self, instance: str) -> None:
        """Record a busy refusal; a run of them counts as a failure."""
        self._busy[instance] += 1
        if is_persistently_busy(self._busy[instance]):
            self._busy.pop(instance)
            self.note_failure(instance, FailureKind.BUSY)

    def note_failure(self, instance: str, kind: FailureKind) -> None:
        """Record a failure of a member and reduce its weight."""
        member = self._weights.get(instance)
        if member is None:
            return
        was_degraded = member.is_degraded
        member.note_failure(kind, self._clock.now)
        if member.is_degraded and not was_degraded:
            self.on_change(instance, True)

    # Probes

    def claim_probe(self, instance: str, gateways: int) -> bool:
        """Return whether to probe a member now; if so, record the probe as sent."""
        member = self._weights.get(instance)
        now = self._clock.now
        if member is None or not member.is_probe_due(now, gateways):
            return False
        member.note_probe_sent(now)
        return True

    def note_probe_success(self, instance: str) -> None:
        """Restore weight of a member that answered a probe."""
        member = self._weights.get(instance)
        if member is None:
            return
        was_degraded = member.is_degraded
        member.note_probe_answered(self._clock.now)
        if was_degraded and not member.is_degraded:
            self.on_change(instance, False)

    # Reports between gateways

    def reduced_weights(self) -> dict[str, int]:
        """Return the members with reduced weight here, in hundredths of the full weight."""
        weights = {name: weight.weight.value for name, weight in self._weights.items()}
        return {name: round(value * 100) for name, value in weights.items() if value < 1.0}

    def note_reported(self, reduced: dict[str, int]) -> None:
        """Add another gateway's report of members with reduced weight, in hundredths."""
        known = {name: value / 100 for name, value in reduced.items() if name in self._weights}
        self._reported.note(known, self._clock.now)
