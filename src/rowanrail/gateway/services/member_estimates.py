"""Estimates about the members of a service, and the candidates for a read made from them.

Run times, replication lag, warm-up and weights are learned from answers as this gateway sees them.
:func:`rowanrail.scheduling.choice.choose_member` chooses among the candidates.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.services.member_weights import MemberWeights
from rowanrail.kernel.clock import Clock
from rowanrail.members.primary import PrimaryTracker
from rowanrail.model.members import MemberRecord, is_same_life
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Refusal
from rowanrail.scheduling.choice import Candidate, effective_wait, expected_run_time
from rowanrail.scheduling.lag import LagEstimate
from rowanrail.scheduling.queue import QueueEntry
from rowanrail.scheduling.run_times import RunTimes
from rowanrail.scheduling.warming import WarmUp

__all__ = ["MemberEstimates", "ReadRequirements"]

_DEFAULT_ENTRY = QueueEntry(0, None, 0.0)


@dataclass(frozen=True, slots=True)
class ReadRequirements:
    """Requirements of a read, or of a read-only transaction, for a member.

    Parameters
    ----------
    kind : str
        Name of its route; reads of one route have similar run times.
    entry : QueueEntry
        Its queue entry: urgency, tenant and deadline.
    floor : Position or None
        Position that the member's log must hold; None for any.
    regions : frozenset of str or None
        Regions in which it may run; None for any.
    """

    kind: str = ""
    entry: QueueEntry = _DEFAULT_ENTRY
    floor: Position | None = None
    regions: frozenset[str] | None = None


class MemberEstimates:
    """Run times, replication lag, warm-up and weights of one service's members.

    Parameters
    ----------
    locality : Locality
        Location of the gateway.
    tracker : PrimaryTracker
        Provides the age of positions in the primary's log.
    clock : Clock
        Monotonic clock in milliseconds.
    """

    def __init__(self, locality: Locality, tracker: PrimaryTracker, clock: Clock) -> None:
        self._locality = locality
        self._tracker = tracker
        self._clock = clock
        self._times = RunTimes()
        self._lags: dict[str, LagEstimate] = {}
        self._warm_ups: dict[str, WarmUp] = {}
        self._records: dict[str, MemberRecord] = {}
        self._sent_remote: Counter[str] = Counter()  # in flight at gateways of other regions
        self.weights = MemberWeights(clock)

    def set_members(self, records: list[MemberRecord]) -> None:
        """Replace the members; discard the estimates of those that are gone, or started again."""
        now = self._clock.now
        before, self._records = self._records, {record.instance: record for record in records}
        kept = {
            name
            for name, record in self._records.items()
            if name in before and is_same_life(before[name], record)
        }
        self._times.retain_only(kept)
        self.weights.set_members(kept)
        warm_ups = {name: known for name, known in self._warm_ups.items() if name in kept}
        lags = {name: known for name, known in self._lags.items() if name in kept}
        self._warm_ups, self._lags = {}, {}
        for record in records:
            name = record.instance
            self._warm_ups[name] = warm_ups.get(name) or WarmUp(record.cold_ms, now)
            self._lags[name] = lags.get(name) or LagEstimate()
        instances = set(self._lags)
        self.weights.set_members(instances)
        for gone in self._sent_remote.keys() - instances:
            del self._sent_remote[gone]

    def note_answer(
        self, instance: str, kind: str, answer: Answer, sent_at: float, floor: Position | None
    ) -> None:
        """Update the estimates with an answer to a statement sent at ``sent_at`` seconds."""
        now = self._clock.now
        lag = self._lags.get(instance)
        if lag is None:
            return
        match answer.refusal:
            case None:
                self.weights.note_served(instance)
                self._times.note(instance, kind, now - sent_at * 1000, now)
                if floor is not None:
                    lag.note_present(self._age(floor), now)
            case Refusal.BEHIND if floor is not None:
                lag.note_missing(self._age(floor), now)
            case Refusal.BUSY:
                self._times.note_busy(instance, kind, now)
                self.weights.note_busy(instance)

    def note_sent_remote(self, instance: str) -> None:
        """Record that a read was forwarded to the holder in a member's region."""
        self._sent_remote[instance] += 1

    def note_remote_answer(self, instance: str, kind: str, answer: Answer, sent_at: float) -> None:
        """Update the run times with an answer to a read forwarded at ``sent_at`` seconds.

        The holder may have used another member of that region, and its refusals may have other
        causes than the member, so nothing else is learned.
        """
        now = self._clock.now
        if instance not in self._sent_remote:
            return  # the member has left
        self._sent_remote[instance] -= 1
        if answer.refusal is None:
            self._times.note(instance, kind, now - sent_at * 1000, now)
        elif answer.refusal is Refusal.BUSY:
            self._times.note_busy(instance, kind, now)

    def queue_seconds(self, instance: str) -> float:
        """Return by how many seconds a member's recent answers exceeded their usual time."""
        return self._times.queue_delay(instance, self._clock.now) / 1000

    def _age(self, floor: Position) -> float:
        """Return how long the primary's log is known to have held a position, in milliseconds."""
        since = self._tracker.history.held_since(floor)
        return 0.0 if since is None else max(0.0, self._clock.now - since * 1000)

    def candidates(
        self, pools: Mapping[str, MemberPool], requirements: ReadRequirements
    ) -> list[Candidate]:
        """Return a candidate for each pool's member."""
        now = self._clock.now
        age = self._age(requirements.floor) if requirements.floor is not None else None
        return [self._candidate(pool, requirements, age, now) for pool in pools.values()]

    def _candidate(
        self, pool: MemberPool, requirements: ReadRequirements, age: float | None, now: float
    ) -> Candidate:
        record = pool.record
        name = record.instance
        service_time = self._times.service_time(requirements.kind)
        is_primary = name == self._tracker.presumed_primary
        catch_up_time = 0.0
        if age is not None and not is_primary and name in self._lags:
            catch_up_time = self._lags[name].expected_catch_up(age, now)
        distance = self._locality.distance(record.zone)
        is_remote = distance == 2 and bool(self._locality.regions)
        baseline = self._times.baseline(name, requirements.kind)
        forecast = pool.forecasts.for_entry(requirements.entry)
        return Candidate(
            instance=name,
            wait=effective_wait(forecast, bool(requirements.entry.tenant)),
            run_time=expected_run_time(baseline, service_time, is_remote),
            queue_delay=self._times.queue_delay(name, now),
            service_time=service_time,
            in_flight=pool.connections.in_flight + self._sent_remote[name],
            slots=record.slots,
            is_primary=is_primary,
            error_share=pool.error_rate,
            is_suspect=pool.is_suspect,
            slowdown=self._warm_ups[name].slowdown(now) if name in self._warm_ups else 1.0,
            weight=self.weights.effective_weight(name),
            distance=distance,
            catch_up_time=catch_up_time,
        )
