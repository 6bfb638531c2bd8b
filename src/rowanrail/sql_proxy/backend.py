"""Interface of back-end drivers, which connect the proxy to the members of database groups.

Drivers register as plug-ins of kind ``backend``; the simulator has its own.
"""

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any

import msgspec

from rowanrail.model.position import Position


class MemberRole(enum.Enum):
    """Role of a member in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    LEARNER = "learner"


class MemberStatus(msgspec.Struct, frozen=True):
    """Status that a member reports.

    :param received: last position in the member's log.
    :param committed: last position that the member knows to be held by a majority and has applied.
    :param incarnation: identifies one run of the member's process.
    """

    role: MemberRole
    term: int
    received: Position
    committed: Position
    leaving: bool
    incarnation: str


class Column(msgspec.Struct, frozen=True):
    """A result column, as in the MySQL protocol."""

    name: str
    type_code: int
    charset: int = 45
    flags: int = 0


class StatementResult(msgspec.Struct):
    """Result of a statement; values are in the MySQL text encoding.

    :param position: log position of the member after a write or commit.
    """

    columns: Sequence[Column] = ()
    rows: Sequence[Sequence[Any]] = ()
    affected_rows: int = 0
    insert_id: int = 0
    position: Position | None = None
    warnings: int = 0


class BackendConnection(ABC):
    """One connection to a member, which runs one statement at a time."""

    @abstractmethod
    async def execute(self, sql: str) -> StatementResult:
        """Run a statement.

        :raises BackendRefusedError: if the member refused it.
        :raises BackendLostError: if the connection was lost after the statement was sent.
        """

    @abstractmethod
    async def status(self) -> MemberStatus:
        """Return the member's status.

        :raises BackendLostError: if the connection was lost.
        """

    @abstractmethod
    def is_clean(self) -> bool:
        """Return whether no data has arrived since the last answer was read."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection immediately."""


class BackendDriver(ABC):
    """Opens connections to members."""

    @abstractmethod
    async def connect(
        self, address: str, user: str, password: str, database: str
    ) -> BackendConnection:
        """Open a connection.

        :raises BackendConnectError: if the connection fails; no statement was sent.
        """
