"""A stand-in member as a process, which serves the MySQL protocol and the group's log."""

import asyncio
import random
from pathlib import Path
from typing import Any

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.results import ResultSet

from rowanlab.standin.member import Member, MemberSettings
from rowanlab.standin.session import MemberSession
from rowanrail.kernel.disk import FileDisk
from rowanrail.kernel.errors import BackendRefusedError
from rowanrail.kernel.lifecycle import wait_for_stop_signal
from rowanrail.kernel.registry import Registry
from rowanrail.model.position import Position
from rowanrail.mysql.backend import STATUS_QUERY
from rowanrail.mysql.errors import to_mysql_error
from rowanrail.mysql.values import result_column
from rowanrail.mysql.wire import Server, ServerConnection, ServerSession
from rowanrail.rpc.address_translation import AddressTranslatingNetwork
from rowanrail.rpc.tcp import TcpNetwork, split_address
from rowanrail.sql_proxy.backend import Column, MemberStatus
from rowanrail.sql_proxy.core import hash_password

_STATUS_COLUMNS = [
    result_column(Column(name, 253))
    for name in ("role", "term", "received", "committed", "leaving", "incarnation")
]


def _format_position(position: Position) -> str:
    return f"{position.term}:{position.index}"


def _status_rows(status: MemberStatus) -> list[tuple[str, ...]]:
    return [
        (
            status.role.value,
            str(status.term),
            _format_position(status.received),
            _format_position(status.committed),
            "1" if status.leaving else "0",
            status.incarnation,
        )
    ]


class _Identities(IdentityProvider):  # type: ignore[misc]
    def __init__(self, settings: MemberSettings) -> None:
        self._settings = settings

    def get_plugins(self) -> list[Any]:
        return [NativePasswordAuthPlugin()]

    async def get_user(self, username: str) -> User:
        known = username == self._settings.user
        auth = hash_password(self._settings.password) if known else "0" * 40
        return User(name=username, auth_string=auth)


class _WireSession(ServerSession):
    def __init__(self, server: "MemberServer") -> None:
        super().__init__()
        self._server = server
        self._session = MemberSession(server.member)

    def begin_session(self, connection: ServerConnection) -> MysqlError | None:
        settings = self._server.member.settings
        counts = self._server.member.connections
        if counts.now >= settings.connections:
            counts.refused += 1
            return MysqlError("Too many connections", ErrorCode.CON_COUNT_ERROR)
        counts.now += 1
        counts.peak = max(counts.peak, counts.now)
        return super().begin_session(connection)

    async def init(self, connection: Any) -> None:
        await asyncio.sleep(self._server.member.settings.connect_seconds)

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> ResultSet | None:
        if sql == STATUS_QUERY:
            return ResultSet(
                rows=_status_rows(self._server.member.status()), columns=_STATUS_COLUMNS
            )
        assert self.connection is not None
        try:
            result = await self._session.execute(sql)
        except BackendRefusedError as error:
            raise to_mysql_error(error) from error
        finally:
            self.connection.set_status(self._session.in_transaction, True)
        if result.columns:
            columns = [result_column(column) for column in result.columns]
            return ResultSet(rows=result.rows, columns=columns)
        information = b""
        if result.position is not None:
            information = f"position={_format_position(result.position)}".encode()
        self.connection.set_ok(result.affected_rows, result.insert_id, 0, information)
        return None

    async def reset(self) -> None:
        self._session.roll_back()

    async def use(self, database: str) -> None:
        return None

    async def close(self) -> None:
        if self.connection is not None:
            self._server.member.connections.now -= 1
        self._session.roll_back()


class MemberServer:
    """Serves one member over the MySQL protocol."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self._server = Server(
            session_factory=lambda: _WireSession(self),
            identity_provider=_Identities(member.settings),
        )

    async def start(self) -> None:
        """Start to listen."""
        host, port = split_address(self.member.settings.listen)
        await self._server.start_server(host=host, port=port, backlog=1024)


async def run_member(settings: MemberSettings, bootstrap: bool) -> None:
    """Run a member until a stop signal."""
    network = AddressTranslatingNetwork(TcpNetwork(), settings.routes)
    folder = Path(settings.data_folder)
    disk = FileDisk(folder)
    database = folder / "database"
    database.mkdir(exist_ok=True)
    member = Member(settings, network, disk, database / "data.sqlite", random.Random(), Registry())
    await member.start(bootstrap)
    await MemberServer(member).start()
    await wait_for_stop_signal()
    await member.stop()
