"""Sessions at a stand-in member: transactions, the write lock and slots."""

import asyncio
import re

from rowanlab.standin.member import LOCK_WAIT_CODE, READ_ONLY_CODE, Member
from rowanrail.kernel.errors import BackendRefusedError
from rowanrail.model.position import Position
from rowanrail.sql_proxy.backend import StatementResult

_READ = re.compile(r"^\s*(?:SELECT|WITH|SHOW|VALUES|\()", re.IGNORECASE)
_LOCKING = re.compile(r"\bFOR\s+(?:UPDATE|SHARE)\s*$", re.IGNORECASE)
_NO_EFFECT = re.compile(r"^\s*(?:SET|SAVEPOINT|RELEASE|ROLLBACK\s+TO|UNLOCK|LOCK)\b", re.IGNORECASE)
_DDL = re.compile(r"^\s*(?:CREATE|DROP|ALTER|TRUNCATE)\b", re.IGNORECASE)


class MemberSession:
    """The state of one connection to a member."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._in_transaction = False
        self._holds_lock = False
        self._generation = 0
        self._statements: list[str] = []

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._in_transaction

    async def execute(self, sql: str) -> StatementResult:
        """Run a statement.

        :raises BackendRefusedError: if the statement is refused.
        """
        member = self._member
        if not self._in_transaction:
            member.count_new_work()
        async with member.slots:
            if member.settings.service_seconds:
                await asyncio.sleep(member.settings.service_seconds)
            if member.faults.answer_delay_seconds:
                await asyncio.sleep(member.faults.answer_delay_seconds)
        return await self._dispatch(sql.strip().rstrip(";"))

    async def _dispatch(self, sql: str) -> StatementResult:
        first = sql.split(None, 1)[0].upper() if sql else ""
        if first in ("BEGIN", "START"):
            self.roll_back()
            self._in_transaction = True
            return StatementResult()
        if first == "COMMIT":
            return await self._commit()
        if first == "ROLLBACK" and not _NO_EFFECT.match(sql):
            self.roll_back()
            return StatementResult()
        if _NO_EFFECT.match(sql):
            return StatementResult()
        if _READ.match(sql) and not _LOCKING.search(sql):
            self._check_generation()
            return self._member.engine.read(sql, self._holds_lock)
        return await self._write(sql)

    async def _write(self, sql: str) -> StatementResult:
        member = self._member
        member.check_writable()
        if _DDL.match(sql) and self._in_transaction:
            await self._commit()
        await self._lock()
        try:
            result = member.engine.write(_LOCKING.sub("", sql))
        except BackendRefusedError:
            if not self._in_transaction:
                self.roll_back()
            raise
        if not result.columns:
            self._statements.append(sql)
        if not self._in_transaction:
            result.position = (await self._commit()).position
        return result

    async def _lock(self) -> None:
        self._check_generation()
        if self._holds_lock:
            return
        member = self._member
        try:
            async with asyncio.timeout(member.settings.lock_wait_seconds):
                await member.write_lock.acquire()
        except TimeoutError as error:
            raise BackendRefusedError(LOCK_WAIT_CODE, "Lock wait timeout exceeded") from error
        self._holds_lock = True
        self._generation = member.generation
        try:
            member.check_writable()
            member.machine.drain()
            member.engine.begin()
        except BackendRefusedError:
            self._unlock()
            raise

    def _check_generation(self) -> None:
        if self._holds_lock and self._generation != self._member.generation:
            self.roll_back()
            raise BackendRefusedError(READ_ONLY_CODE, "the member is no primary any more")

    async def _commit(self) -> StatementResult:
        member = self._member
        self._check_generation()
        position = self._position()
        if self._holds_lock:
            try:
                if self._statements:
                    position = member.commit(self._statements)
                else:
                    member.engine.roll_back()
            finally:
                self._unlock()
                self._statements = []
                self._in_transaction = False
        self._in_transaction = False
        return StatementResult(position=position)

    def _position(self) -> Position:
        return self._member.position()

    def roll_back(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self._holds_lock:
            if self._generation == self._member.generation:
                self._member.engine.roll_back()
            self._unlock()
        self._statements = []
        self._in_transaction = False

    def _unlock(self) -> None:
        if self._holds_lock:
            self._holds_lock = False
            self._member.write_lock.release()
