"""The back-end port: what the proxy needs of a member of a database group.

Drivers register as plug-ins of kind ``backend``; the simulator brings one of its own.
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
    """What a member says of itself.

    :param received: last position in the member's log.
    :param committed: last position known to be held by a majority and applied here.
    :param incarnation: changes with each start of the member.
    """

    role: MemberRole
    term: int
    received: Position
    committed: Position
    leaving: bool
    incarnation: str


class Column(msgspec.Struct, frozen=True):
    """A result column, as the MySQL protocol describes it."""

    name: str
    type_code: int
    charset: int = 45
    flags: int = 0


class StatementResult(msgspec.Struct):
    """Answer to a statement; values are in MySQL's text encoding.

    :param position: the member's log position after a write or commit.
    """

    columns: Sequence[Column] = ()
    rows: Sequence[Sequence[Any]] = ()
    affected_rows: int = 0
    insert_id: int = 0
    position: Position | None = None
    warnings: int = 0


class BackendConnection(ABC):
    """One connection to a member. One statement at a time."""

    @abstractmethod
    async def execute(self, sql: str) -> StatementResult:
        """Run a statement.

        :raises BackendRefusedError: if the member refused it.
        :raises BackendLostError: if the connection broke after the statement was sent.
        """

    @abstractmethod
    async def status(self) -> MemberStatus:
        """Return the member's status.

        :raises BackendLostError: if the connection broke.
        """

    @abstractmethod
    def is_clean(self) -> bool:
        """Return whether nothing arrived since the last answer was read."""

    @abstractmethod
    def close(self) -> None:
        """Close at once."""


class BackendDriver(ABC):
    """Opens connections to members."""

    @abstractmethod
    async def connect(
        self, address: str, user: str, password: str, database: str
    ) -> BackendConnection:
        """Open a connection.

        :raises BackendConnectError: if that fails; nothing was sent then.
        """
