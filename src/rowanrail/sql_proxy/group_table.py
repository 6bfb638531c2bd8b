"""The groups that a proxy serves: creation, polling, configuration changes and removal.

A proxy polls the first ``group_polling.ALWAYS_WATCHED_GROUPS`` groups unless many proxies share
them, and any other group while it is in use, so that its polling cost does not grow with the number
of configured groups. Idle groups share one rate limit of status queries; a group with running
statements is polled at the full rate.
"""

import asyncio
import random
from collections.abc import Callable

from rowanrail.config.model import GroupSpec
from rowanrail.kernel.registry import Registry
from rowanrail.sql_proxy.backend import BackendDriver
from rowanrail.sql_proxy.connection_share import UNKNOWN_PROXY_COUNT
from rowanrail.sql_proxy.group import GroupOptions
from rowanrail.sql_proxy.group_polling import (
    ALWAYS_WATCHED_GROUPS,
    POLL_SECONDS,
    background_interval_seconds,
    is_poll_due,
    is_shared_by_many,
    is_unused,
)
from rowanrail.sql_proxy.services import GroupServices

# Seconds between checks whether the last statement of a replaced group has ended.
RETIRE_POLL_SECONDS = 0.1
# Maximum number of group names in a report to the control nodes.
MAXIMUM_REPORTED_NAMES = 100


