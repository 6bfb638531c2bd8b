"""The failover controller, from a lost primary to the promotion orders, in virtual time."""

import asyncio
import gc
import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from unittest.mock import patch

import msgspec

from rowanlab.simulator.world import World
from rowanrail.coordination.commands import RaiseFeatureLevel, SetEvacuation
from rowanrail.coordination.failover import GONE_FOR_GOOD_SECONDS
from rowanrail.coordination.failover_controller import Promoter, PromotionOutcome
from rowanrail.coordination.feature_level import LIVES_LEVEL
from rowanrail.coordination.lost_logs import JoinPositions
from rowanrail.coordination.node import Coordinator
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.status_queries import StatusReader, StatusReply
from rowanrail.kernel.errors import RowanrailError
from rowanrail.members.channel import ChannelTransport, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, CommandKind, Refusal
from tests.support.simulated_controls import SimulatedControls

SEEDS = (1, 2, 3)
HEARTBEAT_SECONDS = 0.4
STATUS_COMMANDS = (
    CommandKind.STATUS,
    CommandKind.DEMOTE,
    CommandKind.PAUSE,
    CommandKind.RESUME,
)
FAILOVER_TIMEOUT_SECONDS = 20.0


@dataclass
class FakeMember:
    """A member whose leadership, log and silence are set by the test.

    ``deaf`` lists the kinds of commands that it neither carries out nor answers, ``mute`` those
    that it carries out without an answer.
    """

    instance: str
    leads: bool
    silent: bool = False
    address: str = ""
    is_crowded: bool = False
    sequence: int = 0
    leaving: bool = False
    zone: str = "z1"
    term: int = 1
    received: Position = Position(1, 9)
    start_ms: int = 1000
    deaf: set = field(default_factory=set)
    mute: set = field(default_factory=set)
    command_count: int = 0
    asked: set = field(default_factory=set)
    on_demotion: Callable = lambda: None

    def record(self):
        address = self.address or f"{self.instance}:1"
        fields = self.zone, self.leads, self.leaving, 4, self.sequence
        return MemberRecord(self.instance, "db", address, *fields, start_ms=self.start_ms)

    def start_again(self):
        """Lose the log, and announce a later start with the first sequence."""
        self.sequence, self.received = 0, Position(1, 0)
        self.start_ms += 1000

    def carry_out(self, command):
        """Carry out a command that changes the member's replication."""
        if command.kind is CommandKind.DEMOTE:
            self.demote(int(command.text))

    def demote(self, term):
        if self.leads and term > self.term:
            self.leads, self.term = False, term
            self.on_demotion()


class FakeWire(ChannelTransport):
    def __init__(self, member, channel):
        self.member, self.channel = member, channel

    def send(self, commands):
        self.member.command_count += len(commands)
        for command in commands:
            member = self.member
            if not member.silent and command.kind not in member.deaf:
                member.asked.add(command.kind)
                member.carry_out(command)
                refused = command.kind is CommandKind.BEGIN and not member.leads
                rows = [
                    msgspec.json.encode(StatusReply(member.leads, member.term, member.received))
                ]
                answer = Answer(
                    rows=rows if command.kind in STATUS_COMMANDS else [],
                    refusal=Refusal.NOT_PRIMARY if refused else None,
                    position=member.received,
                )
                if command.kind in member.mute:
                    continue
                asyncio.get_running_loop().call_soon(self.channel.answered, answer)

    def close(self):
        pass


