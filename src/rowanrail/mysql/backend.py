"""Back-end connections over the MySQL protocol, with ``asyncmy``.

A member reports its log position in the information string of OK packets, as
``position=TERM:INDEX``, and its status as the result of :data:`STATUS_QUERY`.
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
FIRST_CLIENT_ERROR = 2000  # MySQL reserves this range for errors of the client library
LAST_CLIENT_ERROR = 2999
_POSITION = re.compile(rb"position=(\d+):(\d+)")


class MysqlConnection(BackendConnection):
    """A connection to a member; it closes itself when an exchange fails."""

    def __init__(self, connection: Any, peer: str) -> None:
        self._connection = connection
        self._peer = peer
        self._is_executing = False
        self._is_clean = True
        self._detect_unexpected_input()

    def _detect_unexpected_input(self) -> None:
        """Mark the connection as not clean when data arrives while no statement runs."""
        protocol = self._connection._proto
        original = protocol.buffer_updated

        def buffer_updated(size: int) -> None:
            if not self._is_executing:
                self._is_clean = False
            original(size)

        protocol.buffer_updated = buffer_updated

    def is_clean(self) -> bool:
        """Return whether no data has arrived outside of a statement."""
        return self._is_clean

    async def execute(self, sql: str) -> StatementResult:
        """Run a statement and return its result.

        :raises BackendRefusedError: if the member returns an error.
        :raises BackendLostError: if the connection fails; it is closed then.
        """
        self._is_executing = True
        try:
            await self._connection.query(sql)
        except MySQLError as error:
            raise self._translate(error) from error
        except (OSError, EOFError, asyncio.IncompleteReadError, AssertionError) as error:
            self.close()
            raise BackendLostError(str(error), step="execute", peer=self._peer) from error
        finally:
            self._is_executing = False
        return _to_result(self._connection._result)

    def _translate(self, error: Any) -> BackendLostError | BackendRefusedError:
        code = error.args[0] if error.args and isinstance(error.args[0], int) else 0
        message = str(error.args[1]) if len(error.args) > 1 else str(error)
        if code == 0 or FIRST_CLIENT_ERROR <= code <= LAST_CLIENT_ERROR:
            self.close()
            return BackendLostError(message, step="execute", peer=self._peer)
        return BackendRefusedError(code, message, step="execute", peer=self._peer)

    async def status(self) -> MemberStatus:
        """Return the member's role, term, positions and incarnation.

        :raises BackendRefusedError: if the member returns an error.
        :raises BackendLostError: if the connection fails; it is closed then.
        """
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
        """Close the connection at once."""
        self._connection.close()


def parse_position(text: str) -> Position:
    """Return the position of the form ``TERM:INDEX``."""
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
        """Open a connection to a member.

        :raises BackendConnectError: if it can't be opened or the login fails.
        """
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
