"""A service at this gateway: its members' pools, its primary and the choice of a member for a read.

Combines the pools, the primary's tracker, the estimates about members and this gateway's share of
their connections. The rules are :func:`rowanrail.scheduling.choice.choose_member` (which member
serves a read), :class:`.service_share.ServiceShare` (how many connections may be opened) and those
of the pools and of the primary.
"""

import random
from collections.abc import Mapping
from dataclasses import replace
from functools import partial
from types import MappingProxyType

from rowanrail.gateway.policies import GatewayPolicies
from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.pool_lease import PoolLease
from rowanrail.gateway.services.leaving_members import LeavingMembers
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.services.member_estimates import MemberEstimates, ReadRequirements
from rowanrail.gateway.services.member_probes import MemberProbes
from rowanrail.gateway.services.pending_commits import PendingCommits
from rowanrail.gateway.services.service_share import ServiceShare
from rowanrail.gateway.services.warm_up_limits import WarmUpContext, WarmUpLimits
from rowanrail.kernel.clock import Clock, Scheduler
from rowanrail.members.channel import MemberDriver
from rowanrail.members.departures import Departures
from rowanrail.members.eligibility import Eligibility, Exclusion
from rowanrail.members.monitor_interval import monitor_seconds
from rowanrail.members.primary import PrimaryTracker
from rowanrail.model.data_regions import DataRegions
from rowanrail.model.members import MemberRecord, is_same_life
from rowanrail.model.routing import Route, ServiceSpec
from rowanrail.placement.hashed import FleetSize, Shard
from rowanrail.placement.planned import Allowance
from rowanrail.scheduling.choice import choose_member
from rowanrail.scheduling.member_weight import FailureKind
from rowanrail.scheduling.queue import tenant_weight
from rowanrail.scheduling.retrying import RetryTimes
from rowanrail.tenants.model import Tenant, Tenants

IN_USE_SECONDS = 10.0  # time after the last statement for which the primary is monitored
_NO_REQUIREMENTS = ReadRequirements()