@dataclass
class FakePlatform(MemberDriver, StatusReader):
    """Three members, and the platform's promotion call with the outcomes set by the test."""

    members: list = field(default_factory=list)
    orders: list = field(default_factory=list)  # tuples of node, token and instance
    outcomes: list = field(default_factory=list)  # of the next orders; later ones are accepted
    losses: list = field(default_factory=list)  # promotions of a member without the longest log

    def open(self, address, service, instance, channel):
        member = next(member for member in self.members if member.instance == instance)
        if member.is_crowded:
            message = "no connection is free"
            loop = asyncio.get_running_loop()
            loop.call_soon(channel.refused, Refusal.TOO_MANY_CONNECTIONS, message)
        elif not member.silent:
            channel.opened(FakeWire(member, channel), member.received)

    def read(self, answer):
        if answer.refusal is not None or not answer.rows:
            return None
        return msgspec.json.decode(answer.rows[0], type=StatusReply)

    def promote_member(self, node, token, instance):
        self.orders.append((node, token, instance))
        outcome = self.outcomes.pop(0) if self.outcomes else PromotionOutcome.ACCEPTED
        if outcome is PromotionOutcome.ACCEPTED:
            self.carry_out(instance)
        return outcome

    def carry_out(self, instance):
        promoted = next(member for member in self.members if member.instance == instance)
        if promoted.leads:
            return
        newest = max(member.received for member in self.members)
        if promoted.received < newest:
            self.losses.append((promoted.instance, promoted.received, newest))
        term = 1 + max(member.term for member in self.members)
        for member in self.members:
            member.leads, member.term = member is promoted, term
            member.received = min(member.received, promoted.received)


class FakePromoter(Promoter):
    def __init__(self, platform, node):
        self.platform, self.node = platform, node

    async def promote(self, service, instance, token):
        await asyncio.sleep(0.05)
        return self.platform.promote_member(self.node, token, instance)


class ControllerTestCase(unittest.TestCase):
    """Three control nodes and a service of three members, for each seed."""

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
            self.begin_heartbeats(member)
        await asyncio.sleep(3.0)
        self.assertEqual(self.platform.orders, [])
        await scenario()

    def begin_heartbeats(self, member):
        world = self.controls.world
        world.run_in(world.spawn(member.instance, "z1"), self._send_heartbeats(member))

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

    async def raise_feature_level(self):
        leader = next(c for c in self.controls.nodes if c.node.consensus.raft.is_leader)
        call = leader.node.service.propose(RaiseFeatureLevel(LIVES_LEVEL))
        await self.controls.world.run_in(self.controls.world.process(leader.name), call)
        await asyncio.sleep(2.0)

    async def wait_until(self, condition):
        async with asyncio.timeout(FAILOVER_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.05)

    def primary(self):
        return next(member for member in self.platform.members if member.leads)

    def leader(self):
        return next(c for c in self.controls.nodes if c.node.consensus.raft.is_established_leader)

    async def end(self, member):
        """End a member as planned; it is asked nothing any more."""
        member.silent = True
        leader = self.leader()
        process = self.controls.world.process(leader.name)
        await self.controls.world.run_in(process, leader.node.service.remove(member.instance))


