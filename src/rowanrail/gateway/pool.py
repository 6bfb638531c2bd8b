"""Connections to one member: idle, leased or being opened, and those who wait for one."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from rowanrail.gateway.channel import Channel, MemberDriver
from rowanrail.gateway.clock import Clock
from rowanrail.gateway.error_share import ErrorShare
from rowanrail.gateway.idle_channels import IdleChannels
from rowanrail.gateway.model import Answer, MemberRecord, Refusal
from rowanrail.gateway.waiting_line import Waiter, WaitingLine
from rowanrail.scheduling.admission import Forecast
from rowanrail.scheduling.health import Trouble
from rowanrail.scheduling.queue import Entry

# A failed connection is tried again after twice this; chosen, not measured apart.
MINIMUM_BACKOFF_SECONDS = 0.1
# A member that came back is noticed by samples sooner, see note_reachable.
MAXIMUM_BACKOFF_SECONDS = 2.0
CROWDED_SECONDS = 0.5  # without new connections after a member had none left
# A gap between two statements of a busy service is shorter; chosen, not measured apart.
IDLE_SECONDS = 0.6
# A connection of a tenant is kept until another tenant needs its place: opening one again takes
# 12 ms of a slot. Shorter than the 60 s after which members close idle connections; chosen.
TENANT_IDLE_SECONDS = 30.0
# At a gateway to which statements no longer come: those under way may still want it. The one that
# takes over needs the places; with both full a member refuses a third of them.
GIVEN_UP_IDLE_SECONDS = 0.1
KEPT_IDLE = 1  # for the next statement and for samples; each more would be one that others lack
OPENING_AT_ONCE = 2  # each takes a slot of the member for a while
LATENCY_WEIGHT = 0.1  # of the newest answer in a moving average, about the last ten count
# About a short read within a region, so that no member starts as slow.
INITIAL_LATENCY_SECONDS = 0.02
INITIAL_OPENING_SECONDS = 0.03  # 12 ms at the member and two ways there and back
LONGEST_OPENING_SECONDS = 0.1  # a slow opening is no reason to let everybody wait for long
PRESSURE_SECONDS = 0.04  # of waiting for a connection, while transactions rest on theirs
LONG_REST_SECONDS = 0.5  # a sixth of the 3 s after which sites let one be ended; chosen


class Resting(Protocol):
    """A transaction that holds a connection while its client does nothing."""

    @property
    def tenant(self) -> str:
        """Whose connection it holds."""

    def reclaim(self, reason: str) -> None:
        """End it and give the connection back; its client learns it at its next statement."""


def _idle_seconds(channel: Channel, is_kept: bool) -> float:
    """Return for how long a connection may be idle."""
    if not is_kept:
        return GIVEN_UP_IDLE_SECONDS
    return TENANT_IDLE_SECONDS if channel.tenant else IDLE_SECONDS


class MemberPool:
    """Connections to one member, at most ``limit`` open or being opened."""

    def __init__(
        self, record: MemberRecord, limit: int, driver: MemberDriver, clock: Clock
    ) -> None:
        self.record = record
        self.limit = limit
        self.latency_seconds = INITIAL_LATENCY_SECONDS
        self.failing_until = 0.0
        self.leased = 0
        self._lease_seconds = INITIAL_LATENCY_SECONDS
        self._opening_seconds = INITIAL_OPENING_SECONDS
        self._errors = ErrorShare()
        self._driver = driver
        self._clock = clock
        self._crowded_until = 0.0
        self._crowded_limit = limit
        self._failures = 0
        self._idle = IdleChannels()
        self._opening: set[Channel] = set()
        self._waiting = WaitingLine()
        self._resting: dict[Resting, float] = {}
        self._leased_of: Counter[str] = Counter()  # connections in use by tenant
        self._closed = False
        self.on_trouble: Callable[[Trouble], None] = lambda trouble: None

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._idle) + self.leased + len(self._opening)

    @property
    def load(self) -> int:
        """Number of those who use or wait for a connection."""
        return self.leased + len(self._waiting)

    @property
    def established(self) -> int:
        """Number of connections that are open."""
        return len(self._idle) + self.leased

    @property
    def is_failing(self) -> bool:
        """Whether connections failed a moment ago."""
        return self._clock.time() < self.failing_until

    @property
    def is_suspect(self) -> bool:
        """Whether new work should go elsewhere.

        After failures the member is tried by one request at a time until one succeeds.
        """
        return self._failures > 0 and (self.is_failing or self.load > 0)

    @property
    def can_lend(self) -> bool:
        """Whether a connection can be had without waiting for one that is in use."""
        if self._idle:
            return True
        has_room = not self.is_failing and self.open_count < self._allowed()
        # A connection that is opened for a sample would be no tenant's.
        return has_room and not self._leased_by_tenants

    @property
    def _leased_by_tenants(self) -> bool:
        return any(tenant for tenant, count in self._leased_of.items() if count)

    def note_lease(self, seconds: float) -> None:
        """Note for how long a connection was in use."""
        self._lease_seconds += LATENCY_WEIGHT * (seconds - self._lease_seconds)

    @property
    def expected_wait_seconds(self) -> float:
        """About how long somebody who comes now waits for a connection."""
        allowed = self._allowed()
        # A connection that is being opened is for somebody who waits already.
        ahead = len(self._waiting) - (allowed - self.established)
        if self._idle or ahead < 0:
            return 0.0
        return (ahead + 1) * self._lease_seconds / max(1, allowed, self.open_count)

    def forecast(self, entry: Entry) -> Forecast:
        """Return what a statement that comes now can expect here."""
        wait = self.expected_wait_seconds
        return Forecast(wait * 1000, self.latency_seconds * 1000, has_room=not wait)

    def acquire(self, waiter: Waiter) -> None:
        """Give the waiter a connection now or later, or a refusal."""
        channel = self._idle.take_for(waiter)
        if channel is not None:
            self._lease(channel, waiter)
            return
        waiter.since = self._clock.time()
        self._waiting.add(waiter)
        self._clock.call_later(self._opening_seconds, self._open_for_waiting)
        self._open_for_waiting()

    def cancel(self, waiter: Waiter) -> None:
        """Forget a waiter."""
        self._waiting.remove(waiter)

    def release(self, channel: Channel, latency_seconds: float | None = None) -> None:
        """Take a connection back; a closed one, or one with answers outstanding, is dropped."""
        self.leased -= 1
        self._leased_of[channel.tenant] -= 1
        if channel.leased_at:
            self.note_lease(self._clock.time() - channel.leased_at)
            channel.leased_at = 0.0
        if latency_seconds is not None:
            self.latency_seconds += LATENCY_WEIGHT * (latency_seconds - self.latency_seconds)
        if channel.busy or channel.in_transaction or self._closed or self.open_count >= self.limit:
            channel.close()
        if channel.closed:
            self._open_for_waiting()
            return
        channel.last_used = self._clock.time()
        waiter = self._waiting.take_for(channel)
        if waiter is not None:
            self._lease(channel, waiter)
            return
        channel.on_closed = self._idle.discard
        self._idle.add(channel)
        self._open_for_waiting()  # of other tenants, in its place

    def _lease(self, channel: Channel, waiter: Waiter) -> None:
        self.leased += 1
        self._leased_of[channel.tenant] += 1
        channel.on_closed = lambda channel: None
        channel.leased_at = self._clock.time()
        waiter.respond(channel, Answer())

    # Transactions that rest

    def note_resting(self, transaction: Resting) -> None:
        """Note that a transaction holds a connection and does nothing."""
        self._resting[transaction] = self._clock.time()

    def note_active(self, transaction: Resting) -> None:
        """Note that a transaction goes on, or has ended."""
        self._resting.pop(transaction, None)

    def _reclaim(self) -> None:
        """End transactions that have rested longest, one for each who has waited for long."""
        if self._idle or self.open_count < self._allowed():
            return
        now = self._clock.time()
        waiting = sum(now - waiter.since >= PRESSURE_SECONDS for waiter in self._waiting)
        for transaction, since in list(self._resting.items())[:waiting]:
            if now - since < LONG_REST_SECONDS:
                break
            transaction.reclaim(f"it rested for {now - since:.1f} s while others waited")

    # Opening

    def _allowed(self) -> int:
        if self._clock.time() < self._crowded_until:
            return min(self.limit, self._crowded_limit)
        return self.limit

    def _open_for_waiting(self) -> None:
        if self._closed:
            return
        if self.is_failing and not self.open_count:
            self._refuse_waiting(Answer(refusal=Refusal.LOST, message="unreachable a moment ago"))
            return
        while not self.is_failing and len(self._opening) < OPENING_AT_ONCE:
            waiter = self._next_without()
            if waiter is None or not self._make_room():
                break
            self._open(waiter.tenant or "")
        if self._waiting and not self.open_count:
            self._refuse_waiting(Answer(refusal=Refusal.BUSY, message="no connection to be had"))

    def _next_without(self) -> Waiter | None:
        """Return the most urgent for whom another connection should be opened.

        Each takes a slot of the member for a while, is priced, and still counts there for seconds
        when this gateway is lost. So another one is opened for those who have waited for about as
        long as its opening takes; until then a connection that is in use may come back.
        """
        limit = self._clock.time() - self._opening_seconds
        coming = Counter(channel.tenant for channel in self._opening)
        for waiter in self._waiting:
            if waiter.tenant is None and self._leased_by_tenants:
                continue  # the next that comes back will do
            tenant = waiter.tenant or ""
            if waiter.since > limit and self._may_come_back(tenant):
                continue
            if coming[tenant] > 0:
                coming[tenant] -= 1
                continue
            return waiter
        return None

    def _may_come_back(self, tenant: str) -> bool:
        """Whether a connection of a tenant is in use by more than a transaction at rest."""
        if any(channel.tenant == tenant for channel in self._opening):
            return True
        resting = sum(transaction.tenant == tenant for transaction in self._resting)
        return self._leased_of[tenant] > resting

    def _make_room(self) -> bool:
        """Return whether one more may be opened; an idle one of another tenant gives way."""
        if self.open_count < self._allowed():
            return True
        oldest = next(iter(self._idle), None)
        if oldest is None:
            return False
        # Its end reaches the member before the start of the next one, which comes later.
        self._idle.discard(oldest)
        oldest.close()
        return self.open_count < self._allowed()

    def _open(self, tenant: str) -> None:
        record = self.record
        channel = Channel(record.address, record.instance, self._on_open, tenant)
        channel.last_used = self._clock.time()
        self._opening.add(channel)
        self._driver.open(record.address, record.service, record.instance, channel)

    def _on_open(self, channel: Channel, answer: Answer) -> None:
        self._opening.discard(channel)
        if answer.refusal is None:
            self._note_opening(self._clock.time() - channel.last_used)
            self._failures = 0
            self.leased += 1
            self._leased_of[channel.tenant] += 1
            self.release(channel)
            self._open_for_waiting()
            return
        if answer.refusal is Refusal.TOO_MANY_CONNECTIONS:
            self._crowded_until = self._clock.time() + CROWDED_SECONDS
            self._crowded_limit = max(1, self.open_count)
        else:
            self._note_failure()
            self.on_trouble(Trouble.REFUSED)
        if not self.open_count:
            self._refuse_waiting(answer)
        elif channel.tenant and not self._may_come_back(channel.tenant):
            # Connections of other tenants are of no use to them.
            self._refuse(self._waiting.take_all(channel.tenant), answer)

    def _note_opening(self, seconds: float) -> None:
        """Note how long a connection took to open."""
        share = LATENCY_WEIGHT * (seconds - self._opening_seconds)
        self._opening_seconds = min(LONGEST_OPENING_SECONDS, self._opening_seconds + share)

    def _note_failure(self) -> None:
        self._failures += 1
        backoff = min(MINIMUM_BACKOFF_SECONDS * 2**self._failures, MAXIMUM_BACKOFF_SECONDS)
        self.failing_until = self._clock.time() + backoff
        self._clock.call_later(backoff, self._open_for_waiting)

    def note_reachable(self) -> None:
        """Note that the member answers on another connection: nothing need be waited out."""
        if self.is_failing:
            self._failures = 0
            self.failing_until = 0.0
            self._open_for_waiting()

    def note_silence(self) -> None:
        """Note that the member left a command unanswered."""
        self._note_failure()
        self.on_trouble(Trouble.SILENCE)

    def note_answer(self) -> None:
        """Note that the member answered."""
        self._failures = 0
        self._errors.note(0.0, self._clock.time())

    def note_error(self) -> None:
        """Note that the member answered with an error of its own."""
        self._errors.note(1.0, self._clock.time())
        self.on_trouble(Trouble.ERROR)

    @property
    def error_share(self) -> float:
        """Share of the latest answers that were errors; forgotten with time."""
        return self._errors.at(self._clock.time())

    def _refuse_waiting(self, answer: Answer) -> None:
        self._refuse(self._waiting.take_all(), answer)

    @staticmethod
    def _refuse(waiters: list[Waiter], answer: Answer) -> None:
        for waiter in waiters:
            waiter.respond(None, answer)

    # Changes

    def trim(self, is_kept: Callable[[str], bool] = lambda tenant: True) -> None:
        """Close connections that nobody has needed for a while.

        Members count the connections of a lost gateway for seconds more; the fewer there are,
        the sooner its successor gets some.

        :param is_kept: says whether a tenant's statements come to this gateway.
        """
        if self._waiting and self._resting:
            self._reclaim()
        now = self._clock.time()
        surplus = len(self._idle) - KEPT_IDLE
        for place, channel in enumerate(list(self._idle)):
            kept = is_kept(channel.tenant)
            if kept and place >= surplus:
                continue
            if channel.last_used < now - _idle_seconds(channel, kept):
                channel.close()

    def set_limit(self, limit: int) -> None:
        """Change the limit; surplus idle connections are closed."""
        self.limit = limit
        while self._idle and self.open_count > limit:
            self._make_room()
        self._open_for_waiting()

    def abandon(self) -> None:
        """Close idle connections, since the member was lost; leased ones end by themselves."""
        for channel in self._idle.take_all():
            channel.close()

    def close(self) -> None:
        """Close everything that is not leased and refuse those who wait."""
        self._closed = True
        self.abandon()
        for channel in list(self._opening):
            channel.close()
        self._refuse_waiting(Answer(refusal=Refusal.BUSY, message="the member is leaving"))
