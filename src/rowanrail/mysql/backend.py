"""Back-end connections over the MySQL protocol, with ``asyncmy``.

A member tells its position in the information string of the OK packet, as
``position=TERM:INDEX``, and its status as the answer to :data:`STATUS_QUERY`.
"""

import asyncio
import re
from typing import Any

import asyncmy
from asyncmy.errors import Error, MySQLError

from rowanrail.kernel.errors import BackendConnectError, BackendLostError, BackendRefusedError
from rowanrail.kernel.registry import register
from rowanrail.model.position import Position
from rowanrail.rpc.tcp import split_address
from rowanrail.sql_proxy.backend import (
    BackendConnection,
    BackendDriver,
    Column,
    MemberRole,
    MemberStatus,
    StatementResult,
)

STATUS_QUERY = "SHOW GROUP MEMBER STATUS"
FIRST_CLIENT_CODE = 2000
LAST_CLIENT_CODE = 2999
_POSITION = re.compile(rb"position=(\d+):(\d+)")


class MysqlConnection(BackendConnection):
    """See the module's description."""

    def __init__(self, connection: Any, peer: str) -> None:
        self._connection = connection
        self._peer = peer
        self._waiting = False
        self._clean = True
        self._watch_input()

    def _watch_input(self) -> None:
        """Note bytes that arrive while no statement runs: they answer nothing."""
        protocol = self._connection._proto
        original = protocol.buffer_updated

        def buffer_updated(size: int) -> None:
            if not self._waiting:
                self._clean = False
            original(size)

        protocol.buffer_updated = buffer_updated

    def is_clean(self) -> bool:
        """See :meth:`BackendConnection.is_clean`."""
        return self._clean

    async def execute(self, sql: str) -> StatementResult:
        """See :meth:`BackendConnection.execute`."""
        self._waiting = True
        try:
            await self._connection.query(sql)
        except MySQLError as error:
            raise self._translate(error) from error
        except (OSError, EOFError, asyncio.IncompleteReadError, AssertionError) as error:
            self.close()
            raise BackendLostError(str(error), step="execute", peer=self._peer) from error
        finally:
            self._waiting = False
        return _to_result(self._connection._result)

    def _translate(self, error: Any) -> BackendLostError | BackendRefusedError:
        code = error.args[0] if error.args and isinstance(error.args[0], int) else 0
        message = str(error.args[1]) if len(error.args) > 1 else str(error)
        if code == 0 or FIRST_CLIENT_CODE <= code <= LAST_CLIENT_CODE:
            self.close()
            return BackendLostError(message, step="execute", peer=self._peer)
        return BackendRefusedError(code, message, step="execute", peer=self._peer)

    async def status(self) -> MemberStatus:
        """See :meth:`BackendConnection.status`."""
        result = await self.execute(STATUS_QUERY)
        values = [value.decode() if value is not None else "" for value in result.rows[0]]
        role, term, received, committed, leaving, incarnation = values
        return MemberStatus(
            role=MemberRole(role),
            term=int(term),
            received=parse_position(received),
            committed=parse_position(committed),
            leaving=leaving == "1",
            incarnation=incarnation,
        )

    def close(self) -> None:
        """See :meth:`BackendConnection.close`."""
        self._connection.close()


def parse_position(text: str) -> Position:
    """Return the position written as ``TERM:INDEX``."""
    term, _, index = text.partition(":")
    return Position(int(term), int(index))


def _to_result(raw: Any) -> StatementResult:
    if raw.description:
        columns = [
            Column(field.name, field.type_code, field.charsetnr, field.flags)
            for field in raw.fields
        ]
        return StatementResult(columns=columns, rows=raw.rows, warnings=raw.warning_count or 0)
    match = _POSITION.search(raw.message or b"")
    position = Position(int(match.group(1)), int(match.group(2))) if match else None
    return StatementResult(
        affected_rows=raw.affected_rows or 0,
        insert_id=raw.insert_id or 0,
        position=position,
        warnings=raw.warning_count or 0,
    )


@register("backend", "mysql")
class MysqlDriver(BackendDriver):
    """Opens connections to members over TCP."""

    async def connect(
        self, address: str, user: str, password: str, database: str
    ) -> BackendConnection:
        """See :meth:`BackendDriver.connect`."""
        host, port = split_address(address)
        try:
            connection = await asyncmy.connect(
                host=host,
                port=port,
                user=user,
                password=password,
                database=database,
                charset="utf8mb4",
                autocommit=None,
                use_unicode=False,
                conv={},
            )
        except (MySQLError, Error, OSError, EOFError, asyncio.IncompleteReadError) as error:
            raise BackendConnectError(str(error), step="connect", peer=address) from error
        return MysqlConnection(connection, address)