class FailoverControllerTest(ControllerTestCase):
    """A service whose primary falls silent."""

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

    def test_checks_without_a_change_do_not_walk_all_members(self):
        async def scenario():
            await asyncio.sleep(2.0)
            with patch.object(JoinPositions, "update") as update:
                await asyncio.sleep(3.0)
            update.assert_not_called()

        self.run_scenario(scenario)

    def test_a_member_that_started_again_waits_for_one_that_received_more(self):
        async def scenario():
            primary, empty, other = self.platform.members
            await self.raise_feature_level()
            empty.start_again()
            await asyncio.sleep(2.0)
            primary.silent = other.silent = True
            await asyncio.sleep(6.0)
            self.assertEqual(self.platform.orders, [])
            other.silent = False
            await self.wait_until(lambda: bool(self.platform.orders))
            self.assertEqual(self.platform.orders[0][2], other.instance)

        self.run_scenario(scenario)

    def test_a_member_that_started_again_is_promoted_once_the_others_are_gone_for_good(self):
        async def scenario():
            primary, empty, other = self.platform.members
            await self.raise_feature_level()
            empty.start_again()
            await asyncio.sleep(2.0)
            primary.silent = other.silent = True
            await asyncio.sleep(GONE_FOR_GOOD_SECONDS)
            await self.wait_until(lambda: bool(self.platform.orders))
            self.assertEqual(self.platform.orders[0][2], empty.instance)

        self.run_scenario(scenario)

    def test_a_primary_that_started_again_without_its_log_is_replaced(self):
        async def scenario():
            primary = self.primary()
            await self.raise_feature_level()
            primary.start_again()
            await self.wait_until(lambda: bool(self.platform.orders))
            self.assertNotEqual(self.primary(), primary)

        self.run_scenario(scenario)

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
            asked = [member.command_count for member in self.platform.members]
            await asyncio.sleep(5.0)
            self.assertEqual([member.command_count for member in self.platform.members], asked)
            self.assertEqual(self.platform.orders, [])
            order = control.node.service.set_evacuation("z1", False)
            await self.controls.world.run_in(process, order)
            self.lose_primary()
            await self.wait_until(lambda: not self.primary().silent)

    def test_a_leaving_primary_whose_replicas_receive_nothing_is_replaced_in_time(self):
        async def scenario():
            primary = self.primary()
            primary.received = Position(1, 20)
            primary.leaving = True
            await asyncio.sleep(7.0)
            self.assertFalse(primary.leads)

        self.run_scenario(scenario)

    # A new leader counted the time for which the primary had been leaving from its own start.
    def test_a_leaving_primary_is_replaced_in_time_by_the_next_leader(self):
        async def scenario():
            primary = self.primary()
            primary.received = Position(1, 20)
            primary.leaving = True
            await asyncio.sleep(3.0)
            self.assertTrue(primary.leads)
            leader = next(c for c in self.controls.nodes if c.node.consensus.raft.is_leader)
            leader.kill()
            await asyncio.sleep(4.0)
            self.assertFalse(primary.leads)

        self.run_scenario(scenario)

    def test_the_departure_of_an_earlier_primary_does_not_count_for_the_next_one(self):
        async def scenario():
            first = self.primary()
            first.received = Position(1, 20)
            first.leaving = True
            await self.wait_until(lambda: not first.leads)
            first.silent = True  # so that its successor is the first to announce the change
            await asyncio.sleep(3.0)
            first.leaving = first.silent = False
            self.platform.losses.clear()
            second = self.primary()
            second.received = Position(2, 30)
            second.leaving = True
            await asyncio.sleep(3.0)
            self.assertTrue(second.leads)
            self.assertEqual(self.platform.losses, [])

        self.run_scenario(scenario)

    def test_an_orphaned_log_is_forgotten_where_no_replica_acknowledges_commits(self):
        async def scenario():
            await self.end(self.platform.members[1])
            self.assertEqual(len(self.leader().node.state.orphaned_logs), 1)
            await asyncio.sleep(25.0)
            self.assertEqual(len(self.leader().node.state.orphaned_logs), 0)

        self.run_scenario(scenario)

    # The service may be configured again, with replicas that acknowledge commits.
    def test_an_orphaned_log_is_kept_while_its_service_is_not_configured(self):
        async def scenario():
            await self.end(self.platform.members[1])
            with patch.object(CoordinationService, "is_configured", lambda service, name: False):
                await asyncio.sleep(25.0)
                self.assertEqual(len(self.leader().node.state.orphaned_logs), 1)

        self.run_scenario(scenario)

    def test_a_primary_that_falls_silent_in_a_closed_zone_is_replaced(self):
        async def scenario():
            primary, *others = self.platform.members
            for member in others:
                member.zone = "z2"
            await asyncio.sleep(1.0)
            for member in others:
                member.deaf = set(CommandKind)  # so that the primary does not move
            control = self.controls.nodes[0]
            order = control.node.service.set_evacuation("z1", True)
            await self.controls.world.run_in(self.controls.world.process(control.name), order)
            await asyncio.sleep(5.0)
            for member in others:
                member.deaf = set()
            await asyncio.sleep(5.0)
            self.assertEqual(self.platform.orders, [])
            primary.silent = True
            await self.wait_until(lambda: not primary.leads)
            self.assertEqual(len(self.platform.orders), 1)

        self.run_scenario(scenario)


