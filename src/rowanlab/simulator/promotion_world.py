"""Simulated control nodes that replace primaries, before a platform that checks fences."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from rowanlab.simulator.coordination_world import (
    CoordinationOracle,
    CoordinationWorld,
    SimulatedCoordinator,
)
from rowanlab.simulator.gateway_members import Group, Member, SimulatedDriver
from rowanlab.simulator.world import World
from rowanrail.coordination.duty import Promoter, PromotionOutcome
from rowanrail.coordination.member_questions import StatusReader, StatusReply
from rowanrail.kernel.registry import Registry
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer

PROMOTE_SECONDS = 0.3
CALL_SECONDS = 1.0
HEARTBEAT_SECONDS = 0.4
LATE_SECONDS = (2.0, 5.0)
LOST_SHARE = 0.3


class WorldClock:
    """The world's true time, for members that belong to no process."""

    def __init__(self, world: World) -> None:
        self._world = world

    @property
    def now(self) -> float:
        """True time in seconds."""
        return self._world.loop.now

    def call_later(self, delay: float, callback: Callable[..., Any], *arguments: Any) -> None:
        """Call ``callback`` after ``delay`` seconds."""
        self._world.call_later(delay, lambda: callback(*arguments))


class Order(msgspec.Struct, frozen=True):
    """An order to promote, as the platform got it."""

    holder: str
    token: int
    instance: str


class FencedPlatform:
    """Carries out orders, some of them late; refuses those with an old fence."""

    def __init__(self, world: World, group: Group, oracle: CoordinationOracle) -> None:
        self._world = world
        self._group = group
        self._oracle = oracle
        self._random = random.Random(world.random.getrandbits(64))
        self.loses_answers = True
        self._newest = 0
        self._holders: dict[int, Order] = {}

    def order(self, order: Order) -> PromotionOutcome:
        """Take an order; its answer, or the order itself, may be late."""
        self._oracle.verdict.operations += 1
        known = self._holders.setdefault(order.token, order)
        if known.holder != order.holder:
            self._oracle.violate("same_token", f"{known.holder} and {order.holder}: {order.token}")
        elif known.instance != order.instance:
            what = f"{known.instance} and {order.instance} under {order.token}"
            self._oracle.violate("same_token", what)
        if self.loses_answers and self._random.random() < LOST_SHARE:
            delay = self._random.uniform(*LATE_SECONDS)
            self._world.call_later(delay, lambda: self._carry_out_late(order))
            return PromotionOutcome.UNKNOWN
        return self._carry_out(order)

    def _carry_out_late(self, order: Order) -> None:
        self._carry_out(order)

    def _carry_out(self, order: Order) -> PromotionOutcome:
        member = next(m for m in self._group.members if m.instance == order.instance)
        if order.token < self._newest or member.silent:
            return PromotionOutcome.REFUSED
        self._newest = order.token
        self._oracle.verdict.acknowledged += 1
        self._world.call_later(PROMOTE_SECONDS, lambda: self._group.promote(member))
        return PromotionOutcome.ACCEPTED


class _Promoter(Promoter):
    def __init__(self, platform: FencedPlatform, holder: str) -> None:
        self._platform = platform
        self._holder = holder

    async def promote(self, service: str, instance: str, token: int) -> PromotionOutcome:
        outcome = self._platform.order(Order(self._holder, token, instance))
        if outcome is PromotionOutcome.UNKNOWN:
            await asyncio.sleep(CALL_SECONDS)
        return outcome


class _Reader(StatusReader):
    def read(self, answer: Answer) -> StatusReply | None:
        if answer.refusal is not None or not answer.rows:
            return None
        role, term, last_term, index = answer.rows[0].decode().split(" ")
        return StatusReply(role == "primary", int(term), Position(int(last_term), int(index)))


class PromotionWorld(CoordinationWorld):
    """Control nodes, one service's members, and the platform."""

    def __init__(self, world: World, registry: Registry) -> None:
        super().__init__(world, registry)
        self.group = Group(WorldClock(world), random.Random(world.random.getrandbits(64)))
        self.platform = FencedPlatform(world, self.group, self.oracle)
        for control in self.controls:
            control.make_ports = self._ports

    def _ports(self, control: SimulatedCoordinator) -> tuple[Any, StatusReader, Promoter]:
        return SimulatedDriver(self.group), _Reader(), _Promoter(self.platform, control.name)

    async def start_members(self) -> None:
        """Let the members announce themselves."""
        for member in self.group.members:
            process = self.world.spawn(member.instance, self.zones[0])
            self.world.run_in(process, self._beat(member))

    async def _beat(self, member: Member) -> None:
        sequence = 0
        while not self.finished:
            if not member.silent:
                sequence += 1
                record = msgspec.structs.replace(member.record(), sequence=sequence)
                await self.call("announce", record)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def judge(self) -> None:
        """Judge that somebody leads and answers at the end."""
        if self.group.primary.silent:
            self.oracle.note_not_recovered("the primary is silent and was not replaced")
