"""Routing of statements: to own connections, to a holder, or on a detour.

Five rules, in this order:

1. If the gateways of a zone or region share a service's connections, a client's statement runs at
   the holder of its shard (:meth:`WorkRouter.work_for`), which applies the other rules.
2. A statement that arrived on a detour runs on own connections or not at all, so that there are no
   forwarding loops. It is not run if its sender may have better connections
   (:func:`detour_may_run`).
3. A statement for a member of another region runs at the holder there, if that is reachable.
4. While this gateway can't reach a primary, statements for it run at a gateway that reaches it, if
   one is known.
5. A statement for a member that warms up runs at a gateway that may send to it.

A statement that is bound to regions is only sent to gateways in one of them
(:class:`PeerRegions`). If the own group is outside, rule 1 does not apply to it, and rule 3 applies
also where the gateways of a zone share connections.

Rules 1 and 2 are applied when a statement arrives. The others are passed as callbacks to the work
on own connections, which calls them when it has chosen a member, or found none.

Owns no state. Relies on :mod:`neighbours` and :mod:`detours` for reachable gateways, on ``work``
for statements on own connections and on :mod:`forwarding` for those at other gateways.
"""

import functools
from collections.abc import Callable

from rowanrail.gateway.policies import LinkOutcome
from rowanrail.gateway.relay.detours import OWN_GROUP
from rowanrail.gateway.relay.forwarding import ForwardedWork, HolderLocator
from rowanrail.gateway.relay.holder_choice import (
    HeldLocally,
    HeldRemotely,
    HolderLocation,
)
from rowanrail.gateway.relay.peer_regions import GroupDetours, PeerRegions
from rowanrail.gateway.relay.peers import Peers
from rowanrail.gateway.relay.remote_admission import RemoteAdmission
from rowanrail.gateway.relay.remote_holder_locator import RemoteHolderLocator
from rowanrail.gateway.relay.sender_locator import SenderLocator
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import PreparedStatementNames
from rowanrail.gateway.work.local import LocalExecutor
from rowanrail.gateway.work.ports import OtherGateways, StatementExecutor
from rowanrail.kernel.clock import Clock, Scheduler
from rowanrail.model.position import Position
from rowanrail.placement.hashed import Shard, shards_of

__all__ = ["WorkRouter", "detour_may_run"]


def detour_may_run(is_regional: bool, primary_fails: bool) -> bool:
    """Return whether a statement that arrived on a detour may run on own connections.

    If regions share connections, every region opens a few to each member, so that the sender may
    reach a primary that this gateway does not. Otherwise only this gateway of its zone has
    connections, which may reach the primary again in time.

    Parameters
    ----------
    is_regional : bool
        Whether the gateways of a region share the service's connections.
    primary_fails : bool
        Whether this gateway currently gets no answer from the service's primary.

    Examples
    --------
    >>> detour_may_run(is_regional=True, primary_fails=True), detour_may_run(False, True)
    (False, True)
    """
    return not (is_regional and primary_fails)


