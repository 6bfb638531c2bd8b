"""The weights of one service's members at this gateway, and what others reported of them.

Owns a :class:`rowanrail.scheduling.member_weight.MemberWeight` a member, which is the rule, and the
count of busy refusals running; tells its owner of each member that falls or is back.
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
        The time.
    """

    def __init__(self, clock: Clock) -> None:
        self.on_change: Callable[[str, bool], None] = lambda instance, has_fallen: None
        self._clock = clock
        self._weights: dict[str, MemberWeight] = {}
        self._reported = ReportedWeights()
        self._busy: Counter[str] = Counter()  # busy refusals running

    def set_members(self, instances: set[str]) -> None:
        """Know the members; those that left are forgotten."""
        self._weights = {name: self._weights.get(name) or MemberWeight() for name in instances}
        self._reported.keep(instances)

    def local_weight(self, instance: str) -> WeightStatus:
        """Return a member's weight by what was met here."""
        known = self._weights.get(instance)
        return WeightStatus(1.0, "", 0) if known is None else known.weight

    def effective_weight(self, instance: str) -> float:
        """Return a member's weight with what others reported."""
        return self.local_weight(instance).value * self._reported.factor(instance, self._clock.now)

    # What was met here

    def note_served(self, instance: str) -> None:
        """Note that a member ran a statement; it gets back no weight by it."""
        self._busy.pop(instance, None)

    def note_busy(self, instance: str) -> None:
        """Note that a member refused a statement as too busy."""
        self._busy[instance] += 1
        if is_persistently_busy(self._busy[instance]):
            self._busy.pop(instance)
            self.note_trouble(instance, FailureKind.BUSY)

    def note_trouble(self, instance: str, trouble: FailureKind) -> None:
        """Note a failure of a member."""
        known = self._weights.get(instance)
        if known is None:
            return
        was_fallen = known.is_degraded
        known.note_failure(trouble, self._clock.now)
        if known.is_degraded and not was_fallen:
            self.on_change(instance, True)

    # Probes

    def wants_probe(self, instance: str, gateways: int) -> bool:
        """Return whether to probe a member now, which is taken to be done then."""
        known = self._weights.get(instance)
        now = self._clock.now
        if known is None or not known.is_probe_due(now, gateways):
            return False
        known.note_probe_sent(now)
        return True

    def note_probe(self, instance: str) -> None:
        """Note that a member answered a probe."""
        known = self._weights.get(instance)
        if known is None:
            return
        was_fallen = known.is_degraded
        known.note_probe_answered(self._clock.now)
        if was_fallen and not known.is_degraded:
            self.on_change(instance, False)

    # What gateways report to each other

    def reduced_weights(self) -> dict[str, int]:
        """Return the members that lost weight here, and how much is left in hundredths."""
        weights = {name: weight.weight.value for name, weight in self._weights.items()}
        return {name: round(value * 100) for name, value in weights.items() if value < 1.0}

    def note_reported(self, reduced: dict[str, int]) -> None:
        """Take the members that lost weight at another gateway, and how much is left there."""
        known = {name: left / 100 for name, left in reduced.items() if name in self._weights}
        self._reported.note(known, self._clock.now)
