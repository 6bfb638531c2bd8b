"""Raising the feature level: an old or unreachable control node must hold it back."""

import asyncio
import unittest
from types import SimpleNamespace

from rowanlab.simulator.world import World
from rowanrail.consensus.messages import Membership
from rowanrail.coordination.commands import RaiseFeatureLevel
from rowanrail.coordination.feature_controller import FeatureLevelController
from rowanrail.coordination.feature_level import NEWEST_LEVEL
from rowanrail.coordination.messages import FeatureLevelReply
from rowanrail.kernel.errors import TransportError
from tests.support.gateway import RecordingLog
from tests.support.simulated_controls import SimulatedControls


class FakeNetwork:
    """Answers for the nodes of this version; the others refuse the unknown message."""

    def __init__(self):
        self.levels = {"n2:1": NEWEST_LEVEL, "n3:1": NEWEST_LEVEL}
        self.on_call = lambda: None

    async def call(self, address, request, timeout_seconds):
        self.on_call()
        if address not in self.levels:
            raise TransportError("unknown message", step="decode")
        return FeatureLevelReply(self.levels[address])


class ControllerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        membership = Membership({"n1": "n1:1", "n2": "n2:1"}, {"n3": "n3:1"})
        self.raft = SimpleNamespace(is_established_leader=True, membership=membership)
        node = SimpleNamespace(raft=self.raft, identity=SimpleNamespace(node="n1"))
        self.proposed = []

        async def propose(command):
            self.proposed.append(command)

        self.state = SimpleNamespace(feature_level=0)
        self.network = FakeNetwork()
        service = SimpleNamespace(state=self.state, propose=propose)
        self.log = RecordingLog("n1")
        self.controller = FeatureLevelController(node, service, self.network, self.log)

    async def test_the_level_is_raised_once_all_nodes_know_it(self):
        await self.controller.step()
        self.assertEqual(self.proposed, [RaiseFeatureLevel(NEWEST_LEVEL)])
        self.state.feature_level = NEWEST_LEVEL
        await self.controller.step()
        self.assertEqual(len(self.proposed), 1)

    async def test_a_learner_of_an_earlier_version_holds_it_back(self):
        del self.network.levels["n3:1"]
        for _ in range(3):
            await self.controller.step()
        self.assertEqual(self.proposed, [])
        self.log.flush()
        self.assertEqual(self.log.written.count(b'"event":476'), 1)
        self.assertIn(b'"level":"warning"', self.log.written)  # no field hides the line's own

    async def test_a_node_that_joined_while_the_others_were_asked_holds_it_back(self):
        joined = Membership(self.raft.membership.voters, {"n3": "n3:1", "n4": "n4:1"})
        self.network.on_call = lambda: setattr(self.raft, "membership", joined)
        await self.controller.step()
        self.assertEqual(self.proposed, [])

    async def test_a_follower_raises_nothing(self):
        self.raft.is_established_leader = False
        await self.controller.step()
        self.assertEqual(self.proposed, [])


class NewSystemTest(unittest.TestCase):
    def test_a_new_system_raises_its_level_within_seconds(self):
        world = World(1)
        controls = SimulatedControls(world)

        async def until_raised():
            await controls.start()
            await asyncio.sleep(5)
            return [control.node.state.feature_level for control in controls.nodes]

        self.assertEqual(world.run(until_raised()), [NEWEST_LEVEL] * 3)
