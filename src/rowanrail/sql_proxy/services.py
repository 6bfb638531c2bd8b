"""The components that serve one group at a proxy, and the interface of a proxy to its sessions."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from rowanrail.config.model import GroupSpec
from rowanrail.kernel.errors import NotRunError
from rowanrail.kernel.registry import Registry
from rowanrail.model.position import Position
from rowanrail.sql_proxy.backend import BackendDriver
from rowanrail.sql_proxy.group import GroupOptions, GroupRuntime
from rowanrail.sql_proxy.limits import may_begin_transaction
from rowanrail.sql_proxy.member_selection import FloorSource, floor_source, is_recent_floor
from rowanrail.sql_proxy.outcomes import GROUP_RETRY_AFTER_SECONDS
from rowanrail.sql_proxy.policies import OutcomeClassification
from rowanrail.sql_proxy.reads import ReadRunner
from rowanrail.sql_proxy.statistics import GroupStatistics
from rowanrail.sql_proxy.writes import WriteRunner


class GroupServices:
    """Everything that serves one group at a proxy."""

    def __init__(
        self,
        spec: GroupSpec,
        options: GroupOptions,
        driver: BackendDriver,
        registry: Registry,
        randomness: random.Random,
        wall_clock: Callable[[], float],
    ) -> None:
        self.group = GroupRuntime(spec, options, driver, registry, randomness)
        self.statistics = GroupStatistics()
        self.outcomes: OutcomeClassification = registry.create(
            "proxy-guard", "outcome-classification"
        )
        records = registry.create("proxy-guard", "request-record")
        self.reader = ReadRunner(self.group, self.outcomes, self.statistics)
        self.writer = WriteRunner(self.group, self.outcomes, records, self.statistics, wall_clock)
        self.open_transactions = 0
        self.used_at = 0.0
        self._floor_round: asyncio.Task[Position] | None = None
        self._recent_floor = (float("-inf"), Position())

    @property
    def spec(self) -> GroupSpec:
        """The group's configuration."""
        return self.group.spec

    def is_busy(self) -> bool:
        """Return whether statements run or wait for a connection, or transactions are open."""
        return self.open_transactions > 0 or self.group.outstanding > 0

    async def floor(self, known: Position | None, deadline: float) -> Position:
        """Return the floor of a read, according to the group's consistency level.

        :param known: position of the session, None if it has none yet.
        :raises NotRunError: if no majority of the members answers in time.
        """
        session_floor = known or Position()
        match floor_source(self.spec.consistency, known is not None):
            case FloorSource.SESSION:
                return session_floor
            case FloorSource.RECENT:
                return max(await self._recent_or_quorum_floor(deadline), session_floor)
            case FloorSource.QUORUM:
                return max(await self.group.quorum.acknowledged_floor(deadline), session_floor)

    async def _recent_or_quorum_floor(self, deadline: float) -> Position:
        loop = asyncio.get_running_loop()
        cached_at, floor = self._recent_floor
        if is_recent_floor(loop.time() - cached_at, self.spec.maximum_staleness_seconds):
            return floor
        queried_at = loop.time()
        floor = await self.group.quorum.acknowledged_floor(deadline)
        self._recent_floor = (queried_at, floor)
        return floor

    def check_transaction_limit(self) -> None:
        """Check that another transaction may begin.

        :raises NotRunError: if the maximum number of transactions is open.
        """
        limit = self.spec.limits.open_transactions
        if not may_begin_transaction(self.open_transactions, limit):
            raise NotRunError(
                f"{limit} transactions are open at this proxy",
                retry_after_seconds=GROUP_RETRY_AFTER_SECONDS,
                step="begin",
                peer=self.spec.name,
            )


class SqlSessionHost(ABC):
    """Interface of a proxy to its sessions."""

    registry: Registry

    @abstractmethod
    def group_spec(self, user: str, database: str) -> GroupSpec:
        """Return the group that serves ``database`` for ``user``.

        :raises CallerError: if there is none, or the user may not use it.
        """

    @abstractmethod
    def database_group(self, database: str) -> str:
        """Return the name of the group that serves ``database``, or an empty string."""

    @abstractmethod
    def find_group(self, database: str) -> GroupServices | None:
        """Return the services of the group of ``database``, None if no group serves it."""

    @abstractmethod
    def check_accepting(self, session: object) -> None:
        """Check that the session may run a statement.

        :raises NotRunError: if the proxy is stopping and the session has no open transaction.
        """

    @abstractmethod
    def session_idle(self, session: object) -> None:
        """Called when a session has finished a statement."""

    @abstractmethod
    def session_closed(self, session: object) -> None:
        """Called when a session has ended."""

    @abstractmethod
    def wall_clock(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