class GroupTable:
    """Groups by name and by database; the services of a group are created on first use."""

    def __init__(
        self,
        zone: str,
        routes: dict[str, str],
        driver: BackendDriver,
        registry: Registry,
        randomness: random.Random,
        wall_clock: Callable[[], float],
    ) -> None:
        self._zone = zone
        self._routes = routes
        self._driver = driver
        self._registry = registry
        self._random = randomness
        self._wall_clock = wall_clock
        self._specs: dict[str, GroupSpec] = {}
        self._by_database: dict[str, str] = {}
        self._shared_by_many: set[str] = set()
        self._running: dict[str, GroupServices] = {}
        self._retiring: dict[GroupServices, asyncio.Task[None]] = {}
        self._drained: set[str] = set()
        self._listed_leaving: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that polls the groups."""
        self._task = asyncio.ensure_future(self._watch())

    def close(self) -> None:
        """Stop all groups immediately, without waiting for running statements."""
        if self._task is not None:
            self._task.cancel()
        for services, task in list(self._retiring.items()):
            task.cancel()
            services.group.stop()
        for services in self._running.values():
            services.group.stop()
        self._running = {}
        self._specs = {}
        self._by_database = {}

    # Configuration

    def apply(self, specs: list[GroupSpec], drained: list[str]) -> None:
        """Apply a new configuration of groups; a group whose settings changed is replaced."""
        self._specs = {spec.name: spec for spec in specs}
        self._by_database = {database: spec.name for spec in specs for database in spec.databases}
        self._drained = set(drained)
        in_use = [name for name in self._running if name in self._specs]
        replaced: dict[str, GroupServices] = {}
        for name, services in list(self._running.items()):
            if self._specs.get(name) != services.spec:
                replaced[name] = self._running.pop(name)
        for name in [*in_use, *self._always_watched()]:
            services = self._ensure_running(name)
            if name in replaced:
                services.group.inherit_connection_share(replaced[name].group)
        for services in replaced.values():
            self._retire(services)
        self._update_leaving()

    def _ensure_running(self, name: str) -> GroupServices:
        services = self._running.get(name)
        if services is None:
            services = self._create(self._specs[name])
            self._running[name] = services
            self._mark_leaving(services)
        return services

    def _create(self, spec: GroupSpec) -> GroupServices:
        services = GroupServices(
            spec,
            GroupOptions(self._zone, self._routes),
            self._driver,
            self._registry,
            random.Random(self._random.getrandbits(64)),
            self._wall_clock,
        )
        services.used_at = asyncio.get_running_loop().time()
        services.group.start()
        return services

    @property
    def retiring(self) -> int:
        """Number of replaced groups where statements still run."""
        return len(self._retiring)

    def _retire(self, services: GroupServices) -> None:
        """Stop a group once its running statements and transactions have ended."""
        if not services.is_busy():
            services.group.stop()
            return
        services.group.minimize_connections()
        task = asyncio.ensure_future(self._stop_when_idle(services))
        self._retiring[services] = task
        task.add_done_callback(lambda _: self._retiring.pop(services, None))

    @staticmethod
    async def _stop_when_idle(services: GroupServices) -> None:
        # Bounded by statement deadlines and the limits of transactions.
        while services.is_busy():
            services.group.poll_soon()
            await asyncio.sleep(RETIRE_POLL_SECONDS)
        services.group.stop()

    def set_proxy_counts(self, counts: dict[str, int]) -> None:
        """Update the number of proxies that use each group."""
        self._update_shared_by_many(counts)
        for name, services in self._running.items():
            services.group.set_proxy_count(counts.get(name, UNKNOWN_PROXY_COUNT))

    def watched_names(self) -> list[str]:
        """Return the names of watched groups, to which connections may be open, up to a limit."""
        return sorted(self._running)[:MAXIMUM_REPORTED_NAMES]

    # Leaving members

    def set_listed_leaving(self, addresses: set[str]) -> None:
        """Set the addresses of members that the platform lists as leaving."""
        self._listed_leaving = addresses
        self._update_leaving()

    def _update_leaving(self) -> None:
        for services in self._running.values():
            self._mark_leaving(services)

    def _mark_leaving(self, services: GroupServices) -> None:
        addresses = {member.name: member.address for member in services.spec.members}
        for member in services.group.members:
            member.drained = f"{services.spec.name}/{member.name}" in self._drained
            member.listed_leaving = addresses[member.name] in self._listed_leaving

    # Use

    def group_name(self, database: str) -> str:
        """Return the group that serves a database, or an empty string."""
        return self._by_database.get(database, "")

    def spec(self, database: str) -> GroupSpec | None:
        """Return the configuration of the group that serves a database."""
        return self._specs.get(self.group_name(database))

    def find(self, database: str) -> GroupServices | None:
        """Return the services of a database's group, creating them and recording the use."""
        name = self._by_database.get(database)
        if name is None:
            return None
        services = self._ensure_running(name)
        services.used_at = asyncio.get_running_loop().time()
        return services

    def running(self) -> list[GroupServices]:
        """Return the services of the watched groups, ordered by name."""
        return [self._running[name] for name in sorted(self._running)]

    # Watching

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS * self._random.uniform(0.8, 1.2))
            now = asyncio.get_running_loop().time()
            self._drop_unused(now)
            interval = self._background_interval()
            for services in self._running.values():
                if is_poll_due(services.is_busy(), now, services.group.polled_at, interval):
                    services.group.polled_at = now
                    services.group.poll_soon()

    def _background_interval(self) -> float:
        members = sum(len(services.group.members) for services in self._running.values())
        return background_interval_seconds(members)

    def _always_watched(self) -> list[str]:
        """Return the names of the groups to watch even while they are unused.

        Groups whose connections many proxies share are excluded: proxies that don't use such a
        group keep no connections to it.
        """
        return [
            name
            for name in list(self._specs)[:ALWAYS_WATCHED_GROUPS]
            if name not in self._shared_by_many
        ]

    def _update_shared_by_many(self, counts: dict[str, int]) -> None:
        """Update which groups many proxies share; groups without a count stay as they are."""
        for name, proxies in counts.items():
            spec = self._specs.get(name)
            if spec is None:
                continue
            if is_shared_by_many(proxies, spec.limits.connections_per_member):
                self._shared_by_many.add(name)
            else:
                self._shared_by_many.discard(name)

    def _drop_unused(self, now: float) -> None:
        kept = set(self._always_watched())
        for name, services in list(self._running.items()):
            if name not in kept and is_unused(now, services.used_at) and not services.is_busy():
                self._running.pop(name).group.stop()
