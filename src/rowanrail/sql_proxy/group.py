"""A database group at one proxy: its members, the current primary and the fresh replicas.

Owns the members with their pools and monitors, the highest term of a primary, and the proxy's share
of connections. The rules are in ``member_selection``, ``outcomes`` and the guards.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from rowanrail.config.model import GroupSpec
from rowanrail.kernel.errors import NotRunError
from rowanrail.kernel.registry import Registry
from rowanrail.model.position import ORIGIN, Position
from rowanrail.sql_proxy.backend import BackendConnection, BackendDriver
from rowanrail.sql_proxy.connection_share import UNKNOWN_PROXY_COUNT, ConnectionShare
from rowanrail.sql_proxy.member_selection import (
    PRIMARY_POLL_SECONDS,
    current_primary,
    expected_completion_seconds,
)
from rowanrail.sql_proxy.monitor import MemberMonitor
from rowanrail.sql_proxy.outcomes import GROUP_RETRY_AFTER_SECONDS
from rowanrail.sql_proxy.policies import Freshness, LeavingCheck
from rowanrail.sql_proxy.pool import Pool, PoolLimits
from rowanrail.sql_proxy.quorum import QuorumQueries


class GroupOptions(msgspec.Struct, frozen=True):
    """Settings of the proxy that apply to all of its groups."""

    zone: str
    routes: dict[str, str]


class Member:
    """One member: its pool, monitor and state, and whether it is leaving."""

    def __init__(self, name: str, zone: str, pool: Pool, monitor: MemberMonitor) -> None:
        self.name = name
        self.zone = zone
        self.pool = pool
        self.monitor = monitor
        self.state = monitor.state
        self.drained = False
        self.listed_leaving = False

    @property
    def leaving(self) -> bool:
        """Whether an operator, the platform's machine list or the member itself says it leaves."""
        return self.drained or self.listed_leaving or self.state.is_leaving


