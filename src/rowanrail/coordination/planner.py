"""Planning of holders by the leader; the rules are in :mod:`rowanrail.scheduling.planner`.

The demand window and the times of changes are kept in the leader's memory only; the plan is in the
log, so that the next leader continues from it.
"""

import asyncio
from collections.abc import Callable

from rowanrail.consensus.node import ConsensusNode
from rowanrail.coordination.commands import SetPlan
from rowanrail.coordination.events import (
    HOLDERS_CHANGED,
    PLAN_ENDED,
    PLAN_NOT_LOGGED,
    SHARES_CHANGED,
)
from rowanrail.coordination.gateway_loads import GatewayLoads
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import RowanrailError
from rowanrail.placement.hashed import Shard, rank, shards_of
from rowanrail.scheduling.demand import DemandWindow, ShardDemand
from rowanrail.scheduling.planner import Layout, Proposal, propose_plan

__all__ = ["PlanController", "Planner"]

CHECK_INTERVAL_MS = 5000.0  # a gateway's reporting span
# Between changes of a shard: the time of ten handovers. Lost holders are replaced at once.
CHANGE_COOLDOWN_MS = 20_000.0

_DemandByGroup = dict[str, dict[str, ShardDemand]]


class Planner:
    """Tracks the demand and proposes improvements of the plan.

    Parameters
    ----------
    state : CoordinationState
        Holds the members, the gateways and the plan in force.
    loads : GatewayLoads
        The loads that gateways reported.
    now : callable
        Returns the monotonic time in milliseconds.
    connections : callable
        Returns how many connections a member of a service accepts, 0 if unknown.
    """

    def __init__(
        self,
        state: CoordinationState,
        loads: GatewayLoads,
        now: Callable[[], float],
        connections: Callable[[str], int] = lambda service: 0,
    ) -> None:
        self._connections = connections
        self._state = state
        self._loads = loads
        self._now = now
        self._window = DemandWindow()
        self._changed_at: dict[tuple[str, str], float] = {}
        self.sustained_demand: _DemandByGroup = {}

    def reset(self) -> None:
        """Discard the measured demand and the times of changes, since this node doesn't lead."""
        self._window.clear()
        self._changed_at.clear()
        self.sustained_demand = {}

    def check(self) -> Proposal:
        """Add the present demand to the window; propose a better plan if there is one."""
        gateways = list(self._state.gateways.values())
        self._window.add(self._loads.demand(gateways))
        if not self._window.is_full:
            return Proposal()
        self.sustained_demand = self._window.median()
        layout = self._layout(self.sustained_demand)
        loads = self._loads.loads(gateways)
        return propose_plan(
            self.sustained_demand, loads, layout, self._state.plan, self._recently_changed()
        )

    def record_changes(self, proposal: Proposal) -> None:
        """Record that a proposal is in force: its changes start their cooldown."""
        now = self._now()
        for change in proposal.changes:
            self._changed_at[change.group, change.key] = now
        for shares in proposal.shares:
            self._changed_at["", shares.service] = now

    def _recently_changed(self) -> set[tuple[str, str]]:
        limit = self._now() - CHANGE_COOLDOWN_MS
        self._changed_at = {shard: at for shard, at in self._changed_at.items() if at > limit}
        return set(self._changed_at)

    def _layout(self, demand: _DemandByGroup) -> Layout:
        """Return the default holders, by hash, of services with demand or in the plan."""
        state = self._state
        by_group: dict[str, list[str]] = {}
        for gateway in state.gateways.values():
            by_group.setdefault(gateway.sharing_group, []).append(gateway.name)
        is_regional = any(gateway.group for gateway in state.gateways.values())
        of_interest = {key for keys in demand.values() for key in keys}
        of_interest |= {key for shards in state.plan.groups.values() for key in shards}
        defaults = {}
        for service in sorted({member.service for member in state.members.values()}):
            shards = shards_of(service) if is_regional else [Shard(service)]
            if any(shard.key in of_interest for shard in shards):
                defaults[service] = {
                    group: {shard.key: rank(shard.key, names)[0] for shard in shards}
                    for group, names in by_group.items()
                }
        known = {service: self._connections(service) for service in defaults}
        return Layout(defaults, is_regional, {s: count for s, count in known.items() if count})


class PlanController:
    """Checks the plan periodically while its node leads, and proposes better ones to the log.

    Parameters
    ----------
    node : ConsensusNode
        Tells whether this node leads.
    service : CoordinationService
        Appends plans to the log.
    decisions : DecisionLog
        Writes a line for each change, with its cause.
    is_planned : bool
        Whether holders are planned; otherwise a plan in force is ended.
    connections : callable
        Returns how many connections a member of a service accepts, 0 if unknown.
    """

    def __init__(
        self,
        node: ConsensusNode,
        service: CoordinationService,
        decisions: DecisionLog,
        is_planned: bool,
        connections: Callable[[str], int] = lambda service: 0,
    ) -> None:
        self._node = node
        self._service = service
        self._decisions = decisions
        self._is_planned = is_planned
        self._planner = Planner(
            service.state, service.loads, lambda: service.now() * 1000, connections
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def demand(self) -> _DemandByGroup:
        """The sustained demand by group and shard; empty on nodes that don't lead."""
        return self._planner.sustained_demand

    def start(self) -> None:
        """Start the periodic checks."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Cancel the checks."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            try:
                await self.step()
            except RowanrailError as error:
                self._decisions.note(PLAN_NOT_LOGGED, reason=str(error))

    async def step(self) -> None:
        """Check the plan once, and append a better one to the log.

        Raises
        ------
        RowanrailError
            If the plan was not, or may not have been, committed. The next check starts from the
            plan that is in force then.
        """
        if not self._node.raft.is_established_leader:
            self._planner.reset()
        elif not self._is_planned:
            await self._end()
        else:
            await self._improve()

    async def _end(self) -> None:
        plan = self._service.state.plan
        if plan.groups:
            await self._service.propose(SetPlan(plan.number, {}, {}))
            self._decisions.note(PLAN_ENDED, number=plan.number)

    async def _improve(self) -> None:
        proposal = self._planner.check()
        plan = proposal.plan
        if plan is None:
            return
        is_taken = await self._service.propose(SetPlan(plan.number, plan.groups, plan.addresses))
        if not is_taken:
            return  # another plan was committed first; the next check starts from it
        self._planner.record_changes(proposal)
        self._log_changes(proposal)

    def _log_changes(self, proposal: Proposal) -> None:
        number = self._service.state.plan.number
        for change in proposal.changes:
            self._decisions.note(
                HOLDERS_CHANGED,
                number=number,
                group=change.group,
                part=change.key,
                before=list(change.before),
                after=list(change.after),
                cause=change.cause.value,
                rate=round(change.rate, 1),
                load_before=round(change.load_before, 1),
                load_after=round(change.load_after, 1),
            )
        for shares in proposal.shares:
            self._decisions.note(
                SHARES_CHANGED,
                number=number,
                service=shares.service,
                group=shares.group,
                part=shares.key,
                factor=round(shares.growth, 2),
                shares=self._shares_of(shares.service),
            )

    def _shares_of(self, service: str) -> dict[str, float]:
        keys = {service, *(shard.key for shard in shards_of(service))}
        return {
            f"{group} {key}": round(shard.share, 3)
            for group, shards in self._service.state.plan.groups.items()
            for key, shard in shards.items()
            if key in keys
        }
