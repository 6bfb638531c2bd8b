"""Clients that try three times and come back when they are told, before members on a clock."""

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
from rowanrail.scheduling.retrying import GOES_FIRST_AFTER, RetryTimes, retry_after_base
from tests.support.gateway import ManualClock

TRIES = 3
TIMEOUT = 0.8  # s


@dataclass
class Crowd:
    """Operations of one tenant and urgency, and what became of them."""

    urgency: int
    tenant: str
    rate: float  # a second
    work: float  # s on average
    operations: int = 0
    done: list[float] = field(default_factory=list)  # s from the first try to the answer
    refused: Counter[str] = field(default_factory=Counter)  # tries, by when
    in_doubt: int = 0
    told: list[float] = field(default_factory=list)  # moments at which clients come back

    @property
    def done_share(self) -> float:
        return len(self.done) / max(1, self.operations)


class Holder:
    """One gateway's connections to the member, and the places that it gives to returns."""

    def __init__(self, pool: MemberPool, clock: ManualClock) -> None:
        self.pool = pool
        self.clock = clock
        self.retry_times = RetryTimes(Clock(clock))


class Client:
    """One operation of one statement."""

    def __init__(self, holder: Holder, crowd: Crowd, work: float) -> None:
        self.holder, self.crowd, self.work = holder, crowd, work
        self.clock = holder.clock
        self.began = self.clock.time()
        self.tries = 0
        crowd.operations += 1
        self.attempt()

    def attempt(self) -> None:
        pool, now = self.holder.pool, self.clock.time() * 1000
        whole = TIMEOUT * 1000
        is_retrying = self.tries >= GOES_FIRST_AFTER
        crowd = self.crowd
        entry = QueueEntry(crowd.urgency, crowd.tenant, now, now + whole, is_retrying=is_retrying)
        self.tries += 1
        self.is_sent = self.is_over = False
        certain = pool.forecasts.errors.of(crowd.urgency).reliable_share
        if not isinstance(
            decide_on_arrival(pool.forecasts.for_entry(entry), whole, whole, certain), Admit
        ):
            self.come_back(entry, "arriving")
            return
        self.entry = entry
        self.timer = self.clock.call_later(TIMEOUT, self.expire)
        self.queued = QueuedRequest(pool, entry, {}, self.take, self.give_up)
        self.queued.start()

    def give_up(self) -> None:
        self.timer.cancel()
        self.come_back(self.entry, "waiting")

    def expire(self) -> None:
        if self.is_sent:
            self.is_over = True
            self.crowd.in_doubt += 1
            return
        self.queued.cancel()
        self.come_back(self.entry, "expired")

    def come_back(self, entry: QueueEntry, refused: str) -> None:
        self.crowd.refused[refused] += 1
        if self.tries >= TRIES:
            return
        forecast = self.holder.pool.forecasts.for_entry(entry)
        base = retry_after_base(forecast.wait, TIMEOUT * 1000)
        told = self.holder.retry_times.next(base, forecast.drain_interval, entry.urgency) / 1000
        self.crowd.told.append(self.clock.time() + told)
        self.clock.call_later(told, self.attempt)

    def take(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            self.timer.cancel()
            self.come_back(self.entry, "waiting")
            return
        self.is_sent, self.channel, self.sent_at = True, channel, self.clock.time()
        command = Command(CommandKind.STATEMENT, str(self.work), "q")
        channel.send([command], [self.answered])

    def answered(self, answer: Answer) -> None:
        pool, seconds = self.holder.pool, self.clock.time() - self.sent_at
        pool.note_answered(answer.refusal, 1000 * seconds)
        pool.release(self.channel, 1000 * seconds)
        if self.is_over:
            return
        self.timer.cancel()
        if answer.refusal is None:
            self.crowd.done.append(self.clock.time() - self.began)
        else:
            self.come_back(self.entry, "by the member")


@dataclass(frozen=True)
class Burst:
    """A time, in s from the start, in which some crowds send a multiple of their usual."""

    begin: float
    end: float
    factor: float

    def factor_at(self, seconds: float) -> float:
        return self.factor if self.begin <= seconds < self.end else 1.0


def play(
    holders: list[Holder],
    crowds: list[tuple[Crowd, Burst | None]],
    seconds: float,
    seed: int = 1,
) -> None:
    """Let operations come at random, each tenant's at one of the holders; work differs 1 : 5."""
    rng = random.Random(seed)
    clock = holders[0].clock
    start = clock.time()

    def come(crowd: Crowd, burst: Burst | None, holder: Holder) -> None:
        passed = clock.time() - start
        if passed >= seconds:
            return
        Client(holder, crowd, crowd.work * rng.uniform(1, 5) / 3)
        factor = burst.factor_at(passed) if burst is not None else 1.0
        clock.call_later(rng.expovariate(crowd.rate * factor), come, crowd, burst, holder)

    for number, (crowd, burst) in enumerate(crowds):
        holder = holders[number % len(holders)]
        clock.call_later(rng.expovariate(crowd.rate), come, crowd, burst, holder)
    clock.advance(seconds + 12.0)
