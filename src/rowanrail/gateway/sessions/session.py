"""A client's session: runs its statements in order, and keeps its values and its transaction.

Routes, limits and the outcome log are provided by the gateway; statements are run by a
:class:`rowanrail.gateway.work.ports.StatementExecutor`.
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

MAX_SESSION_VALUES = 200  # bounds the memory of a session
_SUCCESS = Answer()


class SessionAccess(Protocol):
    """Interface: limits of tenants, and priority of clients that retry after a rejection."""

    def refuse_over_quota(self, session: "Session") -> Answer | None:
        """Count an operation of a session's tenant, or return its refusal if over the limit."""

    def note_retry(self, session: "Session") -> None:
        """Set a session's priority by whether its client retries a rejected operation in time."""

    def note_not_run(self, session: "Session") -> None:
        """Remove an operation that did not run from its tenant's count."""


class SessionOutcomes(Protocol):
    """Interface: records the outcome of each statement in the log and in metrics."""

    def note(
        self,
        session: "Session",
        statement: TypedStatement,
        answer: Answer,
        seconds: float,
        operation: AutocommitExecution | TransactionExecution | None,
    ) -> None:
        """Count and log the outcome of a statement that took ``seconds``."""


class SessionHost(Protocol):
    """Interface: the gateway of a session."""

    clock: Scheduler

    @property
    def access(self) -> SessionAccess:
        """Limits of tenants, and retrying clients."""

    @property
    def outcomes(self) -> SessionOutcomes:
        """Recorder of the outcome of each statement."""

    def route(self, database: str, tenant: str) -> tuple[Route, StatementExecutor] | Answer:
        """Return a database's route and the executor for a tenant, or the refusal."""

    def idle_transaction_seconds(self) -> float:
        """Return how long a transaction may be idle, in seconds."""

    def session_closed(self, session: "Session") -> None:
        """Remove a closed session."""


