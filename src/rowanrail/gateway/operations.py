"""Work of one session at a member: a lone read, a lone write, and a transaction.

Each is a small state machine between a session (which gets one answer for each statement),
a pool and the primary's tracker. What a refusal promises is decided here: nothing that may
have run is called "not run".
"""

from collections.abc import Callable

from rowanrail.gateway.channel import Channel, Respond
from rowanrail.gateway.clock import Clock, Timer
from rowanrail.gateway.model import (
    Answer,
    Command,
    CommandKind,
    Consistency,
    Refusal,
    Route,
    SessionState,
    StatementKind,
    TypedStatement,
)
from rowanrail.gateway.pool import MemberPool, Waiter
from rowanrail.gateway.service import Service
from rowanrail.proxy.backend import ORIGIN, Position

HOLD_SHARE = 0.7  # of the objective: while a new primary may still come in time
READ_ATTEMPT_SHARE = 0.6  # of the objective: after it a silent member is given up for a read
READ_ATTEMPT_LATENCIES = 8  # usual latencies: the same, if that is sooner
MINIMUM_ATTEMPT_SECONDS = 0.15
OPEN_ATTEMPT_SECONDS = 0.15  # for a member with no connection yet
PREFETCH_SHARE = 0.5  # of the staleness: age of a sample at which the next one is asked for
RETRY_SECONDS = 0.02
BUSY_RETRIES = 3
READ_ATTEMPTS = 6


class SessionValues:
    """What a session set: values and prepared names, which hold until it ends."""

    __slots__ = ("floors", "prepared", "values")

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[bool, str]] = {}
        self.floors: dict[str, Position] = {}


class PreparedNames:
    """Names under which the proxy prepares shapes at members; one for each shape."""

    def __init__(self) -> None:
        self._names: dict[tuple[bool, str], str] = {}

    def name(self, shape: tuple[bool, str]) -> str:
        """Return the proxy's own name of a shape."""
        return self._names.setdefault(shape, f"p{len(self._names) + 1}")


def replay(channel: Channel, session: SessionValues) -> list[Command]:
    """Return the commands that give a connection exactly the session's values."""
    commands: list[Command] = []
    wanted = session.values
    if channel.uncertain or any(name not in wanted for name in channel.values):
        commands.append(Command(CommandKind.RESET))
        channel.values = {}
        channel.prepared = set()
        channel.uncertain = False
    for name, value in wanted.items():
        if channel.values.get(name) != value:
            commands.append(Command(CommandKind.SET, f"{name} {value}"))
            channel.values[name] = value
    return commands


class Operation:
    """What all kinds of work share: a deadline, a connection, and one final answer."""

    def __init__(
        self,
        service: Service,
        route: Route,
        session: SessionValues,
        names: PreparedNames,
        clock: Clock,
    ) -> None:
        self.service = service
        self.route = route
        self.session = session
        self.names = names
        self.clock = clock
        self.channel: Channel | None = None
        self.pool: MemberPool | None = None
        self.attempts = 0
        self.timer: Timer | None = None
        self.hold_timer: Timer | None = None
        self.waiter: Waiter | None = None
        self.respond: Respond | None = None
        self.arrived_at = 0.0
        self.sent_at = 0.0
        service.used_at = clock.time()

    # Time

    def begin_statement(self, respond: Respond) -> None:
        """Take a statement and start its clock."""
        self.respond = respond
        self.arrived_at = self.clock.time()
        self.attempts = 0
        self.timer = self.clock.call_later(self.route.timeout_seconds, self.on_timeout)
        hold_seconds = HOLD_SHARE * self.route.objective_seconds
        self.hold_timer = self.clock.call_later(hold_seconds, self.on_hold)

    def on_timeout(self) -> None:
        """Answer at the end of the statement's time."""
        raise NotImplementedError

    def on_hold(self) -> None:
        """Refuse what nobody could run so far if the primary is lost."""
        if self.channel is None and self.service.primary.failing_since:
            self.service.primary.forget(self.floor_callback())
            self.finish(busy("the primary is lost; retry in 1 s"))

    def floor_callback(self) -> Callable[[Position | None], None] | None:
        """Return what waits for a sample of the primary, if anything does."""
        return None

    @property
    def hold_until(self) -> float:
        """Moment after which a statement that no member could run is refused."""
        return self.arrived_at + HOLD_SHARE * self.route.objective_seconds

    def retry_later(self, function: Callable[[], None], answer: Answer) -> None:
        """Try again in a moment, or give the refusal if the time to hold is over."""
        if self.clock.time() + RETRY_SECONDS > self.hold_until:
            self.finish(answer)
            return

        def again() -> None:
            if self.respond is not None:
                function()

        self.clock.call_later(RETRY_SECONDS, again)

    def finish(self, answer: Answer) -> None:
        """Give the statement's answer, once."""
        respond, self.respond = self.respond, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None
        if self.waiter is not None and self.pool is not None:
            self.pool.cancel(self.waiter)
            self.waiter = None
        if respond is not None:
            respond(answer)

    # Connections

    def acquire(self, pool: MemberPool, take: Callable[[Channel | None, Answer], None]) -> None:
        """Ask a pool for a connection."""

        def respond(channel: Channel | None, answer: Answer) -> None:
            self.waiter = None
            if channel is not None and self.respond is None:
                pool.release(channel)
                return
            self.channel = channel
            if channel is not None:
                channel.on_closed = self.on_channel_closed
            take(channel, answer)

        self.pool = pool
        self.waiter = Waiter(self.route.priority, self.session.values, respond)
        waiter = self.waiter
        pool.acquire(waiter)

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

        self.sent_at = self.clock.time()
        channel.send(commands, [check] * (len(commands) - 1) + [respond])


