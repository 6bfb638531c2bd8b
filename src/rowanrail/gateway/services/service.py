"""One service: its members' pools, its primary, and the choice of a member for a read.

Owns the pools, the primary's tracker, what is known of the members and the share of their
connections that belongs to this gateway; brings them together and lets time pass. The rules are
:func:`rowanrail.scheduling.choice.choose` (which member serves a read),
:class:`.service_share.ServiceShare` (how many connections may be opened) and those of the
pools and of the primary.
"""

import random
from dataclasses import replace
from functools import partial

from rowanrail.gateway.policies import GatewayPolicies
from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.pool_lease import PoolLease
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.services.member_estimates import MemberEstimates, ReadRequirements
from rowanrail.gateway.services.member_probes import MemberProbes
from rowanrail.gateway.services.service_share import ServiceShare
from rowanrail.kernel.clock import Clock, Scheduler
from rowanrail.members.channel import MemberDriver
from rowanrail.members.monitor_interval import monitor_seconds
from rowanrail.members.primary import PrimaryTracker
from rowanrail.model.members import MemberRecord
from rowanrail.model.routing import ServiceSpec
from rowanrail.placement.hashed import Population, Shard
from rowanrail.placement.planned import Allowance
from rowanrail.scheduling.choice import choose
from rowanrail.scheduling.queue import tenant_weight
from rowanrail.scheduling.retrying import RetryTimes
from rowanrail.tenants.model import Tenant, Tenants

IN_USE_SECONDS = 10.0  # without a statement for so long a primary need not be watched; chosen
_NO_REQUIREMENTS = ReadRequirements()


