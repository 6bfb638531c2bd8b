"""Connection pool of one member.

Combines the member's connections, health, concurrency limit, forecasts and request queue, each of
which has its rules in its own module.
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
    """Pool of at most ``limit`` connections to one member.

    A :class:`ConcurrencyLimit` bounds how many are in use at a time, so that statements queue here,
    where urgency and deadline are known, and not at the member. Idle transactions do not count, and
    their later statements are not queued.

    Parameters
    ----------
    record : MemberRecord
        The member, as it announced itself.
    limit : int
        Maximum number of connections, open or being opened.
    driver : MemberDriver
        Opens connections.
    clock : Clock
        Monotonic clock and timers in milliseconds.
    holders : int
        Assumed number of gateways that share the member.

    Attributes
    ----------
    on_failure : callable
        Called with the kind of each failure of the member.
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
        self.on_failure: Callable[[FailureKind], None] = lambda kind: None
        self.clock = clock
        self._is_serving = False
        self._closed = False

    @property
    def load(self) -> int:
        """Number of requests that use or wait for a connection."""
        return len(self.connections.leases) + len(self.queue)

    @property
    def is_failing(self) -> bool:
        """Whether the member is in backoff after a failure."""
        return self.health.is_failing(self.clock.now)

    @property
    def is_suspect(self) -> bool:
        """Whether new work should use another member."""
        return self.health.is_suspect(self.clock.now, self.load)

    @property
    def error_rate(self) -> float:
        """Share of recent answers that were errors, from 0 to 1."""
        return self.health.error_rate(self.clock.now)

    @property
    def can_lease(self) -> bool:
        """Whether a connection is idle or may be opened for a sample."""
        if self.connections.idle:
            return True
        return not self.is_failing and self.connections.can_open_for_sample

    # Queue

    def acquire(self, waiter: Waiter) -> None:
        """Give the waiter a connection or a refusal, now or later."""
        waiter.since = self.clock.now
        if not self.queue and self._has_room_for(waiter.entry):
            channel = self.connections.idle.take(waiter)
            if channel is not None:
                self._lease(channel, waiter)
                return
        self.queue.add(waiter, waiter.since)
        self.clock.call_in(self.connections.openings.average, self._serve_queue)
        self._serve_queue()

    def _has_room_for(self, entry: QueueEntry) -> bool:
        # Samples are not limited: reads wait for them, so nothing else would run instead.
        return entry.urgency < 0 or self.connections.in_flight < self.concurrency.value

    def _serve_queue(self) -> None:
        """Serve queued requests until none can be served; refuse them if there is no connection."""
        if self._closed or self._is_serving:
            return
        self._is_serving = True
        try:
            while self._serve_next():
                pass
        finally:
            self._is_serving = False
        if not self.queue or self.connections.count:
            return
        if self.is_failing:
            self.queue.refuse(Answer(refusal=Refusal.LOST, message="unreachable a moment ago"))
        else:
            self.queue.refuse(Answer(refusal=Refusal.BUSY, message="no connection to be had"))

    def _serve_next(self) -> bool:
        """Serve, expire or open a connection for the next request; return False if none can be."""
        if not self.queue:
            return False
        connections = self.connections
        is_full = connections.in_flight >= self.concurrency.value
        now = self.clock.now
        idle = connections.idle
        supply = ConnectionSupply(idle.tenants, self._should_open, connections.may_be_released)
        pick = self.queue.next(supply, only_samples=is_full)
        if pick is None:
            return False
        if is_past_deadline(pick.item.entry, now, self.forecasts.latency):
            self.queue.expire(pick.item)
            return True
        if pick.needs_opening:
            tenant = pick.item.tenant or ""
            return connections.open(self.record, tenant, self._is_wanted, self._on_open)
        channel = idle.take(pick.item)
        assert channel is not None, "the queue picked a request without an idle connection"
        self.queue.start(pick.item)
        self._lease(channel, pick.item)
        return True

    def _lease(self, channel: Channel, waiter: Waiter) -> None:
        self.connections.lease(channel)
        waiter.respond(channel, Answer())

    def release(self, channel: Channel, latency: float | None = None) -> None:
        """Take back a leased connection; drop it if it is closed or has outstanding answers.

        Parameters
        ----------
        latency : float or None
            Time in milliseconds that the member took to answer a statement, None without one.
        """
        self.connections.leases.end(channel)
        if latency is not None:
            self.forecasts.note_latency(latency)
        self.connections.take_back(channel)
        self._serve_queue()

    # Idle transactions

    def note_idle_transaction(self, transaction: IdleTransaction) -> None:
        """Record that a transaction holds a connection and is idle."""
        self.connections.idle_transactions.add(transaction)
        self._serve_queue()

    # Opening

    def _should_open(self, tenant: str | None, since: float) -> bool:
        """Return whether to open a connection for a tenant that waits since ``since``."""
        waited = self.clock.now - since
        waiting = self.queue.count_waiting(tenant)
        return not self.is_failing and self.connections.should_open(tenant, waiting, waited)

    def _is_wanted(self, tenant: str) -> bool:
        return self.queue.count_waiting(tenant) > 0

    def _on_open(self, channel: Channel, answer: Answer) -> None:
        if answer.refusal is None:
            self.health.note_success()
            self.connections.take_back(channel)
            self._serve_queue()
            return
        if answer.refusal is Refusal.TOO_MANY_CONNECTIONS:
            self.connections.openings.note_limit_reached(self.connections.count)
        elif answer.refusal is Refusal.BUSY:
            self.note_answered(Refusal.BUSY, 0.0)
            self.connections.openings.note_limit_reached(self.connections.count)
        else:
            self._note_failure()
            self.on_failure(FailureKind.REFUSED)
        if not self.connections.count:
            self.queue.refuse(answer)
        elif channel.tenant and not self.connections.may_be_released(channel.tenant):
            # They cannot use connections of other tenants.
            self.queue.refuse(answer, channel.tenant)
        self._serve_queue()

    # Outcomes

    def note_answered(self, refusal: Refusal | None, taken: float) -> None:
        """Update the concurrency limit with the answer to a statement that takes a slot.

        Parameters
        ----------
        refusal : Refusal or None
            None if the member ran it.
        taken : float
            Time from sending to the answer, in milliseconds.
        """
        now = self.clock.now
        if refusal is None:
            self.concurrency.note_answer(now, taken, self.connections.in_flight)
        elif refusal is Refusal.BUSY:
            self.concurrency.note_busy(now, self.connections.in_flight)

    def _note_failure(self) -> None:
        backoff = self.health.note_failure(self.clock.now)
        self.clock.call_in(backoff, self._serve_queue)

    def note_reachable(self) -> None:
        """End the backoff, because the member answers on another connection."""
        if self.is_failing:
            self.health.note_reachable()
            self._serve_queue()

    def note_timeout(self) -> None:
        """Record that the member left a command unanswered."""
        self._note_failure()
        self.on_failure(FailureKind.SILENCE)

    def note_answer(self) -> None:
        """Record an answer of the member."""
        self.health.note_answer(is_error=False, now=self.clock.now)

    def note_error(self) -> None:
        """Record an error of the member itself."""
        self.health.note_answer(is_error=True, now=self.clock.now)
        self.on_failure(FailureKind.ERROR)

    # Maintenance

    def trim(self, is_routed_here: Callable[[str], bool] = lambda tenant: True) -> None:
        """Expire late requests, reclaim idle transactions and close idle connections.

        Parameters
        ----------
        is_routed_here : callable
            Returns whether a tenant's statements are routed to this gateway.
        """
        if not self.queue and not self.connections.count:
            return  # the common case at most gateways, 20 times a second
        now = self.clock.now
        self.queue.expire_late(now, self.forecasts.latency)
        if self.connections.is_exhausted:
            self.connections.idle_transactions.reclaim(waiter.since for waiter in self.queue)
        self.connections.trim(now, is_routed_here)

    def set_limit(self, limit: int) -> None:
        """Change the limit; close idle connections beyond it."""
        self.connections.set_limit(limit)
        self._serve_queue()

    def refuse_queued(self, reason: str) -> None:
        """Refuse all queued requests, which may then use other members."""
        self.queue.refuse(Answer(refusal=Refusal.BUSY, message=reason))

    def evacuate(self, reason: str) -> None:
        """End idle transactions, refuse queued requests and close idle connections."""
        self.connections.idle_transactions.end_all(reason)
        self.refuse_queued(reason)
        self.connections.close_idle()

    def close(self) -> None:
        """Close all connections that are not leased and refuse all queued requests.

        Later failures on leased connections do not count for the member's next pool.
        """
        self._closed = True
        self.on_failure = lambda kind: None
        self.connections.close()
        self.queue.refuse(Answer(refusal=Refusal.BUSY, message="the member is leaving"))

    def end(self) -> None:
        """Close all connections, also leased ones: the member's process has ended."""
        self.close()
        self.connections.close_leased()
