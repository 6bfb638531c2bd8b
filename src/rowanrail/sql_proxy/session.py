"""A caller's session, one for each client connection: classifies and dispatches statements.

Owns the session's variables, positions, pinned connection and open transaction; the services of the
group run the statements.
"""

import asyncio

from rowanrail.config.model import GroupSpec
from rowanrail.kernel.errors import (
    BackendRefusedError,
    CallerError,
    InvalidRequestError,
    UnknownDatabaseError,
)
from rowanrail.model.position import ORIGIN
from rowanrail.sql_proxy.backend import Column, StatementResult
from rowanrail.sql_proxy.classify import ClassifiedStatement, Kind, classify
from rowanrail.sql_proxy.commands import (
    REQUEST_VARIABLE,
    TOKEN_VARIABLE,
    SetKind,
    is_token_query,
    parse_set,
    parse_use,
)
from rowanrail.sql_proxy.limits import (
    DEFAULT_DEADLINE_SECONDS,
    rollback_reason,
    statement_timeout_seconds,
)
from rowanrail.sql_proxy.pinned_connection import PinnedConnection
from rowanrail.sql_proxy.policies import Pinning
from rowanrail.sql_proxy.pool import Priority
from rowanrail.sql_proxy.routing_rules import allows_replica
from rowanrail.sql_proxy.services import GroupServices, SqlSessionHost
from rowanrail.sql_proxy.session_positions import SessionPositions
from rowanrail.sql_proxy.session_variables import SessionVariables
from rowanrail.sql_proxy.transaction import SqlTransaction, TransactionState

VAR_STRING_TYPE = 253  # MYSQL_TYPE_VAR_STRING
REQUEST_ATTRIBUTE = "request_id"
DEADLINE_ATTRIBUTE = "deadline_ms"
# Timeout in seconds for rolling back the transaction of a session that is reset or closed.
ABANDON_ROLLBACK_SECONDS = 1.0
_READS = (Kind.READ, Kind.SHOW)