class Service:
    """Members of one service as this proxy uses them."""

    def __init__(
        self,
        spec: ServiceSpec,
        locality: Locality,
        driver: MemberDriver,
        scheduler: Scheduler,
        policies: GatewayPolicies,
    ) -> None:
        self.spec = spec
        self.share = ServiceShare(spec.connections)
        self.policies = policies
        self.primary = PrimaryTracker(spec.name, driver, scheduler, policies.leadership_proof)
        self.primary.on_proof = self._note_proof
        self.primary.set_lease_provider(self)
        self.pools: dict[str, MemberPool] = {}
        clock = Clock(scheduler)
        self.estimates = MemberEstimates(locality, self.primary, clock)
        self._probes = MemberProbes(self.estimates.weights, driver, clock)
        self.used_at = -IN_USE_SECONDS
        self._held_connections = False
        self.retry_times = RetryTimes(clock)
        # Holders of the zones draw differently, and a simulation can be played again.
        self._randomness = random.Random(f"{locality.zone}/{spec.name}")  # noqa: S311 - no secret
        self._locality = locality
        self._driver = driver
        self._clock = clock
        self._scheduler = scheduler
        self._tenants = Tenants()

    def set_members(self, records: list[MemberRecord]) -> None:
        """Know the members that announced themselves; those that left are closed."""
        by_instance = {record.instance: record for record in records}
        for instance in list(self.pools):
            known = by_instance.get(instance)
            if known is None or known.address != self.pools[instance].record.address:
                self.pools.pop(instance).close()
        for record in records:
            pool = self.pools.get(record.instance)
            if pool is None:
                limit = self.share.limit(self._is_near(record))
                holders = self.share.holders(self._is_near(record))
                pool = MemberPool(record, limit, self._driver, self._clock, holders)
                pool.on_trouble = partial(self.estimates.weights.note_trouble, record.instance)
                self.pools[record.instance] = pool
            else:
                pool.record = record
                holders = self.share.holders(self._is_near(record))
                pool.concurrency.set_sharing(record.slots, holders)
        self.estimates.set_members(records)
        self.primary.set_members(records)

    def set_spec(self, spec: ServiceSpec) -> None:
        """Take a changed configuration of the service."""
        self.spec = spec
        self.share = replace(self.share, connections=spec.connections)
        self._apply_limit()

    def set_population(self, population: Population) -> None:
        """Note how many gateways share the members' connections."""
        self.share = replace(self.share, population=population)
        self.primary.monitor_seconds = monitor_seconds(self.share.samplers)
        self._apply_limit()

    def _is_near(self, record: MemberRecord) -> bool:
        return self._locality.is_near(record.zone)

    def set_tenants(self, tenants: Tenants) -> None:
        """Know whose statements come."""
        self._tenants = tenants

    def weight(self, tenant: str) -> float:
        """Return the share of a tenant among those whose statements are as urgent."""
        return tenant_weight(self._tenants.by_name.get(tenant, Tenant(tenant)).priority)

    def _apply_limit(self) -> None:
        for pool in self.pools.values():
            is_near = self._is_near(pool.record)
            pool.concurrency.set_sharing(pool.record.slots, self.share.holders(is_near))
            limit = self.share.limit(is_near)
            if pool.connections.limit != limit:
                pool.set_limit(limit)

    @property
    def in_use(self) -> bool:
        """Whether statements came a short while ago."""
        return self._scheduler.time() - self.used_at < IN_USE_SECONDS

    @property
    def needs_tick(self) -> bool:
        """Whether time matters to it: it is used, holds connections, or its primary is looked for.

        Connections are opened only while it is used; that they are there is known from the last
        tick.
        """
        return self._held_connections or self.primary.is_active or self.in_use

    def is_remote(self, pool: MemberPool | None) -> bool:
        """Return whether gateways of another region hold the connections to a member."""
        if pool is None or not self.share.is_regional:
            return False
        return not self._is_near(pool.record)

    @property
    def has_connections(self) -> bool:
        """Whether any connection to a member is open or being opened.

        Most gateways hold none of most services; looking for their shards 20 times a second took
        three times the processor time of all else at 25 services (a day of 100 machines).
        """
        return any(pool.connections.count for pool in self.pools.values())

    def primary_pool(self) -> MemberPool | None:
        """Return the pool of the member believed to lead."""
        return self.pools.get(self.primary.presumed_primary)

    def choose_member(
        self, excluded: set[str], wanted: ReadRequirements = _NO_REQUIREMENTS
    ) -> MemberPool | None:
        """Return the member for a read that any member with a fresh log may serve."""
        pools = {
            instance: pool
            for instance, pool in self.pools.items()
            if instance not in excluded and not pool.record.leaving
        }
        best = choose(self.estimates.candidates(pools, wanted), self._randomness)
        return None if best is None else pools[best]

    def can_lease(self, instance: str) -> bool:
        """See :meth:`rowanrail.members.sampling_connection.LeaseProvider.can_lease`."""
        pool = self.pools.get(instance)
        return pool is not None and pool.can_lease

    def lease(self, instance: str) -> PoolLease | None:
        """See :meth:`rowanrail.members.sampling_connection.LeaseProvider.lease`."""
        pool = self.pools.get(instance)
        return None if pool is None else PoolLease(pool)

    def _note_proof(self, instance: str) -> None:
        pool = self.pools.get(instance)
        if pool is not None:
            pool.note_reachable()
        weights = self.estimates.weights
        if weights.claim_probe(instance, self.share.samplers):
            weights.note_probe_success(instance)

    def set_shards(self, shards: frozenset[Shard]) -> None:
        """Note for which shards of the service statements come to this gateway."""
        if shards != self.share.shards:
            self.share = replace(self.share, shards=shards)
            self._apply_limit()

    def set_allowance(self, allowance: Allowance | None) -> None:
        """Note what the plan lets this gateway open; None if it does not name the service."""
        if allowance != self.share.allowance:
            self.share = replace(self.share, allowance=allowance)
            self._apply_limit()

    def _is_kept(self, tenant: str) -> bool:
        return self.share.keeps_idle(self.spec.name, tenant)

    def tick(self) -> None:
        """Let time pass."""
        self.primary.tick(self.in_use)
        if self.in_use:
            self._probes.tick(self.pools, self.primary.presumed_primary, self.share.samplers)
        for pool in self.pools.values():
            pool.trim(self._is_kept)
        self._held_connections = self.has_connections

    def close(self) -> None:
        """Close everything that is not leased."""
        self.primary.close()
        for pool in self.pools.values():
            pool.close()
