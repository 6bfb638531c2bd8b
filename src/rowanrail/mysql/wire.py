"""Extensions and corrections of the MySQL server library, for the proxy and simulated members.

- A failed login closes the connection.
- Resetting a connection resets the session; resetting a statement does not.
- Prepared statements take parameters of all types and escape them (see ``prepared``).
- OK packets carry affected rows, insert id and an information string.
- Packets may arrive in fragments.
"""

import asyncio
import inspect
import io
import logging
import struct
from collections.abc import AsyncIterator, Sequence
from typing import Any

from mysql_mimic import MysqlServer
from mysql_mimic.connection import Connection
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.control import TooManyConnections
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.packets import (
    make_binary_resultrow,
    make_column_definition_41,
    parse_com_stmt_reset,
)
from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import ServerStatus, read_uint_1, read_uint_4, uint_len
from mysql_mimic.variables import GlobalVariables, SessionVariables

from rowanrail.mysql.prepared import CURSOR_FLAG, BoundStatement, read_execution

ROWS_PER_YIELD = 1000  # of a long result, after which the event loop serves other clients
SERVER_VERSION = "8.0.36-rowanrail"
logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)


class ExactReader:
    """A stream reader whose ``read`` returns exactly the requested bytes, or none at the end."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader

    async def read(self, size: int) -> bytes:
        """Return ``size`` bytes, or no bytes at the end of the stream."""
        try:
            return await self._reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""

    async def readexactly(self, size: int) -> bytes:
        """Return ``size`` bytes.

        :raises ConnectionClosed: at the end of the stream.
        """
        try:
            return await self._reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise ConnectionClosed from error


class ServerSession(BaseSession):  # type: ignore[misc]
    """Base class of the sessions of server connections."""

    def __init__(self) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.variables.set("version", SERVER_VERSION, force=True)
        self.username: str | None = None
        self.database: str | None = None
        self.connection: ServerConnection | None = None

    def begin_session(self, connection: "ServerConnection") -> MysqlError | None:
        """Start the session of an authenticated user, or return the error if it is refused."""
        self.connection = connection
        return None


class ServerConnection(Connection):  # type: ignore[misc]
    """A connection with the extensions and corrections listed in the module docstring."""

    ok_information = b""
    ok_affected_rows = 0
    ok_insert_id = 0
    ok_warnings = 0

    login_pending = False

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.set_status(False, True)

    def set_ok(
        self, affected_rows: int, insert_id: int, warnings: int = 0, information: bytes = b""
    ) -> None:
        """Set the contents of the next OK packet of a statement without rows."""
        self.ok_affected_rows = affected_rows
        self.ok_insert_id = insert_id
        self.ok_warnings = warnings
        self.ok_information = information

    def set_status(self, in_transaction: bool, autocommit: bool) -> None:
        """Set the status flags of the next packets."""
        flags = ServerStatus(0)
        if in_transaction:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        if autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self.status_flags = flags

    def ok(self, **arguments: Any) -> bytes:
        """Return an OK packet, or an error packet if the session refuses the login."""
        if self.login_pending:
            self.login_pending = False
            error = self.session.begin_session(self)
            if error is not None:
                self.session.username = None
                return bytes(self.error(msg=error.msg, code=error.code))
        if arguments.get("eof"):
            return bytes(super().ok(**arguments))
        arguments.setdefault("affected_rows", self.ok_affected_rows)
        arguments.setdefault("last_insert_id", self.ok_insert_id)
        arguments.setdefault("warnings", self.ok_warnings)
        information = self.ok_information
        self.set_ok(0, 0)
        return bytes(super().ok(**arguments)) + information

    async def authenticate(self, **arguments: Any) -> None:
        """Authenticate the client.

        :raises ConnectionClosed: if the login fails.
        """
        self.session.username = None
        self.login_pending = True
        await super().authenticate(**arguments)
        if self.session.username is None:
            raise ConnectionClosed

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Prepare a statement (COM_STMT_PREPARE)."""
        statement = BoundStatement(next(self.prepared_stmt_seq), self.client_charset.decode(data))
        self.prepared_stmts[statement.stmt_id] = statement
        for packet in self.com_stmt_prepare_response(statement):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Execute a prepared statement (COM_STMT_EXECUTE)."""
        reader = io.BytesIO(data)
        statement = self.get_stmt(read_uint_4(reader))
        flags = read_uint_1(reader)
        read_uint_4(reader)  # iteration count, always 1
        sql, attributes = read_execution(reader, statement, flags, self.capabilities)
        statement.param_buffers = None
        result = await self.query(sql, attributes)
        if not result:
            await self.stream.write(self.ok())
            return
        await self._write_column_definitions(result.columns)
        rows = self._binary_rows(result)
        if flags & CURSOR_FLAG:
            statement.cursor = rows
            flag = ServerStatus.SERVER_STATUS_CURSOR_EXISTS
            await self.stream.write(self.ok_or_eof(flags=flag))
            return
        if not self.deprecate_eof():
            await self.stream.write(self.eof(), drain=False)
        async for row in rows:
            await self.stream.write(row, drain=False)
        await self.stream.write(self.ok_or_eof())

    async def _write_column_definitions(self, columns: Sequence[ResultColumn]) -> None:
        await self.stream.write(uint_len(len(columns)), drain=False)
        for column in columns:
            definition = make_column_definition_41(
                server_charset=self.server_charset,
                name=column.name,
                column_type=column.type,
                character_set=column.character_set,
            )
            await self.stream.write(definition, drain=False)

    @staticmethod
    async def _binary_rows(result: ResultSet) -> AsyncIterator[bytes]:
        for number, row in enumerate(result.rows):
            if number % ROWS_PER_YIELD == ROWS_PER_YIELD - 1:
                await asyncio.sleep(0)
            yield make_binary_resultrow(row, result.columns)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Reset the session (COM_RESET_CONNECTION)."""
        await self.session.reset()
        self.prepared_stmts.clear()
        await self.stream.write(self.ok())

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Reset a prepared statement without resetting the session (COM_STMT_RESET)."""
        statement = self.get_stmt(parse_com_stmt_reset(data).stmt_id)
        statement.param_buffers = None
        statement.cursor = None
        await self.stream.write(self.ok())


class Server(MysqlServer):  # type: ignore[misc]
    """A MySQL server whose connections are :class:`ServerConnection` objects."""

    async def _client_connected_cb(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        session = self.session_factory()
        if inspect.isawaitable(session):
            session = await session
        stream = MysqlStream(ExactReader(reader), writer)
        connection = ServerConnection(
            stream=stream,
            session=session,
            control=self.control,
            server_capabilities=DEFAULT_SERVER_CAPABILITIES,
            identity_provider=self.identity_provider,
        )
        try:
            connection.connection_id = await self.control.add(connection)
        except TooManyConnections:
            error = connection.error(msg="Too many connections", code=ErrorCode.CON_COUNT_ERROR)
            await stream.write(error)
            writer.close()
            return
        try:
            await connection.start()
        except (ConnectionClosed, ConnectionError, MysqlError, struct.error):
            pass  # the client disconnected or violated the protocol
        finally:
            writer.close()
            await self.control.remove(connection.connection_id)