class GroupRuntime:
    """Members of a group and their connections, while a proxy watches the group."""

    def __init__(
        self,
        spec: GroupSpec,
        options: GroupOptions,
        driver: BackendDriver,
        registry: Registry,
        randomness: random.Random,
    ) -> None:
        self.spec = spec
        self.freshness: Freshness = registry.create("proxy-guard", "freshness")
        confirmation = registry.create("proxy-guard", "term-confirmation")
        self.leaving_check: LeavingCheck = registry.create("proxy-guard", "leaving-check")
        self._options = options
        self._driver = driver
        self._status_received = asyncio.Event()
        self._highest_term = 0
        self.polled_at = float("-inf")
        self._connection_share = ConnectionShare()
        self.members: list[Member] = []
        self.members = [
            self._create_member(spec, position, registry, randomness)
            for position in range(len(spec.members))
        ]
        monitors = [member.monitor for member in self.members]
        self.quorum = QuorumQueries(spec.name, monitors, self.freshness, confirmation)

    def _create_member(
        self, spec: GroupSpec, position: int, registry: Registry, randomness: random.Random
    ) -> Member:
        member = spec.members[position]
        connection_factory = self._connection_factory(member.address)
        peer = f"{spec.name}/{member.name}"
        pool = Pool(
            peer,
            PoolLimits(
                self._connection_limit(), spec.limits.slots_per_member, spec.limits.queue_length
            ),
            connection_factory,
            registry.create("proxy-guard", "late-answer-discard"),
        )
        monitor = MemberMonitor(peer, connection_factory, random.Random(randomness.getrandbits(64)))
        monitor.on_status = self._on_status
        return Member(member.name, member.zone, pool, monitor)

    def _connection_factory(
        self, address: str
    ) -> Callable[[], "asyncio.Future[BackendConnection]"]:
        routed = self._options.routes.get(address, address)
        backend = self.spec.backend
        database = self.spec.databases[0]

        def open_connection() -> "asyncio.Future[BackendConnection]":
            return asyncio.ensure_future(
                self._driver.connect(routed, backend.user, backend.password, database)
            )

        return open_connection

    def _connection_limit(self) -> int:
        # The monitor uses one connection of the share.
        limit = self.spec.limits.connections_per_member
        now = asyncio.get_running_loop().time()
        return max(1, self._connection_share.connections(limit, now) - 1)

    def set_proxy_count(self, proxies: int) -> None:
        """Record the number of proxies that use the group, including this one; 0 if unknown."""
        self._connection_share.observe(proxies, asyncio.get_running_loop().time())
        limit = self._connection_limit()
        for member in self.members:
            if member.pool.limit != limit:
                member.pool.set_limit(limit)

    def minimize_connections(self) -> None:
        """Limit each pool to one connection; surplus ones are closed once they are idle."""
        for member in self.members:
            member.pool.set_limit(1)

    def inherit_connection_share(self, replaced: "GroupRuntime") -> None:
        """Continue with the connection share of the runtime that this one replaces."""
        self._connection_share = replaced._connection_share
        self.set_proxy_count(UNKNOWN_PROXY_COUNT)

    def start(self) -> None:
        """Start the monitors of the members."""
        for member in self.members:
            member.monitor.start()

    def stop(self) -> None:
        """Stop the monitors, abort running statements and close all connections."""
        for member in self.members:
            member.monitor.stop()
            member.pool.abort_leased()
            member.pool.close_idle()

    @property
    def outstanding(self) -> int:
        """Number of requests that run at the members or wait for a connection."""
        return sum(member.pool.outstanding for member in self.members)

    def poll_soon(self) -> None:
        """Query the status of all members soon."""
        for member in self.members:
            member.monitor.poll_soon()

    def _on_status(self) -> None:
        self._status_received.set()
        self.primary()

    # The primary

    def primary(self) -> Member | None:
        """Return the current primary, None if there is none or it is leaving."""
        terms = [member.state.term for member in self.members]
        found = current_primary(terms, [member.state.is_primary for member in self.members])
        if found is None:
            return None
        best = self.members[found]
        if terms[found] > self._highest_term:
            self._on_new_primary(best)
        if not self.leaving_check.accepts_work(best.leaving):
            return None
        return best

    def _on_new_primary(self, primary: Member) -> None:
        self._highest_term = primary.state.term
        for member in self.members:
            if member is not primary:
                # Writes that run there can no longer be confirmed: end them before their deadline.
                member.pool.abort_leased()

    async def wait_for_primary(self, deadline: float, floor: Position = ORIGIN) -> Member:
        """Return the primary, polling the members until there is one that has applied ``floor``.

        :param deadline: event loop time in seconds.
        :raises NotRunError: if there is none in time.
        """
        loop = asyncio.get_running_loop()
        while True:
            found = self.primary()
            if found is not None and self._has_applied(found, floor):
                return found
            if loop.time() >= deadline:
                raise NotRunError(
                    "the group's primary has not applied what the session has seen"
                    if found is not None
                    else "the group has no primary",
                    retry_after_seconds=GROUP_RETRY_AFTER_SECONDS,
                    step="find primary",
                    peer=self.spec.name,
                )
            self.poll_soon()
            await self._wait_for_status(min(deadline, loop.time() + PRIMARY_POLL_SECONDS))

    def fresh_primary(self, floor: Position) -> Member | None:
        """Return the primary if it has applied ``floor``, else None."""
        primary = self.primary()
        return primary if primary is not None and self._has_applied(primary, floor) else None

    def _has_applied(self, primary: Member, floor: Position) -> bool:
        """Return whether reads at a primary see everything up to ``floor``.

        Only the reported committed position counts. A primary may hold writes of an earlier term
        that it has not applied yet, and may lose a write of its own term if it is demoted before it
        learns that a majority holds the write.
        """
        return self.freshness.is_fresh(primary.state.committed, floor)

    async def _wait_for_status(self, until: float) -> None:
        self._status_received.clear()
        try:
            async with asyncio.timeout_at(until):
                await self._status_received.wait()
        except TimeoutError:
            pass  # the caller checks its own deadline

    def mark_unreachable(self, member: Member) -> None:
        """Mark ``member`` as unreachable after a lost connection, and poll all members soon."""
        member.state.mark_unreachable()
        self.poll_soon()

    # Replicas

    def fresh_replicas(self, floor: Position) -> list[Member]:
        """Return the usable replicas that have committed up to ``floor``."""
        return [
            member
            for member in self.members
            if member.state.is_replica
            and self.leaving_check.accepts_work(member.leaving)
            and self.freshness.is_fresh(member.state.committed, floor)
        ]

    def usable_replicas(self) -> list[Member]:
        """Return the replicas that are reachable and not leaving, fresh or not."""
        return [
            member
            for member in self.members
            if member.state.is_replica and self.leaving_check.accepts_work(member.leaving)
        ]

    async def wait_for_fresh_replicas(self, floor: Position, until: float) -> list[Member]:
        """Return the fresh replicas, waiting for one until ``until`` (event loop time).

        Returns an empty list if none is fresh in time or no replica is usable.
        """
        loop = asyncio.get_running_loop()
        while True:
            fresh = self.fresh_replicas(floor)
            if fresh or loop.time() >= until or not self.usable_replicas():
                return fresh
            for member in self.usable_replicas():
                member.monitor.poll_soon()
            await self._wait_for_status(until)

    def cost(self, member: Member) -> float:
        """Return the expected completion time of a statement at ``member``, in seconds."""
        pool = member.pool
        return expected_completion_seconds(
            pool.latency_seconds, pool.outstanding, pool.limit, pool.slots
        )
