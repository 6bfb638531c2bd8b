"""Simulated clients that make up to three attempts and retry when they are told to."""

import random
from collections import Counter
from dataclasses import dataclass, field

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.queued_request import QueuedRequest
from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel
from rowanrail.model.statements import Answer, Command, CommandKind
from rowanrail.scheduling.admission import Admit, decide_on_arrival
from rowanrail.scheduling.queue import QueueEntry
from rowanrail.scheduling.retrying import PRIORITY_AFTER_REJECTIONS, RetryTimes, retry_after_base
from tests.support.gateway import ManualClock

MAX_ATTEMPTS = 3
TIMEOUT = 0.8  # s


@dataclass
class ClientGroup:
    """Operations of one tenant and urgency, and their outcomes."""

    urgency: int
    tenant: str
    rate: float  # operations per second
    service_time: float  # s on average
    operations: int = 0
    done: list[float] = field(default_factory=list)  # s from the first attempt to the answer
    refused: Counter[str] = field(default_factory=Counter)  # attempts, by stage
    in_doubt: int = 0
    retry_at: list[float] = field(default_factory=list)  # times on the clock, in s

    @property
    def done_share(self) -> float:
        return len(self.done) / max(1, self.operations)


class Holder:
    """One gateway's connections to the member, and the retry times that it assigns."""

    def __init__(self, pool: MemberPool, clock: ManualClock) -> None:
        self.pool = pool
        self.clock = clock
        self.retry_times = RetryTimes(Clock(clock))


class Client:
    """One operation of one statement."""

    def __init__(self, holder: Holder, group: ClientGroup, service_time: float) -> None:
        self.holder, self.group, self.service_time = holder, group, service_time
        self.clock = holder.clock
        self.began = self.clock.time()
        self.attempts = 0
        group.operations += 1
        self.attempt()

    def attempt(self) -> None:
        pool, now = self.holder.pool, self.clock.time() * 1000
        time_limit = TIMEOUT * 1000
        is_retrying = self.attempts >= PRIORITY_AFTER_REJECTIONS
        group = self.group
        entry = QueueEntry(
            group.urgency, group.tenant, now, now + time_limit, is_retrying=is_retrying
        )
        self.attempts += 1
        self.is_sent = self.is_over = False
        reliable_share = pool.forecasts.errors.of(group.urgency).reliable_share
        if not isinstance(
            decide_on_arrival(
                pool.forecasts.for_entry(entry), time_limit, time_limit, reliable_share
            ),
            Admit,
        ):
            self.retry(entry, "arriving")
            return
        self.entry = entry
        self.timer = self.clock.call_later(TIMEOUT, self.expire)
        self.queued = QueuedRequest(pool, entry, {}, self.take, self.give_up)
        self.queued.start()

    def give_up(self) -> None:
        self.timer.cancel()
        self.retry(self.entry, "waiting")

    def expire(self) -> None:
        if self.is_sent:
            self.is_over = True
            self.group.in_doubt += 1
            return
        self.queued.cancel()
        self.retry(self.entry, "expired")

    def retry(self, entry: QueueEntry, refused: str) -> None:
        self.group.refused[refused] += 1
        if self.attempts >= MAX_ATTEMPTS:
            return
        forecast = self.holder.pool.forecasts.for_entry(entry)
        base = retry_after_base(forecast.wait, TIMEOUT * 1000)
        delay = (
            self.holder.retry_times.next_delay(base, forecast.drain_interval, entry.urgency) / 1000
        )
        self.group.retry_at.append(self.clock.time() + delay)
        self.clock.call_later(delay, self.attempt)

    def take(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            self.timer.cancel()
            self.retry(self.entry, "waiting")
            return
        self.is_sent, self.channel, self.sent_at = True, channel, self.clock.time()
        command = Command(CommandKind.STATEMENT, str(self.service_time), "q")
        channel.send([command], [self.answered])

    def answered(self, answer: Answer) -> None:
        pool, seconds = self.holder.pool, self.clock.time() - self.sent_at
        pool.note_answered(answer.refusal, 1000 * seconds)
        pool.release(self.channel, 1000 * seconds)
        if self.is_over:
            return
        self.timer.cancel()
        if answer.refusal is None:
            self.group.done.append(self.clock.time() - self.began)
        else:
            self.retry(self.entry, "by the member")


@dataclass(frozen=True)
class Burst:
    """A period, in s from the start, in which groups send a multiple of their usual rate."""

    begin: float
    end: float
    factor: float

    def factor_at(self, seconds: float) -> float:
        return self.factor if self.begin <= seconds < self.end else 1.0


def simulate(
    holders: list[Holder],
    groups: list[tuple[ClientGroup, Burst | None]],
    seconds: float,
    seed: int = 1,
) -> None:
    """Simulate Poisson arrivals, each group's at one of the holders; service times vary 1:5."""
    rng = random.Random(seed)
    clock = holders[0].clock
    start = clock.time()

    def arrive(group: ClientGroup, burst: Burst | None, holder: Holder) -> None:
        elapsed = clock.time() - start
        if elapsed >= seconds:
            return
        Client(holder, group, group.service_time * rng.uniform(1, 5) / 3)
        factor = burst.factor_at(elapsed) if burst is not None else 1.0
        clock.call_later(rng.expovariate(group.rate * factor), arrive, group, burst, holder)

    for number, (group, burst) in enumerate(groups):
        holder = holders[number % len(holders)]
        clock.call_later(rng.expovariate(group.rate), arrive, group, burst, holder)
    clock.advance(seconds + 12.0)