class AcknowledgedCommitsTest(ControllerTestCase):
    """A service whose commits are acknowledged once one replica has received them."""

    LAST = Position(1, 20)  # of what is acknowledged

    def run_scenario(self, scenario, outcomes=()):
        async def checked_scenario():
            self.first, self.second, self.third = self.platform.members
            await scenario()
            self.assertEqual(self.platform.losses, [])

        with patch.object(Coordinator, "_acknowledging_replicas", lambda node, service: 1):
            super().run_scenario(checked_scenario, outcomes)

    def receive_at_leaving_replica(self):
        """Have the second member leave, and receive commits that the third doesn't receive."""
        self.second.leaving = True
        self.first.received = self.second.received = self.LAST

    def kill_leader(self):
        self.leader().kill()

    def start_successor(self, member):
        """Start a new member with the log and the address of one that ended."""
        successor = FakeMember("m4", leads=False, address=member.record().address)
        successor.received = member.received
        self.platform.members.append(successor)
        self.begin_heartbeats(successor)
        return successor

    # The replica that was behind was promoted, and acknowledged commits were rolled back.
    def test_a_leaving_replica_with_the_newest_log_is_promoted(self):
        async def scenario():
            self.receive_at_leaving_replica()
            await asyncio.sleep(1.0)
            self.first.silent = True
            await self.wait_until(lambda: self.second.leads)

        self.run_scenario(scenario)

    def test_the_next_leader_promotes_a_leaving_replica_with_the_newest_log(self):
        async def scenario():
            self.receive_at_leaving_replica()
            await asyncio.sleep(1.0)
            self.first.silent = True
            self.kill_leader()
            await self.wait_until(lambda: self.second.leads)

        self.run_scenario(scenario)

    # The log of the member that had ended was nowhere in the directory, and not waited for.
    def test_the_log_of_a_replica_that_ended_is_waited_for_until_its_successor_has_it(self):
        for is_leader_killed in (False, True):

            async def scenario(is_leader_killed=is_leader_killed):
                self.receive_at_leaving_replica()
                await asyncio.sleep(1.0)
                await self.end(self.second)
                self.first.silent = True
                if is_leader_killed:
                    self.kill_leader()
                await asyncio.sleep(30.0)
                self.assertEqual(self.platform.orders, [])
                successor = self.start_successor(self.second)
                await self.wait_until(lambda: successor.leads)

            self.run_scenario(scenario)

    # The primary may have been ahead of what the successor had to receive.
    def test_a_successor_with_less_than_the_primary_had_is_not_taken_for_incomplete(self):
        async def scenario():
            self.receive_at_leaving_replica()
            await asyncio.sleep(1.0)
            await self.end(self.second)
            self.first.received = Position(1, 25)  # acknowledged by nobody
            await asyncio.sleep(2.0)
            self.first.silent = True
            self.first.received = self.LAST  # the rest is no loss
            successor = self.start_successor(self.second)
            await self.wait_until(lambda: successor.leads)

        self.run_scenario(scenario)

    # A member that was removed without a successor would hold back failovers forever.
    def test_an_orphaned_log_is_forgotten_once_all_members_have_what_it_may_hold(self):
        async def scenario():
            self.receive_at_leaving_replica()
            await asyncio.sleep(1.0)
            await self.end(self.second)
            await asyncio.sleep(30.0)
            self.assertEqual(len(self.leader().node.state.orphaned_logs), 1)
            self.third.received = self.first.received
            await self.wait_until(lambda: not self.leader().node.state.orphaned_logs)
            self.first.silent = True
            await self.wait_until(lambda: self.third.leads)

        self.run_scenario(scenario)

    # Without a replica left, every member had what the logs may hold: the primary alone.
    def test_an_orphaned_log_is_kept_while_only_the_primary_has_its_commits(self):
        async def scenario():
            for replica in (self.second, self.third):
                await self.end(replica)
            await asyncio.sleep(30.0)
            self.assertEqual(len(self.leader().node.state.orphaned_logs), 2)

        self.run_scenario(scenario)

    def test_an_orphaned_log_is_kept_while_its_member_may_still_run(self):
        async def scenario():
            self.second.leaving = True
            await asyncio.sleep(1.0)
            await self.end(self.second)
            await asyncio.sleep(15.0)
            self.assertEqual(len(self.leader().node.state.orphaned_logs), 1)

        self.run_scenario(scenario)

    # The planned move was never tried again once the forced replacement was due, which waited for
    # the silent former primary. Replicas were paused over and over meanwhile.
    def test_a_promoted_leaving_member_hands_over_once_another_has_its_log(self):
        async def scenario():
            self.receive_at_leaving_replica()
            await asyncio.sleep(1.0)
            self.first.silent = True
            await self.wait_until(lambda: self.second.leads)
            await asyncio.sleep(8.0)
            self.assertTrue(self.second.leads)
            self.third.asked.clear()
            await asyncio.sleep(3.0)
            self.assertNotIn(CommandKind.PAUSE, self.third.asked)
            self.third.received = self.second.received
            await self.wait_until(lambda: self.third.leads)

        self.run_scenario(scenario)


