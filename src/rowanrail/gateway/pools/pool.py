"""Connections to one member and those who wait for one: who goes on, and on which connection.

Owns a member's connections, health, concurrency limit, forecasts and wait queue, and brings them
together: each has its rules in its own module. Relies on the driver for connections and on the
clock for time.
"""

from collections.abc import Callable

from rowanrail.gateway.pools.connections import Connections
from rowanrail.gateway.pools.forecasts import MemberForecasts
from rowanrail.gateway.pools.idle_transactions import IdleTransaction
from rowanrail.gateway.pools.member_health import MemberHealth
from rowanrail.gateway.pools.wait_queue import WaitQueue
from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Answer, Refusal
from rowanrail.scheduling.concurrency import ConcurrencyLimit
from rowanrail.scheduling.member_weight import FailureKind
from rowanrail.scheduling.queue import ConnectionSupply, QueueEntry, is_past_deadline

__all__ = ["MemberPool"]


class MemberPool:
    """Connections to one member, at most ``limit`` open or being opened.

    Of those, only as many are in use at a time as its :class:`ConcurrencyLimit` says, so that
    statements wait here, where urgency and deadline are known, and not at the member. A transaction
    that is idle uses none, and its later statements aren't held back.

    Parameters
    ----------
    record : MemberRecord
        The member, as it announced itself.
    limit : int
        Connections that there may be.
    driver : MemberDriver
        Opens connections.
    clock : Clock
        Time and timers in milliseconds.
    holders : int
        How many gateways are thought to share the member.
    """

    def __init__(
        self,
        record: MemberRecord,
        limit: int,
        driver: MemberDriver,
        clock: Clock,
        holders: int = 1,
    ) -> None:
        self.record = record
        self.concurrency = ConcurrencyLimit(record.slots, holders)
        self.health = MemberHealth()
        self.connections = Connections(limit, driver, clock)
        self.queue = WaitQueue()
        self.forecasts = MemberForecasts(self.connections, self.concurrency, self.queue)
        self.on_trouble: Callable[[FailureKind], None] = lambda trouble: None
        self.clock = clock
        self._is_starting = False
        self._closed = False

    @property
    def load(self) -> int:
        """Number of those who use or wait for a connection."""
        return len(self.connections.leases) + len(self.queue)

    @property
    def is_failing(self) -> bool:
        """Whether connections failed a moment ago."""
        return self.health.is_failing(self.clock.now)

    @property
    def is_suspect(self) -> bool:
        """Whether new work should go elsewhere."""
        return self.health.is_suspect(self.clock.now, self.load)

    @property
    def error_share(self) -> float:
        """Share of the latest answers that were errors; forgotten with time."""
        return self.health.error_share(self.clock.now)

    @property
    def can_lend(self) -> bool:
        """Whether a connection can be had without waiting for one that is in use."""
        if self.connections.idle:
            return True
        return not self.is_failing and self.connections.can_lend

    # Those who wait

    def acquire(self, waiter: Waiter) -> None:
        """Give the waiter a connection now or later, or a refusal."""
        waiter.since = self.clock.now
        if not self.queue and self._has_room_for(waiter.entry):
            channel = self.connections.idle.take_for(waiter)
            if channel is not None:
                self._lease(channel, waiter)
                return
        self.queue.add(waiter, waiter.since)
        self.clock.call_in(self.connections.opening.average, self._start_waiting)
        self._start_waiting()

    def _has_room_for(self, entry: QueueEntry) -> bool:
        # All reads wait for a sample, so that none of them would run in its place.
        return entry.urgency < 0 or self.connections.in_flight < self.concurrency.value

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
        if not self.queue or self.connections.count:
            return
        if self.is_failing:
            self.queue.refuse(Answer(refusal=Refusal.LOST, message="unreachable a moment ago"))
        else:
            self.queue.refuse(Answer(refusal=Refusal.BUSY, message="no connection to be had"))

    def _start_next(self) -> bool:
        """Give the next one a connection, or open one for it; return whether somebody went on."""
        if not self.queue:
            return False
        connections = self.connections
        is_full = connections.in_flight >= self.concurrency.value
        now = self.clock.now
        idle = connections.idle
        supply = ConnectionSupply(idle.tenants, self._may_open, connections.may_come_back)
        pick = self.queue.next(supply, only_samples=is_full)
        if pick is None:
            return False
        if is_past_deadline(pick.item.entry, now, self.forecasts.latency):
            self.queue.expire(pick.item)
            return True
        if pick.needs_opening:
            tenant = pick.item.tenant or ""
            return connections.open(self.record, tenant, self._is_wanted, self._on_open)
        channel = idle.take_for(pick.item)
        assert channel is not None, "the queue picked somebody for whom none is idle"
        self.queue.start(pick.item)
        self._lease(channel, pick.item)
        return True

    def _lease(self, channel: Channel, waiter: Waiter) -> None:
        self.connections.lease(channel)
        waiter.respond(channel, Answer())

    def release(self, channel: Channel, latency: float | None = None) -> None:
        """Take a connection back; a closed one, or one with answers outstanding, is dropped.

        Parameters
        ----------
        latency : float or None
            Milliseconds that the member took, if it answered a statement.
        """
        self.connections.leases.end(channel)
        if latency is not None:
            self.forecasts.note_latency(latency)
        self.connections.keep(channel)
        self._start_waiting()

    # Idle transactions

    def note_idle_transaction(self, transaction: IdleTransaction) -> None:
        """Note that a transaction holds a connection and does nothing."""
        self.connections.idle_transactions.add(transaction)
        self._start_waiting()

    # Opening

    def _may_open(self, tenant: str | None, since: float) -> bool:
        """Whether a connection should be opened for a tenant that has waited since then."""
        waited = self.clock.now - since
        waiting = self.queue.count_waiting(tenant)
        return not self.is_failing and self.connections.is_worth_opening(tenant, waiting, waited)

    def _is_wanted(self, tenant: str) -> bool:
        return self.queue.count_waiting(tenant) > 0

    def _on_open(self, channel: Channel, answer: Answer) -> None:
        if answer.refusal is None:
            self.health.note_success()
            self.connections.keep(channel)
            self._start_waiting()
            return
        if answer.refusal is Refusal.TOO_MANY_CONNECTIONS:
            self.connections.opening.note_crowded(self.connections.count)
        elif answer.refusal is Refusal.BUSY:
            self.note_answered(Refusal.BUSY, 0.0)
            self.connections.opening.note_crowded(self.connections.count)
        else:
            self._note_failure()
            self.on_trouble(FailureKind.REFUSED)
        if not self.connections.count:
            self.queue.refuse(answer)
        elif channel.tenant and not self.connections.may_come_back(channel.tenant):
            # Connections of other tenants are of no use to them.
            self.queue.refuse(answer, channel.tenant)
        self._start_waiting()

    # What answers show

    def note_answered(self, refusal: Refusal | None, taken: float) -> None:
        """Note how the member answered a statement that takes a slot.

        Parameters
        ----------
        refusal : Refusal or None
            None if the member ran it.
        taken : float
            Milliseconds from sending to the answer.
        """
        now = self.clock.now
        if refusal is None:
            self.concurrency.note_answer(now, taken, self.connections.in_flight)
        elif refusal is Refusal.BUSY:
            self.concurrency.note_busy(now, self.connections.in_flight)

    def _note_failure(self) -> None:
        backoff = self.health.note_failure(self.clock.now)
        self.clock.call_in(backoff, self._start_waiting)

    def note_reachable(self) -> None:
        """Note that the member answers on another connection: nothing need be waited out."""
        if self.is_failing:
            self.health.note_reachable()
            self._start_waiting()

    def note_timeout(self) -> None:
        """Note that the member left a command unanswered."""
        self._note_failure()
        self.on_trouble(FailureKind.SILENCE)

    def note_answer(self) -> None:
        """Note that the member answered."""
        self.health.note_answer(is_error=False, now=self.clock.now)

    def note_error(self) -> None:
        """Note that the member answered with an error of its own."""
        self.health.note_answer(is_error=True, now=self.clock.now)
        self.on_trouble(FailureKind.ERROR)

    # Changes

    def trim(self, is_kept: Callable[[str], bool] = lambda tenant: True) -> None:
        """Close connections that nobody has needed for a while.

        Parameters
        ----------
        is_kept : callable
            Says whether a tenant's statements come to this gateway.
        """
        if not self.queue and not self.connections.count:
            return  # as are most pools of most gateways, twenty times a second
        now = self.clock.now
        self.queue.expire_late(now, self.forecasts.latency)
        if self.connections.is_crowded:
            self.connections.idle_transactions.reclaim(waiter.since for waiter in self.queue)
        self.connections.trim(now, is_kept)

    def set_limit(self, limit: int) -> None:
        """Change the limit; surplus idle connections are closed."""
        self.connections.set_limit(limit)
        self._start_waiting()

    def close(self) -> None:
        """Close everything that is not leased and refuse those who wait."""
        self._closed = True
        self.connections.close()
        self.queue.refuse(Answer(refusal=Refusal.BUSY, message="the member is leaving"))
