"""The failover controller, from a lost primary to the promotion orders, in virtual time."""

import asyncio
import random
import unittest
from dataclasses import dataclass, field

import msgspec

from rowanlab.simulator.world import World
from rowanrail.coordination.failover_controller import Promoter, PromotionOutcome
from rowanrail.coordination.status_queries import StatusReader, StatusReply
from rowanrail.kernel.errors import RowanrailError
from rowanrail.members.channel import ChannelTransport, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, CommandKind, Refusal
from tests.support.simulated_controls import SimulatedControls

SEEDS = (1, 2, 3)
HEARTBEAT_SECONDS = 0.4
FAILOVER_TIMEOUT_SECONDS = 20.0


@dataclass
class FakeMember:
    """A member whose leadership and silence are set by the test."""

    instance: str
    leads: bool
    silent: bool = False
    sequence: int = 0
    asked: int = 0

    def record(self):
        address = f"{self.instance}:1"
        return MemberRecord(self.instance, "db", address, "z1", self.leads, False, 4, self.sequence)


class FakeWire(ChannelTransport):
    def __init__(self, member, channel):
        self.member, self.channel = member, channel

    def send(self, commands):
        self.member.asked += len(commands)
        for command in commands:
            if not self.member.silent:
                refused = command.kind is CommandKind.BEGIN and not self.member.leads
                rows = [b"leads" if self.member.leads else b"follows"]
                answer = Answer(
                    rows=rows if command.kind is CommandKind.STATUS else [],
                    refusal=Refusal.NOT_PRIMARY if refused else None,
                    position=Position(1, 9),
                )
                asyncio.get_running_loop().call_soon(self.channel.answered, answer)

    def close(self):
        pass


@dataclass
class FakePlatform(MemberDriver, StatusReader):
    """Three members, and the platform's promotion call with the outcomes set by the test."""

    members: list = field(default_factory=list)
    orders: list = field(default_factory=list)  # tuples of node, token and instance
    outcomes: list = field(default_factory=list)  # of the next orders; later ones are accepted

    def open(self, address, service, instance, channel):
        member = next(member for member in self.members if member.instance == instance)
        if not member.silent:
            channel.opened(FakeWire(member, channel), Position(1, 9))

    def read(self, answer):
        if answer.refusal is not None or not answer.rows:
            return None
        return StatusReply(answer.rows[0] == b"leads", 1, Position(1, 9))

    def promote_member(self, node, token, instance):
        self.orders.append((node, token, instance))
        outcome = self.outcomes.pop(0) if self.outcomes else PromotionOutcome.ACCEPTED
        if outcome is PromotionOutcome.ACCEPTED:
            for member in self.members:
                member.leads = member.instance == instance
        return outcome


class FakePromoter(Promoter):
    def __init__(self, platform, node):
        self.platform, self.node = platform, node

    async def promote(self, service, instance, token):
        await asyncio.sleep(0.05)
        return self.platform.promote_member(self.node, token, instance)


class FailoverControllerTest(unittest.TestCase):
    """Three control nodes, and a service whose primary falls silent, for each seed."""

    def run_scenario(self, scenario, outcomes=()):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.platform = FakePlatform(outcomes=list(outcomes))
                self.platform.members = [FakeMember(f"m{n}", leads=n == 1) for n in (1, 2, 3)]
                self.random = random.Random(seed)
                world = World(seed)
                self.controls = SimulatedControls(world)
                for control in self.controls.nodes:
                    promoter = FakePromoter(self.platform, control.name)
                    control.ports = (self.platform, self.platform, promoter)
                world.run(self._begin(world, scenario))

    async def _begin(self, world, scenario):
        await self.controls.start()
        for member in self.platform.members:
            world.run_in(world.spawn(member.instance, "z1"), self._send_heartbeats(member))
        await asyncio.sleep(3.0)
        self.assertEqual(self.platform.orders, [])
        await scenario()

    async def _send_heartbeats(self, member):
        while True:
            if not member.silent:
                member.sequence += 1
                control = self.random.choice(self.controls.nodes)
                await self.announce(control, member.record())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def announce(self, control, record):
        process = self.controls.world.process(control.name)
        if not process.alive:
            return
        try:
            call = control.node.service.announce(msgspec.structs.replace(record))
            await self.controls.world.run_in(process, call)
        except RowanrailError:
            pass  # repeated by the next heartbeat

    async def wait_until(self, condition):
        async with asyncio.timeout(FAILOVER_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.05)

    def primary(self):
        return next(member for member in self.platform.members if member.leads)

    def lose_primary(self):
        self.primary().silent = True

    def test_a_silent_primary_is_replaced_by_one_order(self):
        async def scenario():
            self.lose_primary()
            await self.wait_until(lambda: not self.primary().silent)
            await asyncio.sleep(3.0)
            self.assertEqual(len(self.platform.orders), 1)

        self.run_scenario(scenario)

    def test_an_order_without_an_answer_or_refused_is_followed_by_another_with_a_higher_token(self):
        async def scenario():
            self.lose_primary()
            await self.wait_until(lambda: not self.primary().silent)
            tokens = [token for _, token, _ in self.platform.orders]
            self.assertEqual(len(tokens), 3)
            self.assertEqual(tokens, sorted(set(tokens)))

        self.run_scenario(scenario, [PromotionOutcome.UNKNOWN, PromotionOutcome.REFUSED])

    def test_the_next_leader_continues_with_higher_tokens(self):
        async def scenario():
            self.lose_primary()
            await self.wait_until(lambda: bool(self.platform.orders))
            first = self.platform.orders[0][0]
            next(c for c in self.controls.nodes if c.name == first).kill()
            await self.wait_until(lambda: not self.primary().silent)
            nodes = [node for node, _, _ in self.platform.orders]
            tokens = [token for _, token, _ in self.platform.orders]
            self.assertEqual(nodes[0], first)
            self.assertNotEqual(nodes[-1], first)
            self.assertEqual(tokens, sorted(set(tokens)))

        self.run_scenario(scenario, [PromotionOutcome.UNKNOWN])

    def test_nobody_is_promoted_while_no_member_answers(self):
        async def scenario():
            for member in self.platform.members:
                member.silent = True
            await asyncio.sleep(8.0)
            self.assertEqual(self.platform.orders, [])
            for member in self.platform.members[1:]:
                member.silent = False
            await self.wait_until(lambda: not self.primary().silent)

        self.run_scenario(scenario)

    def test_members_in_a_closed_zone_are_asked_nothing_and_not_taken_for_lost(self):
        async def scenario():
            control = self.controls.nodes[0]
            process = self.controls.world.process(control.name)
            order = control.node.service.set_evacuation("z1", True)
            await self.controls.world.run_in(process, order)
            await asyncio.sleep(5.0)
            asked = [member.asked for member in self.platform.members]
            await asyncio.sleep(5.0)
            self.assertEqual([member.asked for member in self.platform.members], asked)
            self.assertEqual(self.platform.orders, [])
            order = control.node.service.set_evacuation("z1", False)
            await self.controls.world.run_in(process, order)
            self.lose_primary()
            await self.wait_until(lambda: not self.primary().silent)

        self.run_scenario(scenario)
