"""A caller's transaction on its back-end connection, from BEGIN to COMMIT or ROLLBACK."""

import asyncio
import enum

from rowanrail.kernel.errors import (
    BackendLostError,
    BackendRefusedError,
    NotRunError,
    OutcomeUnknownError,
)
from rowanrail.sql_proxy.backend import StatementResult
from rowanrail.sql_proxy.lease import Lease
from rowanrail.sql_proxy.outcomes import (
    GROUP_RETRY_AFTER_SECONDS,
    LostCommitAction,
    lost_commit_action,
)
from rowanrail.sql_proxy.policies import Pinning
from rowanrail.sql_proxy.pool import Priority
from rowanrail.sql_proxy.requests import request_digest
from rowanrail.sql_proxy.services import GroupServices


class TransactionState(enum.Enum):
    """State of a transaction."""

    OPEN = "open"
    FAILED = "failed"
    ENDED = "ended"


class SqlTransaction:
    """One transaction; losing its connection before the commit rolls it back.

    :param services: services of its group, used until its end even if the group is replaced.
    :param may_write: whether its commit must be confirmed.
    """

    def __init__(
        self, lease: Lease, services: GroupServices, pinning: Pinning, may_write: bool
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.state = TransactionState.OPEN
        self.began_at = now
        self.used_at = now
        self.may_write = may_write
        self.failure = ""
        self._lease = lease
        self.services = services
        self._writer = services.writer
        self._outcomes = services.outcomes
        self._pinning = pinning
        self._write_statements: list[str] = []
        self._last_write = StatementResult()

    async def begin(self, sql: str, before: list[str], deadline: float) -> StatementResult:
        """Begin the transaction at the back end.

        :param before: statements to run first, for example to set an isolation level.
        :raises NotRunError: if the connection was lost.
        """
        try:
            for statement in before:
                await self._lease.execute(statement, deadline)
            result = await self._lease.execute(sql, deadline)
        except BackendLostError as error:
            self.fail(str(error))
            raise self._rolled_back_error() from error
        self._finish_statement()
        return result

    async def execute(self, sql: str, is_write: bool, deadline: float) -> StatementResult:
        """Run a statement in the transaction.

        :raises NotRunError: if the transaction was rolled back.
        """
        if self.state is TransactionState.FAILED:
            raise self._rolled_back_error()
        self.used_at = asyncio.get_running_loop().time()
        try:
            await self._prepare_statement(deadline)
            result = await self._lease.execute(sql, deadline)
        except BackendLostError as error:
            self.fail(str(error))
            raise self._rolled_back_error() from error
        if is_write:
            self._write_statements.append(sql)
            self._last_write = result
        self.used_at = asyncio.get_running_loop().time()
        self._finish_statement()
        return result

    def _finish_statement(self) -> None:
        """Finish a statement; a connection that is not pinned returns to its pool."""
        if not self._pinning.keeps_connection():
            self._lease.release()

    async def _prepare_statement(self, deadline: float) -> None:
        """Prepare for the next statement; without pinning, lease another connection."""
        if not self._pinning.keeps_connection():
            settings = self._lease.connection.settings
            self._lease = await Lease.acquire(
                self._lease.member, deadline, Priority.TRANSACTION, settings
            )

    async def commit(
        self, request_id: str, settings: tuple[str, ...], deadline: float
    ) -> StatementResult:
        """Commit the transaction and confirm its writes.

        :raises NotRunError: if the transaction was rolled back.
        :raises OutcomeUnknownError: if the commit was sent and its outcome can't be determined.
        """
        if self.state is TransactionState.FAILED:
            self.state = TransactionState.ENDED
            raise self._rolled_back_error()
        await self._prepare_statement(deadline)
        digest = request_digest(self._write_statements)
        recorded = bool(request_id) and self.may_write
        if recorded:
            known = await self._record(request_id, digest, deadline)
            if known is not None:
                return known
        self.state = TransactionState.ENDED
        try:
            result = await self._lease.execute("COMMIT", deadline)
        except BackendLostError as error:
            self._lease.release()
            match lost_commit_action(recorded, bool(self._write_statements)):
                case LostCommitAction.RESOLVE:
                    return await self._writer.resolve_lost_commit(
                        request_id, digest, settings, deadline
                    )
                case LostCommitAction.ROLLED_BACK:
                    raise self._rolled_back_error() from error
                case LostCommitAction.UNKNOWN:
                    raise self._lease.lost_error(self._outcomes, error, "commit") from error
        except BaseException:
            self._lease.discard()
            raise
        self._lease.release()
        if self.may_write:
            await self._confirm(result, request_id if recorded else "", digest, settings, deadline)
        return result

    async def _record(
        self, request_id: str, digest: str, deadline: float
    ) -> StatementResult | None:
        """Insert the record of the request; return the outcome if it has been recorded before."""
        lease = self._lease
        try:
            await self._writer.record(lease, request_id, digest, self._last_write, deadline)
            return None
        except BackendRefusedError as error:
            return await self._return_recorded_outcome(request_id, digest, error, deadline)
        except BackendLostError as error:
            self.fail(str(error))
            self.state = TransactionState.ENDED
            raise self._rolled_back_error() from error

    async def _return_recorded_outcome(
        self, request_id: str, digest: str, error: BackendRefusedError, deadline: float
    ) -> StatementResult:
        lease = self._lease
        self.state = TransactionState.ENDED
        self.failure = error.message
        try:
            await lease.execute("ROLLBACK", deadline)
            known = await self._writer.recorded_outcome(lease, request_id, digest, error, deadline)
            await self._writer.confirm(known, deadline, lease.member.name)
        except (BackendLostError, BackendRefusedError) as problem:
            lease.discard()
            raise self._rolled_back_error() from problem
        except BaseException:
            lease.discard()
            raise
        lease.release()
        return known

    async def _confirm(
        self,
        result: StatementResult,
        request_id: str,
        digest: str,
        settings: tuple[str, ...],
        deadline: float,
    ) -> None:
        try:
            await self._writer.confirm(result, deadline, self._lease.member.name)
        except OutcomeUnknownError:
            if not request_id:
                raise
            resolved = await self._writer.resolve_lost_commit(
                request_id, digest, settings, deadline
            )
            result.position = resolved.position

    async def roll_back(self, deadline: float) -> StatementResult:
        """Roll back; if the connection fails it is closed, which has the same effect."""
        failed = self.state is not TransactionState.OPEN
        self.state = TransactionState.ENDED
        if failed:
            return StatementResult()
        try:
            result = await self._lease.execute("ROLLBACK", deadline)
        except (BackendLostError, BackendRefusedError):
            self._lease.discard()
            return StatementResult()
        except BaseException:
            self._lease.discard()
            raise
        self._lease.release()
        return result

    def fail(self, reason: str) -> None:
        """Roll back by closing the connection; the caller's next statement reports the reason."""
        if self.state is TransactionState.OPEN:
            self.state = TransactionState.FAILED
            self.failure = reason
            if self._lease.connection.answered:
                self._lease.discard()
            else:
                self._lease.release()

    def _rolled_back_error(self) -> NotRunError:
        return NotRunError(
            f"the transaction was rolled back ({self.failure}); none of it lasts, begin it again",
            retry_after_seconds=GROUP_RETRY_AFTER_SECONDS,
            step="transaction",
            peer=self._lease.member.name,
        )
