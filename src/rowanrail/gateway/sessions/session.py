"""A client's session: its statements one after the other, its values, its transaction.

For the front ends. Owns the session's state, its values and the transaction that is open; relies on
its gateway for routes, limits and the log, and on the ports of work to run statements.
"""

from collections.abc import Callable
from typing import Protocol

from rowanrail.gateway.session_context import SessionContext, is_write
from rowanrail.gateway.work.ports import (
    AutocommitExecution,
    StatementExecutor,
    TransactionExecution,
)
from rowanrail.kernel.clock import Scheduler, Timer
from rowanrail.members.channel import AnswerCallback
from rowanrail.model.routing import Route
from rowanrail.model.statements import (
    NO_EFFECT_REFUSALS,
    Answer,
    Refusal,
    SessionState,
    StatementKind,
    TypedStatement,
)
from rowanrail.tenants.model import ClientIdentity

MAXIMUM_VALUES = 200  # bounds the memory of a session; clients set a few
_DONE = Answer()


class SessionAccess(Protocol):
    """Port: the limit of a session's tenant, and which clients retry after a rejection."""

    def refuse_over_quota(self, session: "Session") -> Answer | None:
        """Count an operation of a session's tenant, or return why it may not begin now."""

    def note_return(self, session: "Session") -> None:
        """Tell a session whether its client was rejected and retries when it was told to."""

    def note_not_run(self, session: "Session") -> None:
        """Count an operation no longer: nothing of it reached a member."""


class SessionOutcomes(Protocol):
    """Port: gets each answer of a session, for the log and the metrics."""

    def note(
        self,
        session: "Session",
        statement: TypedStatement,
        answer: Answer,
        seconds: float,
        operation: AutocommitExecution | TransactionExecution | None,
    ) -> None:
        """Count and log what became of a statement."""


class SessionHost(Protocol):
    """What a session needs of its gateway."""

    clock: Scheduler

    @property
    def access(self) -> SessionAccess:
        """Limits of tenants."""

    @property
    def outcomes(self) -> SessionOutcomes:
        """Gets each answer."""

    def route(self, database: str, tenant: str) -> tuple[Route, StatementExecutor] | Answer:
        """Return the route in force for a database and where a tenant's work is done."""

    def idle_transaction_seconds(self) -> float:
        """Return how long a transaction may be idle."""

    def session_closed(self, session: "Session") -> None:
        """Forget a session."""


