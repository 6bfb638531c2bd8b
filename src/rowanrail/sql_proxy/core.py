"""The proxy's core: configured groups, sessions, and graceful shutdown.

It is independent of the wire protocol; the MySQL frontend and the simulator use it.
"""

import asyncio
import hashlib
import random
import time
from collections.abc import Callable

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.config.model import GroupSpec, VersionedConfiguration
from rowanrail.kernel.errors import BackendRefusedError, NotRunError, UnknownDatabaseError
from rowanrail.kernel.events import emit
from rowanrail.kernel.registry import Registry
from rowanrail.sql_proxy.backend import BackendDriver
from rowanrail.sql_proxy.events import CONFIGURATION_IN_FORCE, OLDER_CONFIGURATION
from rowanrail.sql_proxy.group_table import GroupTable
from rowanrail.sql_proxy.limits import REAPER_INTERVAL_SECONDS
from rowanrail.sql_proxy.policies import DrainWait
from rowanrail.sql_proxy.services import GroupServices, SqlSessionHost
from rowanrail.sql_proxy.session import SqlSession

# Retry-after in seconds of statements that a stopping proxy refuses.
STOP_RETRY_AFTER_SECONDS = 0.5
# Seconds between checks whether the sessions of a stopping proxy have finished.
STOP_POLL_SECONDS = 0.05


class ProxyCore(SqlSessionHost):
    """Configuration, groups and sessions of one proxy."""

    def __init__(
        self,
        zone: str,
        routes: dict[str, str],
        driver: BackendDriver,
        registry: Registry,
        randomness: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.registry = registry
        self.in_force = VersionedConfiguration()
        self.sessions: dict[SqlSession, None] = {}  # an ordered set, oldest session first
        self.stopping = False
        self.on_session_shutdown: Callable[[SqlSession], None] = lambda session: None
        self.groups = GroupTable(zone, routes, driver, registry, randomness, wall_clock)
        self._wall_clock = wall_clock
        self._version_guard: VersionMonotonic = registry.create(
            "control-guard", "version-monotonic"
        )
        self._drain_wait: DrainWait = registry.create("proxy-guard", "drain-wait")
        self._reaper: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the tasks that poll the groups and enforce the limits of transactions."""
        self.groups.start()
        self._reaper = asyncio.ensure_future(self._reap())

    # Configuration

    def apply(self, offered: VersionedConfiguration) -> bool:
        """Apply a configuration if it is newer than the one in force; return whether it was."""
        if not self._version_guard.accepts(self.in_force.version, offered.version):
            if offered.version < self.in_force.version:
                emit(OLDER_CONFIGURATION, offered=offered.version, in_force=self.in_force.version)
            return False
        self.in_force = offered
        self.groups.apply(offered.configuration.groups, offered.drained)
        emit(CONFIGURATION_IN_FORCE, version=offered.version)
        return True

    def set_listed_leaving(self, addresses: set[str]) -> None:
        """Set the addresses of members that the platform lists as leaving."""
        self.groups.set_listed_leaving(addresses)

    def set_proxy_counts(self, counts: dict[str, int]) -> None:
        """Update the number of proxies that use each group."""
        self.groups.set_proxy_counts(counts)

    def watched_groups(self) -> list[GroupServices]:
        """Return the services of the watched groups, ordered by name."""
        return self.groups.running()

    # Sessions

    def stored_password_hash(self, user: str) -> str | None:
        """Return the stored double SHA-1 of a user's password, or None if unknown."""
        for spec in self.in_force.configuration.users:
            if spec.name == user:
                return spec.password_hash.lstrip("*").lower()
        return None

    def open_session(self, user: str, database: str) -> SqlSession:
        """Open a session for an authenticated user.

        :raises CallerError: if the proxy is stopping, the user may not use the database, or no
            group serves it.
        """
        if self.stopping:
            raise self._stopping_error()
        if database:
            self.group_spec(user, database)
        session = SqlSession(self, user, database)
        self.sessions[session] = None
        return session

    def group_spec(self, user: str, database: str) -> GroupSpec:
        """Return the group that serves ``database``, if ``user`` may use it.

        :raises CallerError: if there is no such group, or the user may not use it.
        """
        spec = next(
            (
                user_spec
                for user_spec in self.in_force.configuration.users
                if user_spec.name == user
            ),
            None,
        )
        if spec is None or (spec.databases and database not in spec.databases):
            raise BackendRefusedError(
                1044, f"Access denied for user '{user}' to database '{database}'", sqlstate="42000"
            )
        group = self.groups.spec(database)
        if group is None:
            raise UnknownDatabaseError(
                f"no group serves database {database!r}; check the name, or apply a "
                "configuration that has it",
                step="use",
                peer=database,
            )
        return group

    def database_group(self, database: str) -> str:
        """Return the name of the group that serves ``database``, or an empty string."""
        return self.groups.group_name(database)

    def find_group(self, database: str) -> GroupServices | None:
        """Return the services of the group of ``database``, None if no group serves it."""
        return self.groups.find(database)

    def wall_clock(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return self._wall_clock()

    async def _reap(self) -> None:
        while True:
            await asyncio.sleep(REAPER_INTERVAL_SECONDS)
            now = asyncio.get_running_loop().time()
            for session in list(self.sessions):
                session.check_limits(now)

    # Graceful shutdown

    def check_accepting(self, session: object) -> None:
        """Check that the session may run a statement; open transactions may continue.

        :raises NotRunError: if the proxy is stopping and the session has no open transaction.
        """
        assert isinstance(session, SqlSession)
        if self.stopping and not session.in_transaction:
            raise self._stopping_error()

    @staticmethod
    def _stopping_error() -> NotRunError:
        return NotRunError(
            "this proxy is stopping; connect to another one",
            retry_after_seconds=STOP_RETRY_AFTER_SECONDS,
            step="accept",
        )

    def session_idle(self, session: object) -> None:
        """Do nothing: :meth:`stop` polls the sessions."""

    def session_closed(self, session: object) -> None:
        """Remove a session that has ended."""
        assert isinstance(session, SqlSession)
        self.sessions.pop(session, None)

    async def stop(self, limit_seconds: float) -> None:
        """Shut down gracefully: refuse new work, wait for running work, then close all groups.

        Each session ends as soon as it is idle and has no open transaction. Transactions that are
        still open after ``limit_seconds`` are rolled back.
        """
        self.stopping = True
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_seconds
        while self.sessions and loop.time() < deadline:
            waiting = False
            for session in list(self.sessions):
                if self._drain_wait.must_wait(session.busy, session.in_transaction):
                    waiting = True
                else:
                    self.on_session_shutdown(session)
                    self.sessions.pop(session, None)
            if waiting:
                await asyncio.sleep(STOP_POLL_SECONDS)
        self.close()

    def close(self) -> None:
        """Stop all tasks and groups immediately."""
        if self._reaper is not None:
            self._reaper.cancel()
        self.groups.close()


def hash_password(password: str) -> str:
    """Return the double SHA-1 of a password in hex, the format of ``mysql_native_password``."""
    return hashlib.sha1(hashlib.sha1(password.encode()).digest()).hexdigest()
