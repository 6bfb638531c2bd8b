"""Baseline run times of each member, and its current queueing delay.

The baseline is a low quantile of the answer times for each kind of work at each member, including
the round trip: the time that it takes when nothing is queued. The queueing delay is a single figure
for each member, as a queue delays all kinds of work alike.
"""

import math
from dataclasses import dataclass

__all__ = ["RunTimes"]

INITIAL_RUN_MS = 20.0  # ms; about a short read within a region
# Relative steps of the quantile estimate. They balance where a fifth of the answers are faster, so
# that the baseline rises slowly with a queue and falls fast with a quicker answer.
STEP_DOWN = 0.04
STEP_UP = 0.01
# Weight of the newest delay in the moving average. An increase counts by half at once, since each
# further statement sent to a full member is refused or waits; a decrease takes about ten answers.
RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.1
# ms in which a delay without new answers decays to 1/e, so that a member without requests is tried
# again. The members' queues are bounded and drain in less time.
DELAY_DECAY_MS = 1000.0
# Queueing delay assumed at a member that refused a statement as busy: in service times, but at
# least a round trip between regions, which is lost if the next statement is refused as well.
BUSY_RUNS = 3.0
MIN_BUSY_DELAY_MS = 40.0
MAX_KINDS = 100  # per member; bounds memory, as routes change with the configuration
MIN_BASELINE_MS = 0.5  # ms; the round trip in a fast network. Relative steps cannot leave 0


@dataclass(slots=True)
class _QueueDelay:
    value: float = 0.0
    noted_at: float = 0.0

    def at(self, now: float) -> float:
        return self.value * math.exp((self.noted_at - now) / DELAY_DECAY_MS)

    def note(self, newest: float, now: float) -> None:
        before = self.at(now)
        weight = RISE_WEIGHT if newest > before else FALL_WEIGHT
        self.value = before + weight * (newest - before)
        self.noted_at = now


class RunTimes:
    """Answer times of one service's members, by kind of work; milliseconds.

    Examples
    --------
    >>> times = RunTimes()
    >>> times.note("m1", "orders", 30.0, now=0.0)
    >>> times.baseline("m1", "orders"), times.queue_delay("m1", now=0.0)
    (30.0, 0.0)
    >>> times.note("m1", "orders", 90.0, now=10.0)
    >>> 29 < times.queue_delay("m1", now=10.0) < 31, times.queue_delay("m1", now=9000.0) < 0.1
    (True, True)
    """

    def __init__(self) -> None:
        self._baselines: dict[str, dict[str, float]] = {}
        self._delays: dict[str, _QueueDelay] = {}

    def note(self, instance: str, kind: str, taken: float, now: float) -> None:
        """Record the time that an answer took."""
        kinds = self._baselines.setdefault(instance, {})
        baseline = kinds.get(kind)
        if baseline is None:
            baseline = max(taken, MIN_BASELINE_MS)
        else:
            baseline *= 1 + STEP_UP if taken > baseline else 1 - STEP_DOWN
            baseline = max(baseline, MIN_BASELINE_MS)
        kinds[kind] = baseline
        if len(kinds) > MAX_KINDS:
            del kinds[next(iter(kinds))]
        self._delays.setdefault(instance, _QueueDelay()).note(max(0.0, taken - baseline), now)

    def note_busy(self, instance: str, kind: str, now: float) -> None:
        """Record that a member's queue was full."""
        assumed = max(BUSY_RUNS * self.service_time(kind), MIN_BUSY_DELAY_MS)
        delay = self._delays.setdefault(instance, _QueueDelay())
        if assumed > delay.at(now):
            delay.value, delay.noted_at = assumed, now

    def baseline(self, instance: str, kind: str) -> float | None:
        """Return the time that a kind of work takes at a member without queueing, if known."""
        return self._baselines.get(instance, {}).get(kind)

    def service_time(self, kind: str) -> float:
        """Return the time for which a kind of work occupies a slot: the lowest baseline."""
        return min(self._known(kind), default=INITIAL_RUN_MS)

    def queue_delay(self, instance: str, now: float) -> float:
        """Return by how much a member's recent answers exceeded the baseline."""
        delay = self._delays.get(instance)
        return 0.0 if delay is None else delay.at(now)

    def retain_only(self, instances: set[str]) -> None:
        """Discard the run times of all members but these."""
        self._delays = {name: kept for name, kept in self._delays.items() if name in instances}
        self._baselines = {
            name: kept for name, kept in self._baselines.items() if name in instances
        }

    def _known(self, kind: str) -> list[float]:
        return [kinds[kind] for kinds in self._baselines.values() if kind in kinds]