class Session:
    """One client's session. A front end gives it one statement at a time."""

    __slots__ = (
        "_abort_reason",
        "_denied",
        "_host",
        "_idle_timer",
        "_operation",
        "_received_at",
        "_respond",
        "_statement",
        "_transaction",
        "closed",
        "database",
        "label",
        "on_denied",
        "state",
        "values",
    )

    def __init__(
        self,
        host: SessionHost,
        database: str,
        identity: ClientIdentity = ClientIdentity(),  # noqa: B008 - it is frozen
        label: str = "",
    ) -> None:
        self.database = database
        self.label = label
        self.state = SessionState.IDLE
        self.values = SessionContext(identity)
        self.on_denied: Callable[[], None] = lambda: None
        self.closed = False
        self._host = host
        self._transaction: TransactionExecution | None = None
        self._operation: AutocommitExecution | TransactionExecution | None = None
        self._respond: AnswerCallback | None = None
        self._statement: TypedStatement | None = None
        self._abort_reason = ""
        self._denied = False
        self._idle_timer: Timer | None = None
        self._received_at = 0.0

    @property
    def busy(self) -> bool:
        """Whether a statement runs."""
        return self._respond is not None

    @property
    def identity(self) -> ClientIdentity:
        """Whose statements it sends."""
        return self.values.identity

    @property
    def is_denied(self) -> bool:
        """Whether its key was withdrawn."""
        return self._denied

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self.state is not SessionState.IDLE

    # Statements

    def execute(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Run a statement; ``respond`` gets its answer once, perhaps at once."""
        assert self._respond is None, "statements of a session run one after the other"
        self._respond = respond
        self._statement = statement
        self._received_at = self._host.clock.time()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        if self._denied:
            self._end_transaction()
            self._refuse(Refusal.DENIED, "the key was withdrawn")
        elif self.state is SessionState.FAILED:
            self._in_failed(statement)
        elif statement.kind in (StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE):
            self._work(statement)
        else:
            self._control(statement)

    def _finish(self, answer: Answer) -> None:
        respond, self._respond = self._respond, None
        statement, self._statement = self._statement, None
        operation, self._operation = self._operation, None
        if respond is None or statement is None:
            return
        if self.state is SessionState.TRANSACTION and not self.closed:
            self._idle_timer = self._host.clock.call_later(
                self._host.idle_transaction_seconds(), self._idle_for_too_long
            )
        seconds = self._host.clock.time() - self._received_at
        self._host.outcomes.note(self, statement, answer, seconds, operation)
        respond(answer)

    def _refuse(self, refusal: Refusal, message: str) -> None:
        self._finish(Answer(refusal=refusal, message=message))

    def _in_failed(self, statement: TypedStatement) -> None:
        reason, self._abort_reason = self._abort_reason, ""
        if statement.kind is StatementKind.ROLLBACK:
            self._end_transaction()
            self._finish(_DONE)
        elif statement.kind is StatementKind.COMMIT:
            self._end_transaction()
            self._refuse(Refusal.ABORTED, reason or "the transaction had failed")
        elif reason:
            self._refuse(Refusal.ABORTED, reason)
        else:
            self._refuse(Refusal.INVALID, "the transaction failed; end it first")

    def _control(self, statement: TypedStatement) -> None:
        kind = statement.kind
        if kind is StatementKind.SET:
            self._set(statement)
        elif kind is StatementKind.PREPARE:
            self._prepare(statement)
        elif kind is StatementKind.CLOSE:
            if self.values.prepared.pop(statement.name, None) is None:
                self._refuse(Refusal.UNKNOWN_NAME, f"nothing is prepared as {statement.name}")
            else:
                self._finish(_DONE)
        elif kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ):
            self._begin(statement)
        elif self._transaction is None:
            if kind is StatementKind.ROLLBACK:
                self._finish(_DONE)
            else:
                self._refuse(Refusal.INVALID, "no transaction is open")
        elif kind is StatementKind.ROLLBACK:
            self._end_transaction()
            self._finish(_DONE)
        else:
            self._operation = self._transaction
            self._transaction.run(statement, self._committed)

    def _set(self, statement: TypedStatement) -> None:
        values = self.values.values
        if len(values) >= MAXIMUM_VALUES and statement.name not in values:
            self._refuse(Refusal.TOO_LARGE, f"a session holds at most {MAXIMUM_VALUES} values")
            return
        values[statement.name] = statement.value
        self._finish(_DONE)

    def _prepare(self, statement: TypedStatement) -> None:
        prepared = self.values.prepared
        if len(prepared) >= MAXIMUM_VALUES and statement.name not in prepared:
            self._refuse(Refusal.TOO_LARGE, f"a session prepares at most {MAXIMUM_VALUES} names")
            return
        prepared[statement.name] = (statement.writes, statement.value)
        self._finish(_DONE)

    def _begin(self, statement: TypedStatement) -> None:
        if self._transaction is not None:
            self._refuse(Refusal.INVALID, "a transaction is open")
            return
        found = self._host.route(self.database, self.identity.tenant)
        if isinstance(found, Answer):
            self._finish(found)
            return
        if not self._may_begin():
            return
        route, work = found
        read_only = statement.kind is StatementKind.BEGIN_READ
        self._transaction = work.transaction(route, self.values, read_only)
        self.state = SessionState.TRANSACTION
        self._finish(_DONE)

    def _work(self, statement: TypedStatement) -> None:
        if statement.kind is StatementKind.EXECUTE and statement.name not in self.values.prepared:
            self._refuse(Refusal.UNKNOWN_NAME, f"nothing is prepared as {statement.name}")
            return
        if self._transaction is not None:
            self._operation = self._transaction
            self._transaction.run(statement, self._transaction_answered)
            return
        found = self._host.route(self.database, self.identity.tenant)
        if isinstance(found, Answer):
            self._finish(found)
            return
        if not self._may_begin():
            return
        route, work = found
        operation = work.autocommit(route, self.values, is_write(statement, self.values))
        self._operation = operation
        operation.start(statement, self._single_answered)

    def _may_begin(self) -> bool:
        """Count an operation of the tenant; over its limit it is answered, and False returned."""
        access = self._host.access
        access.note_return(self)
        over = access.refuse_over_quota(self)
        if over is not None:
            self._finish(over)
        return over is None

    def _single_answered(self, answer: Answer) -> None:
        if answer.refusal in NO_EFFECT_REFUSALS:
            self._host.access.note_not_run(self)
        self._finish(answer)

    # Transactions

    def _transaction_answered(self, answer: Answer) -> None:
        if answer.refusal is not None:
            self.state = SessionState.FAILED
        self._finish(answer)

    def _committed(self, answer: Answer) -> None:
        self._transaction = None
        self.state = SessionState.IDLE
        self._finish(answer)

    def _end_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        self.state = SessionState.IDLE
        if transaction is not None:
            transaction.end()

    def _idle_for_too_long(self) -> None:
        self._idle_timer = None
        self.abort("the transaction rested for too long")

    def deny(self) -> None:
        """Run nothing more: the client's key was withdrawn.

        A statement under way keeps its answer; the front end then closes.
        """
        self._denied = True
        if not self.busy:
            self._end_transaction()
        self.on_denied()

    def abort(self, reason: str) -> None:
        """End a transaction that is idle; its client learns it at its next statement."""
        if self._transaction is None or self.busy:
            return
        self._transaction.end()
        self._transaction = None
        self.state = SessionState.FAILED
        self._abort_reason = reason

    def close(self) -> None:
        """End the session: its transaction is rolled back, and no answer is given any more."""
        if self.closed:
            return
        self.closed = True
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        operation, self._operation = self._operation, None
        self._respond = None
        if operation is not None:
            operation.finish(Answer(refusal=Refusal.ABORTED, message="the client left"))
        if self._transaction is not None:
            self._transaction.end()
            self._transaction = None
        self._host.session_closed(self)
