"""Stubs: configurations of any size, and members that only answer status questions."""

from rowanrail.config.model import (
    Configuration,
    GroupSpec,
    LimitsSpec,
    MemberSpec,
    SiteSpec,
    UserSpec,
    VersionedConfiguration,
)
from rowanrail.model.position import Position
from rowanrail.sql_proxy.backend import (
    BackendConnection,
    BackendDriver,
    MemberRole,
    MemberStatus,
    StatementResult,
)

ZONES = ["z1", "z2", "z3"]


def configuration(groups: int, version: int = 1, queue_length: int = 200) -> VersionedConfiguration:
    """Return a configuration with a number of groups, one user each.

    :param queue_length: a limit of the first group, for changes to change.
    """
    specs = [_group(number, queue_length) for number in range(groups)]
    users = [
        UserSpec(f"user{number}", f"{number:040x}", [f"database{number}"])
        for number in range(groups)
    ]
    sites = [SiteSpec("site", "region", ZONES)]
    return VersionedConfiguration(version, Configuration(sites, specs, users))


def _group(number: int, queue_length: int) -> GroupSpec:
    members = [
        MemberSpec(f"m{position}", zone, f"10.{number // 250}.{number % 250}.{position}:3306")
        for position, zone in enumerate(ZONES)
    ]
    limits = LimitsSpec(queue_length=queue_length if number == 0 else 200)
    return GroupSpec(f"group{number}", [f"database{number}"], members, limits=limits)


class StubConnection(BackendConnection):
    """Answers at once; the first member of each group is its primary."""

    def __init__(self, driver: "StubDriver", address: str) -> None:
        self._driver = driver
        role = MemberRole.PRIMARY if address.split(":")[0].endswith(".0") else MemberRole.REPLICA
        self._status = MemberStatus(role, 1, Position(1, 1), Position(1, 1), False, "stub")

    async def execute(self, sql: str) -> StatementResult:
        """See :meth:`BackendConnection.execute`."""
        return StatementResult(position=Position(1, 1))

    async def status(self) -> MemberStatus:
        """See :meth:`BackendConnection.status`."""
        self._driver.status_count += 1
        return self._status

    def is_clean(self) -> bool:
        """See :meth:`BackendConnection.is_clean`."""
        return True

    def close(self) -> None:
        """See :meth:`BackendConnection.close`."""


class StubDriver(BackendDriver):
    """Connects to stub members and counts their status questions."""

    def __init__(self) -> None:
        self.status_count = 0

    async def connect(
        self, address: str, user: str, password: str, database: str
    ) -> BackendConnection:
        """See :meth:`BackendDriver.connect`."""
        return StubConnection(self, address)
