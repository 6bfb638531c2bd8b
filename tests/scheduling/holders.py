"""Several holders of connections before members with few slots and a bounded queue."""

import enum
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from rowanrail.gateway.pools.error_rate import ErrorRate
from rowanrail.kernel.clock import Clock
from rowanrail.scheduling.choice import Candidate, choose_member
from rowanrail.scheduling.member_weight import MemberWeight, Trouble
from rowanrail.scheduling.run_times import RunTimes
from tests.support.gateway import ManualClock

KIND = "reports"
REGION_WAY = 20.0  # ms one way between regions
ZONE_WAY = 1.0  # ms one way between zones
PATIENCE = 400.0  # ms after which a read is asked for elsewhere


class Outcome(enum.Enum):
    DONE = "done"
    TURNED_AWAY = "turned away"
    FAILED = "failed"
    SILENT = "silent"


@dataclass(eq=False)
class SlottedMember:
    """Runs some statements at once, queues some, turns the others away."""

    name: str
    zone: str
    clock: Clock
    randomness: random.Random
    slots: int = 6
    queue_limit: int = 6
    factor: float = 1.0
    error_share: float = 0.0
    is_down: bool = False
    running: int = 0
    queue: deque = field(default_factory=deque)
    outcomes: Counter = field(default_factory=Counter)

    @property
    def served(self):
        return self.outcomes[Outcome.DONE]

    def arrive(self, work, respond):
        if self.is_down:
            self.outcomes[Outcome.SILENT] += 1
            self.clock.call_in(PATIENCE, respond, Outcome.SILENT)
        elif self.running < self.slots:
            self._run(work, respond)
        elif len(self.queue) < self.queue_limit:
            self.queue.append((work, respond))
        else:
            self.outcomes[Outcome.TURNED_AWAY] += 1
            respond(Outcome.TURNED_AWAY)

    def _run(self, work, respond):
        self.running += 1
        self.clock.call_in(work * self.factor, self._done, respond)

    def _done(self, respond):
        self.running -= 1
        if self.queue:
            self._run(*self.queue.popleft())
        is_failed = self.randomness.random() < self.error_share
        outcome = Outcome.FAILED if is_failed else Outcome.DONE
        self.outcomes[outcome] += 1
        respond(outcome)


class Holder:
    """Decides by what its own statements told it."""

    def __init__(self, zone, regions, randomness, primary, members):
        self.zone, self.regions, self.primary = zone, regions, primary
        self.randomness = randomness
        self.times = RunTimes()
        self.under_way = Counter()
        self.health = {member.name: MemberWeight() for member in members}
        self.errors = {member.name: ErrorRate() for member in members}

    def distance(self, zone):
        if zone == self.zone:
            return 0
        return 1 if self.regions[zone] == self.regions[self.zone] else 2

    def candidate(self, member, now):
        work = self.times.service_time(KIND)
        usual = self.times.baseline(member.name, KIND)
        distance = self.distance(member.zone)
        return Candidate(
            member.name,
            wait=0.0,
            run_time=usual
            if usual is not None
            else work + (2 * REGION_WAY if distance == 2 else 0),
            queue_delay=self.times.queue_delay(member.name, now),
            service_time=work,
            in_flight=self.under_way[member.name],
            slots=member.slots,
            is_primary=member.name == self.primary,
            error_share=self.errors[member.name].at(now),
            weight=self.health[member.name].weight.value,
            distance=distance,
        )

    def note(self, name, kind, outcome, taken, now):
        errors, health = self.errors[name], self.health[name]
        match outcome:
            case Outcome.DONE:
                self.times.note(name, kind, taken, now)
                errors.note(0.0, now)
            case Outcome.TURNED_AWAY:
                self.times.note_busy(name, kind, now)
            case Outcome.FAILED:
                errors.note(1.0, now)
                health.note_trouble(Trouble.ERROR, now)
            case Outcome.SILENT:
                health.note_trouble(Trouble.SILENCE, now)

    def way(self, zone):
        return (0.5, ZONE_WAY, REGION_WAY)[self.distance(zone)]


class Load:
    """Reads at holders of uneven zones, and the writes that only the primary takes."""

    def __init__(self, demand, writes=0.0, work=28.0, regions=None, primary="m1", seed=1):
        self.manual = ManualClock()
        self.clock = Clock(self.manual)
        self.randomness = draw = random.Random(seed)
        self.work, self.writes, self.demand = work, writes, demand
        regions = regions or {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
        zones = ("a1", "b1", "c1")
        self.members = [
            SlottedMember(f"m{n + 1}", z, self.clock, draw) for n, z in enumerate(zones)
        ]
        self.holders = [Holder(z, regions, draw, primary, self.members) for z in regions]
        self.taken = []
        self.reads = Counter()
        self.attempts = 0
        self.clock.call_in(100.0, self._probe)

    def _probe(self):
        now = self.clock.now
        for holder in self.holders:
            for member in self.members:
                health = holder.health[member.name]
                if health.wants_probe(now):
                    health.note_probing(now)
                    # A probe of a member that limps is answered, as its health check is.
                    if member.is_down:
                        health.note_trouble(Trouble.PROBE_FAILED, now)
                    else:
                        health.note_probe(now)
        self.clock.call_in(100.0, self._probe)

    def play(self, seconds, rate):
        """Have ``rate`` statements a second come, as Poisson arrivals."""
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
        holder.under_way[name] += 1
        self.attempts += 1
        sent_at = self.clock.now
        way = holder.way(member.zone)

        def answered(outcome):
            holder.under_way[name] -= 1
            now = self.clock.now
            holder.note(name, "writes" if writes else KIND, outcome, now - sent_at, now)
            if outcome is Outcome.DONE:
                self.reads[name] += not writes
                self.taken.append(now - since)
            elif writes:
                self.clock.call_in(20.0, self.send, holder, excluded, True, since)
            else:
                self.send(holder, excluded | {name}, False, since)

        def respond(outcome):
            self.clock.call_in(way, answered, outcome)

        work = self.work * self.randomness.uniform(0.8, 1.2)
        self.clock.call_in(way, member.arrive, work, respond)

    def share_of(self, outcome):
        """Return the share of attempts that ended so."""
        return sum(member.outcomes[outcome] for member in self.members) / self.attempts

    @property
    def turned_away_share(self):
        return self.share_of(Outcome.TURNED_AWAY)

    @property
    def busiest(self):
        served = [member.served for member in self.members]
        return max(served) * len(served) / sum(served)

    def slower_than(self, ms):
        return sum(taken > ms for taken in self.taken) / len(self.taken)
