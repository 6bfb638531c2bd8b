"""A statement's connection to a member: wait queue, sending, and time limit of the attempt.

The member's pool leases the connection until it is released; the limits come from
:mod:`rowanrail.gateway.work.attempts`.
"""

import enum
from collections.abc import Callable

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.queued_request import QueuedRequest
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import SessionContext
from rowanrail.gateway.work.attempts import (
    FIRST_CONNECTION_TIMEOUT_SECONDS,
    read_attempt_timeout_seconds,
)
from rowanrail.gateway.work.commands import forget_unsent
from rowanrail.gateway.work.statement import Statement
from rowanrail.kernel.clock import Scheduler, Timer
from rowanrail.members.channel import AnswerCallback, Channel
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal
from rowanrail.scheduling.entry import QueueEntry

__all__ = ["ConnectedStatement", "Stage"]

# Commands that occupy an execution slot of the member: reads, writes and commits. BEGIN and
# ROLLBACK need none, so the time of their answers doesn't reflect the member's queue.
SLOT_COMMANDS = frozenset({CommandKind.STATEMENT, CommandKind.EXECUTE})


class Stage(enum.Enum):
    """Progress of a statement."""

    ACCEPTED = "accepted"
    WAITS_FOR_HOLDER = "waits-for-holder"
    WAITS_FOR_SAMPLE = "waits-for-sample"
    WAITS_FOR_PRIMARY = "waits-for-primary"
    WAITS_FOR_CONNECTION = "waits-for-connection"
    SENT = "sent"
    WAITS_FOR_CONFIRMATION = "waits-for-confirmation"  # that a commit stands


