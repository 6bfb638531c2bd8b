"""Where statements of a service run: here, at a neighbour, in a member's region, around a cut."""

import functools
from collections.abc import Callable

from rowanrail.gateway.policies import LinkOutcome
from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.forwarding import ForwardedWork, Placement
from rowanrail.gateway.relay.holder_choice import HeldAt, HeldHere
from rowanrail.gateway.relay.homes import HomePlacement
from rowanrail.gateway.relay.neighbours import Neighbours
from rowanrail.gateway.relay.remote_admission import RemoteAdmission
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_values import PreparedNames
from rowanrail.gateway.work.work import LocalWork, Work
from rowanrail.kernel.clock import Clock, Scheduler
from rowanrail.model.position import Position
from rowanrail.placement.hashed import Part

__all__ = ["WorkPlaces"]


class WorkPlaces:
    """Chooses among a gateway's own connections and those of others.

    Parameters
    ----------
    locality : Locality
        Where the gateway stands.
    names : PreparedNames
        Names under which it prepares shapes at members.
    clock : Scheduler
        Time and timers.
    link_outcome : LinkOutcome
        Says what a lost link leaves in doubt.
    remote_admission : RemoteAdmission
        Rejects what other holders would reject.
    neighbours : Neighbours or None
        Gateways that share connections with this one.
    detours : Detours or None
        Gateways of other zones or regions.
    version : callable
        Returns the version of the configuration in force.
    """

    def __init__(
        self,
        locality: Locality,
        names: PreparedNames,
        clock: Scheduler,
        link_outcome: LinkOutcome,
        remote_admission: RemoteAdmission,
        neighbours: Neighbours | None,
        detours: Detours | None,
        version: Callable[[], int],
    ) -> None:
        self._locality = locality
        self._names = names
        self._clock = clock
        self._link_outcome = link_outcome
        self._remote_admission = remote_admission
        self._neighbours = neighbours
        self._detours = detours
        self._version = version

    def place(self, service: Service, tenant: str, local: LocalWork) -> Work:
        """Return where a tenant's work is done: here, or through a neighbour's connections."""
        if self._neighbours is None or not service.is_shared:
            return local
        part = Part.of(service.spec.name, tenant)
        if isinstance(self._neighbours.where_held(part), HeldHere):
            return local
        return self._forwarded(self._neighbours, service, local)

    def local(self, service: Service, is_detour: bool = False) -> LocalWork | None:
        """Return work on own connections; None if another gateway had better try.

        What comes on a detour is sent no further.
        """
        if is_detour and service.is_regional and service.primary.failing_since:
            return None  # the sender's own connections may still reach the primary
        if is_detour or self._detours is None:
            return LocalWork(service, self._names, self._clock)
        return LocalWork(
            service,
            self._names,
            self._clock,
            functools.partial(self._find_detour, service),
            functools.partial(self._find_home, service),
        )

    def _find_home(self, service: Service, tenant: str, instance: str = "") -> ForwardedWork | None:
        """Return work at the holder of another region's member, None if it is this region's.

        Without a member's name the primary is meant.
        """
        pool = service.pools.get(instance) if instance else service.primary_pool()
        if self._detours is None or pool is None or not service.is_far(pool):
            return None
        region = self._locality.region_of(pool.record.zone)
        part = Part.of(service.spec.name, tenant)
        if not isinstance(self._detours.holder_in(region, part), HeldAt):
            return None
        return self._forwarded(HomePlacement(self._detours, region), service, is_detour=True)

    def _find_detour(self, service: Service) -> ForwardedWork | None:
        """Return work at a gateway that reaches a service's primary, if one is known."""
        detours = self._detours
        if detours is None or not detours.knows_detour(service.spec.name):
            return None
        return self._forwarded(detours, service, is_detour=True)

    def _forwarded(
        self,
        placement: Placement,
        service: Service,
        local: LocalWork | None = None,
        is_detour: bool = False,
    ) -> ForwardedWork:
        if local is None:
            local = LocalWork(service, self._names, self._clock)
        return ForwardedWork(
            placement,
            local,
            Clock(self._clock),
            self._link_outcome,
            self._remote_admission,
            is_detour,
            self._version(),
        )

    def ask_around(self, service: Service) -> None:
        """Ask other gateways for a sample of a primary that this one gets none of."""
        if self._detours is None:
            return
        tracker = service.primary

        def take(asked_at_ms: float, instance: str, position: Position) -> None:
            tracker.note_told(asked_at_ms / 1000, instance, position)

        # Gateways that hold no connections yet are no help while the primary has none left.
        self._detours.ask(service.spec.name, bool(tracker.failing_since), take)
