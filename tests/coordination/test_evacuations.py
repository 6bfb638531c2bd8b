"""Evacuations in the replicated state, and orders that are repeated, race or come too early."""

import asyncio
import unittest

import msgspec

from rowanlab.simulator.world import World
from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.log import Log
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.coordination.commands import RaiseFeatureLevel, SetEvacuation
from rowanrail.coordination.feature_level import EVACUATION_LEVEL
from rowanrail.coordination.messages import EvacuationRequest
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.replay import LogReplay
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import (
    DirectoryRequest,
    GatewayReport,
    LoggedDirectoryRequest,
)
from rowanrail.kernel.errors import RowanrailError
from tests.coordination.test_directory import FakeNode
from tests.support.simulated_controls import SimulatedControls


def entry(index, command):
    return Entry(1, index, EntryKind.COMMAND, msgspec.msgpack.encode(command))


class StateTest(unittest.TestCase):
    def setUp(self):
        self.state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())

    def test_an_evacuation_survives_a_snapshot(self):
        self.state.apply(entry(1, RaiseFeatureLevel(EVACUATION_LEVEL)))
        self.state.apply(entry(2, SetEvacuation("a", True, 500)))
        restored = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        restored.restore(self.state.snapshot())
        self.assertEqual(restored.evacuations, self.state.evacuations)
        self.assertEqual(restored.evacuations.zones, {"a": 500})
        self.assertEqual(restored.feature_level, EVACUATION_LEVEL)

    def test_a_repeated_order_does_not_wake_gateways(self):
        self.state.apply(entry(1, SetEvacuation("a", True, 500)))
        self.state.apply(entry(2, SetEvacuation("a", True, 900)))
        self.assertEqual(self.state.evacuations.revision, 1)

    def test_withdrawn_and_repeated_orders_count_in_the_order_of_the_log(self):
        for index, closes in enumerate((True, False, True), 1):
            self.state.apply(entry(index, SetEvacuation("a", closes, 100 * index)))
        self.assertEqual(self.state.evacuations.zones, {"a": 300})
        self.assertEqual(self.state.evacuations.ended, {})

    def test_uncommitted_orders_are_replayed_for_gateways_that_start(self):
        log = Log(None, [entry(1, SetEvacuation("a", True, 500))])
        self.assertEqual(LogReplay(self.state).replay(log).evacuations.zones, {"a": 500})
        self.assertEqual(self.state.evacuations.zones, {})


class PollTest(unittest.IsolatedAsyncioTestCase):
    def request(self, known_evacuations):
        return DirectoryRequest(
            GatewayReport("g1", "a", []), 0, 0, 3.0, known_evacuations=known_evacuations
        )

    async def test_a_waiting_gateway_is_told_at_once(self):
        state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        service = CoordinationService(FakeNode(), state, None)
        polls = [asyncio.ensure_future(service.handle(self.request(known))) for known in (0, None)]
        await asyncio.sleep(0.05)
        state.apply(entry(4, SetEvacuation("a", True, 500)))
        service.notice_change()
        done, pending = await asyncio.wait(polls, timeout=0.2)
        self.assertEqual([poll.result().evacuations.zones for poll in done], [{"a": 500}])
        for poll in pending:  # of a gateway of an earlier version
            poll.cancel()


class LateOrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_node_that_was_frozen_passes_no_late_order_to_the_leader(self):
        # Later orders may have been acknowledged by other nodes.
        class Leading(FakeNode):
            proposed = 0

            async def propose(self, data):
                self.proposed += 1

        node = Leading()
        state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        state.apply(entry(1, RaiseFeatureLevel(EVACUATION_LEVEL)))
        service = CoordinationService(node, state, None)
        late = asyncio.get_running_loop().time() - 1.0
        with self.assertRaises(RowanrailError):
            await service.request(EvacuationRequest("a", False), late)
        self.assertEqual(node.proposed, 0)