class Service:
    """Members of one service and how this gateway uses them.

    Parameters
    ----------
    spec : ServiceSpec
        Configuration of the service.
    locality : Locality
        Location of the gateway.
    driver : MemberDriver
        Opens connections.
    scheduler : Scheduler
        Monotonic clock and timers in seconds.
    policies : GatewayPolicies
        Provides the check that a member is primary.
    warm_up_context : WarmUpContext or None
        What the limits on statements to warming members need of the gateway.
    """

    def __init__(
        self,
        spec: ServiceSpec,
        locality: Locality,
        driver: MemberDriver,
        scheduler: Scheduler,
        policies: GatewayPolicies,
        warm_up_context: WarmUpContext | None = None,
    ) -> None:
        self.spec = spec
        self.share = ServiceShare(spec.connections)
        self.policies = policies
        self.primary = PrimaryTracker(spec.name, driver, scheduler, policies.leadership_proof)
        self.primary.on_proof = self._note_proof
        self.pending_commits = PendingCommits()
        self.primary.on_not_primary = self.pending_commits.end_at
        self.primary.is_closed = self.is_closed
        self.primary.set_lease_provider(self)
        self.pools: dict[str, MemberPool] = {}
        clock = Clock(scheduler)
        self.estimates = MemberEstimates(locality, self.primary, clock)
        self._probes = MemberProbes(
            self.estimates.weights, driver, clock, partial(self.take_places, commands=1)
        )
        self.used_at = -IN_USE_SECONDS
        self._had_connections = False
        self.retry_times = RetryTimes(clock)
        # Seeded by zone, so that zones choose differently and simulations are reproducible.
        self._randomness = random.Random(f"{locality.zone}/{spec.name}")  # noqa: S311 - no secret
        self._eligibility = Eligibility(locality.regions)
        self._has_exclusions = spec.limits_warm_up  # apart from those by regions
        context = warm_up_context or WarmUpContext()
        self.warm_up = WarmUpLimits(spec, clock, context, self.is_own_group)
        self.primary.set_sample_limit(self)
        self._locality = locality
        self._driver = driver
        self._clock = clock
        self._scheduler = scheduler
        self._tenants = Tenants()
        self.data_regions: DataRegions | None = None
        self.leaving = LeavingMembers()

    def set_members(self, records: list[MemberRecord]) -> None:
        """Replace the members; close the pools of those that left or changed their address.

        Everything known of a member's earlier life is discarded.
        """
        by_instance = {record.instance: record for record in records}
        ended = []
        for instance in list(self.pools):
            before, known = self.pools[instance].record, by_instance.get(instance)
            if known is not None and not is_same_life(before, known):
                ended.append(self.pools.pop(instance))
            elif known is None or known.address != before.address:
                self.pools.pop(instance).close()
        for record in records:
            pool = self.pools.get(record.instance)
            if pool is None:
                limit = self.share.limit(self._is_near(record))
                holders = self.share.holders(self._is_near(record))
                pool = MemberPool(record, limit, self._driver, self._clock, holders)
                pool.on_failure = partial(self._note_failure, record.instance)
                self.pools[record.instance] = pool
            else:
                pool.record = record
                holders = self.share.holders(self._is_near(record))
                pool.concurrency.set_sharing(record.slots, holders)
        self._update_leaving()
        self.estimates.set_members(records)
        if self.spec.limits_warm_up:
            self.warm_up.set_members(records)
        self.primary.set_members(records)
        for pool in ended:  # last, as its statements continue at other members at once
            pool.end()

    def _note_failure(self, instance: str, kind: FailureKind) -> None:
        self.estimates.weights.note_failure(instance, kind)
        if kind is FailureKind.REFUSED and self.spec.limits_warm_up:
            self.warm_up.note_unreachable(instance)

    def set_spec(self, spec: ServiceSpec) -> None:
        """Apply a changed configuration of the service."""
        is_new_limit = spec.limits_warm_up and not self.spec.limits_warm_up
        self.spec = spec
        self._update_has_exclusions()
        self.warm_up.set_spec(spec)
        if is_new_limit:
            self.warm_up.set_members([pool.record for pool in self.pools.values()])
        self.share = replace(self.share, connections=spec.connections)
        self._apply_limit()

    def set_evacuated(
        self, zones: frozenset[str], closing_at: Mapping[str, float] = MappingProxyType({})
    ) -> None:
        """Set the zones whose members get no statements.

        Parameters
        ----------
        closing_at : mapping of str to float
            Monotonic seconds until which the primary and open transactions continue in a zone; a
            missing zone is closed at once.
        """
        self._eligibility = replace(self._eligibility, evacuated=zones, closing_at=closing_at)
        self._update_has_exclusions()
        self._leave_excluded()

    def _update_has_exclusions(self) -> None:
        rule = self._eligibility
        self._has_exclusions = bool(rule.evacuated or rule.used_until) or self.spec.limits_warm_up

    def is_closed(self, record: MemberRecord) -> bool:
        """Return whether nothing at all may be sent to a member, as its zone is evacuated."""
        if not self._eligibility.evacuated:
            return False
        return self._eligibility.is_closed(record.zone, self._scheduler.time())

    def set_departures(self, departures: Departures, use_seconds: float) -> None:
        """Set which members leave, and for how long those are used that are needed."""
        self.leaving.set_departures(departures, use_seconds)
        self._update_leaving()

    def _update_leaving(self) -> None:
        """Apply until when the leaving ones of the service's members are used."""
        used_until = self.leaving.used_until(self.pools)
        if used_until != self._eligibility.used_until:
            self._eligibility = replace(self._eligibility, used_until=used_until)
            self._update_has_exclusions()

    def set_data_regions(self, data_regions: DataRegions | None) -> None:
        """Set the configuration's restrictions to regions, None if it has none."""
        self.data_regions = data_regions

    def regions_of(self, route: Route, tenant: str) -> frozenset[str] | None:
        """Return the regions in which a tenant's statement may run now, None for any."""
        if self.data_regions is None:
            return route.regions
        return self.data_regions.effective(route, tenant)

    def set_ended_evacuations(self, ended: Mapping[str, int]) -> None:
        """Set the zones whose members warm up after an evacuation, by the Unix time of its end."""
        self.warm_up.set_ended_evacuations(ended)

    def exclusion(
        self,
        record: MemberRecord,
        regions: frozenset[str] | None = None,
        *,
        in_transaction: bool = False,
        commands: int = 1,
    ) -> Exclusion | None:
        """Return why a member may not be sent a statement, None if it may.

        Parameters
        ----------
        regions : frozenset of str or None
            Regions in which the statement may run; None for any.
        in_transaction : bool
            Whether the statement belongs to a transaction that is open at the member. Like the
            primary, the member is then used until its zone is closed, and as long as it leaves.
        commands : int
            Number of commands that are sent for it.
        """
        if regions is None and not self._has_exclusions:
            return None  # most deployments, for each statement and member
        is_needed = in_transaction or record.instance == self.primary.presumed_primary
        needed_at = self._scheduler.time() if is_needed else None
        exclusion = self._eligibility.exclusion(
            record, regions, needed_at=needed_at, in_transaction=in_transaction
        )
        if exclusion is not None or not self.spec.limits_warm_up:
            return exclusion
        return None if self.warm_up.has_place(record, commands) else Exclusion.WARMING_UP

    def _leave_excluded(self) -> None:
        """Let queued statements leave evacuated zones and leaving members that may not run them.

        What is left in closed zones is closed.
        """
        if not (self._eligibility.evacuated or self._eligibility.used_until):
            return
        for pool in self.pools.values():
            reason = f"zone {pool.record.zone} is evacuated"
            if self.is_closed(pool.record):
                pool.evacuate(reason)
                continue
            match self.exclusion(pool.record):
                case Exclusion.EVACUATED:
                    pool.refuse_queued(reason)
                case Exclusion.LEAVING:
                    pool.refuse_queued("the member is leaving")

    def exclusion_of_all(
        self, regions: frozenset[str] | None = None, commands: int = 1
    ) -> Exclusion | None:
        """Return why no member may be sent a statement; None if one may, or if none is known.

        Members outside the regions give the reason only if there is none inside. One that warms up
        counts before others, since it is the first that can be used.
        """
        if regions is None and not self._has_exclusions:
            return None
        exclusion = None
        for pool in self.pools.values():
            found = self.exclusion(pool.record, regions, commands=commands)
            if found is None:
                return None
            is_preferred = exclusion in (None, Exclusion.OUTSIDE_REGIONS)
            if is_preferred or found is Exclusion.WARMING_UP:
                exclusion = found
        return exclusion

    # Members that warm up

    def warming_pool(
        self, regions: frozenset[str] | None = None, commands: int = 1
    ) -> MemberPool | None:
        """Return the pool of the member whose warm-up limit first lets a statement be sent.

        None if no member is excluded only by that.
        """
        limited = [
            pool
            for pool in self.pools.values()
            if self.exclusion(pool.record, regions, commands=commands) is Exclusion.WARMING_UP
        ]
        return min(limited, key=lambda p: self.warm_up.delay_ms(p.record, commands), default=None)

    def is_warming(self, record: MemberRecord) -> bool:
        """Return whether a member has a limit because it warms up."""
        return self.spec.limits_warm_up and self.warm_up.is_warming(record)

    def take_places(self, record: MemberRecord, commands: int, continues: bool = False) -> bool:
        """Count commands that are about to be sent to a member, or return False if they may not be.

        Only a member that warms up has a limit.

        Parameters
        ----------
        continues : bool
            Whether they belong to an open transaction.
        """
        return not self.spec.limits_warm_up or self.warm_up.take(record, commands, continues)

    def may_sample(self, record: MemberRecord) -> bool:
        """Return whether a member may be sampled now."""
        return not self.spec.limits_warm_up or self.warm_up.may_sample(record)

    def take_sample(self, record: MemberRecord) -> bool:
        """Count a sample that is about to be sent, or return False if it may not be."""
        return not self.spec.limits_warm_up or self.warm_up.take_sample(record)

    def needs_reported_samples(self, record: MemberRecord) -> bool:
        """Return whether only other gateways may sample a member."""
        return self.spec.limits_warm_up and self.warm_up.needs_reported_samples(record)

    def is_own_group(self, record: MemberRecord) -> bool:
        """Return whether gateways of the own group may send to a member while it warms up."""
        if self.share.fleet_size.is_regional:
            return self._is_near(record)
        return record.zone == self._locality.zone

    def set_fleet_size(self, fleet_size: FleetSize) -> None:
        """Set how many gateways share the members' connections."""
        self.share = replace(self.share, fleet_size=fleet_size)
        self.primary.monitor_seconds = monitor_seconds(self.share.samplers)
        self._apply_limit()

    def _is_near(self, record: MemberRecord) -> bool:
        return self._locality.is_near(record.zone)

    def set_tenants(self, tenants: Tenants) -> None:
        """Set the configured tenants."""
        self._tenants = tenants

    def weight(self, tenant: str) -> float:
        """Return the fair-share weight of a tenant among statements of equal urgency."""
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
        """Whether a statement arrived within the last ``IN_USE_SECONDS``."""
        return self._scheduler.time() - self.used_at < IN_USE_SECONDS

    @property
    def needs_tick(self) -> bool:
        """Whether the service is in use, held connections at the last tick, or tracks its primary.

        Connections are opened only while the service is in use, so the state of the last tick is
        sufficient.
        """
        return self._had_connections or self.primary.is_active or self.in_use

    def is_remote(self, pool: MemberPool | None) -> bool:
        """Return whether gateways of another region hold the connections to a member."""
        if pool is None or not self.share.is_regional:
            return False
        return not self._is_near(pool.record)

    @property
    def has_connections(self) -> bool:
        """Whether any connection to a member is open or being opened.

        Lets callers skip the services without one, which are most services at most gateways.
        Looking for the shards of all services in every tick took three times the CPU time of all
        other work, with 25 services.
        """
        return any(pool.connections.count for pool in self.pools.values())

    def primary_pool(self) -> MemberPool | None:
        """Return the pool of the presumed primary, None if it is unknown."""
        return self.pools.get(self.primary.presumed_primary)

    def choose_member(
        self, excluded: set[str], requirements: ReadRequirements = _NO_REQUIREMENTS
    ) -> MemberPool | None:
        """Return the pool of the best member for a read, None if there is no candidate."""
        regions = requirements.regions
        is_restricted = regions is not None or self._has_exclusions
        pools = {
            instance: pool
            for instance, pool in self.pools.items()
            if instance not in excluded
            and not pool.record.leaving
            and not (is_restricted and self.exclusion(pool.record, regions))
        }
        best = choose_member(self.estimates.candidates(pools, requirements), self._randomness)
        return None if best is None else pools[best]

    def can_lease(self, instance: str) -> bool:
        """Return whether the pool of a member can lease a connection at once."""
        pool = self.pools.get(instance)
        return pool is not None and pool.can_lease

    def lease(self, instance: str) -> PoolLease | None:
        """Return a lease from the pool of a member, None if the member is not known."""
        pool = self.pools.get(instance)
        return None if pool is None else PoolLease(pool)

    def _note_proof(self, instance: str) -> None:
        pool = self.pools.get(instance)
        if pool is not None:
            pool.note_reachable()
        weights = self.estimates.weights
        if weights.claim_probe(instance, self.share.samplers):
            weights.note_probe_success(instance)
        self.pending_commits.end_elsewhere(instance)

    def set_shards(self, shards: frozenset[Shard]) -> None:
        """Set the shards of the service whose statements are routed to this gateway."""
        if shards != self.share.shards:
            self.share = replace(self.share, shards=shards)
            self._apply_limit()

    def set_allowance(self, allowance: Allowance | None) -> None:
        """Set the connections that the plan allows; None if it does not include the service."""
        if allowance != self.share.allowance:
            self.share = replace(self.share, allowance=allowance)
            self._apply_limit()

    def _is_routed_here(self, tenant: str) -> bool:
        return self.share.keeps_idle(self.spec.name, tenant)

    def tick(self) -> None:
        """Run the periodic work: monitoring, probes and pool maintenance."""
        self.primary.tick(self.in_use)
        self._leave_excluded()
        if self.in_use:
            self._probes.tick(
                self._pools_to_probe(), self.primary.presumed_primary, self.share.samplers
            )
        if self.spec.limits_warm_up:
            self.warm_up.tick([pool.record for pool in self.pools.values()])
        for pool in self.pools.values():
            pool.trim(self._is_routed_here)
        self._had_connections = self.has_connections

    def _pools_to_probe(self) -> Mapping[str, MemberPool]:
        """Return the pools of members that may be sent a probe now."""
        evacuated, limits_warm_up = self._eligibility.evacuated, self.spec.limits_warm_up
        if not evacuated and not limits_warm_up:
            return self.pools
        return {
            instance: pool
            for instance, pool in self.pools.items()
            if pool.record.zone not in evacuated
            and (not limits_warm_up or self.warm_up.has_place(pool.record))
        }

    def close(self) -> None:
        """Close all connections that are not leased."""
        self.primary.close()
        for pool in self.pools.values():
            pool.close()
