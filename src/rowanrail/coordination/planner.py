"""The leader's plan of holders: the shell around :mod:`rowanrail.scheduling.planner`.

Spans of demand and the times of changes are soft state of the node that leads; the plan itself is
in the log, so that the next leader goes on from it.
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

ROUND_MS = 5000.0  # between checks; a gateway's span
REST_MS = 20_000.0  # between changes of a shard, ten handovers; the lost are replaced at once

_Demand = dict[str, dict[str, ShardDemand]]


class Planner:
    """Checks the demand once a round, and says what the plan should be.

    Parameters
    ----------
    state : CoordinationState
        What the log holds: members, gateways, the plan in force.
    loads : GatewayLoads
        What gateways reported.
    now : callable
        Returns the steady time in milliseconds.
    connections : callable
        Returns how many connections a member of a service takes, 0 if that is not known.
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
        self.lasting: _Demand = {}

    def release(self) -> None:
        """Forget what was measured: another node leads."""
        self._window.clear()
        self._changed_at.clear()
        self.lasting = {}

    def check(self) -> Proposal:
        """Note the demand of a round, and return a better plan if there is one."""
        gateways = list(self._state.gateways.values())
        self._window.add(self._loads.demand(gateways))
        if not self._window.is_full:
            return Proposal()
        self.lasting = self._window.median()
        layout = self._layout(self.lasting)
        loads = self._loads.loads(gateways)
        return propose_plan(self.lasting, loads, layout, self._state.plan, self._recently_changed())

    def note_changed(self, proposal: Proposal) -> None:
        """Note that a proposal is in force: what it changed is left as it is for ``REST_MS``."""
        now = self._now()
        for change in proposal.changes:
            self._changed_at[change.group, change.key] = now
        for shares in proposal.shares:
            self._changed_at["", shares.service] = now

    def _recently_changed(self) -> set[tuple[str, str]]:
        limit = self._now() - REST_MS
        self._changed_at = {shard: at for shard, at in self._changed_at.items() if at > limit}
        return set(self._changed_at)

    def _layout(self, demand: _Demand) -> Layout:
        """Return the holders by the hash, for services that have demand or are in the plan."""
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
    """Plans while its node leads, and has the log hold what is planned.

    Parameters
    ----------
    node : ConsensusNode
        Says whether this node leads.
    service : CoordinationService
        Makes plans durable.
    decisions : DecisionLog
        Gets a line for each change, with its cause.
    is_planned : bool
        Whether holders are planned; else a plan that is in force is ended.
    connections : callable
        Returns how many connections a member of a service takes, 0 if that is not known.
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
    def demand(self) -> _Demand:
        """What is asked for lastingly, by group and shard; empty at nodes that don't lead."""
        return self._planner.lasting

    def start(self) -> None:
        """Begin."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_MS / 1000)
            try:
                await self.step()
            except RowanrailError as error:
                self._decisions.note(PLAN_NOT_LOGGED, reason=str(error))

    async def step(self) -> None:
        """Check once, and have a better plan logged.

        Raises
        ------
        RowanrailError
            If it was not, or may not have been; the next check sees which plan is in force.
        """
        if not self._node.raft.is_established_leader:
            self._planner.release()
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
            return  # another one came before it, which the next check starts from
        self._planner.note_changed(proposal)
        self._note(proposal)

    def _note(self, proposal: Proposal) -> None:
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
