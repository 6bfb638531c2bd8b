"""Where a statement runs: here, at the holder of its group or of the member's region, on a detour.

Four rules, asked in this order:

1. Where the gateways of a zone or region share a service's connections, a client's statement runs
   at the holder of its shard (:meth:`WorkRouter.work_for`). All the rest is the holder's affair.
2. What came on a detour runs on own connections or not at all, so that nothing goes round in
   circles; not where its sender may have better ones (:func:`detour_may_run`).
3. A statement for a member of another region runs at the holder there, where one is reached.
4. While this gateway gets no answer of a primary, statements for it run at a gateway that reaches
   it, where one is known.

The first and the second are decided when a statement comes. The others are handed to the work on
own connections, which asks when it has chosen a member, or found none.

Owns no state. Relies on :mod:`neighbours` and :mod:`detours` for who is reached, on ``work`` for
statements on own connections and on :mod:`forwarding` for those at other gateways.
"""

import functools
from collections.abc import Callable

from rowanrail.gateway.policies import LinkOutcome
from rowanrail.gateway.relay.forwarding import ForwardedWork, HolderLocator
from rowanrail.gateway.relay.holder_choice import HeldLocally, HeldRemotely
from rowanrail.gateway.relay.peers import Peers
from rowanrail.gateway.relay.remote_admission import RemoteAdmission
from rowanrail.gateway.relay.remote_holder import RemoteHolder
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import PreparedStatementNames
from rowanrail.gateway.work.local import LocalExecutor
from rowanrail.gateway.work.ports import OtherGateways, StatementExecutor
from rowanrail.kernel.clock import Clock, Scheduler
from rowanrail.model.position import Position
from rowanrail.placement.hashed import Shard

__all__ = ["WorkRouter", "detour_may_run"]


def detour_may_run(is_regional: bool, primary_fails: bool) -> bool:
    """Return whether a statement that came on a detour may run on connections of this gateway.

    Where regions share, every region opens a few connections to each member, so that the sender of
    a detour may reach a primary that this gateway does not. Elsewhere this gateway is the only one
    of its zone that has any, and its own may reach the primary again in time.

    Parameters
    ----------
    is_regional : bool
        Whether the gateways of a region share the service's connections.
    primary_fails : bool
        Whether this gateway gets no answer of the service's primary now.

    Examples
    --------
    >>> detour_may_run(is_regional=True, primary_fails=True), detour_may_run(False, True)
    (False, True)
    """
    return not (is_regional and primary_fails)


class WorkRouter:
    """Chooses among a gateway's own connections and those of others.

    Parameters
    ----------
    locality : Locality
        Where the gateway stands.
    names : PreparedStatementNames
        Names under which it prepares shapes at members.
    scheduler : Scheduler
        Time and timers, in seconds: for work on own connections.
    link_outcome : LinkOutcome
        Says what may be promised when a link is lost.
    remote_admission : RemoteAdmission
        Rejects what other holders would reject.
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
        self._version = version

    def work_for(self, service: Service, tenant: str, local: LocalExecutor) -> StatementExecutor:
        """Return the work for a tenant's statements: here, or through a holder's connections."""
        if self._neighbours is None or not service.share.is_shared:
            return local
        shard = Shard.of(service.spec.name, tenant)
        if isinstance(self._neighbours.locate_holder(shard), HeldLocally):
            return local
        return self._forwarded(self._neighbours, service, local)

    def local_work(self, service: Service, is_detour: bool = False) -> LocalExecutor | None:
        """Return work on own connections; None if the sender had better run it itself.

        What comes on a detour is sent no further.
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
            ),
        )

    def _find_remote_holder(
        self, service: Service, tenant: str, instance: str
    ) -> ForwardedWork | None:
        """Return work at the holder in a member's region, None if that is this one.

        Without a member's name the primary is meant. None, too, where no such holder is reached.
        """
        pool = service.pools.get(instance) if instance else service.primary_pool()
        if self._detours is None or pool is None or not service.is_remote(pool):
            return None
        region = self._locality.region_of(pool.record.zone)
        shard = Shard.of(service.spec.name, tenant)
        if not isinstance(self._detours.holder_in(region, shard), HeldRemotely):
            return None
        return self._forwarded(RemoteHolder(self._detours, region), service, is_detour=True)

    def _find_detour(self, service: Service) -> ForwardedWork | None:
        """Return work at a gateway that reaches a service's primary, if one is known."""
        detours = self._detours
        if detours is None or not detours.knows_detour(service.spec.name):
            return None
        return self._forwarded(detours, service, is_detour=True)

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
        )

    def ask_for_samples(self, service: Service) -> None:
        """Ask other gateways for a sample of a primary that this one gets none of."""
        if self._detours is None:
            return
        tracker = service.primary

        def take(asked_at_ms: float, instance: str, position: Position) -> None:
            tracker.note_reported_position(asked_at_ms / 1000, instance, position)

        # Gateways that hold no connections yet are no help while the primary has none left.
        self._detours.query_samples(service.spec.name, bool(tracker.failing_since), take)