class PlannedMoveTest(ControllerTestCase):
    """Moves of a primary that still serves; no promotion may lose a commit that it received."""

    def run_scenario(self, scenario, outcomes=()):
        async def checked_scenario():
            self.first, self.second, self.third = self.platform.members
            await scenario()
            self.assertEqual(self.platform.losses, [])

        super().run_scenario(checked_scenario, outcomes)

    def leave(self, lag_seconds=0.2):
        """Have the primary leave; at its demotion it has commits that replicas receive later."""
        last = Position(1, 12)

        def note_demotion():
            self.first.received = last

        async def receive():
            # A task of the scenario: the process that demotes the primary may be killed.
            await self.wait_until(lambda: self.first.received == last)
            await asyncio.sleep(lag_seconds)
            for member in (self.second, self.third):
                member.received = max(member.received, last)

        self.first.on_demotion = note_demotion
        self.first.leaving = True
        if lag_seconds is not None:
            self.replication = asyncio.ensure_future(receive())

    def orders(self):
        return [instance for _, _, instance in self.platform.orders]

    def test_a_leaving_primary_moves_once_a_successor_has_its_last_commit(self):
        async def scenario():
            self.leave()
            await self.wait_until(lambda: self.third.leads)
            self.assertEqual(self.third.received, Position(1, 12))
            await asyncio.sleep(3.0)
            self.assertEqual(self.orders(), ["m3"])
            self.assertEqual(self.leader().node.failover.mover.counts["completed"], 1)

        self.run_scenario(scenario)

    async def evacuate(self, zone):
        process = self.controls.world.process(self.leader().name)
        order = self.leader().node.service.propose(SetEvacuation(zone, True, 0))
        await self.controls.world.run_in(process, order)

    def test_a_primary_in_an_evacuated_zone_moves_to_another_zone(self):
        async def scenario():
            self.second.zone = "z2"
            await asyncio.sleep(1.0)
            await self.evacuate("z1")
            await self.wait_until(lambda: self.second.leads)
            self.assertEqual(self.orders(), ["m2"])

        self.run_scenario(scenario)

    def test_a_primary_stays_without_queries_if_all_members_are_in_the_evacuated_zone(self):
        async def scenario():
            await self.evacuate("z1")
            await asyncio.sleep(3.0)
            self.assertEqual(self.orders(), [])
            for member in self.platform.members:
                self.assertNotIn(CommandKind.STATUS, member.asked)

        self.run_scenario(scenario)

    def test_a_move_asks_nothing_of_members_in_closed_zones(self):
        async def scenario():
            self.first.zone, self.second.zone, self.third.zone = "z1", "z2", "z3"
            await asyncio.sleep(1.0)
            self.first.received = Position(1, 20)  # so that no member can succeed
            await self.evacuate("z3")
            await asyncio.sleep(4.0)
            asked = self.third.command_count
            await self.evacuate("z1")
            await asyncio.sleep(1.0)
            self.assertIn(CommandKind.STATUS, self.second.asked)
            self.assertEqual(self.third.command_count, asked)
            await asyncio.sleep(3.0)
            asked = self.first.command_count
            await asyncio.sleep(3.0)
            self.assertEqual(self.first.command_count, asked)
            self.assertEqual(self.orders(), [])

        self.run_scenario(scenario)

    def test_no_replica_that_receives_means_no_demotion(self):
        async def scenario():
            self.first.received = Position(1, 20)
            self.first.leaving = True
            await asyncio.sleep(4.0)
            self.assertTrue(self.first.leads)
            self.assertEqual(self.orders(), [])

        self.run_scenario(scenario)

    def test_the_former_primary_leads_again_if_no_replica_catches_up(self):
        async def scenario():
            self.leave(lag_seconds=None)
            await self.wait_until(lambda: bool(self.platform.orders))
            self.assertEqual(self.orders(), ["m1"])
            self.assertTrue(self.first.leads)
            self.second.received = self.third.received = self.first.received
            await self.wait_until(lambda: not self.first.leads)
            await self.wait_until(lambda: self.third.leads)

        self.run_scenario(scenario)

    def test_a_demotion_without_an_answer_is_found_by_the_status(self):
        async def scenario():
            self.first.mute = {CommandKind.DEMOTE}
            self.leave()
            await self.wait_until(lambda: self.third.leads)
            self.assertEqual(self.orders(), ["m3"])
            self.assertEqual(self.leader().node.failover.mover.counts["unanswered"], 0)

        self.run_scenario(scenario)

    def test_a_primary_that_ignores_the_demotion_is_kept_and_asked_again(self):
        async def scenario():
            self.first.deaf = {CommandKind.DEMOTE}
            self.leave()
            await asyncio.sleep(4.0)
            self.assertTrue(self.first.leads)
            self.assertEqual(self.orders(), [])
            self.first.deaf = set()
            await self.wait_until(lambda: self.third.leads)

        self.run_scenario(scenario)

    def test_a_demotion_that_is_carried_out_late_is_followed_by_a_promotion(self):
        async def scenario():
            self.first.deaf = {CommandKind.DEMOTE}
            self.leave()
            await asyncio.sleep(2.0)
            self.first.demote(2)
            await self.wait_until(lambda: self.primary_or_none() is not None)
            self.assertNotIn("m1", self.orders())

        self.run_scenario(scenario)

    def primary_or_none(self):
        return next((member for member in self.platform.members if member.leads), None)

    def test_a_successor_that_is_lost_after_the_demotion_is_replaced_by_another(self):
        async def scenario():
            self.leave()
            remember = self.first.on_demotion

            def lose_successor():
                remember()
                self.third.silent = True

            self.first.on_demotion = lose_successor
            await self.wait_until(lambda: self.second.leads)
            self.assertEqual(self.orders(), ["m2"])

        self.run_scenario(scenario)

    def test_replicas_that_acknowledge_commits_receive_on_during_a_move(self):
        # A paused replica would not receive the last commits of the demoted primary.
        async def scenario():
            for control in self.controls.nodes:
                control.node.failover._acknowledging_replicas = lambda service: 1
            self.leave(lag_seconds=0.8)
            await self.wait_until(lambda: not self.first.leads)
            self.third.mute = {CommandKind.STATUS}
            await self.wait_until(lambda: self.second.leads)
            for member in self.platform.members:
                self.assertNotIn(CommandKind.PAUSE, member.asked)

        self.run_scenario(scenario)

    def test_the_next_leader_completes_the_move(self):
        async def scenario():
            self.leave(lag_seconds=0.8)
            await self.wait_until(lambda: not self.first.leads)
            self.leader().kill()
            await self.wait_until(lambda: self.third.leads)
            self.assertEqual(set(self.orders()), {"m3"})

        self.run_scenario(scenario)

    def test_a_completed_move_does_not_decide_who_follows_a_later_primary(self):
        # The former primary is a replica now: others may have acknowledged what it lacks.
        async def scenario():
            self.leave()
            await self.wait_until(lambda: self.third.leads)
            await asyncio.sleep(2.0)
            self.first.leaving, self.third.silent = False, True
            leader = self.leader()
            process = self.controls.world.process(leader.name)
            await self.controls.world.run_in(process, leader.node.service.remove("m3"))
            self.assertIsNone(leader.node.failover.mover.demotion("db"))

        self.run_scenario(scenario)

    def test_a_move_ends_when_its_leader_no_longer_leads(self):
        async def scenario():
            self.first.received = Position(1, 20)  # so that successors are looked for
            self.first.leaving = True
            await self.wait_until(lambda: CommandKind.STATUS in self.first.asked)
            raft = self.leader().node.consensus.raft
            with (
                patch.object(type(raft), "is_established_leader", False),
                patch.object(self.controls.world, "note") as note,
            ):
                await asyncio.sleep(1.5)
                gc.collect()  # reports errors of tasks that were not awaited
            errors = [call.args[0] for call in note.mock_calls if "KeyError" in call.args[0]]
            self.assertEqual(errors, [])
            self.assertEqual(self.orders(), [])

        self.run_scenario(scenario)

    def test_an_order_without_an_answer_is_repeated_for_the_same_member(self):
        # The first order is carried out while the second one is under way; another member would
        # be as good, except for what the first one acknowledges in the meantime.
        async def scenario():
            self.third.received = Position(1, 8)
            self.leave()
            await self.wait_until(lambda: bool(self.platform.orders))
            self.assertEqual(self.orders(), ["m2"])
            asyncio.get_running_loop().call_later(1.55, self.platform.carry_out, "m2")
            await self.wait_until(lambda: self.second.leads)
            await asyncio.sleep(3.0)
            self.assertEqual(set(self.orders()), {"m2"})

        self.run_scenario(scenario, [PromotionOutcome.UNKNOWN])

    def test_a_refused_order_is_followed_by_one_for_another_member_with_everything(self):
        async def scenario():
            self.leave()
            await self.wait_until(lambda: self.second.leads)
            self.assertEqual(self.orders(), ["m3", "m2"])

        self.run_scenario(scenario, [PromotionOutcome.REFUSED])

    def test_a_leaving_primary_without_a_free_connection_is_not_taken_for_a_lost_one(self):
        async def scenario():
            self.first.is_crowded = True
            self.leave()
            await asyncio.sleep(4.0)
            self.assertTrue(self.first.leads)
            self.assertEqual(self.orders(), [])
            self.first.is_crowded = False
            await self.wait_until(lambda: self.third.leads)

        self.run_scenario(scenario)

    def test_the_silence_of_an_earlier_primary_does_not_count_for_the_next_one(self):
        async def scenario():
            self.first.leaving = self.first.silent = True
            await self.announce(self.leader(), self.first.record())
            await self.wait_until(lambda: self.third.leads)
            await asyncio.sleep(2.0)
            self.assertEqual(self.leader().node.failover.mover.unanswered_for("db"), 0.0)

        self.run_scenario(scenario)

    def test_a_leaving_primary_that_answers_nothing_is_replaced_as_a_lost_one(self):
        async def scenario():
            self.first.leaving = True
            self.first.deaf = set(CommandKind)
            await self.wait_until(lambda: not self.first.leads)
            self.assertEqual(len(self.platform.orders), 1)

        self.run_scenario(scenario)