class Session:
    """A client's session; a front end passes it one statement at a time.

    Parameters
    ----------
    host : SessionHost
        The gateway.
    database : str
        Name of the database that the client named.
    identity : ClientIdentity
        Tenant and key of the client.
    label : str
        Name of the session in the log.

    Attributes
    ----------
    on_denied : callable
        Called when the client's key is withdrawn.
    """

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
        """Whether a statement is running."""
        return self._respond is not None

    @property
    def identity(self) -> ClientIdentity:
        """Tenant and key of the client."""
        return self.values.identity

    @property
    def is_denied(self) -> bool:
        """Whether the client's key was withdrawn."""
        return self._denied

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self.state is not SessionState.IDLE

    # Statements

    def execute(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Run a statement; ``respond`` is called once, possibly before this method returns."""
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
            self._execute_in_failed(statement)
        elif statement.kind in (StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE):
            self._execute_data(statement)
        else:
            self._execute_control(statement)

    def _finish(self, answer: Answer) -> None:
        respond, self._respond = self._respond, None
        statement, self._statement = self._statement, None
        operation, self._operation = self._operation, None
        if respond is None or statement is None:
            return
        if self.state is SessionState.TRANSACTION and not self.closed:
            self._idle_timer = self._host.clock.call_later(
                self._host.idle_transaction_seconds(), self._on_idle_timeout
            )
        seconds = self._host.clock.time() - self._received_at
        self._host.outcomes.note(self, statement, answer, seconds, operation)
        respond(answer)

    def _refuse(self, refusal: Refusal, message: str) -> None:
        self._finish(Answer(refusal=refusal, message=message))

    def _execute_in_failed(self, statement: TypedStatement) -> None:
        reason, self._abort_reason = self._abort_reason, ""
        if statement.kind is StatementKind.ROLLBACK:
            self._end_transaction()
            self._finish(_SUCCESS)
        elif statement.kind is StatementKind.COMMIT:
            self._end_transaction()
            self._refuse(Refusal.ABORTED, reason or "the transaction had failed")
        elif reason:
            self._refuse(Refusal.ABORTED, reason)
        else:
            self._refuse(Refusal.INVALID, "the transaction failed; end it first")

    def _execute_control(self, statement: TypedStatement) -> None:
        kind = statement.kind
        if kind is StatementKind.SET:
            self._set(statement)
        elif kind is StatementKind.PREPARE:
            self._prepare(statement)
        elif kind is StatementKind.CLOSE:
            if self.values.prepared.pop(statement.name, None) is None:
                self._refuse(Refusal.UNKNOWN_NAME, f"nothing is prepared as {statement.name}")
            else:
                self._finish(_SUCCESS)
        elif kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ):
            self._begin(statement)
        elif self._transaction is None:
            if kind is StatementKind.ROLLBACK:
                self._finish(_SUCCESS)
            else:
                self._refuse(Refusal.INVALID, "no transaction is open")
        elif kind is StatementKind.ROLLBACK:
            self._end_transaction()
            self._finish(_SUCCESS)
        else:
            self._operation = self._transaction
            self._transaction.run(statement, self._on_commit_answer)

    def _set(self, statement: TypedStatement) -> None:
        values = self.values.values
        if len(values) >= MAX_SESSION_VALUES and statement.name not in values:
            self._refuse(Refusal.TOO_LARGE, f"a session holds at most {MAX_SESSION_VALUES} values")
            return
        values[statement.name] = statement.value
        self._finish(_SUCCESS)

    def _prepare(self, statement: TypedStatement) -> None:
        prepared = self.values.prepared
        if len(prepared) >= MAX_SESSION_VALUES and statement.name not in prepared:
            self._refuse(
                Refusal.TOO_LARGE, f"a session prepares at most {MAX_SESSION_VALUES} names"
            )
            return
        prepared[statement.name] = (statement.writes, statement.value)
        self._finish(_SUCCESS)

    def _begin(self, statement: TypedStatement) -> None:
        if self._transaction is not None:
            self._refuse(Refusal.INVALID, "a transaction is open")
            return
        found = self._host.route(self.database, self.identity.tenant)
        if isinstance(found, Answer):
            self._finish(found)
            return
        if not self._is_admitted():
            return
        route, executor = found
        read_only = statement.kind is StatementKind.BEGIN_READ
        self._transaction = executor.transaction(route, self.values, read_only)
        self.state = SessionState.TRANSACTION
        self._finish(_SUCCESS)

    def _execute_data(self, statement: TypedStatement) -> None:
        if statement.kind is StatementKind.EXECUTE and statement.name not in self.values.prepared:
            self._refuse(Refusal.UNKNOWN_NAME, f"nothing is prepared as {statement.name}")
            return
        if self._transaction is not None:
            self._operation = self._transaction
            self._transaction.run(statement, self._on_transaction_answer)
            return
        found = self._host.route(self.database, self.identity.tenant)
        if isinstance(found, Answer):
            self._finish(found)
            return
        if not self._is_admitted():
            return
        route, executor = found
        operation = executor.autocommit(route, self.values, is_write(statement, self.values))
        self._operation = operation
        operation.start(statement, self._on_autocommit_answer)

    def _is_admitted(self) -> bool:
        """Count an operation of the tenant; refuse it and return False if over the limit."""
        access = self._host.access
        access.note_retry(self)
        refusal = access.refuse_over_quota(self)
        if refusal is not None:
            self._finish(refusal)
        return refusal is None

    def _on_autocommit_answer(self, answer: Answer) -> None:
        if answer.refusal in NO_EFFECT_REFUSALS:
            self._host.access.note_not_run(self)
        self._finish(answer)

    # Transactions

    def _on_transaction_answer(self, answer: Answer) -> None:
        if answer.refusal is not None:
            self.state = SessionState.FAILED
        self._finish(answer)

    def _on_commit_answer(self, answer: Answer) -> None:
        self._transaction = None
        self.state = SessionState.IDLE
        self._finish(answer)

    def _end_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        self.state = SessionState.IDLE
        if transaction is not None:
            transaction.end()

    def _on_idle_timeout(self) -> None:
        self._idle_timer = None
        self.abort("the transaction rested for too long")

    def deny(self) -> None:
        """Refuse all further statements, because the client's key was withdrawn.

        A running statement is still answered; then the front end closes the session.
        """
        self._denied = True
        if not self.busy:
            self._end_transaction()
        self.on_denied()

    def abort(self, reason: str) -> None:
        """Roll an idle transaction back; the client's next statement is refused with the reason."""
        if self._transaction is None or self.busy:
            return
        self._transaction.end()
        self._transaction = None
        self.state = SessionState.FAILED
        self._abort_reason = reason

    def close(self) -> None:
        """Close the session without further answers, and roll its transaction back."""
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
