"""Several holders of connections before members with few slots and a bounded queue."""

import random
from collections import Counter, deque
from dataclasses import dataclass, field

from rowanrail.kernel.clock import Clock
from rowanrail.scheduling.choice import Candidate, choose
from rowanrail.scheduling.run_times import RunTimes
from tests.support.gateway import ManualClock

KIND = "reports"
REGION_WAY = 20.0  # ms one way between regions
ZONE_WAY = 1.0  # ms one way between zones


@dataclass(eq=False)
class SlottedMember:
    """Runs some statements at once, queues some, turns the others away."""

    name: str
    zone: str
    clock: Clock
    slots: int = 6
    queue_limit: int = 6
    factor: float = 1.0
    running: int = 0
    queue: deque = field(default_factory=deque)
    turned_away: int = 0
    served: int = 0

    def arrive(self, work, respond):
        if self.running < self.slots:
            self._run(work, respond)
        elif len(self.queue) < self.queue_limit:
            self.queue.append((work, respond))
        else:
            self.turned_away += 1
            respond(False)

    def _run(self, work, respond):
        self.running += 1
        self.clock.call_in(work * self.factor, self._done, respond)

    def _done(self, respond):
        self.running -= 1
        self.served += 1
        if self.queue:
            self._run(*self.queue.popleft())
        respond(True)


class Holder:
    """Decides by what its own statements told it."""

    def __init__(self, zone, regions, randomness, primary):
        self.zone, self.regions, self.primary = zone, regions, primary
        self.randomness = randomness
        self.times = RunTimes()
        self.under_way = Counter()

    def distance(self, zone):
        if zone == self.zone:
            return 0
        return 1 if self.regions[zone] == self.regions[self.zone] else 2

    def candidate(self, member, now):
        work = self.times.work(KIND)
        usual = self.times.usual(member.name, KIND)
        distance = self.distance(member.zone)
        return Candidate(
            member.name,
            wait=0.0,
            run=usual if usual is not None else work + (2 * REGION_WAY if distance == 2 else 0),
            queue=self.times.queue(member.name, now),
            work=work,
            under_way=self.under_way[member.name],
            slots=member.slots,
            is_primary=member.name == self.primary,
            distance=distance,
        )

    def way(self, zone):
        return (0.5, ZONE_WAY, REGION_WAY)[self.distance(zone)]


class Load:
    """Reads at holders of uneven zones, and the writes that only the primary takes."""

    def __init__(self, demand, writes=0.0, work=28.0, regions=None, primary="m1", seed=1):
        self.manual = ManualClock()
        self.clock = Clock(self.manual)
        self.randomness = random.Random(seed)
        self.work, self.writes, self.demand = work, writes, demand
        regions = regions or {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
        zones = ("a1", "b1", "c1")
        self.members = [SlottedMember(f"m{n + 1}", z, self.clock) for n, z in enumerate(zones)]
        self.holders = [Holder(zone, regions, self.randomness, primary) for zone in regions]
        self.taken = []
        self.reads = Counter()
        self.attempts = 0

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
        name = choose([holder.candidate(m, self.clock.now) for m in allowed], holder.randomness)
        member = next(m for m in self.members if m.name == name)
        holder.under_way[name] += 1
        self.attempts += 1
        sent_at = self.clock.now
        way = holder.way(member.zone)

        def answered(was_run):
            holder.under_way[name] -= 1
            now = self.clock.now
            if was_run:
                if not writes:
                    self.reads[name] += 1
                    holder.times.note(name, KIND, now - sent_at, now)
                self.taken.append(now - since)
                return
            holder.times.note_turned_away(name, KIND, now)
            if writes:
                self.clock.call_in(20.0, self.send, holder, excluded, True, since)
            else:
                self.send(holder, excluded | {name}, False, since)

        def respond(was_run):
            self.clock.call_in(way, answered, was_run)

        work = self.work * self.randomness.uniform(0.8, 1.2)
        self.clock.call_in(way, member.arrive, work, respond)

    @property
    def turned_away_share(self):
        return sum(member.turned_away for member in self.members) / self.attempts

    @property
    def busiest(self):
        served = [member.served for member in self.members]
        return max(served) * len(served) / sum(served)

    def slower_than(self, ms):
        return sum(taken > ms for taken in self.taken) / len(self.taken)
