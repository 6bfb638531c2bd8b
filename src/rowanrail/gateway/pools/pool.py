"""Connections to one member: idle, leased or being opened, and those who wait for one."""

from collections.abc import Callable

from rowanrail.gateway.pools.connections import Connections
from rowanrail.gateway.pools.leases import INITIAL_LATENCY_SECONDS, LATENCY_WEIGHT
from rowanrail.gateway.pools.member_health import MemberHealth
from rowanrail.gateway.pools.resting import Resting
from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Answer, Refusal
from rowanrail.scheduling.admission import Forecast
from rowanrail.scheduling.concurrency import ConcurrencyLimit
from rowanrail.scheduling.forecast_error import ForecastErrors
from rowanrail.scheduling.member_weight import Trouble
from rowanrail.scheduling.queue import Entry, Supply, WorkQueue, is_hopeless


class MemberPool:
    """Connections to one member, at most ``limit`` open or being opened.

    Of those, only as many are in use at a time as its :class:`ConcurrencyLimit` says, so that
    statements wait here, where urgency and deadline are known, and not at the member. A transaction
    that rests uses none, and its later statements aren't held back.
    """

    def __init__(
        self,
        record: MemberRecord,
        limit: int,
        driver: MemberDriver,
        clock: Scheduler,
        holders: int = 1,
    ) -> None:
        self.record = record
        self.latency_seconds = INITIAL_LATENCY_SECONDS
        self.forecast_errors = ForecastErrors()
        self._clock = clock
        self._concurrency = ConcurrencyLimit(record.slots, holders)
        self._health = MemberHealth(clock)
        self._connections = Connections(limit, driver, clock)
        self._waiting: WorkQueue[Waiter] = WorkQueue()
        self._is_starting = False
        self._closed = False
        self.on_trouble: Callable[[Trouble], None] = lambda trouble: None

    @property
    def limit(self) -> int:
        """Number of connections that there may be."""
        return self._connections.limit

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._connections.count

    @property
    def leased(self) -> int:
        """Number of connections that are in use."""
        return len(self._connections.leases)

    @property
    def load(self) -> int:
        """Number of those who use or wait for a connection."""
        return self.leased + len(self._waiting)

    @property
    def established(self) -> int:
        """Number of connections that are open."""
        return self._connections.established

    @property
    def concurrency_limit(self) -> int:
        """How many may be under way."""
        return self._concurrency.value

    @property
    def under_way(self) -> int:
        """Number of statements and openings that the member has to do with."""
        return self._connections.under_way

    @property
    def queue_lengths(self) -> dict[int, int]:
        """How many wait, by urgency."""
        return self._waiting.lengths

    @property
    def longest_wait_seconds(self) -> float:
        """For how long the first of those who wait has done so."""
        oldest = self._waiting.oldest
        return 0.0 if oldest is None else self._clock.time() - oldest / 1000

    @property
    def failing_until(self) -> float:
        """Moment until which the member is left alone after failures."""
        return self._health.failing_until

    @property
    def is_failing(self) -> bool:
        """Whether connections failed a moment ago."""
        return self._health.is_failing

    @property
    def is_suspect(self) -> bool:
        """Whether new work should go elsewhere.

        After failures the member is tried by one request at a time until one succeeds.
        """
        return self._health.has_failed and (self.is_failing or self.load > 0)

    @property
    def error_share(self) -> float:
        """Share of the latest answers that were errors; forgotten with time."""
        return self._health.error_share

    @property
    def can_lend(self) -> bool:
        """Whether a connection can be had without waiting for one that is in use."""
        if self._connections.idle:
            return True
        return not self.is_failing and self._connections.can_lend

    # What can be expected

    @property
    def _places(self) -> int:
        """How many may be under way, by the limit and by the connections that don't rest."""
        return max(1, min(self.concurrency_limit, self._connections.usable))

    def _wait_seconds(self, ahead: float) -> float:
        """Return how long somebody waits for a place who has so many before him."""
        places = self._places
        ahead -= places - self.under_way
        return 0.0 if ahead < 0 else (ahead + 1) * self._connections.leases.seconds / places

    @property
    def expected_wait_seconds(self) -> float:
        """About how long somebody who comes now waits for a connection."""
        # A connection that is being opened is for somebody who waits already.
        return self._wait_seconds(len(self._waiting) - len(self._connections.opening))

    def forecast(self, entry: Entry) -> Forecast:
        """Return what a statement that comes now, or waits already, can expect here."""
        needs_opening = not self._connections.has_one_for(entry.tenant)
        ahead = self._waiting.ahead_of(entry, needs_opening) - len(self._connections.opening)
        ahead = max(0.0, ahead)  # who has a connection coming is no longer before it
        wait = self._wait_seconds(ahead)
        opening = self._connections.opening.seconds if needs_opening else 0.0
        return Forecast(
            (wait + opening) * 1000,
            self.latency_seconds * 1000,
            has_room=wait == 0 and not ahead,
            interval=self._connections.leases.seconds * 1000 / self._places,
            opening=opening * 1000,
        )

    def note_lease(self, seconds: float) -> None:
        """Note for how long a connection was in use."""
        self._connections.leases.note(seconds)

    def note_answered(self, refusal: Refusal | None, seconds: float) -> None:
        """Note how the member answered a statement that takes a slot, and after how long."""
        now = self._clock.time() * 1000
        if refusal is None:
            self._concurrency.note_answer(now, seconds * 1000, self.under_way)
        elif refusal is Refusal.BUSY:
            self._concurrency.note_turned_away(now, self.under_way)

    # Those who wait

    def acquire(self, waiter: Waiter) -> None:
        """Give the waiter a connection now or later, or a refusal."""
        waiter.since = self._clock.time()
        if not self._waiting and self._has_room_for(waiter.entry):
            channel = self._connections.idle.take_for(waiter)
            if channel is not None:
                self._lease(channel, waiter)
                return
        self._waiting.add(waiter, waiter.since * 1000)
        self._clock.call_later(self._connections.opening.seconds, self._start_waiting)
        self._start_waiting()

    def _has_room_for(self, entry: Entry) -> bool:
        # All reads wait for a sample, so that none of them would run in its place.
        return entry.urgency < 0 or self.under_way < self.concurrency_limit

    def cancel(self, waiter: Waiter) -> None:
        """Forget a waiter."""
        self._waiting.remove(waiter)

    def _start_waiting(self) -> None:
        """Let those go on for whom there is room, in the order of the queue."""
        if self._closed or self._is_starting:
            return
        self._is_starting = True
        try:
            while self._start_next():
                pass
        finally:
            self._is_starting = False
        if not self._waiting or self.open_count:
            return
        if self.is_failing:
            self._refuse_waiting(Answer(refusal=Refusal.LOST, message="unreachable a moment ago"))
        else:
            self._refuse_waiting(Answer(refusal=Refusal.BUSY, message="no connection to be had"))

    def _start_next(self) -> bool:
        """Give the next one a connection, or open one for it; return whether somebody went on."""
        if not self._waiting:
            return False
        is_full = self.under_way >= self.concurrency_limit
        now = self._clock.time() * 1000
        idle = self._connections.idle
        supply = Supply(idle.tenants, self._may_open, self._connections.may_come_back)
        pick = self._waiting.next(supply, only_samples=is_full)
        if pick is None:
            return False
        if is_hopeless(pick.item.entry, now, self.latency_seconds * 1000):
            self._expire(pick.item)
            return True
        if pick.needs_opening:
            tenant = pick.item.tenant or ""
            return self._connections.open(self.record, tenant, self._is_wanted, self._on_open)
        channel = idle.take_for(pick.item)
        assert channel is not None, "the queue picked somebody for whom none is idle"
        self._waiting.start(pick.item)
        self._lease(channel, pick.item)
        return True

    def _expire(self, waiter: Waiter) -> None:
        if self._waiting.remove(waiter):
            waiter.expire()

    def _lease(self, channel: Channel, waiter: Waiter) -> None:
        self._connections.lease(channel)
        waiter.respond(channel, Answer())

    def release(self, channel: Channel, latency_seconds: float | None = None) -> None:
        """Take a connection back; a closed one, or one with answers outstanding, is dropped."""
        self._connections.leases.end(channel)
        if latency_seconds is not None:
            self.latency_seconds += LATENCY_WEIGHT * (latency_seconds - self.latency_seconds)
        self._connections.keep(channel)
        self._start_waiting()

    def _refuse_waiting(self, answer: Answer, tenant: str | None = None) -> None:
        """Refuse all who wait, or those who want a connection of one tenant."""
        for waiter in list(self._waiting):
            is_meant = tenant is None or waiter.tenant == tenant
            if is_meant and self._waiting.remove(waiter):
                waiter.respond(None, answer)

    # Transactions that rest

    def note_resting(self, transaction: Resting) -> None:
        """Note that a transaction holds a connection and does nothing."""
        self._connections.resting.add(transaction)
        self._start_waiting()

    def note_active(self, transaction: Resting) -> None:
        """Note that a transaction goes on, or has ended."""
        self._connections.resting.remove(transaction)

    # Opening

    def _may_open(self, tenant: str | None, since: float) -> bool:
        """Whether a connection should be opened for a tenant that has waited since then."""
        waited = self._clock.time() - since / 1000
        waiting = self._waiting.waiting_of(tenant)
        return not self.is_failing and self._connections.is_worth_opening(tenant, waiting, waited)

    def _is_wanted(self, tenant: str) -> bool:
        return self._waiting.waiting_of(tenant) > 0

    def _on_open(self, channel: Channel, answer: Answer) -> None:
        if answer.refusal is None:
            self._health.note_success()
            self._connections.keep(channel)
            self._start_waiting()
            return
        if answer.refusal is Refusal.TOO_MANY_CONNECTIONS:
            self._connections.opening.note_crowded(self.open_count)
        elif answer.refusal is Refusal.BUSY:
            self.note_answered(Refusal.BUSY, 0.0)
            self._connections.opening.note_crowded(self.open_count)
        else:
            self._note_failure()
            self.on_trouble(Trouble.REFUSED)
        if not self.open_count:
            self._refuse_waiting(answer)
        elif channel.tenant and not self._connections.may_come_back(channel.tenant):
            # Connections of other tenants are of no use to them.
            self._refuse_waiting(answer, channel.tenant)
        self._start_waiting()

    # Health

    def _note_failure(self) -> None:
        backoff = self._health.note_failure()
        self._clock.call_later(backoff, self._start_waiting)

    def note_reachable(self) -> None:
        """Note that the member answers on another connection: nothing need be waited out."""
        if self.is_failing:
            self._health.note_reachable()
            self._start_waiting()

    def note_silence(self) -> None:
        """Note that the member left a command unanswered."""
        self._note_failure()
        self.on_trouble(Trouble.SILENCE)

    def note_answer(self) -> None:
        """Note that the member answered."""
        self._health.note_answer(is_error=False)

    def note_error(self) -> None:
        """Note that the member answered with an error of its own."""
        self._health.note_answer(is_error=True)
        self.on_trouble(Trouble.ERROR)

    # Changes

    def trim(self, is_kept: Callable[[str], bool] = lambda tenant: True) -> None:
        """Close connections that nobody has needed for a while.

        :param is_kept: says whether a tenant's statements come to this gateway.
        """
        if not self._waiting and not self._connections.count:
            return  # as are most pools of most gateways, twenty times a second
        now = self._clock.time()
        for waiter in self._waiting.hopeless(now * 1000, self.latency_seconds * 1000):
            self._expire(waiter)
        if self._connections.is_crowded:
            self._connections.resting.reclaim(waiter.since for waiter in self._waiting)
        self._connections.trim(now, is_kept)

    def set_limit(self, limit: int) -> None:
        """Change the limit; surplus idle connections are closed."""
        self._connections.set_limit(limit)
        self._start_waiting()

    def set_sharing(self, holders: int) -> None:
        """Note how many holders are thought to share the member, and what it announces."""
        self._concurrency.set_sharing(self.record.slots, holders)

    def close(self) -> None:
        """Close everything that is not leased and refuse those who wait."""
        self._closed = True
        self._connections.close()
        self._refuse_waiting(Answer(refusal=Refusal.BUSY, message="the member is leaving"))
