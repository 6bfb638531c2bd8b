"""The MySQL server for clients, a plug-in of kind ``frontend``.

Manages client connections and logins; :class:`rowanrail.sql_proxy.core.ProxyCore` manages sessions,
and :mod:`rowanrail.mysql.wire` implements the protocol.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.errors import MysqlError
from mysql_mimic.results import ResultSet
from mysql_mimic.stream import ConnectionClosed

from rowanrail.kernel.errors import RowanrailError
from rowanrail.kernel.lifecycle import listen_error
from rowanrail.kernel.registry import register
from rowanrail.mysql.errors import ProxyErrorCode, to_mysql_error
from rowanrail.mysql.values import result_column
from rowanrail.mysql.wire import Server, ServerConnection, ServerSession
from rowanrail.rpc.tcp import split_address
from rowanrail.sql_proxy.commands import TOKEN_VARIABLE
from rowanrail.sql_proxy.core import STOP_RETRY_AFTER_SECONDS, ProxyCore
from rowanrail.sql_proxy.session import SqlSession

LISTEN_BACKLOG = 1024
NO_PASSWORD_HASH = "0" * 40
CLOSE_GRACE_SECONDS = 1.0  # for clients to read that the proxy stops, before they are disconnected


class ClientIdentities(IdentityProvider):  # type: ignore[misc]
    """Users of the current configuration, with native password hashes."""

    def __init__(self, core: ProxyCore) -> None:
        self._core = core

    def get_plugins(self) -> list[Any]:
        """Return the authentication plug-ins that clients may use."""
        return [NativePasswordAuthPlugin()]

    async def get_user(self, username: str) -> User:
        """Return a user; an unknown one gets a hash that matches no password.

        A login thus fails in the same way for unknown users and wrong passwords.
        """
        stored = self._core.stored_password_hash(username)
        return User(name=username, auth_string=stored or NO_PASSWORD_HASH)


class ClientSession(ServerSession):
    """Connects a MySQL connection to a session of the core."""

    def __init__(self, core: ProxyCore, on_close: Callable[["ClientSession"], None]) -> None:
        super().__init__()
        self._core = core
        self._on_close = on_close
        self.session: SqlSession | None = None
        self._replaced_session: SqlSession | None = None

    def begin_session(self, connection: ServerConnection) -> MysqlError | None:
        """Open the session, with the token from the connection attributes if there is one."""
        super().begin_session(connection)
        assert self.username is not None
        if self.session is not None and self.session.user == self.username:
            return None  # COM_CHANGE_USER to the same user; the library calls reset() next
        try:
            session = self._core.open_session(self.username, self.database or "")
            token = connection.client_connect_attrs.get(TOKEN_VARIABLE)
            if token:
                session.merge_token(token)
        except RowanrailError as error:
            return to_mysql_error(error)
        self._replaced_session, self.session = self.session, session
        return None

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> ResultSet | None:
        """Run a statement and return its rows, if it has any."""
        session, connection = self._require_open()
        try:
            result = await session.execute(sql, attrs)
        except RowanrailError as error:
            raise to_mysql_error(error) from error
        finally:
            connection.set_status(session.in_transaction, session.autocommit)
        if result.columns:
            columns = [result_column(column) for column in result.columns]
            return ResultSet(rows=result.rows, columns=columns)
        connection.set_ok(result.affected_rows, result.insert_id, result.warnings)
        return None

    def _require_open(self) -> tuple[SqlSession, ServerConnection]:
        if self.session is None or self.connection is None:
            raise ConnectionClosed
        return self.session, self.connection

    async def use(self, database: str) -> None:
        """Change the default database (COM_INIT_DB)."""
        session, _ = self._require_open()
        try:
            session.use(database)
        except RowanrailError as error:
            raise to_mysql_error(error) from error

    async def reset(self) -> None:
        """Reset the session (COM_RESET_CONNECTION and COM_CHANGE_USER)."""
        session, connection = self._require_open()
        await session.reset()
        if self._replaced_session is not None:
            await self._replaced_session.close()
            self._replaced_session = None
        connection.set_status(False, True)

    async def close(self) -> None:
        """End the session."""
        self._on_close(self)
        for session in (self.session, self._replaced_session):
            if session is not None:
                await session.close()


@register("frontend", "mysql")
class MysqlFrontend:
    """MySQL server: accepts clients and passes their statements to the proxy core."""

    def __init__(self, core: ProxyCore) -> None:
        self._core = core
        self._server = Server(
            session_factory=self._new_session, identity_provider=ClientIdentities(core)
        )
        core.on_session_shutdown = self._end_session
        self._client_sessions: set[ClientSession] = set()
        self._announcements: list[asyncio.Task[None]] = []

    def _new_session(self) -> ClientSession:
        session = ClientSession(self._core, self._client_sessions.discard)
        self._client_sessions.add(session)
        return session

    async def start(self, address: str) -> None:
        """Listen on ``host:port``.

        :raises RowanrailError: if the address can't be used.
        """
        host, port = split_address(address)
        try:
            await self._server.start_server(host=host, port=port, backlog=LISTEN_BACKLOG)
        except OSError as error:
            raise listen_error(address, error) from error

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    async def finish(self) -> None:
        """Wait until the clients that were notified of the stop have had time to read it.

        A process that exits with unread requests resets its connections, which discards data that
        the client has not read yet (RFC 1122, 4.2.2.13).
        """
        await asyncio.gather(*self._announcements)

    def _end_session(self, session: SqlSession) -> None:
        """Notify an idle client that the proxy stops, and close its connection afterwards.

        The packet has the sequence number of a response. A client whose next request is already in
        transit takes it as the response to that request, which is correct: it won't be run.
        """
        for client_session in self._client_sessions:
            if client_session.session is session and client_session.connection is not None:
                self._announcements.append(
                    asyncio.ensure_future(_announce_stop(client_session.connection))
                )
                self._client_sessions.discard(client_session)
                return


async def _announce_stop(connection: ServerConnection) -> None:
    error = MysqlError(
        f"not run: this proxy is stopping; retry after {STOP_RETRY_AFTER_SECONDS:.3f} s",
        ProxyErrorCode.NOT_RUN,
    )
    with contextlib.suppress(ConnectionError, RuntimeError):
        next(connection.stream.seq)
        await connection.stream.write(connection.error(msg=error.msg, code=error.code))
        connection.stream.writer.write_eof()
        await asyncio.sleep(CLOSE_GRACE_SECONDS)
        connection.kill()
