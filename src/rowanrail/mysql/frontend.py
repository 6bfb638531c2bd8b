"""The MySQL server towards callers.

A plug-in of kind ``frontend``. Owns the callers' connections and their identities; relies on the
proxy's core for sessions, and on ``wire`` for the protocol.
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
from rowanrail.mysql.errors import CallerCode, to_mysql_error
from rowanrail.mysql.values import result_column
from rowanrail.mysql.wire import ServedConnection, ServedSession, Server
from rowanrail.rpc.tcp import split_address
from rowanrail.sql_proxy.commands import TOKEN_VARIABLE
from rowanrail.sql_proxy.core import STOP_RETRY_AFTER_SECONDS, ProxyCore
from rowanrail.sql_proxy.session import SqlSession

LISTEN_BACKLOG = 1024  # connections that the kernel accepts ahead; chosen
NO_PASSWORD_HASH = "0" * 40
# Seconds for callers to read that the proxy stops, before their connections close. Chosen.
CLOSE_GRACE_SECONDS = 1.0


class CallerIdentities(IdentityProvider):  # type: ignore[misc]
    """Users of the configuration in force, with native password hashes."""

    def __init__(self, core: ProxyCore) -> None:
        self._core = core

    def get_plugins(self) -> list[Any]:
        """Return the authentication plug-ins that callers may use."""
        return [NativePasswordAuthPlugin()]

    async def get_user(self, username: str) -> User:
        """Return a user. An unknown one gets a hash that no password has, so that a login
        fails the same way for unknown users and wrong passwords.
        """
        stored = self._core.stored_password_hash(username)
        return User(name=username, auth_string=stored or NO_PASSWORD_HASH)


class CallerSession(ServedSession):
    """Joins one MySQL connection to one session of the core."""

    def __init__(self, core: ProxyCore, on_close: Callable[["CallerSession"], None]) -> None:
        super().__init__()
        self._core = core
        self._on_close = on_close
        self.session: SqlSession | None = None
        self._replaced: SqlSession | None = None

    def login_error(self, connection: ServedConnection) -> MysqlError | None:
        """Open the session, with a token from the connection attributes if there is one."""
        super().login_error(connection)
        assert self.username is not None
        if self.session is not None and self.session.user == self.username:
            return None  # COM_CHANGE_USER to the same user; reset() follows
        try:
            session = self._core.open_session(self.username, self.database or "")
            token = connection.client_connect_attrs.get(TOKEN_VARIABLE)
            if token:
                session.merge_token(token)
        except RowanrailError as error:
            return to_mysql_error(error)
        self._replaced, self.session = self.session, session
        return None

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> ResultSet | None:
        """Run a statement and return its rows, if it has any."""
        session, connection = self._joined()
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

    def _joined(self) -> tuple[SqlSession, ServedConnection]:
        if self.session is None or self.connection is None:
            raise ConnectionClosed
        return self.session, self.connection

    async def use(self, database: str) -> None:
        """Change the default database (COM_INIT_DB)."""
        session, _ = self._joined()
        try:
            session.use(database)
        except RowanrailError as error:
            raise to_mysql_error(error) from error

    async def reset(self) -> None:
        """Reset the session (COM_RESET_CONNECTION and COM_CHANGE_USER)."""
        session, connection = self._joined()
        await session.reset()
        if self._replaced is not None:
            await self._replaced.close()
            self._replaced = None
        connection.set_status(False, True)

    async def close(self) -> None:
        """End the session."""
        self._on_close(self)
        for session in (self.session, self._replaced):
            if session is not None:
                await session.close()


@register("frontend", "mysql")
class MysqlFrontend:
    """Listens for callers and drives the core."""

    def __init__(self, core: ProxyCore) -> None:
        self._core = core
        self._server = Server(
            session_factory=self._new_session, identity_provider=CallerIdentities(core)
        )
        core.on_session_shutdown = self._end_session
        self._callers: set[CallerSession] = set()
        self._announcements: list[asyncio.Task[None]] = []

    def _new_session(self) -> CallerSession:
        session = CallerSession(self._core, self._callers.discard)
        self._callers.add(session)
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
        """Accept no further connections."""
        self._server.close()

    async def finish(self) -> None:
        """Wait until the callers that were told of the stop have had time to read it.

        A process that ends with requests unread resets its connections, and a reset discards
        what the other end has not read yet (RFC 1122, 4.2.2.13).
        """
        await asyncio.gather(*self._announcements)

    def _end_session(self, session: SqlSession) -> None:
        """Tell a caller between statements that the proxy stops, and close after that.

        The packet has the sequence number of an answer: a caller whose next request is on
        its way takes it as that request's answer, which is true, since it will not run.
        """
        for caller in self._callers:
            if caller.session is session and caller.connection is not None:
                self._announcements.append(asyncio.ensure_future(_announce_stop(caller.connection)))
                self._callers.discard(caller)
                return


async def _announce_stop(connection: ServedConnection) -> None:
    error = MysqlError(
        f"not run: this proxy is stopping; retry after {STOP_RETRY_AFTER_SECONDS:.3f} s",
        CallerCode.NOT_RUN,
    )
    with contextlib.suppress(ConnectionError, RuntimeError):
        next(connection.stream.seq)
        await connection.stream.write(connection.error(msg=error.msg, code=error.code))
        connection.stream.writer.write_eof()
        await asyncio.sleep(CLOSE_GRACE_SECONDS)
        connection.kill()
