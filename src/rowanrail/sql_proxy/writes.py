"""Writes outside of transactions, and the confirmation and recording of all writes.

The rules for failures are in ``outcomes``, the records of request ids in ``requests``.
"""

import asyncio
from collections.abc import Callable

from rowanrail.kernel.errors import (
    BackendConnectError,
    BackendLostError,
    BackendRefusedError,
    NotRunError,
    OutcomeUnknownError,
)
from rowanrail.model.position import ORIGIN, Position
from rowanrail.sql_proxy.backend import StatementResult
from rowanrail.sql_proxy.group import GroupRuntime
from rowanrail.sql_proxy.lease import Lease
from rowanrail.sql_proxy.outcomes import (
    GROUP_RETRY_AFTER_SECONDS,
    NO_SUCH_TABLE_CODE,
    WRITE_RETRY_SECONDS,
    is_in_progress,
    is_read_only_error,
    may_retry_write,
    primary_wait_deadline,
)
from rowanrail.sql_proxy.policies import OutcomeClassification, RequestRecord
from rowanrail.sql_proxy.pool import Priority
from rowanrail.sql_proxy.requests import (
    CREATE_TABLE,
    RequestState,
    cleanup_statement,
    find_record,
    insert_record,
    request_digest,
)
from rowanrail.sql_proxy.statistics import GroupStatistics

CLEANUP_INTERVAL_WRITES = 1000  # recorded writes between deletions of old records


