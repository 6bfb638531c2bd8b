"""Simulated member with slots and a bounded queue, and clients that send statements to it."""

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

OPENING_TIME = 0.012  # s for which a new connection occupies a slot
DONE = Answer(signature=b"sig")
FULL = Answer(refusal=Refusal.BUSY, message="the queue is full")


class SlottedMember(MemberDriver):
    """Runs ``slots`` statements concurrently, queues ``queue`` more and refuses the others."""

    def __init__(
        self, clock: ManualClock, slots: int = 4, queue: int = 32, latency: float = 0.001
    ) -> None:
        self.clock, self.slots, self.queue, self.latency = clock, slots, queue, latency
        self.slowdown = 1.0
        self.arrived = self.refused = self.opened = 0
        self.running = 0
        self.longest_queue = 0
        self._waiting: deque[tuple[float, Callable[[], None]]] = deque()

    def record(self, slots: int | None = None) -> MemberRecord:
        slots = self.slots if slots is None else slots
        return MemberRecord("m1", "db", "m1:1", "a", True, False, slots, 1)

    @property
    def refused_share(self) -> float:
        return self.refused / max(1, self.arrived)

    def take(self, seconds: float, done: Callable[[], None], refuse: Callable[[], None]) -> None:
        self.arrived += 1
        if self.running < self.slots:
            self._run(seconds, done)
        elif len(self._waiting) < self.queue:
            self._waiting.append((seconds, done))
            self.longest_queue = max(self.longest_queue, len(self._waiting))
        else:
            self.refused += 1
            refuse()

    def _run(self, seconds: float, done: Callable[[], None]) -> None:
        self.running += 1
        self.clock.call_later(self.slowdown * seconds, self._end, done)

    def _end(self, done: Callable[[], None]) -> None:
        self.running -= 1
        if self._waiting:
            self._run(*self._waiting.popleft())
        done()

    def open(self, address: str, service: str, instance: str, channel: Channel) -> None:
        self.opened += 1

        def opened() -> None:
            self.clock.call_later(self.latency, channel.opened, SlottedWire(self, channel), None)

        def refused() -> None:
            self.clock.call_later(self.latency, channel.refused, Refusal.BUSY, "the queue is full")

        self.clock.call_later(self.latency, self.take, OPENING_TIME, opened, refused)


class SlottedWire(ChannelTransport):
    def __init__(self, member: SlottedMember, channel: Channel) -> None:
        self.member, self.channel = member, channel

    def send(self, commands: list[Command]) -> None:
        for command in commands:
            self.member.clock.call_later(self.member.latency, self._arrive, command)

    def _arrive(self, command: Command) -> None:
        seconds = float(command.text)
        self.member.take(seconds, lambda: self._answer(DONE), lambda: self._answer(FULL))

    def _answer(self, answer: Answer) -> None:
        self.member.clock.call_later(self.member.latency, self.channel.answered, answer)

    def close(self) -> None:
        pass


@dataclass
class Workload:
    """Statements of one class and tenant, and their outcomes."""

    urgency: int
    tenant: str
    rate: float  # statements per second
    service_time: float  # s on average
    timeout: float = 0.8
    weight: float = 1.0
    waits: list[float] = field(default_factory=list)  # s from arrival to sending
    times: list[float] = field(default_factory=list)  # s from arrival to the answer
    expired: int = 0  # waited for a connection until the time limit
    refused: int = 0

    @property
    def served(self) -> float:
        return len(self.times) / max(1, len(self.times) + self.expired + self.refused)


class Request:
    """One statement of a workload."""

    def __init__(
        self, pool: MemberPool, clock: ManualClock, workload: Workload, service_time: float
    ) -> None:
        self.pool, self.clock, self.workload, self.service_time = (
            pool,
            clock,
            workload,
            service_time,
        )
        self.began = clock.time()
        deadline = (self.began + workload.timeout) * 1000
        entry = QueueEntry(
            workload.urgency, workload.tenant, self.began * 1000, deadline, workload.weight
        )
        self.waiter: Waiter | None = Waiter(entry, {}, self._take, self._expire)
        self.timer = clock.call_later(workload.timeout, self._expire)
        pool.acquire(self.waiter)

    def _expire(self) -> None:
        """Leave the queue, as told by the pool or at the time limit."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None:
            self.pool.queue.remove(waiter)
            self.workload.expired += 1

    def _take(self, channel: Channel | None, answer: Answer) -> None:
        self.waiter = None
        if channel is None:
            self.workload.refused += 1
            return
        self.channel = channel
        self.sent_at = self.clock.time()
        self.workload.waits.append(self.sent_at - self.began)
        command = Command(CommandKind.STATEMENT, str(self.service_time), "q")
        channel.send([command], [self._answered])

    def _answered(self, answer: Answer) -> None:
        seconds = self.clock.time() - self.sent_at
        self.pool.note_answered(answer.refusal, 1000 * seconds)
        self.pool.release(self.channel, 1000 * seconds)
        if answer.refusal is None:
            self.workload.times.append(self.clock.time() - self.began)
        else:
            self.workload.refused += 1


def simulate(
    clock: ManualClock,
    pools: list[MemberPool],
    workloads: list[Workload],
    seconds: float,
    seed: int = 1,
    spread: float = 5.0,
) -> None:
    """Simulate Poisson arrivals, each workload's at one of the holders.

    Service times vary by a factor of ``spread`` around their average.
    """
    rng = random.Random(seed)

    def arrive(workload: Workload, pool: MemberPool, until: float) -> None:
        if clock.time() >= until:
            return
        service_time = workload.service_time * rng.uniform(1, spread) / ((1 + spread) / 2)
        Request(pool, clock, workload, service_time)
        clock.call_later(rng.expovariate(workload.rate), arrive, workload, pool, until)

    until = clock.time() + seconds
    for number, workload in enumerate(workloads):
        pool = pools[number % len(pools)]
        clock.call_later(rng.expovariate(workload.rate), arrive, workload, pool, until)
    clock.advance(seconds + 1.0)