class WorkRouter:
    """Chooses between a gateway's own connections and those of other gateways.

    Parameters
    ----------
    locality : Locality
        The gateway's zone and region.
    names : PreparedStatementNames
        Names under which it prepares statements at members.
    scheduler : Scheduler
        Time and timers, in seconds, for work on own connections.
    link_outcome : LinkOutcome
        Policy for the answer when a link is lost.
    remote_admission : RemoteAdmission
        Rejects statements that other holders would reject.
    peers : Peers
        Gateways that share connections with this one, and those of other zones or regions.
    version : callable
        Returns the version of the configuration in force.
    """

    def __init__(
        self,
        locality: Locality,
        names: PreparedStatementNames,
        scheduler: Scheduler,
        link_outcome: LinkOutcome,
        remote_admission: RemoteAdmission,
        peers: Peers,
        version: Callable[[], int],
    ) -> None:
        self._locality = locality
        self._names = names
        self._scheduler = scheduler
        self._link_outcome = link_outcome
        self._remote_admission = remote_admission
        self._neighbours = peers.neighbours
        self._detours = peers.detours
        self._peer_regions = PeerRegions(locality, peers.neighbours, peers.detours)
        self._version = version

    def work_for(
        self,
        service: Service,
        tenant: str,
        local: LocalExecutor,
        regions: frozenset[str] | None = None,
    ) -> StatementExecutor:
        """Return the work for a tenant's statements: on own connections, or at a holder.

        Parameters
        ----------
        regions : frozenset of str or None
            Regions in which the statements may run; None for any.
        """
        if self._neighbours is None or not service.share.is_shared:
            return local
        if not self._peer_regions.includes_own_group(regions):
            return local
        shard = Shard.of(service.spec.name, tenant)
        if isinstance(self._neighbours.locate_holder(shard), HeldLocally):
            return local
        return self._forwarded(self._neighbours, service, local)

    def local_work(self, service: Service, is_detour: bool = False) -> LocalExecutor | None:
        """Return work on own connections; None if the sender of a detour has to run it itself.

        Work that arrived on a detour is not forwarded.
        """
        primary_fails = bool(service.primary.failing_since)
        if is_detour and not detour_may_run(service.share.is_regional, primary_fails):
            return None
        if is_detour or self._detours is None:
            return LocalExecutor(service, self._names, self._scheduler)
        return LocalExecutor(
            service,
            self._names,
            self._scheduler,
            OtherGateways(
                functools.partial(self._find_detour, service),
                functools.partial(self._find_remote_holder, service),
                functools.partial(self._find_sender, service),
            ),
        )

    def _find_remote_holder(
        self, service: Service, tenant: str, instance: str, regions: frozenset[str] | None
    ) -> ForwardedWork | None:
        """Return work at the holder in a member's region.

        An empty ``instance`` means the primary. None if the member is in this region, or if no
        holder there is reachable.
        """
        pool = service.pools.get(instance) if instance else service.primary_pool()
        if self._detours is None or pool is None:
            return None
        if service.is_remote(pool):
            group = self._locality.region_of(pool.record.zone)
        elif service.share.is_shared and not self._peer_regions.includes_own_group(regions):
            group = pool.record.zone
        else:
            return None
        if service.is_warming(pool.record):
            return self._find_sender(service, tenant, pool.record.instance)
        shard = Shard.of(service.spec.name, tenant)
        if not isinstance(self._detours.holder_in(group, shard), HeldRemotely):
            return None
        return self._forwarded(RemoteHolderLocator(self._detours, group), service, is_detour=True)

    def _find_sender(self, service: Service, tenant: str, instance: str) -> ForwardedWork | None:
        """Return work at a gateway that may send to a warming member.

        None if this gateway is one, or if none is reachable.
        """
        pool = service.pools.get(instance)
        if pool is None or self._detours is None or self._neighbours is None:
            return None
        find: Callable[[Shard], HolderLocation]
        if not service.is_own_group(pool.record):
            find = functools.partial(self._locate_sender_in, service, pool.record.zone)
            note_answer = self._detours.note_answer
        elif self._neighbours.name not in service.warm_up.senders:
            find = functools.partial(self._neighbours.first_of, service.warm_up.senders)
            note_answer = self._neighbours.note_answer
        else:
            return None
        if not isinstance(find(Shard.of(service.spec.name, tenant)), HeldRemotely):
            return None
        return self._forwarded(SenderLocator(find, note_answer), service, is_detour=True)

    def _locate_sender_in(self, service: Service, zone: str, shard: Shard) -> HolderLocation:
        """Return a holder in another zone or region, which may send to the members there."""
        assert self._detours is not None
        is_regional = service.share.fleet_size.is_regional
        group = self._locality.region_of(zone) if is_regional else zone
        shards = [shard] if shard.number is not None else []
        shards += shards_of(service.spec.name) if is_regional else [Shard(service.spec.name)]
        return self._detours.first_sender_in(group, shards)

    def _find_detour(
        self, service: Service, regions: frozenset[str] | None
    ) -> ForwardedWork | None:
        """Return work at a gateway that reaches a service's primary, None if none is known."""
        detours, name = self._detours, service.spec.name
        if detours is None:
            return None
        if regions is None:
            is_known = detours.knows_detour(name)
            return self._forwarded(detours, service, is_detour=True) if is_known else None
        groups = self._peer_regions.other_groups(regions)
        if self._peer_regions.includes_own_group(regions):
            groups.append(OWN_GROUP)
        if not isinstance(detours.locate_in(groups, name), HeldRemotely):
            return None
        return self._forwarded(GroupDetours(detours, groups), service, is_detour=True)

    def _forwarded(
        self,
        placement: HolderLocator,
        service: Service,
        local: LocalExecutor | None = None,
        is_detour: bool = False,
    ) -> ForwardedWork:
        if local is None:
            local = LocalExecutor(service, self._names, self._scheduler)
        return ForwardedWork(
            placement,
            local,
            Clock(self._scheduler),
            self._link_outcome,
            self._remote_admission,
            is_detour,
            self._version(),
            self._peer_regions.allows,
        )

    def ask_for_samples(self, service: Service) -> None:
        """Ask other gateways for a sample of a primary that this gateway does not reach."""
        if self._detours is None:
            return
        tracker = service.primary

        def on_sample(asked_at_ms: float, instance: str, position: Position) -> None:
            tracker.note_reported_position(asked_at_ms / 1000, instance, position)

        if tracker.needs_reported_samples:
            self._ask_sender(service, on_sample)
            return
        # Gateways of the own zone have no connections yet; they can't help if the primary is full.
        self._detours.query_samples(service.spec.name, bool(tracker.failing_since), on_sample)

    def _ask_sender(
        self, service: Service, on_sample: Callable[[float, str, Position], None]
    ) -> None:
        """Ask a gateway that may sample a warming primary."""
        pool = service.primary_pool()
        if self._detours is None or self._neighbours is None or pool is None:
            return
        if service.is_own_group(pool.record):
            found = self._neighbours.first_of(service.warm_up.senders, Shard(service.spec.name))
        else:
            found = self._locate_sender_in(service, pool.record.zone, Shard(service.spec.name))
        if isinstance(found, HeldRemotely):
            self._detours.query_holder(service.spec.name, found.link, on_sample)
