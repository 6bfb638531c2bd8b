"""The shards that this gateway holds, by the plan or by rendezvous hashing, and their limits.

Owns the plan in force and the number of gateways that share connections, and sets the limits of
services. Relies on ``placement`` for the shares and on :mod:`neighbours` for which gateway replaces
a holder that is down.
"""

from collections.abc import Iterable
from typing import Protocol

from rowanrail.gateway.events import HOLDING_BEGUN, HOLDING_ENDED, PLAN_TAKEN
from rowanrail.gateway.relay.holder_choice import HeldLocally
from rowanrail.gateway.relay.load_meter import LoadMeter
from rowanrail.gateway.relay.peers import Peers
from rowanrail.gateway.services.service import Service
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.model.trace import Trace
from rowanrail.placement.hashed import FleetSize, Shard, even_share, rank, shards_of
from rowanrail.placement.planned import PlannedHolders
from rowanrail.scheduling.plan import Plan

__all__ = ["Holdings"]


class HoldingsHost(Protocol):
    """Interface: the state of the gateway that holdings need."""

    stopping: bool
    services: dict[str, Service]


class Holdings:
    """Sets how many connections services may open at this gateway, and for which shards.

    Parameters
    ----------
    host : HoldingsHost
        The gateway.
    peers : Peers
        The gateways that share connections, those of other groups, and the plan.
    decisions : DecisionLog
        Log of the shards that this gateway begins and ceases to hold.
    """

    def __init__(
        self,
        host: HoldingsHost,
        peers: Peers,
        decisions: DecisionLog,
    ) -> None:
        self._host = host
        neighbours, detours, planned = peers.neighbours, peers.detours, peers.planned
        self._neighbours = neighbours
        self._detours = detours
        self._planned = planned
        self._decisions = decisions
        self._fleet_size = FleetSize()
        self._is_handing_over = False
        self.load_meter: LoadMeter | None = None
        if planned is not None and neighbours is not None:
            neighbours.planned = planned
        if planned is not None and detours is not None:
            detours.planned = planned

    @property
    def planned(self) -> PlannedHolders | None:
        """The plan; None if holders are chosen by rendezvous hashing only."""
        return self._planned

    def note_held_statement(self, shard: Shard) -> None:
        """Count a statement that another gateway sent to this holder."""
        if self.load_meter is not None and self._is_shared(shard.service):
            self.load_meter.note_held_statement(shard)

    def note_client_statement(self, tenant: str, trace: Trace | None) -> None:
        """Count a statement of this gateway's client, also as held if it ran at this gateway."""
        if self.load_meter is None or trace is None or not self._is_shared(trace.service):
            return
        self.load_meter.note_client_statement()
        if not trace.via:
            self.load_meter.note_held_statement(Shard.of(trace.service, tenant))

    def _is_shared(self, name: str) -> bool:
        service = self._host.services.get(name)
        return service is not None and service.share.is_shared

    def adopt_plan(self, plan: Plan) -> None:
        """Put a plan in force if it is newer than the current one.

        Statements that are running stay where they are.
        """
        planned = self._planned
        if planned is None or self._neighbours is None:
            return
        before = planned.held
        if not planned.adopt(plan, self._hashed_share):
            return
        if self._detours is not None:
            self._detours.set_addresses(plan.addresses)
        self._is_handing_over = planned.is_handing_over
        self._log_changes(before, planned, plan)
        self.apply_limits()

    def _hashed_share(self, key: str) -> float:
        """Return this gateway's share of a shard by rendezvous hashing; 0 if others hold it."""
        assert self._neighbours is not None
        name = self._neighbours.name
        is_first = rank(key, [*self._neighbours.names, name])[0] == name
        return even_share(self._fleet_size) if is_first else 0.0

    def _log_changes(self, before: Iterable[str], planned: PlannedHolders, plan: Plan) -> None:
        held = planned.held
        shards = sum(len(shards) for shards in plan.groups.values())
        self._decisions.note(PLAN_TAKEN, number=plan.number, parts=shards, held=sorted(held))
        for key in sorted(set(held) - set(before)):
            shard = held[key]
            self._decisions.note(
                HOLDING_BEGUN,
                number=plan.number,
                part=key,
                share=round(shard.share / len(shard.holdings), 3),
                holders=shard.gateways,
                cause=shard.cause.value,
            )
        for key in sorted(set(before) - set(held)):
            self._decisions.note(HOLDING_ENDED, number=plan.number, part=key)

    def set_fleet_size(self, fleet_size: FleetSize) -> None:
        """Set the number of gateways that share connections, and update limits."""
        self._fleet_size = fleet_size
        self.apply_limits()

    def apply_limits(self) -> None:
        """Set the connection limits of all services by the plan in force."""
        for service in self._host.services.values():
            self._set_allowance(service)

    def tick(self, services: Iterable[Service]) -> None:
        """Update limits after the end of a handover, and after failures of holders.

        Services without connections are skipped, since most gateways hold none of most services.

        Parameters
        ----------
        services : iterable of Service
            Services that may have connections.
        """
        was_handing_over, self._is_handing_over = (
            self._is_handing_over,
            self._is_plan_handing_over(),
        )
        if was_handing_over and not self._is_handing_over:
            self.apply_limits()
        for service in services:
            if service.has_connections and (service.share.is_regional or service.share.is_planned):
                self._set_allowance(service)

    def _is_plan_handing_over(self) -> bool:
        return self._planned is not None and self._planned.is_handing_over

    def _set_allowance(self, service: Service) -> None:
        name, is_regional = service.spec.name, service.share.is_regional
        allowance = None
        if self._planned is not None and service.share.is_shared:
            allowance = self._planned.allowance(name, is_regional)
        service.set_allowance(allowance)
        if service.has_connections and (is_regional or allowance is not None):
            service.set_shards(self._shards_held(service))
        elif allowance is not None:
            service.set_shards(allowance.shards)

    def _shards_held(self, service: Service) -> frozenset[Shard]:
        """Return the shards of a service for which statements are sent to this gateway."""
        if self._host.stopping:
            return frozenset()
        name = service.spec.name
        shards = shards_of(name) if service.share.is_regional else [Shard(name)]
        if self._neighbours is None:
            return frozenset(shards)
        planned_shards = service.share.planned_shards
        locate_holder = self._neighbours.locate_holder
        located = frozenset(
            shard
            for shard in shards
            if shard not in planned_shards and isinstance(locate_holder(shard), HeldLocally)
        )
        return planned_shards | located
