"""A member with slots and a queue of its own, and callers who send it statements, on a clock."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.members.channel import Channel, ChannelTransport, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal
from rowanrail.scheduling.queue import QueueEntry
from tests.support.gateway import ManualClock

OPENING = 0.012  # s of a slot for each new connection
DONE = Answer(signature=b"sig")
FULL = Answer(refusal=Refusal.BUSY, message="the queue is full")


class SlottedMember(MemberDriver):
    """Runs ``slots`` statements at a time; ``queue`` more wait, the others are turned away."""

    def __init__(
        self, clock: ManualClock, slots: int = 4, queue: int = 32, way: float = 0.001
    ) -> None:
        self.clock, self.slots, self.queue, self.way = clock, slots, queue, way
        self.slowness = 1.0
        self.arrived = self.turned_away = self.opened = 0
        self.running = 0
        self.longest_queue = 0
        self._waiting: deque[tuple[float, Callable[[], None]]] = deque()

    def record(self, slots: int | None = None) -> MemberRecord:
        slots = self.slots if slots is None else slots
        return MemberRecord("m1", "db", "m1:1", "a", True, False, slots, 1)

    @property
    def turned_away_share(self) -> float:
        return self.turned_away / max(1, self.arrived)

    def take(self, seconds: float, done: Callable[[], None], refuse: Callable[[], None]) -> None:
        self.arrived += 1
        if self.running < self.slots:
            self._run(seconds, done)
        elif len(self._waiting) < self.queue:
            self._waiting.append((seconds, done))
            self.longest_queue = max(self.longest_queue, len(self._waiting))
        else:
            self.turned_away += 1
            refuse()

    def _run(self, seconds: float, done: Callable[[], None]) -> None:
        self.running += 1
        self.clock.call_later(self.slowness * seconds, self._end, done)

    def _end(self, done: Callable[[], None]) -> None:
        self.running -= 1
        if self._waiting:
            self._run(*self._waiting.popleft())
        done()

    def open(self, address: str, service: str, instance: str, channel: Channel) -> None:
        self.opened += 1

        def opened() -> None:
            self.clock.call_later(self.way, channel.opened, SlottedWire(self, channel), None)

        def refused() -> None:
            self.clock.call_later(self.way, channel.refused, Refusal.BUSY, "the queue is full")

        self.clock.call_later(self.way, self.take, OPENING, opened, refused)


class SlottedWire(ChannelTransport):
    def __init__(self, member: SlottedMember, channel: Channel) -> None:
        self.member, self.channel = member, channel

    def send(self, commands: list[Command]) -> None:
        for command in commands:
            self.member.clock.call_later(self.member.way, self._arrive, command)

    def _arrive(self, command: Command) -> None:
        seconds = float(command.text)
        self.member.take(seconds, lambda: self._answer(DONE), lambda: self._answer(FULL))

    def _answer(self, answer: Answer) -> None:
        self.member.clock.call_later(self.member.way, self.channel.answered, answer)

    def close(self) -> None:
        pass


@dataclass
class Kind:
    """Statements of one class and tenant."""

    urgency: int
    tenant: str
    rate: float  # a second
    work: float  # s on average
    timeout: float = 0.8
    weight: float = 1.0
    waits: list[float] = field(default_factory=list)  # s from arrival to being sent, of each sent
    times: list[float] = field(default_factory=list)  # s from arrival to the answer
    expired: int = 0  # waited for a connection until its time was over
    refused: int = 0

    @property
    def served(self) -> float:
        return len(self.times) / max(1, len(self.times) + self.expired + self.refused)


class Caller:
    """One statement."""

    def __init__(self, pool: MemberPool, clock: ManualClock, kind: Kind, work: float) -> None:
        self.pool, self.clock, self.kind, self.work = pool, clock, kind, work
        self.began = clock.time()
        deadline = (self.began + kind.timeout) * 1000
        entry = QueueEntry(kind.urgency, kind.tenant, self.began * 1000, deadline, kind.weight)
        self.waiter: Waiter | None = Waiter(entry, {}, self._take, self._expire)
        self.timer = clock.call_later(kind.timeout, self._expire)
        pool.acquire(self.waiter)

    def _expire(self) -> None:
        """Be told that it is too late, or notice it."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None:
            self.pool.queue.remove(waiter)
            self.kind.expired += 1

    def _take(self, channel: Channel | None, answer: Answer) -> None:
        self.waiter = None
        if channel is None:
            self.kind.refused += 1
            return
        self.channel = channel
        self.sent_at = self.clock.time()
        self.kind.waits.append(self.sent_at - self.began)
        command = Command(CommandKind.STATEMENT, str(self.work), "q")
        channel.send([command], [self._answered])

    def _answered(self, answer: Answer) -> None:
        seconds = self.clock.time() - self.sent_at
        self.pool.note_answered(answer.refusal, 1000 * seconds)
        self.pool.release(self.channel, 1000 * seconds)
        if answer.refusal is None:
            self.kind.times.append(self.clock.time() - self.began)
        else:
            self.kind.refused += 1


def play(
    clock: ManualClock,
    pools: list[MemberPool],
    kinds: list[Kind],
    seconds: float,
    seed: int = 1,
    spread: float = 5.0,
) -> None:
    """Let callers come at random, each tenant's at one of the holders; work differs 1 : spread."""
    rng = random.Random(seed)

    def come(kind: Kind, pool: MemberPool, until: float) -> None:
        if clock.time() >= until:
            return
        # Between 1 and `spread`, around the average.
        work = kind.work * rng.uniform(1, spread) / ((1 + spread) / 2)
        Caller(pool, clock, kind, work)
        clock.call_later(rng.expovariate(kind.rate), come, kind, pool, until)

    until = clock.time() + seconds
    for number, kind in enumerate(kinds):
        pool = pools[number % len(pools)]
        clock.call_later(rng.expovariate(kind.rate), come, kind, pool, until)
    clock.advance(seconds + 1.0)
