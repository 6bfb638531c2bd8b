"""A statement's connection to one member: waiting for it, using it, the time of the attempt.

For the kinds of work. Owns which member is tried, the place in its wait queue, the connection while
it is in use, and the timer of the attempt. Relies on the member's pool, which leases a connection
until it is released, and on :mod:`rowanrail.gateway.work.attempts` for how long an attempt takes.
"""

import enum
from collections.abc import Callable

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.queued_request import QueuedRequest
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import SessionContext
from rowanrail.gateway.work.attempts import OPEN_ATTEMPT_SECONDS, answer_limit_seconds
from rowanrail.gateway.work.statement import Statement
from rowanrail.kernel.clock import Scheduler, Timer
from rowanrail.members.channel import AnswerCallback, Channel
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, Command, CommandKind
from rowanrail.scheduling.entry import QueueEntry

__all__ = ["ConnectedStatement", "Stage"]

# Reads, writes and commits. A member begins and ends a transaction without a slot, so that the
# time of such an answer says nothing of its queue.
SLOT_TAKERS = frozenset({CommandKind.STATEMENT, CommandKind.EXECUTE})


class Stage(enum.Enum):
    """How far a statement has come."""

    ACCEPTED = "accepted"
    WAITS_FOR_HOLDER = "waits-for-holder"
    WAITS_FOR_SAMPLE = "waits-for-sample"
    WAITS_FOR_PRIMARY = "waits-for-primary"
    WAITS_FOR_CONNECTION = "waits-for-connection"
    SENT = "sent"


class ConnectedStatement(Statement):
    """A statement that waits for a connection to a member, or uses one."""

    def __init__(
        self, service: Service, route: Route, session: SessionContext, clock: Scheduler
    ) -> None:
        super().__init__(service, route, session, clock)
        self.stage = Stage.ACCEPTED
        self.member = ""  # the one tried last
        self.pool: MemberPool | None = None  # of that member
        self.channel: Channel | None = None
        self.sent_at = 0.0
        self._queued: QueuedRequest | None = None
        self._attempt_timer: Timer | None = None

    # What differs between kinds of work

    def entry(self) -> QueueEntry:
        """Return the statement's entry for a wait queue: its urgency, tenant and deadline."""
        raise NotImplementedError

    def try_next_member(self) -> None:
        """Go on at another member, after one that gave no connection."""
        raise NotImplementedError

    def past_deadline(self, pool: MemberPool) -> None:
        """Go elsewhere, or reject, what would get a connection too late."""
        raise NotImplementedError

    # The time of an attempt

    def limit_opening(self) -> None:
        """Wait only a short while for the first connection to a member."""
        pool = self.pool
        if self._queued is not None and pool is not None and not pool.connections.established:
            self._limit_attempt(OPEN_ATTEMPT_SECONDS)

    def limit_answer(self) -> None:
        """Give the member up for a read if its answer takes much longer than usual."""
        assert self.pool is not None
        objective = self.route.objective_seconds
        self._limit_attempt(answer_limit_seconds(objective, self.pool.forecasts.latency / 1000))

    def _limit_attempt(self, seconds: float) -> None:
        self.end_attempt()
        self._attempt_timer = self.clock.call_later(seconds, self._give_up_member)

    def end_attempt(self) -> None:
        """Note that the member answered, or that the statement is over."""
        timer, self._attempt_timer = self._attempt_timer, None
        if timer is not None:
            timer.cancel()

    def _give_up_member(self) -> None:
        self._attempt_timer = None
        if self.pool is None or self.respond is None:
            return
        self.pool.note_timeout()
        if self.channel is not None:
            self.channel.close()  # answers as lost what is outstanding, which goes elsewhere
        elif self._queued is not None:
            self._leave_queue()
            self.try_next_member()

    def stop_timers(self) -> None:
        """See :meth:`Statement.stop_timers`."""
        super().stop_timers()
        self.end_attempt()

    # The wait queue

    def acquire(self, pool: MemberPool, take: Callable[[Channel | None, Answer], None]) -> None:
        """Ask a pool for a connection."""

        def respond(channel: Channel | None, answer: Answer) -> None:
            self._queued = None
            if channel is not None and self.respond is None:
                pool.release(channel)
                return
            self.channel = channel
            take(channel, answer)

        self.end_attempt()  # its limit is the limit of the member before
        self.pool = pool
        self.stage = Stage.WAITS_FOR_CONNECTION
        self.member = pool.record.instance
        entry, values = self.entry(), self.session.values
        self._queued = QueuedRequest(pool, entry, values, respond, self._expired)
        self._queued.start()

    def _expired(self) -> None:
        self._queued = None
        if self.pool is not None:
            self.past_deadline(self.pool)

    def _leave_queue(self) -> None:
        """Wait no longer for a connection."""
        queued, self._queued = self._queued, None
        if queued is not None:
            queued.cancel()

    def let_go(self, answer: Answer) -> None:
        """See :meth:`Statement.let_go`."""
        self._leave_queue()

    # The connection

    def send(self, commands: list[Command], respond: AnswerCallback) -> None:
        """Send commands; only the last one's answer matters unless an earlier one fails."""
        assert self.channel is not None
        channel = self.channel

        def check(answer: Answer) -> None:
            if answer.refusal is not None and not channel.closed:
                channel.close()  # the session's values are not as promised on this connection

        pool, takes_slot = self.pool, commands[-1].kind in SLOT_TAKERS
        sent_at = self.clock.time()

        def settle(answer: Answer) -> None:
            if pool is not None and takes_slot:
                pool.note_answered(answer.refusal, 1000 * (self.clock.time() - sent_at))
            respond(answer)

        self.sent_at = sent_at
        self.stage = Stage.SENT
        answered: list[AnswerCallback] = [check] * (len(commands) - 1)
        channel.send(commands, [*answered, settle])

    def release(self, latency: float | None = None) -> None:
        """Give the connection back; ``latency`` is what an answer took, in milliseconds."""
        channel, self.channel = self.channel, None
        if channel is not None and self.pool is not None:
            self.pool.release(channel, latency)

    def discard(self) -> None:
        """Close the connection: its state is not known, or answers on it are outstanding."""
        if self.channel is not None:
            self.channel.close()
            self.release()