class OrdersTest(unittest.TestCase):
    """Three simulated control nodes."""

    def run_scenario(self, scenario):
        world = World(1)
        self.controls = SimulatedControls(world)

        async def begin():
            await self.controls.start()
            await scenario()

        world.run(begin())

    async def order(self, control, zone, is_evacuated=True):
        """Send one order to a node; return whether it was acknowledged."""
        process = self.controls.world.process(control.name)
        try:
            call = control.node.service.set_evacuation(zone, is_evacuated)
            await self.controls.world.run_in(process, call)
        except RowanrailError:
            return False
        return True

    async def until_acknowledged(self, zone, is_evacuated=True):
        async with asyncio.timeout(10):
            while True:
                for control in self.controls.nodes:
                    alive = self.controls.world.process(control.name).alive
                    if alive and await self.order(control, zone, is_evacuated):
                        return

    def leader(self):
        return next(c for c in self.controls.nodes if c.node.consensus.raft.is_leader)

    def test_an_order_is_refused_in_time_while_the_feature_level_is_too_low(self):
        async def scenario():
            for control in self.controls.nodes:
                control.node.features.stop()
            await asyncio.sleep(2)
            loop = asyncio.get_running_loop()
            for control in self.controls.nodes:
                sent_at = loop.time()
                self.assertFalse(await self.order(control, "a"))
                self.assertLess(loop.time() - sent_at, 0.95)
                self.assertEqual(control.node.state.evacuations.zones, {})

        self.run_scenario(scenario)

    def test_eight_orders_at_once_at_all_nodes(self):
        async def scenario():
            await asyncio.sleep(4)
            nodes = self.controls.nodes
            zones = [f"z{number}" for number in range(8)]
            orders = [self.order(nodes[n % 3], zone) for n, zone in enumerate(zones)]
            self.assertEqual(await asyncio.gather(*orders), [True] * 8)
            self.assertEqual(set(self.leader().node.state.evacuations.zones), set(zones))

        self.run_scenario(scenario)

    def test_two_operators_leave_all_nodes_with_the_same_state(self):
        async def scenario():
            await asyncio.sleep(4)
            first, second, _ = self.controls.nodes
            orders = [self.order(first, "a"), self.order(second, "a", False)] * 4
            self.assertEqual(await asyncio.gather(*orders), [True] * 8)
            await asyncio.sleep(1)
            states = [control.node.state.evacuations for control in self.controls.nodes]
            self.assertEqual(states, [states[0]] * 3)

        self.run_scenario(scenario)

    def test_an_order_is_repeated_at_another_node_after_the_leader_was_killed(self):
        async def scenario():
            await asyncio.sleep(4)
            lost = self.leader()
            pending = asyncio.ensure_future(self.order(lost, "a"))
            await asyncio.sleep(0.005)
            lost.kill()
            pending.cancel()
            await self.until_acknowledged("a")
            alive = [control for control in self.controls.nodes if control is not lost]
            await asyncio.sleep(1)
            for control in alive:
                self.assertEqual(list(control.node.state.evacuations.zones), ["a"])

        self.run_scenario(scenario)

    def test_an_acknowledged_order_survives_the_kill_of_all_nodes(self):
        async def scenario():
            await asyncio.sleep(4)
            await self.until_acknowledged("a")
            for control in self.controls.nodes:
                control.kill()
            await asyncio.sleep(0.5)
            for control in self.controls.nodes:
                control.start(bootstrap=False)
            await asyncio.sleep(0.05)
            logged = await self.controls.nodes[0].node.service.handle(
                LoggedDirectoryRequest("", accepts_updates=True)
            )
            self.assertEqual(list(logged.directory.evacuations.zones), ["a"])
            await asyncio.sleep(3)
            for control in self.controls.nodes:
                self.assertEqual(list(control.node.state.evacuations.zones), ["a"])

        self.run_scenario(scenario)
