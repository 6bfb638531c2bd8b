"""A database group as one proxy sees it: its members, the primary among them, fresh replicas.

For whatever runs statements of the group. Owns the members with their pools and monitors, the
highest term in which a primary was seen, and the share of connections; relies on the rules in
``member_selection`` and ``outcomes`` and on the guards.
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
    """What a proxy adds to a group's configuration."""

    zone: str
    routes: dict[str, str]


class Member:
    """One member: its pool, its monitor, what it last said and whether it is leaving."""

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
        """Whether the member is leaving: by an operator, by the list, or by its own report."""
        return self.drained or self.listed_leaving or self.state.is_leaving


class GroupRuntime:
    """Members of a group, and the primary among them."""

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
        # One connection of the share is the monitor's.
        limit = self.spec.limits.connections_per_member
        now = asyncio.get_running_loop().time()
        return max(1, self._connection_share.connections(limit, now) - 1)

    def set_proxy_count(self, proxies: int) -> None:
        """Note how many proxies use the group, this one included; 0 if that is not known."""
        self._connection_share.observe(proxies, asyncio.get_running_loop().time())
        share = self._connection_limit()
        for member in self.members:
            if member.pool.limit != share:
                member.pool.set_limit(share)

    def minimize_connections(self) -> None:
        """Keep no more connections than what runs needs."""
        for member in self.members:
            member.pool.set_limit(1)

    def inherit_connection_share(self, older: "GroupRuntime") -> None:
        """Go on with the share of the runtime that this one takes the place of."""
        self._connection_share = older._connection_share
        self.set_proxy_count(UNKNOWN_PROXY_COUNT)

    def start(self) -> None:
        """Begin to watch the members."""
        for member in self.members:
            member.monitor.start()

    def stop(self) -> None:
        """Close everything."""
        for member in self.members:
            member.monitor.stop()
            member.pool.abort_leased()
            member.pool.close_idle()

    @property
    def outstanding(self) -> int:
        """Number of requests that run at the members or wait for them."""
        return sum(member.pool.outstanding for member in self.members)

    def poll_soon(self) -> None:
        """Ask all members for their status soon."""
        for member in self.members:
            member.monitor.poll_soon()

    def _on_status(self) -> None:
        self._status_received.set()
        self.primary()

    # The primary

    def primary(self) -> Member | None:
        """Return the member that claims to be primary in the highest term seen, if any."""
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
                # What runs there can't be confirmed any more: end it now, not at its deadline.
                member.pool.abort_leased()

    async def wait_for_primary(self, deadline: float, floor: Position = ORIGIN) -> Member:
        """Return the primary, searching for one until ``deadline`` (loop time).

        :param floor: what it must have applied, see :meth:`_has_applied`.
        :raises NotRunError: if none is found in time.
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
        """Return the primary if reads there see all up to ``floor``."""
        primary = self.primary()
        return primary if primary is not None and self._has_applied(primary, floor) else None

    def _has_applied(self, primary: Member, floor: Position) -> bool:
        """Return whether reads at a primary see all up to ``floor``.

        Only what it reports counts. It may hold a write of an earlier term and not have applied
        it yet; and a write of its own term may be undone at it, if it is demoted before it
        learns that a majority holds the write.
        """
        return self.freshness.is_fresh(primary.state.committed, floor)

    async def _wait_for_status(self, until: float) -> None:
        self._status_received.clear()
        try:
            async with asyncio.timeout_at(until):
                await self._status_received.wait()
        except TimeoutError:
            pass  # the caller looks at its deadline

    def mark_unreachable(self, member: Member) -> None:
        """Note that a connection to ``member`` broke: ask it again before it gets more work."""
        member.state.mark_unreachable()
        self.poll_soon()

    # Replicas

    def fresh_replicas(self, floor: Position) -> list[Member]:
        """Return the replicas that may serve a read that must see ``floor``."""
        return [
            member
            for member in self.members
            if member.state.is_replica
            and self.leaving_check.accepts_work(member.leaving)
            and self.freshness.is_fresh(member.state.committed, floor)
        ]

    def usable_replicas(self) -> list[Member]:
        """Return the replicas that answer and are not leaving, fresh or not."""
        return [
            member
            for member in self.members
            if member.state.is_replica and self.leaving_check.accepts_work(member.leaving)
        ]

    async def wait_for_fresh_replicas(self, floor: Position, until: float) -> list[Member]:
        """Wait until a replica is fresh, at most until ``until`` (loop time)."""
        loop = asyncio.get_running_loop()
        while True:
            fresh = self.fresh_replicas(floor)
            if fresh or loop.time() >= until or not self.usable_replicas():
                return fresh
            for member in self.usable_replicas():
                member.monitor.poll_soon()
            await self._wait_for_status(until)

    def cost(self, member: Member) -> float:
        """Return the expected seconds for a statement at ``member``."""
        pool = member.pool
        return expected_completion_seconds(
            pool.latency_seconds, pool.outstanding, pool.limit, pool.slots
        )
