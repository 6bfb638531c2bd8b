"""How long statements take at each member: with nothing in their way, and lately.

Of each kind of work at each member a low quantile of the answer times is kept: what it takes with
nothing in its way, the way there and back included. By how much answers took longer lately is one
figure for each member: a queue delays all kinds by the same time.
"""

import math
from dataclasses import dataclass

__all__ = ["RunTimes"]

INITIAL_RUN_MS = 20.0  # ms; about a short read within a region
# Steps of the quantile, as shares of its value: where a fifth of the answers are quicker they
# balance, so that a queue does not soon pass for the usual time, and a quicker time soon does.
STEP_DOWN = 0.04
STEP_UP = 0.01
# Of the newest excess in its moving average. A rise counts at once by half, since each statement
# that still goes to a full member is refused or waits; a fall is taken in about ten answers.
RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.1
# ms; after it an excess without new answers has shrunk to 1/e. Queues are bounded, and drain in
# less; a member that nobody asks must be asked again some time.
EXCESS_DECAY_MS = 1000.0
# Usual times that a queue is assumed to take at a member that refused a statement as busy, but no
# less than a round trip between regions (ms): so much is lost if the next one is, too.
BUSY_RUNS = 3.0
SHORTEST_BUSY_QUEUE_MS = 40.0
MOST_KINDS = 100  # of one member; routes come and go with configurations
SHORTEST_USUAL_MS = 0.5  # ms; a fast network there and back. Steps are shares, and never leave 0


@dataclass(slots=True)
class _Excess:
    value: float = 0.0
    noted_at: float = 0.0

    def at(self, now: float) -> float:
        return self.value * math.exp((self.noted_at - now) / EXCESS_DECAY_MS)

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
        self._usual: dict[str, dict[str, float]] = {}
        self._excess: dict[str, _Excess] = {}

    def note(self, instance: str, kind: str, taken: float, now: float) -> None:
        """Note an answer's time."""
        kinds = self._usual.setdefault(instance, {})
        usual = kinds.get(kind)
        if usual is None:
            usual = max(taken, SHORTEST_USUAL_MS)
        else:
            usual *= 1 + STEP_UP if taken > usual else 1 - STEP_DOWN
            usual = max(usual, SHORTEST_USUAL_MS)
        kinds[kind] = usual
        if len(kinds) > MOST_KINDS:
            del kinds[next(iter(kinds))]
        self._excess.setdefault(instance, _Excess()).note(max(0.0, taken - usual), now)

    def note_busy(self, instance: str, kind: str, now: float) -> None:
        """Note that a member's queue was full."""
        full = max(BUSY_RUNS * self.service_time(kind), SHORTEST_BUSY_QUEUE_MS)
        excess = self._excess.setdefault(instance, _Excess())
        if full > excess.at(now):
            excess.value, excess.noted_at = full, now

    def baseline(self, instance: str, kind: str) -> float | None:
        """Return what a kind of work takes at a member with nothing in its way, if known."""
        return self._usual.get(instance, {}).get(kind)

    def service_time(self, kind: str) -> float:
        """Return what a slot takes for a kind of work: where the quickest member is at hand."""
        return min(self._known(kind), default=INITIAL_RUN_MS)

    def queue_delay(self, instance: str, now: float) -> float:
        """Return by how much a member's latest answers took longer than usual."""
        excess = self._excess.get(instance)
        return 0.0 if excess is None else excess.at(now)

    def keep(self, instances: set[str]) -> None:
        """Forget all other members."""
        self._excess = {name: kept for name, kept in self._excess.items() if name in instances}
        self._usual = {name: kept for name, kept in self._usual.items() if name in instances}

    def _known(self, kind: str) -> list[float]:
        return [kinds[kind] for kinds in self._usual.values() if kind in kinds]