class WriteRunner:
    """Runs writes of one group."""

    def __init__(
        self,
        group: GroupRuntime,
        outcomes: OutcomeClassification,
        records: RequestRecord,
        statistics: GroupStatistics,
        wall_clock: Callable[[], float],
    ) -> None:
        self._group = group
        self._outcomes = outcomes
        self._records = records
        self._statistics = statistics
        self._wall_clock = wall_clock
        self._recorded_writes = 0

    async def run(
        self,
        sql: str,
        request_id: str,
        settings: tuple[str, ...],
        deadline: float,
        floor: Position = ORIGIN,
    ) -> StatementResult:
        """Run a write and confirm it; with a request id it is retried safely.

        :param floor: position that the primary must have applied, for locking reads.
        :raises CallerError: if the write fails or its outcome is unknown.
        """
        self._statistics.writes += 1
        if request_id and self._records.records_requests():
            return await self._run_recorded(sql, request_id, settings, deadline)
        return await self._run_once(sql, settings, deadline, bool(request_id), floor)

    async def lease_primary(
        self,
        deadline: float,
        priority: Priority,
        settings: tuple[str, ...],
        floor: Position = ORIGIN,
    ) -> Lease:
        """Lease a connection to the primary, waiting for a failover if necessary.

        :param floor: position that the primary must have applied.
        :raises NotRunError: if there is no such primary in time; nothing was sent.
        """
        loop = asyncio.get_running_loop()
        wait_seconds = self._group.spec.limits.failover_wait_seconds
        until = primary_wait_deadline(loop.time(), deadline, wait_seconds)
        while True:
            primary = await self._group.wait_for_primary(until, floor)
            try:
                lease = await Lease.acquire(primary, deadline, priority, settings)
                if self._group.primary() is primary:
                    return lease
                lease.release()  # another primary was elected while the connection was opened
            except (BackendConnectError, BackendLostError) as error:
                self._group.mark_unreachable(primary)
                if loop.time() >= until:
                    raise NotRunError(
                        str(error),
                        retry_after_seconds=GROUP_RETRY_AFTER_SECONDS,
                        step="connect",
                        peer=primary.name,
                    ) from error
            await asyncio.sleep(WRITE_RETRY_SECONDS)

    async def confirm(self, result: StatementResult, deadline: float, peer: str) -> None:
        """Wait until a majority holds the position of ``result`` in its own term.

        :raises OutcomeUnknownError: if the write can't be confirmed in time.
        """
        position: Position | None = result.position
        if position is None or not await self._group.quorum.confirm(position, deadline):
            raise OutcomeUnknownError(
                "the write was not confirmed by a majority; it may be lost or may last",
                step="confirm",
                peer=peer,
            )

    # Without a request id: sent at most once

    async def _run_once(
        self, sql: str, settings: tuple[str, ...], deadline: float, may_retry: bool, floor: Position
    ) -> StatementResult:
        while True:
            lease = await self.lease_primary(deadline, Priority.WRITE, settings, floor)
            try:
                result = await lease.execute(sql, deadline)
            except BackendRefusedError as error:
                lease.release()
                if not is_read_only_error(error.code):
                    raise
                self._group.mark_unreachable(lease.member)
                await asyncio.sleep(WRITE_RETRY_SECONDS)
                continue
            except BackendLostError as error:
                lease.release()
                self._group.mark_unreachable(lease.member)
                if may_retry and asyncio.get_running_loop().time() < deadline:
                    continue
                raise lease.lost_error(self._outcomes, error, "write") from error
            except BaseException:
                lease.release()
                raise
            lease.release()
            await self.confirm(result, deadline, lease.member.name)
            return result

    # With a request id: retried until the outcome is known

    async def _run_recorded(
        self, sql: str, request_id: str, settings: tuple[str, ...], deadline: float
    ) -> StatementResult:
        loop = asyncio.get_running_loop()
        digest = request_digest([sql])
        sent = False
        while True:
            try:
                lease = await self.lease_primary(deadline, Priority.WRITE, settings)
            except NotRunError as error:
                if not sent:
                    raise
                raise self._outcome_unknown_error(request_id, str(error)) from error
            sent = True
            try:
                result = await self._attempt(lease, sql, request_id, digest, deadline)
                await self.confirm(result, deadline, lease.member.name)
                return result
            except (BackendLostError, OutcomeUnknownError) as error:
                self._group.mark_unreachable(lease.member)
                if not may_retry_write(loop.time(), deadline):
                    raise self._outcome_unknown_error(request_id, str(error)) from error
            except BackendRefusedError as error:
                if not is_read_only_error(error.code):
                    raise
                self._group.mark_unreachable(lease.member)
            await asyncio.sleep(WRITE_RETRY_SECONDS)

    @staticmethod
    def _outcome_unknown_error(request_id: str, message: str) -> OutcomeUnknownError:
        return OutcomeUnknownError(
            f"{message}; repeat the request with the same id {request_id} to learn its outcome",
            step="write",
        )

    async def _attempt(
        self, lease: Lease, sql: str, request_id: str, digest: str, deadline: float
    ) -> StatementResult:
        try:
            await lease.execute("BEGIN", deadline)
            try:
                result = await lease.execute(sql, deadline)
                await self.record(lease, request_id, digest, result, deadline)
            except BackendRefusedError as error:
                await lease.execute("ROLLBACK", deadline)
                recorded = await self.recorded_outcome(lease, request_id, digest, error, deadline)
                lease.release()
                return recorded
            committed = await lease.execute("COMMIT", deadline)
            result.position = committed.position
        except NotRunError:
            lease.release()
            raise
        except BaseException:
            lease.discard()
            raise
        self._count_recorded(lease)
        return result

    async def record(
        self, lease: Lease, request_id: str, digest: str, result: StatementResult, deadline: float
    ) -> None:
        """Insert the record of a request in its transaction, before the commit."""
        await insert_record(
            lease.connection, deadline, request_id, digest, RequestState.DONE, result
        )

    async def recorded_outcome(
        self,
        lease: Lease,
        request_id: str,
        digest: str,
        error: BackendRefusedError,
        deadline: float,
    ) -> StatementResult:
        """Return the recorded outcome of a request whose statement or record was refused.

        :raises BackendRefusedError: ``error``, if there is no record.
        :raises BackendLostError: if the request must be retried to learn its outcome.
        :raises NotRunError: if the record is a tombstone.
        :raises RequestConflictError: if the id was used for other statements.
        """
        if error.code == NO_SUCH_TABLE_CODE:
            await lease.execute(CREATE_TABLE, deadline)
            raise BackendLostError("the request table was created", step="record")
        record = await find_record(lease.connection, deadline, request_id)
        if record is None:
            if is_in_progress(error.code, error.message):
                raise BackendLostError("the request is under way elsewhere", step="record")
            raise error
        self._statistics.repeated += 1
        return record.result(request_id, digest)

    async def resolve_lost_commit(
        self, request_id: str, digest: str, settings: tuple[str, ...], deadline: float
    ) -> StatementResult:
        """Determine the outcome of a request whose commit was not answered or not confirmed.

        If the request has no record, a tombstone is inserted, which prevents a later commit.

        :returns: the recorded outcome.
        :raises NotRunError: once the tombstone is confirmed.
        :raises OutcomeUnknownError: if neither is possible in time.
        """
        loop = asyncio.get_running_loop()
        while may_retry_write(loop.time(), deadline):
            try:
                lease = await self.lease_primary(deadline, Priority.WRITE, settings)
            except NotRunError:
                break
            try:
                return await self._insert_confirmed_tombstone(lease, request_id, digest, deadline)
            except (BackendLostError, BackendRefusedError, OutcomeUnknownError):
                self._group.mark_unreachable(lease.member)
            await asyncio.sleep(WRITE_RETRY_SECONDS)
        raise self._outcome_unknown_error(request_id, "the commit was lost")

    async def _insert_confirmed_tombstone(
        self, lease: Lease, request_id: str, digest: str, deadline: float
    ) -> StatementResult:
        try:
            await lease.execute("BEGIN", deadline)
            try:
                await self._insert_tombstone(lease, request_id, digest, deadline)
            except BackendRefusedError as error:
                await lease.execute("ROLLBACK", deadline)
                recorded = await self.recorded_outcome(lease, request_id, digest, error, deadline)
                await self.confirm(recorded, deadline, lease.member.name)
                lease.release()
                return recorded
            committed = await lease.execute("COMMIT", deadline)
        except NotRunError:
            lease.release()
            raise
        except BaseException:
            lease.discard()
            raise
        lease.release()
        await self.confirm(committed, deadline, lease.member.name)
        raise self._tombstoned_error(request_id)

    @staticmethod
    async def _insert_tombstone(
        lease: Lease, request_id: str, digest: str, deadline: float
    ) -> None:
        state, result = RequestState.TOMBSTONE, StatementResult()
        await insert_record(lease.connection, deadline, request_id, digest, state, result)

    @staticmethod
    def _tombstoned_error(request_id: str) -> NotRunError:
        return NotRunError(
            f"request {request_id} did not run and never will: its commit was lost before it "
            "took effect; send the work again under a new id",
            retry_after_seconds=GROUP_RETRY_AFTER_SECONDS,
            step="commit",
        )

    def _count_recorded(self, lease: Lease) -> None:
        self._recorded_writes += 1
        if self._recorded_writes % CLEANUP_INTERVAL_WRITES:
            lease.release()
            return
        asyncio.ensure_future(self._clean_up(lease))

    async def _clean_up(self, lease: Lease) -> None:
        limits = self._group.spec.limits
        deadline = asyncio.get_running_loop().time() + limits.statement_deadline_seconds
        statement = cleanup_statement(self._wall_clock(), limits.request_horizon_seconds)
        try:
            await lease.execute(statement, deadline)
            lease.release()
        except (BackendLostError, BackendRefusedError):
            lease.discard()
