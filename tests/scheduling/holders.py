"""Simulation of holders of connections that select among members with slots and a queue."""

import enum
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from rowanrail.gateway.pools.error_rate import ErrorRate
from rowanrail.kernel.clock import Clock
from rowanrail.scheduling.choice import Candidate, choose_member
from rowanrail.scheduling.member_weight import FailureKind, MemberWeight
from rowanrail.scheduling.run_times import RunTimes
from tests.support.gateway import ManualClock

KIND = "reports"
REGION_LATENCY = 20.0  # ms one way between regions
ZONE_LATENCY = 1.0  # ms one way between zones
READ_TIMEOUT = 400.0  # ms after which a read is sent to another member


class Outcome(enum.Enum):
    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    SILENT = "silent"


@dataclass(eq=False)
class SlottedMember:
    """Runs ``slots`` statements at once, queues up to ``queue_limit`` more and refuses the rest."""

    name: str
    zone: str
    clock: Clock
    randomness: random.Random
    slots: int = 6
    queue_limit: int = 6
    slowdown: float = 1.0
    error_share: float = 0.0
    is_down: bool = False
    running: int = 0
    queue: deque = field(default_factory=deque)
    outcomes: Counter = field(default_factory=Counter)

    @property
    def served(self):
        return self.outcomes[Outcome.DONE]

    def arrive(self, service_time, respond):
        if self.is_down:
            self.outcomes[Outcome.SILENT] += 1
            self.clock.call_in(READ_TIMEOUT, respond, Outcome.SILENT)
        elif self.running < self.slots:
            self._run(service_time, respond)
        elif len(self.queue) < self.queue_limit:
            self.queue.append((service_time, respond))
        else:
            self.outcomes[Outcome.REFUSED] += 1
            respond(Outcome.REFUSED)

    def _run(self, service_time, respond):
        self.running += 1
        self.clock.call_in(service_time * self.slowdown, self._done, respond)

    def _done(self, respond):
        self.running -= 1
        if self.queue:
            self._run(*self.queue.popleft())
        is_failed = self.randomness.random() < self.error_share
        outcome = Outcome.FAILED if is_failed else Outcome.DONE
        self.outcomes[outcome] += 1
        respond(outcome)


class Holder:
    """Selects members by the answers to its own statements alone."""

    def __init__(self, zone, regions, randomness, primary, members):
        self.zone, self.regions, self.primary = zone, regions, primary
        self.randomness = randomness
        self.times = RunTimes()
        self.in_flight = Counter()
        self.weights = {member.name: MemberWeight() for member in members}
        self.errors = {member.name: ErrorRate() for member in members}

    def distance(self, zone):
        if zone == self.zone:
            return 0
        return 1 if self.regions[zone] == self.regions[self.zone] else 2

    def candidate(self, member, now):
        service_time = self.times.service_time(KIND)
        baseline = self.times.baseline(member.name, KIND)
        distance = self.distance(member.zone)
        return Candidate(
            member.name,
            wait=0.0,
            run_time=baseline
            if baseline is not None
            else service_time + (2 * REGION_LATENCY if distance == 2 else 0),
            queue_delay=self.times.queue_delay(member.name, now),
            service_time=service_time,
            in_flight=self.in_flight[member.name],
            slots=member.slots,
            is_primary=member.name == self.primary,
            error_share=self.errors[member.name].at(now),
            weight=self.weights[member.name].weight.value,
            distance=distance,
        )

    def note(self, name, kind, outcome, taken, now):
        errors, weight = self.errors[name], self.weights[name]
        match outcome:
            case Outcome.DONE:
                self.times.note(name, kind, taken, now)
                errors.note(0.0, now)
            case Outcome.REFUSED:
                self.times.note_busy(name, kind, now)
            case Outcome.FAILED:
                errors.note(1.0, now)
                weight.note_failure(FailureKind.ERROR, now)
            case Outcome.SILENT:
                weight.note_failure(FailureKind.SILENCE, now)

    def latency(self, zone):
        return (0.5, ZONE_LATENCY, REGION_LATENCY)[self.distance(zone)]


class Simulation:
    """Reads at holders in several zones, and writes that only the primary serves."""

    def __init__(self, demand, writes=0.0, service_time=28.0, regions=None, primary="m1", seed=1):
        self.manual = ManualClock()
        self.clock = Clock(self.manual)
        self.randomness = draw = random.Random(seed)
        self.service_time, self.writes, self.demand = service_time, writes, demand
        regions = regions or {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
        zones = ("a1", "b1", "c1")
        self.members = [
            SlottedMember(f"m{n + 1}", z, self.clock, draw) for n, z in enumerate(zones)
        ]
        self.holders = [Holder(z, regions, draw, primary, self.members) for z in regions]
        self.answer_times = []
        self.reads = Counter()
        self.attempts = 0
        self.clock.call_in(100.0, self._probe)

    def _probe(self):
        now = self.clock.now
        for holder in self.holders:
            for member in self.members:
                weight = holder.weights[member.name]
                if weight.is_probe_due(now):
                    weight.note_probe_sent(now)
                    # A member that fails only a share of the statements answers its probes.
                    if member.is_down:
                        weight.note_failure(FailureKind.PROBE_FAILED, now)
                    else:
                        weight.note_probe_answered(now)
        self.clock.call_in(100.0, self._probe)

    def run(self, seconds, rate):
        """Simulate Poisson arrivals of ``rate`` statements per second."""
        end = self.clock.now + seconds * 1000
        while self.clock.now < end:
            self.manual.advance(self.randomness.expovariate(rate))
            (holder,) = self.randomness.choices(self.holders, self.demand)
            writes = self.randomness.random() < self.writes
            self.send(holder, set() if not writes else {"m2", "m3"}, writes, self.clock.now)

    def send(self, holder, excluded, writes, since):
        allowed = [member for member in self.members if member.name not in excluded]
        if not allowed:
            return
        name = choose_member(
            [holder.candidate(m, self.clock.now) for m in allowed], holder.randomness
        )
        member = next(m for m in self.members if m.name == name)
        holder.in_flight[name] += 1
        self.attempts += 1
        sent_at = self.clock.now
        latency = holder.latency(member.zone)

        def answered(outcome):
            holder.in_flight[name] -= 1
            now = self.clock.now
            holder.note(name, "writes" if writes else KIND, outcome, now - sent_at, now)
            if outcome is Outcome.DONE:
                self.reads[name] += not writes
                self.answer_times.append(now - since)
            elif writes:
                self.clock.call_in(20.0, self.send, holder, excluded, True, since)
            else:
                self.send(holder, excluded | {name}, False, since)

        def respond(outcome):
            self.clock.call_in(latency, answered, outcome)

        service_time = self.service_time * self.randomness.uniform(0.8, 1.2)
        self.clock.call_in(latency, member.arrive, service_time, respond)

    def share_of(self, outcome):
        """Return the share of attempts with an outcome."""
        return sum(member.outcomes[outcome] for member in self.members) / self.attempts

    @property
    def refused_share(self):
        return self.share_of(Outcome.REFUSED)

    @property
    def imbalance(self):
        """Ratio of the highest to the mean number of statements served by a member."""
        served = [member.served for member in self.members]
        return max(served) * len(served) / sum(served)

    def slower_than(self, ms):
        """Return the share of statements that took longer, including all attempts."""
        return sum(taken > ms for taken in self.answer_times) / len(self.answer_times)