class SqlSession:
    """One caller's session, which runs one statement at a time."""

    def __init__(self, host: SqlSessionHost, user: str, database: str) -> None:
        self.user = user
        self.database = database
        self.busy = False
        self.closed = False
        self.transaction: SqlTransaction | None = None
        self._host = host
        self._pinning: Pinning = host.registry.create("proxy-guard", "pinning")
        self._positions = SessionPositions()
        self._variables = SessionVariables()
        self._pinned = PinnedConnection()

    # State visible to callers

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self.transaction is not None

    @property
    def autocommit(self) -> bool:
        """Whether each statement commits by itself."""
        return self._variables.autocommit

    def token(self) -> str:
        """Return the session token, which carries the positions to another connection."""
        return self._positions.token()

    def merge_token(self, token: str) -> None:
        """Raise the session's positions to those in ``token``.

        :raises InvalidRequestError: if the token is damaged.
        """
        self._positions.merge_token(token)

    def use(self, database: str) -> None:
        """Change the default database.

        :raises CallerError: if the user may not use it, no group serves it, or a transaction or
            pinned connection of another group is open.
        """
        group = self._host.group_spec(self.user, database)
        current = self._host.database_group(self.database)
        if (self.transaction or self._pinned.is_held) and group.name != current:
            raise InvalidRequestError("end the transaction first", step="use", peer=database)
        self.database = database

    # Statements

    async def execute(self, sql: str, attributes: dict[str, str]) -> StatementResult:
        """Run a statement.

        :param attributes: query attributes: token, request id and deadline of the statement.
        :raises CallerError: if the statement fails.
        """
        self._host.check_accepting(self)
        self.busy = True
        try:
            self._apply_attributes(attributes)
            if is_token_query(sql):
                return _text_result(TOKEN_VARIABLE, self.token())
            statement = classify(sql)
            deadline = self._deadline(attributes)
            result = await self._dispatch(sql, statement, deadline)
            self._variables.record_result(result)
            return result
        finally:
            self.busy = False
            self._host.session_idle(self)

    def _apply_attributes(self, attributes: dict[str, str]) -> None:
        token = attributes.get(TOKEN_VARIABLE)
        if token:
            self.merge_token(token)
        request_id = attributes.get(REQUEST_ATTRIBUTE) or attributes.get(REQUEST_VARIABLE)
        if request_id:
            self._variables.request_id = request_id

    def _deadline(self, attributes: dict[str, str]) -> float:
        now = asyncio.get_running_loop().time()
        group = self._host.find_group(self.database)
        limits = group.spec.limits if group else None
        allowed = limits.statement_deadline_seconds if limits else DEFAULT_DEADLINE_SECONDS
        given = attributes.get(DEADLINE_ATTRIBUTE, "")
        if given and not given.isdigit():
            raise InvalidRequestError(
                f"{DEADLINE_ATTRIBUTE} {given!r} is not a number", step="deadline"
            )
        return now + statement_timeout_seconds(allowed, int(given) if given else None)

    async def _dispatch(
        self, sql: str, statement: ClassifiedStatement, deadline: float
    ) -> StatementResult:
        kind = statement.kind
        if kind is Kind.EMPTY:
            raise BackendRefusedError(1065, "Query was empty", sqlstate="42000")
        if kind is Kind.MULTIPLE:
            raise InvalidRequestError(
                "several statements in one request are not served; send them one by one",
                step="classify",
            )
        if kind is Kind.USE:
            self.use(parse_use(sql))
            return StatementResult()
        if kind is Kind.SET:
            return await self._set(sql, deadline)
        if kind in (Kind.BEGIN, Kind.BEGIN_READ_ONLY):
            return await self._begin(sql, statement, deadline)
        if kind is Kind.COMMIT:
            return await self._commit(deadline)
        if kind is Kind.ROLLBACK:
            return await self._roll_back(deadline)
        return await self._run(sql, statement, deadline)

    async def _run(
        self, sql: str, statement: ClassifiedStatement, deadline: float
    ) -> StatementResult:
        if statement.kind is Kind.DEFINITION and self.transaction is not None:
            await self._commit(deadline)  # data definition commits implicitly, as in MySQL
        if statement.kind is Kind.PINNING and not self._pinned.is_held and not self.transaction:
            await self._pin(deadline)
        if not self._variables.autocommit and not self.transaction and statement.tables:
            await self._begin("BEGIN", ClassifiedStatement(Kind.BEGIN), deadline)
        if not self._pinned.is_held:
            sql = self._variables.substitute_functions(sql)
        if self.transaction is not None:
            is_write = statement.kind not in _READS
            return await self.transaction.execute(sql, is_write, deadline)
        if self._pinned.is_held:
            return await self._run_pinned(sql, statement, deadline)
        if statement.kind in (*_READS, Kind.SESSION_FUNCTION) and not statement.locking:
            return await self._read(sql, statement, deadline)
        return await self._write(sql, deadline, statement.locking)

    async def _read(
        self, sql: str, statement: ClassifiedStatement, deadline: float
    ) -> StatementResult:
        services = self._services()
        spec = services.group.spec
        allow_replica = allows_replica(spec.rules, statement, self.database, self.user)
        if statement.kind is Kind.SESSION_FUNCTION or not (statement.tables or statement.schemas):
            floor, allow_replica = ORIGIN, statement.kind is not Kind.SHOW or allow_replica
        else:
            floor = await self._positions.floor(services, deadline)
        return await services.reader.run(
            sql, floor, allow_replica, self._variables.settings, deadline
        )

    async def _write(self, sql: str, deadline: float, is_read: bool) -> StatementResult:
        services = self._services()
        request_id = self._take_request_id(services.group.spec)
        floor = await self._positions.floor(services, deadline) if is_read else ORIGIN
        result = await services.writer.run(
            sql, request_id, self._variables.settings, deadline, floor
        )
        self._positions.record_write(services.spec.name, result)
        return result

    def _take_request_id(self, spec: GroupSpec) -> str:
        horizon_seconds = spec.limits.request_horizon_seconds
        return self._variables.take_request_id(self._host.wall_clock, horizon_seconds)

    def _services(self) -> GroupServices:
        if not self.database:
            raise BackendRefusedError(1046, "No database selected", sqlstate="3D000")
        self._host.group_spec(self.user, self.database)
        services = self._host.find_group(self.database)
        if services is None:
            raise UnknownDatabaseError(f"no group serves database {self.database!r}")
        return services

    # Session state

    async def _set(self, sql: str, deadline: float) -> StatementResult:
        command = parse_set(sql)
        if command.kind is SetKind.TOKEN:
            self.merge_token(command.value)
        elif command.kind is SetKind.REQUEST_ID:
            self._variables.request_id = command.value
        elif command.kind is SetKind.AUTOCOMMIT:
            await self._set_autocommit(command.value == "1", deadline)
        elif command.kind is SetKind.NEXT_TRANSACTION:
            self._variables.pre_transaction_statements.append(command.value)
        elif command.kind is SetKind.COMPUTED:
            return await self._run(sql, ClassifiedStatement(Kind.PINNING), deadline)
        elif command.kind is SetKind.SESSION_VARIABLE:
            return await self._set_variable(command.value, deadline)
        return StatementResult()

    async def _set_autocommit(self, on: bool, deadline: float) -> None:
        if on and self.transaction is not None:
            await self._commit(deadline)
        self._variables.autocommit = on

    async def _set_variable(self, setting: str, deadline: float) -> StatementResult:
        settings = self._variables.with_setting(setting)
        if self.transaction is not None:
            await self.transaction.execute(setting, False, deadline)
        elif self._pinned.is_held:
            await self._pinned.execute(setting, deadline)
        else:
            # Apply the setting once, so that an invalid one is refused here.
            reader = self._services().reader
            lease = await reader.lease(ORIGIN, True, settings, deadline)
            lease.release()
        self._variables.settings = settings
        return StatementResult()

    async def _pin(self, deadline: float) -> None:
        services = self._services()
        floor = await self._positions.floor(services, deadline)
        await self._pinned.pin(services, self._variables.settings, floor, deadline)

    async def _run_pinned(
        self, sql: str, statement: ClassifiedStatement, deadline: float
    ) -> StatementResult:
        services = self._services()
        is_write = statement.kind in (Kind.WRITE, Kind.DEFINITION)
        result = await self._pinned.run(services, sql, is_write, deadline)
        if is_write:
            self._positions.record_write(services.spec.name, result)
        return result

    # Transactions

    async def _begin(
        self, sql: str, statement: ClassifiedStatement, deadline: float
    ) -> StatementResult:
        if self.transaction is not None:
            await self._commit(deadline)
        services = self._services()
        spec = services.group.spec
        services.check_transaction_limit()
        on_replica = statement.kind is Kind.BEGIN_READ_ONLY and allows_replica(
            spec.rules, statement, self.database, self.user
        )
        if self._pinned.is_held:
            return await self._pinned.execute(sql, deadline)
        floor = await self._positions.floor(services, deadline)
        if on_replica:
            lease = await services.reader.lease(floor, True, self._variables.settings, deadline)
        else:
            lease = await services.writer.lease_primary(
                deadline, Priority.TRANSACTION, self._variables.settings, floor
            )
        before = self._variables.take_pre_transaction_statements()
        transaction = SqlTransaction(lease, services, self._pinning, may_write=not on_replica)
        result = await transaction.begin(sql, before, deadline)
        self.transaction = transaction
        services.open_transactions += 1
        return result

    async def _commit(self, deadline: float) -> StatementResult:
        transaction = self.transaction
        if transaction is None:
            if self._pinned.is_held:
                return await self._run_pinned("COMMIT", ClassifiedStatement(Kind.WRITE), deadline)
            return StatementResult()
        spec = transaction.services.spec
        request_id = self._take_request_id(spec)
        try:
            result = await transaction.commit(request_id, self._variables.settings, deadline)
        finally:
            self._end_transaction()
        self._positions.record_write(spec.name, result)
        return result

    async def _roll_back(self, deadline: float) -> StatementResult:
        self._variables.request_id = ""
        transaction = self.transaction
        if transaction is None:
            if self._pinned.is_held:
                return await self._pinned.execute("ROLLBACK", deadline)
            return StatementResult()
        try:
            return await transaction.roll_back(deadline)
        finally:
            self._end_transaction()

    def _end_transaction(self) -> None:
        if self.transaction is not None:
            self.transaction.services.open_transactions -= 1
            self.transaction = None

    def check_limits(self, now: float) -> None:
        """Roll back the transaction if it has been idle or open for too long."""
        transaction = self.transaction
        if transaction is None or self.busy:
            return
        limits = transaction.services.spec.limits
        if transaction.state is not TransactionState.OPEN:
            return
        reason = rollback_reason(
            now - transaction.used_at,
            limits.transaction_idle_seconds,
            now - transaction.began_at,
            limits.transaction_seconds,
        )
        if reason:
            transaction.fail(reason)

    # End

    async def reset(self) -> None:
        """Reset the session variables and roll back the transaction (COM_RESET_CONNECTION)."""
        await self._abandon()
        self._variables.reset()

    async def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        self.closed = True
        await self._abandon()
        self._host.session_closed(self)

    async def _abandon(self) -> None:
        self._pinned.drop()
        if self.transaction is not None:
            try:
                await self._roll_back(asyncio.get_running_loop().time() + ABANDON_ROLLBACK_SECONDS)
            except CallerError:
                return  # the member rolls back when the connection is closed


def _text_result(name: str, value: str) -> StatementResult:
    return StatementResult(columns=[Column(name, VAR_STRING_TYPE)], rows=[(value.encode(),)])
