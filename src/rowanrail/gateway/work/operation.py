"""What all kinds of work of a session share: a connection, a place in line, other gateways.

What a refusal promises is decided here and in the kinds of work: nothing that may have run
is called "not run".
"""

import enum
from collections.abc import Callable

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.queued_request import QueuedRequest
from rowanrail.gateway.services.member_estimates import Wanted
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_values import PreparedNames, SessionValues
from rowanrail.gateway.work.attempts import (
    OPEN_ATTEMPT_SECONDS,
    answer_limit_seconds,
    is_prompt,
)
from rowanrail.gateway.work.refusals import PRIMARY_RETRY_AFTER_MS, busy, primary_trouble
from rowanrail.gateway.work.statement import Statement
from rowanrail.gateway.work.work_port import SingleStatement, Work, WorkInTransaction
from rowanrail.kernel.clock import Scheduler, Timer
from rowanrail.members.channel import Channel, Respond
from rowanrail.model.position import Position
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, Command, CommandKind, StatementKind, TypedStatement
from rowanrail.model.trace import Trace
from rowanrail.scheduling.admission import Admit, RejectionCause, judge_arriving
from rowanrail.scheduling.queue import QueueEntry
from rowanrail.scheduling.returning import return_base

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


class Operation(Statement):
    """What all kinds of work share: a connection for a statement, or for a transaction."""

    def __init__(
        self,
        service: Service,
        route: Route,
        session: SessionValues,
        names: PreparedNames,
        clock: Scheduler,
    ) -> None:
        super().__init__(service, route, session, clock)
        self.names = names
        self.channel: Channel | None = None
        self.pool: MemberPool | None = None
        self.attempts = 0
        self.attempt_timer: Timer | None = None
        self.queued: QueuedRequest | None = None
        self.floor: Position | None = None  # what a member's log must hold
        self.sent_at = 0.0
        self.stage = Stage.ACCEPTED
        self.member = ""
        self.find_detour: Callable[[], Work | None] = lambda: None
        self.find_home: Callable[..., Work | None] = lambda tenant, instance="": None
        self.away: SingleStatement | WorkInTransaction | None = None
        service.used_at = clock.time()

    def trace(self) -> Trace:
        """Return what decided about the statement so far."""
        if self.away is not None:
            return self.away.trace()
        now = self.clock.time()
        tracker = self.service.primary
        failing = tracker.failing_since
        return Trace(
            service=tracker.service,
            stage=self.stage.value,
            member=self.member,
            attempts=self.attempts,
            primary=tracker.believed,
            primary_failing_for=round(now - failing, 3) if failing else 0.0,
            sample_age=round(now - tracker.sample.asked_at, 3) if tracker.sample else None,
            rejection=self.rejection,
        )

    def begin_statement(self, respond: Respond) -> None:
        """See :meth:`Statement.begin_statement`."""
        self.attempts = 0
        super().begin_statement(respond)

    def on_hold(self) -> None:
        """Refuse what nobody could run so far if the primary is lost, or has no connection left."""
        tracker = self.service.primary
        trouble = primary_trouble(tracker.failing_since, tracker.is_crowded)
        if self.channel is not None or not trouble:
            return
        tracker.forget(self.floor_callback())
        self.turn_away(RejectionCause.NO_PRIMARY, trouble, PRIMARY_RETRY_AFTER_MS)

    def floor_callback(self) -> Callable[[Position | None], None] | None:
        """Return what waits for a sample of the primary, if anything does."""
        return None

    def stop_timers(self) -> None:
        """See :meth:`Statement.stop_timers`."""
        super().stop_timers()
        self.end_attempt()

    def let_go(self, answer: Answer) -> None:
        """See :meth:`Statement.let_go`."""
        if self.away is not None:
            self.away.finish(answer)  # nothing, if the answer is its own
        self.leave_queue()

    def hand_over(self, statement: TypedStatement, writes: bool) -> bool:
        """Have a gateway that reaches the primary run a statement of which nothing was sent.

        Returns False if no such gateway is known.
        """
        return self._hand_to(self.find_detour(), statement, writes)

    def hand_home(self, statement: TypedStatement, writes: bool, instance: str = "") -> bool:
        """Have the gateway run it that holds the connections to a member of another region.

        That is the primary if none is named. Returns False if the member stands in this region, or
        that gateway is not known.
        """
        return self._hand_to(self.find_home(self.tenant, instance), statement, writes)

    def _hand_to(self, work: Work | None, statement: TypedStatement, writes: bool) -> bool:
        if work is None:
            return False
        away = work.single(self.route_left(), self.session, writes)
        self.away = away
        self.stop_timers()
        away.start(statement, self.finish)
        return True

    def refuse_long_lost(self) -> bool:
        """Refuse at once what needs a primary that has been lost for long; return whether it was.

        Waiting is worth its time while a successor may come. A gateway that stays cut off from a
        primary had better send its clients on while another gateway can still be in time.
        """
        tracker = self.service.primary
        if not tracker.is_long_lost:
            return False
        seconds = self.clock.time() - tracker.failing_since
        self.finish(busy(f"the primary has been lost for {seconds:.1f} s; retry elsewhere"))
        return True

    # Attempts at one member

    def limit_opening(self) -> None:
        """Wait only a short while for the first connection to a member."""
        if (
            self.queued is not None
            and self.pool is not None
            and not self.pool.connections.established
        ):
            self._limit_attempt(OPEN_ATTEMPT_SECONDS)

    def limit_answer(self) -> None:
        """Give the member up for a read if its answer takes much longer than usual."""
        assert self.pool is not None
        objective = self.route.objective_seconds
        self._limit_attempt(answer_limit_seconds(objective, self.pool.forecasts.latency_seconds))

    def _limit_attempt(self, seconds: float) -> None:
        self.end_attempt()
        self.attempt_timer = self.clock.call_later(seconds, self._give_up_member)

    def end_attempt(self) -> None:
        """Note that the member answered, or that the statement is over."""
        timer, self.attempt_timer = self.attempt_timer, None
        if timer is not None:
            timer.cancel()

    def _give_up_member(self) -> None:
        self.attempt_timer = None
        if self.pool is None or self.respond is None:
            return
        self.pool.note_silence()
        if self.channel is not None:
            self.channel.close()  # answers as lost what is outstanding, which goes elsewhere
        elif self.queued is not None:
            self.leave_queue()
            self.try_next_member()

    def try_next_member(self) -> None:
        """Go on at another member, after one that gave no connection."""
        raise NotImplementedError

    # Connections

    def acquire(self, pool: MemberPool, take: Callable[[Channel | None, Answer], None]) -> None:
        """Ask a pool for a connection."""

        def respond(channel: Channel | None, answer: Answer) -> None:
            self.queued = None
            if channel is not None and self.respond is None:
                pool.release(channel)
                return
            self.channel = channel
            if channel is not None:
                channel.on_closed = self.on_channel_closed
            take(channel, answer)

        self.end_attempt()  # its limit is the limit of the member before
        self.pool = pool
        self.stage = Stage.WAITS_FOR_CONNECTION
        self.member = pool.record.instance
        entry, values = self.entry(), self.session.values
        self.queued = QueuedRequest(pool, entry, values, self.clock, respond, self._leave_hopeless)
        self.queued.start()

    def leave_queue(self) -> None:
        """Wait no longer for a connection."""
        queued, self.queued = self.queued, None
        if queued is not None:
            queued.leave()

    def _leave_hopeless(self) -> None:
        """Go where there is room, or refuse, as not run, what would be answered too late."""
        self.queued = None
        if self.pool is not None and not self.try_roomier(self.pool):
            self.refuse_crowded(self.pool, RejectionCause.HOPELESS)

    def entry(self) -> QueueEntry:
        """Return how the statement stands among those that want a connection."""
        deadline = self.arrived_at + self.route.timeout_seconds
        return QueueEntry(
            self.route.priority,
            self.tenant,
            self.arrived_at * 1000,
            deadline=deadline * 1000,
            weight=self.service.weight(self.tenant),
            returned=self.session.returned,
        )

    # Admission

    def may_wait_at(self, pool: MemberPool) -> bool:
        """Return whether the statement can still be served at a member."""
        forecast = pool.forecasts.of(self.entry())
        certain = pool.forecasts.errors.of(self.route.priority).certain_share
        verdict = judge_arriving(forecast, self.time_left, self.time_given, certain)
        return isinstance(verdict, Admit)

    def is_prompt(self, pool: MemberPool) -> bool:
        """Return whether a member has room soon enough for an answer within the objective."""
        forecast = pool.forecasts.of(self.entry())
        waited = self.time_given - self.time_left
        return is_prompt(forecast, self.route.objective_seconds, waited)

    # Choice

    @property
    def kind(self) -> str:
        """Which statements take about as long as this one."""
        return self.route.name

    def wanted(self) -> Wanted:
        """Return what the read asks of a member."""
        return Wanted(self.kind, self.entry(), self.floor)

    def note_answer(self, answer: Answer) -> None:
        """Have the choice of members learn from an answer to what was sent last."""
        estimates = self.service.estimates
        estimates.note_answer(self.member, self.kind, answer, self.sent_at, self.floor)

    def roomier(self, excluded: set[str]) -> MemberPool | None:
        """Return the member for a read that has room soon, else one where it can be served."""
        for is_enough in (self.is_prompt, self.may_wait_at):
            pools = self.service.pools.items()
            crowded = {instance for instance, pool in pools if not is_enough(pool)}
            found = self.service.choose(excluded | crowded, self.wanted())
            if found is not None:
                return found
        return None

    def refuse_crowded(
        self, pool: MemberPool, cause: RejectionCause = RejectionCause.CROWDED
    ) -> None:
        """Refuse, as not run, since all connections are in use for too long."""
        self.member = pool.record.instance
        self.stage = Stage.WAITS_FOR_CONNECTION
        forecast = pool.forecasts.of(self.entry())
        reason = f"{self.member} is crowded for {forecast.wait:.0f} ms"
        self.turn_away(cause, reason, return_base(forecast.wait, self.time_given), forecast)

    def try_roomier(self, pool: MemberPool) -> bool:
        """Go to a better member than one, if there is any; return whether it did."""
        return False

    def on_channel_closed(self, channel: Channel) -> None:
        """Note that the connection is gone; outstanding commands learn it by their answers."""

    def release(self, latency_seconds: float | None = None) -> None:
        """Give the connection back."""
        channel, self.channel = self.channel, None
        if channel is not None and self.pool is not None:
            channel.on_closed = lambda channel: None
            self.pool.release(channel, latency_seconds)

    def discard(self) -> None:
        """Close the connection: its state or its answers are in doubt."""
        if self.channel is not None:
            self.channel.on_closed = lambda channel: None
            self.channel.close()
            self.release()

    def replay(self, channel: Channel) -> list[Command]:
        """Return the commands that give the connection the session's values."""
        return self.service.policies.state_replay.commands(channel, self.session)

    def command(self, statement: TypedStatement, floor: Position | None) -> list[Command]:
        """Return the commands for a read or write, the statement's own last."""
        if statement.kind is not StatementKind.EXECUTE:
            return [Command(CommandKind.STATEMENT, statement.text, statement.request_id, floor)]
        assert self.channel is not None
        shape = self.session.prepared[statement.name]
        name = self.names.name(shape)
        commands = []
        if name not in self.channel.prepared:
            mode = "WRITE" if shape[0] else "READ"
            commands.append(Command(CommandKind.PREPARE, f"{name} {mode} {shape[1]}"))
            self.channel.prepared.add(name)
        text = f"{name} {statement.value}" if statement.value else name
        commands.append(Command(CommandKind.EXECUTE, text, statement.request_id, floor))
        return commands

    def send(self, commands: list[Command], respond: Respond) -> None:
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
                pool.note_answered(answer.refusal, self.clock.time() - sent_at)
            respond(answer)

        self.sent_at = sent_at
        self.stage = Stage.SENT
        answered: list[Respond] = [check] * (len(commands) - 1)
        channel.send(commands, [*answered, settle])