class ConnectedStatement(Statement):
    """A statement that waits for a connection to a member or uses one."""

    def __init__(
        self, service: Service, route: Route, session: SessionContext, clock: Scheduler
    ) -> None:
        super().__init__(service, route, session, clock)
        self.stage = Stage.ACCEPTED
        self.member = ""  # instance of the member tried last
        self.pool: MemberPool | None = None  # pool of that member
        self.channel: Channel | None = None
        self.sent_at = 0.0
        self.unsent_commands = 1  # of the last attempt that a warming member's limit prevented
        self._queued: QueuedRequest | None = None
        self._attempt_timer: Timer | None = None

    @property
    def continues(self) -> bool:
        """Whether the statement belongs to a transaction that has begun at the member."""
        return False

    # Hooks of subclasses

    def queue_entry(self) -> QueueEntry:
        """Return the statement's entry for a wait queue: urgency, tenant and deadline."""
        raise NotImplementedError

    def try_next_member(self) -> None:
        """Continue at another member after one that provided no connection in time."""
        raise NotImplementedError

    def on_deadline_unreachable(self, pool: MemberPool) -> None:
        """Handle a statement that would get a connection too late: move or reject it."""
        raise NotImplementedError

    # Time limit of an attempt

    def limit_connection_wait(self) -> None:
        """Limit the wait if the pool has no established connection yet."""
        pool = self.pool
        if self._queued is not None and pool is not None and not pool.connections.established:
            self._limit_attempt(FIRST_CONNECTION_TIMEOUT_SECONDS)

    def limit_answer_time(self) -> None:
        """Limit the time in which the member must answer a read."""
        assert self.pool is not None
        objective = self.route.objective_seconds
        self._limit_attempt(
            read_attempt_timeout_seconds(objective, self.pool.forecasts.latency / 1000)
        )

    def _limit_attempt(self, seconds: float) -> None:
        self.stop_attempt_timer()
        self._attempt_timer = self.clock.call_later(seconds, self._on_attempt_timeout)

    def stop_attempt_timer(self) -> None:
        """Stop the attempt's timer: the member answered, or the statement has ended."""
        timer, self._attempt_timer = self._attempt_timer, None
        if timer is not None:
            timer.cancel()

    def _on_attempt_timeout(self) -> None:
        self._attempt_timer = None
        if self.pool is None or self.respond is None:
            return
        self.pool.note_timeout()
        if self.channel is not None:
            self.channel.close()  # reports the outstanding request as lost
        elif self._queued is not None:
            self._leave_queue()
            self.try_next_member()

    def stop_timers(self) -> None:
        """Stop all timers, including that of the attempt."""
        super().stop_timers()
        self.stop_attempt_timer()

    # Wait queue

    def acquire(
        self, pool: MemberPool, on_connection: Callable[[Channel | None, Answer], None]
    ) -> None:
        """Request a connection; the callback gets it, or None with the reason."""

        def on_response(channel: Channel | None, answer: Answer) -> None:
            self._queued = None
            if channel is not None and self.respond is None:
                pool.release(channel)
                return
            if channel is not None:
                # Evacuations and configurations may have changed while it waited.
                exclusion = self.service.exclusion(pool.record, self.regions)
                if exclusion is not None:
                    pool.release(channel)
                    reason = f"{pool.record.instance} is excluded: {exclusion.value}"
                    channel, answer = None, Answer(refusal=Refusal.BUSY, message=reason)
            self.channel = channel
            on_connection(channel, answer)

        self.stop_attempt_timer()  # it belongs to the previous member
        self.pool = pool
        self.stage = Stage.WAITS_FOR_CONNECTION
        self.member = pool.record.instance
        entry, values = self.queue_entry(), self.session.values
        self._queued = QueuedRequest(pool, entry, values, on_response, self._on_queue_expiry)
        self._queued.start()

    def _on_queue_expiry(self) -> None:
        self._queued = None
        if self.pool is not None:
            self.on_deadline_unreachable(self.pool)

    def _leave_queue(self) -> None:
        """Withdraw the request for a connection."""
        queued, self._queued = self._queued, None
        if queued is not None:
            queued.cancel()

    def withdraw_requests(self, answer: Answer) -> None:
        """Leave the wait queue once the statement is answered."""
        self._leave_queue()

    # Connection

    def send(self, commands: list[Command], respond: AnswerCallback, following: int = 0) -> bool:
        """Send commands; ``respond`` gets the answer to the last one.

        The connection is closed if an earlier one is refused.

        Parameters
        ----------
        following : int
            Commands that will follow them, for which a member that warms up must have places too.

        Returns
        -------
        bool
            False if nothing was sent, since the member warms up and gets no more statements now.
        """
        assert self.channel is not None
        channel, places = self.channel, len(commands) + following
        if self.pool is not None and not self.service.take_places(
            self.pool.record, places, self.continues
        ):
            forget_unsent(channel, commands)
            self.unsent_commands = places
            return False

        if self.pool is not None and not self.continues:
            self.service.leaving.note_sent(self.pool.record)

        def close_on_refusal(answer: Answer) -> None:
            if answer.refusal is not None and not channel.closed:
                channel.close()  # the session's values are incomplete on this connection

        pool, takes_slot = self.pool, commands[-1].kind in SLOT_COMMANDS
        sent_at = self.clock.time()

        def record_and_respond(answer: Answer) -> None:
            if pool is not None and takes_slot:
                pool.note_answered(answer.refusal, 1000 * (self.clock.time() - sent_at))
            respond(answer)

        self.sent_at = sent_at
        self.stage = Stage.SENT
        earlier: list[AnswerCallback] = [close_on_refusal] * (len(commands) - 1)
        channel.send(commands, [*earlier, record_and_respond])
        return True

    def release(self, latency: float | None = None) -> None:
        """Return the connection to its pool, with the latency of an answer in milliseconds."""
        channel, self.channel = self.channel, None
        if channel is not None and self.pool is not None:
            self.pool.release(channel, latency)

    def discard(self) -> None:
        """Close the connection, because its state is unknown or answers are outstanding."""
        if self.channel is not None:
            self.channel.close()
            self.release()