class LoneRead(Operation):
    """A single read: a floor, then any member whose log holds it."""

    def start(self, statement: TypedStatement, respond: Respond) -> None:
        """Begin."""
        self.statement = statement
        self.excluded: set[str] = set()
        self.begin_statement(respond)
        self._asked_since = oldest_sample(self.route, self.arrived_at)
        self.attempt_timer: Timer | None = None
        self._need_floor()

    def _need_floor(self) -> None:
        prefetch(self.service, self.route, self.clock.time())
        self.service.primary.need(self._asked_since, self._with_floor)

    def _with_floor(self, position: Position | None) -> None:
        if self.respond is None:
            return
        if position is None:
            self.finish(busy("no primary confirms its position"))
            return
        own = self.session.floors.get(self.service.spec.name, ORIGIN)
        self.floor = max(position, own)
        self._choose()

    def _choose(self) -> None:
        self.attempts += 1
        pool = self.service.choose(self.excluded)
        if pool is None or self.attempts > READ_ATTEMPTS:
            self.excluded.clear()
            self.attempts = 0
            self.retry_later(self._need_floor, busy("no member can serve the read"))
            return
        self.acquire(pool, self._with_channel)
        if self.waiter is not None and not pool.established:
            self._limit_attempt(OPEN_ATTEMPT_SECONDS)

    def _limit_attempt(self, seconds: float) -> None:
        if self.attempt_timer is not None:
            self.attempt_timer.cancel()
        self.attempt_timer = self.clock.call_later(seconds, self._give_up_member)

    def floor_callback(self) -> Callable[[Position | None], None] | None:
        """See :meth:`Operation.floor_callback`."""
        return self._with_floor

    def _with_channel(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            self._next_member()
            return
        assert self.pool is not None
        commands = replay(channel, self.session)
        commands += self.command(self.statement, self.floor)
        usual = max(MINIMUM_ATTEMPT_SECONDS, READ_ATTEMPT_LATENCIES * self.pool.latency_seconds)
        self._limit_attempt(min(READ_ATTEMPT_SHARE * self.route.objective_seconds, usual))
        self.send(commands, self._answered)

    def _next_member(self) -> None:
        if self.pool is not None:
            self.excluded.add(self.pool.record.instance)
        self._choose()

    def _give_up_member(self) -> None:
        self.attempt_timer = None
        if self.pool is None or self.respond is None:
            return
        self.pool.note_silence()
        if self.channel is not None:
            self.channel.close()  # answers the read as lost, which tries the next member
        elif self.waiter is not None:
            self.pool.cancel(self.waiter)
            self.waiter = None
            self._next_member()

    def _answered(self, answer: Answer) -> None:
        if self.attempt_timer is not None:
            self.attempt_timer.cancel()
            self.attempt_timer = None
        if self.respond is None:
            self.release()
            return
        assert self.pool is not None
        if answer.refusal is None:
            self.pool.note_answer()
            self.release(self.clock.time() - self.sent_at)
            self.finish(answer)
            return
        if answer.refusal is Refusal.LAGGING:
            self._lagging()
        elif answer.refusal in (Refusal.FAILED, Refusal.TIMEOUT, Refusal.INVALID):
            self.release()
            self.finish(answer)
        else:
            if answer.refusal is Refusal.UNKNOWN_NAME and self.channel is not None:
                self.channel.prepared.clear()
            self.release()
            self._next_member()

    def _lagging(self) -> None:
        assert self.pool is not None
        instance = self.pool.record.instance
        self.release()
        if instance == self.service.primary.believed:
            # Its log lacks the floor: commits were rolled back. Begin with a new sample.
            self._asked_since = self.clock.time()
            self.excluded.clear()
            self._need_floor()
            return
        self.excluded.add(instance)
        primary = self.service.primary_pool()
        if primary is not None and primary.record.instance not in self.excluded:
            self.attempts += 1
            self.acquire(primary, self._with_channel)
            return
        self._choose()

    def on_timeout(self) -> None:
        """See :meth:`Operation.on_timeout`. A read that was sent may still run."""
        self.service.primary.forget(self._with_floor)
        sent = self.channel is not None
        if self.attempt_timer is not None:
            self.attempt_timer.cancel()
        refusal = Refusal.TIMEOUT if sent else Refusal.BUSY
        self.finish(Answer(refusal=refusal, message="no answer in time"))
        self.discard()


class LoneWrite(Operation):
    """A single write, at the primary; what was sent is never sent again."""

    def start(self, statement: TypedStatement, respond: Respond) -> None:
        """Begin."""
        self.statement = statement
        self.begin_statement(respond)
        self._find_primary()

    def _find_primary(self) -> None:
        pool = self.service.primary_pool()
        if pool is None or pool.is_failing:
            self.service.primary.prefetch()
            self.retry_later(self._find_primary, busy("no primary is known"))
            return
        self.acquire(pool, self._with_channel)

    def _with_channel(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            self.service.primary.note_failure(self.service.primary.believed)
            self.retry_later(self._find_primary, busy(answer.message))
            return
        commands = replay(channel, self.session)
        commands += self.command(self.statement, None)
        self.send(commands, self._answered)

    def _answered(self, answer: Answer) -> None:
        if self.respond is None:
            self.release()
            return
        assert self.pool is not None
        instance = self.pool.record.instance
        if answer.refusal is None:
            self.release()
            note_commit(self.service, self.session, instance, self.sent_at, answer.position)
            self.finish(answer)
            return
        if answer.refusal is Refusal.LOST:
            self.release()
            self.finish(Answer(refusal=Refusal.OUTCOME_UNKNOWN, message="the connection was lost"))
            return
        if answer.refusal is Refusal.UNKNOWN_NAME and self.channel is not None:
            self.channel.prepared.clear()
        self.release()
        if answer.refusal is Refusal.NOT_PRIMARY:
            self.service.primary.note_not_primary(instance)
            self.retry_later(self._find_primary, answer)
        elif answer.refusal in (Refusal.BUSY, Refusal.UNKNOWN_NAME):
            self.retry_later(self._find_primary, answer)
        else:
            self.finish(answer)

    def on_timeout(self) -> None:
        """See :meth:`Operation.on_timeout`."""
        sent = self.channel is not None
        refusal = Refusal.OUTCOME_UNKNOWN if sent else Refusal.BUSY
        self.finish(Answer(refusal=refusal, message="no answer in time"))
        self.discard()


class Transaction(Operation):
    """A transaction: its connection from the first statement to the end.

    It begins at the member with its first statement, so that a transaction that rests right
    after BEGIN holds no connection.
    """

    def __init__(
        self,
        service: Service,
        route: Route,
        session: SessionValues,
        names: PreparedNames,
        clock: Clock,
        read_only: bool,
    ) -> None:
        super().__init__(service, route, session, names, clock)
        self.read_only = read_only
        self.wrote = False
        self.failed = False
        self._begun_at = clock.time()
        self._begun = False
        self._excluded: set[str] = set()
        self._busy_retries = 0

    def run(self, statement: TypedStatement, respond: Respond) -> None:
        """Run a read, a write or the commit."""
        self.statement = statement
        self._busy_retries = 0
        self.begin_statement(respond)
        if self.read_only and is_write(statement, self.session):
            self.failed = True
            self.end()
            self.finish(Answer(refusal=Refusal.NOT_PRIMARY, message="the transaction only reads"))
        elif self._begun:
            self._run_statement()
        else:
            self._begin()

    def floor_callback(self) -> Callable[[Position | None], None] | None:
        """See :meth:`Operation.floor_callback`."""
        return self._with_floor

    # The beginning at a member

    def _begin(self) -> None:
        if not self.read_only:
            self._acquire_primary()
            return
        since = oldest_sample(self.route, self._begun_at)
        prefetch(self.service, self.route, self.clock.time())
        self.service.primary.need(since, self._with_floor)

    def _with_floor(self, position: Position | None) -> None:
        if self.respond is None:
            return
        own = self.session.floors.get(self.service.spec.name, ORIGIN)
        pool = self.service.choose(self._excluded)
        if position is None or pool is None:
            self._excluded.clear()
            self.retry_later(self._begin, busy("no member can serve the transaction"))
            return
        self._floor: Position | None = max(position, own)
        self.acquire(pool, self._with_channel)

    def _acquire_primary(self) -> None:
        pool = self.service.primary_pool()
        if pool is None or pool.is_failing:
            self.service.primary.prefetch()
            self.retry_later(self._begin, busy("no primary is known"))
            return
        self._floor = None
        self.acquire(pool, self._with_channel)

    def _with_channel(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            if self.read_only and self.pool is not None:
                self._excluded.add(self.pool.record.instance)
            elif not self.read_only:
                self.service.primary.note_failure(self.service.primary.believed)
            self.retry_later(self._begin, busy(answer.message))
            return
        kind = CommandKind.BEGIN_READ if self.read_only else CommandKind.BEGIN
        commands = replay(channel, self.session)
        commands.append(Command(kind, floor=self._floor))
        channel.in_transaction = True
        self.send(commands, self._begin_answered)

    def _begin_answered(self, answer: Answer) -> None:
        assert self.pool is not None
        instance = self.pool.record.instance
        if answer.refusal is None:
            self._begun = True
            if not self.read_only:
                self.service.primary.note_proof(instance, self.sent_at, answer.position)
            if self.respond is None:
                self.end()
            else:
                self._run_statement()
            return
        if self.channel is not None:
            self.channel.in_transaction = False
        self.release()
        if self.respond is None:
            return
        if answer.refusal is Refusal.NOT_PRIMARY:
            self.service.primary.note_not_primary(instance)
        else:
            self._excluded.add(instance)
        if answer.refusal is Refusal.LOST:
            answer = Answer(refusal=Refusal.ABORTED, message=answer.message)
        if answer.refusal is Refusal.LAGGING and instance == self.service.primary.believed:
            self._begun_at = self.clock.time()
        self.retry_later(self._begin, answer)

    # Statements

    def _run_statement(self) -> None:
        if self.statement.kind is StatementKind.COMMIT:
            commands = [
                Command(CommandKind.STATEMENT, self.statement.text, self.statement.request_id)
            ]
            self.send(commands, self._commit_answered)
            return
        assert self.channel is not None
        if is_write(self.statement, self.session):
            self.wrote = True
        commands = replay_in_transaction(self.channel, self.session)
        commands += self.command(self.statement, None)
        self.send(commands, self._statement_answered)

    def _statement_answered(self, answer: Answer) -> None:
        if answer.refusal is None:
            self.finish(answer)
            return
        if self._may_retry(answer):
            self._busy_retries += 1
            self.clock.call_later(RETRY_SECONDS * self._busy_retries, self._retry_statement)
            return
        self._fail(answer)

    def _may_retry(self, answer: Answer) -> bool:
        return (
            answer.refusal is Refusal.BUSY
            and answer.state is SessionState.TRANSACTION
            and self._busy_retries < BUSY_RETRIES
            and self.respond is not None
        )

    def _retry_statement(self) -> None:
        if self.respond is None:
            return
        if self.channel is None or self.channel.closed:
            self._fail(Answer(refusal=Refusal.LOST, message="the connection was lost"))
            return
        self._run_statement()

    def _fail(self, answer: Answer) -> None:
        """End at a failed statement: nothing of a transaction without its commit is kept."""
        assert self.pool is not None
        if answer.refusal is Refusal.NOT_PRIMARY:
            self.service.primary.note_not_primary(self.pool.record.instance)
        if answer.refusal is Refusal.LOST:
            answer = Answer(refusal=Refusal.ABORTED, message=answer.message)
        self.failed = True
        self.end()
        self.finish(answer)

    def _commit_answered(self, answer: Answer) -> None:
        assert self.pool is not None
        instance = self.pool.record.instance
        if answer.refusal is None:
            if self.channel is not None:
                self.channel.in_transaction = False
            self.release()
            if self.wrote:
                note_commit(self.service, self.session, instance, self.sent_at, answer.position)
            self.finish(answer)
            return
        if self._may_retry(answer):
            self._busy_retries += 1
            self.clock.call_later(RETRY_SECONDS * self._busy_retries, self._retry_statement)
            return
        if answer.refusal is Refusal.NOT_PRIMARY:
            self.service.primary.note_not_primary(instance)
        if answer.refusal is Refusal.LOST:
            refusal = Refusal.OUTCOME_UNKNOWN if self.wrote else Refusal.ABORTED
            answer = Answer(refusal=refusal, message=answer.message)
        self.end()
        self.finish(answer)

    # The end

    def end(self) -> None:
        """Roll back at the member and give the connection back."""
        channel = self.channel
        if channel is None:
            return
        if channel.closed:
            self.release()
            return
        if channel.busy:
            self.discard()
            return
        pool = self.pool
        self.channel = None
        assert pool is not None

        def rolled_back(answer: Answer) -> None:
            channel.in_transaction = False
            channel.on_closed = lambda channel: None
            if answer.refusal is not None:
                channel.close()
            # A value set inside of a transaction may be undone with it.
            channel.uncertain = bool(channel.values)
            pool.release(channel)

        channel.on_closed = lambda channel: None
        channel.send([Command(CommandKind.ROLLBACK)], [rolled_back])

    def on_timeout(self) -> None:
        """See :meth:`Operation.on_timeout`."""
        self.service.primary.forget(self._with_floor)
        committing = self.statement.kind is StatementKind.COMMIT and self.channel is not None
        if committing and self.wrote:
            refusal = Refusal.OUTCOME_UNKNOWN
        elif self.channel is not None:
            refusal = Refusal.ABORTED
        else:
            refusal = Refusal.BUSY
        self.failed = True
        self.finish(Answer(refusal=refusal, message="no answer in time"))
        self.discard()


def busy(message: str) -> Answer:
    """Return the refusal of a statement that was not run for want of a place."""
    return Answer(refusal=Refusal.BUSY, message=message)


def is_write(statement: TypedStatement, session: SessionValues) -> bool:
    """Return whether a statement writes; an EXECUTE does as it was prepared."""
    if statement.kind is StatementKind.EXECUTE:
        return session.prepared[statement.name][0]
    return statement.kind is StatementKind.WRITE


def replay_in_transaction(channel: Channel, session: SessionValues) -> list[Command]:
    """Return the commands for values that the session set since its transaction began."""
    commands = []
    for name, value in session.values.items():
        if channel.values.get(name) != value:
            commands.append(Command(CommandKind.SET, f"{name} {value}"))
            channel.values[name] = value
    return commands


def oldest_sample(route: Route, arrived_at: float) -> float:
    """Return since when a sample must have been asked for to serve a read of the route."""
    if route.consistency is Consistency.PRIMARY:
        return arrived_at
    return arrived_at - route.staleness_seconds


def prefetch(service: Service, route: Route, now: float) -> None:
    """Ask for the next sample before the one at hand is too old."""
    if route.consistency is Consistency.PRIMARY:
        return
    sample = service.primary.sample
    if sample is not None and now - sample.asked_at > PREFETCH_SHARE * route.staleness_seconds:
        service.primary.prefetch()


def note_commit(
    service: Service,
    session: SessionValues,
    instance: str,
    sent_at: float,
    position: Position | None,
) -> None:
    """Raise the session's floor to its own commit, which also proves who leads."""
    if position is None:
        return
    name = service.spec.name
    session.floors[name] = max(position, session.floors.get(name, ORIGIN))
    service.primary.note_proof(instance, sent_at, position)
