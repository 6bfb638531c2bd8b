"""Generated configurations, and a stub driver that answers status queries."""

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
    """Return a configuration with ``groups`` groups and one user for each.

    :param queue_length: a limit of the first group, by which configurations can differ.
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
    """A connection that answers at once; the first member of each group is its primary."""

    def __init__(self, driver: "StubDriver", address: str) -> None:
        self._driver = driver
        role = MemberRole.PRIMARY if address.split(":")[0].endswith(".0") else MemberRole.REPLICA
        self._status = MemberStatus(role, 1, Position(1, 1), Position(1, 1), False, "stub")

    async def execute(self, sql: str) -> StatementResult:
        """Return an empty result."""
        return StatementResult(position=Position(1, 1))

    async def status(self) -> MemberStatus:
        """Count the query and return a fixed status."""
        self._driver.status_count += 1
        return self._status

    def is_clean(self) -> bool:
        """Return True."""
        return True

    def close(self) -> None:
        """Do nothing."""


class StubDriver(BackendDriver):
    """Connects to stub members and counts status queries."""

    def __init__(self) -> None:
        self.status_count = 0

    async def connect(
        self, address: str, user: str, password: str, database: str
    ) -> BackendConnection:
        """Return a stub connection."""
        return StubConnection(self, address)
