"""Control nodes that lost their disks are admitted whichever nodes they ask, in virtual time.

A node that stays outside, unnoticed, takes no part in a majority; the next losses then end it.
"""

import asyncio
import unittest

from rowanlab.simulator.controls import SimulatedControl as SqlControl
from rowanlab.simulator.network import EndpointRegistry
from rowanlab.simulator.world import World
from rowanrail.cluster.messages import JoinRequest
from rowanrail.config.settings import NodeAddress
from rowanrail.consensus.errors import NotAdmittedError
from rowanrail.coordination.node import CLUSTER
from rowanrail.kernel.errors import RowanrailError
from rowanrail.kernel.registry import Registry
from tests.support.simulated_controls import SimulatedControls

SEEDS = (1, 2, 3)
ADMISSION_SECONDS = 4.0  # from the start of the process until the node votes


class AdmissionTest(unittest.TestCase):
    def run_scenario(self, scenario, **options):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(seed)
                self.controls = SimulatedControls(world, **options)
                world.run(self._begin(scenario))

    async def _begin(self, scenario):
        await self.controls.start()
        self.leader = await self.controls.leader()
        await self.controls.put(self.leader, 1)
        await scenario()

    def followers(self):
        return [control for control in self.controls.nodes if control is not self.leader]

    async def lose_disk(self, control, seeds, seconds=ADMISSION_SECONDS):
        """Have a node lose its disk and start again with these seeds; wait for some seconds."""
        control.kill()
        control.seeds = [seed.api_address for seed in seeds]
        await asyncio.sleep(0.3)
        control.restart(lose_disk=True)
        await asyncio.sleep(seconds)

    async def start_outside(self, control):
        """Have a node lose its disk and start again with a seed that is gone."""
        control.kill()
        control.seeds = ["gone:8100"]
        control.restart(lose_disk=True)
        await asyncio.sleep(ADMISSION_SECONDS)

    def voters(self):
        """Return the names of the nodes that vote under the identity that they have now."""
        membership = self.leader.node.consensus.raft.membership
        return sorted(
            control.name
            for control in self.controls.nodes
            if control.node.consensus.identity.node in membership.voters
        )

    def test_the_leader_is_not_among_the_seeds(self):
        async def scenario():
            for control in self.followers():
                await self.lose_disk(control, self.followers())
                self.assertEqual(self.voters(), ["n1", "n2", "n3"])
            self.assertEqual((await self.controls.read(self.leader)).version, 1)

        self.run_scenario(scenario)

    def test_the_leader_changes_while_a_node_asks(self):
        async def scenario():
            lost, other = self.followers()
            await self.lose_disk(lost, [lost, other], seconds=0.1)
            self.leader.kill()
            await asyncio.sleep(1.0)
            self.leader.restart()
            await asyncio.sleep(2 * ADMISSION_SECONDS)
            self.leader = await self.controls.leader()
            self.assertEqual(self.voters(), ["n1", "n2", "n3"])

        self.run_scenario(scenario)

    def test_the_only_seed_is_outside_as_well(self):
        # It knows no leader until it has been admitted itself.
        async def scenario():
            first, second = self.followers()[:2]
            standby = self.followers()[2]
            first.kill()
            second.kill()
            await self.lose_disk(first, [second, first], seconds=0.0)
            await self.lose_disk(second, [standby, first])
            await asyncio.sleep(2 * ADMISSION_SECONDS)
            addresses = self.leader.node.consensus.raft.membership.addresses()
            self.assertIn(first.node.consensus.identity.node, addresses)

        self.run_scenario(scenario, count=5, tolerated_losses=2)

    def test_the_settings_name_other_seeds_later(self):
        # Those that the process has started with may be gone for good.
        async def scenario():
            lost, other = self.followers()
            await self.start_outside(lost)
            lost.seeds = ["gone:8100", other.api_address]
            await asyncio.sleep(2 * ADMISSION_SECONDS)
            self.assertEqual(self.voters(), ["n1", "n2", "n3"])

        self.run_scenario(scenario)

    def test_a_node_that_no_leader_admits_says_so(self):
        async def scenario():
            lost, other = self.followers()
            self.leader.kill()
            await self.lose_disk(lost, [lost, other])
            self.assertGreater(lost.node.outside_seconds, ADMISSION_SECONDS / 2)
            self.assertEqual(other.node.outside_seconds, 0.0)
            self.leader.restart()
            await asyncio.sleep(2 * ADMISSION_SECONDS)
            self.assertEqual(lost.node.outside_seconds, 0.0)

        self.run_scenario(scenario)

    def test_a_node_outside_refuses_what_only_a_leader_can_serve_at_once(self):
        # Its callers would wait for a leader that it can't know, instead of asking another node.
        async def scenario():
            lost, other = self.followers()
            await self.start_outside(lost)
            asked_at = asyncio.get_running_loop().time()
            with self.assertRaises(NotAdmittedError):
                await self.controls.put(lost, 2)
            with self.assertRaises(NotAdmittedError):
                await self.controls.read(lost)
            self.assertLess(asyncio.get_running_loop().time() - asked_at, 0.1)
            self.assertEqual((await self.controls.put(other, 2)).version, 2)

        self.run_scenario(scenario)

    def test_a_forwarded_request_is_not_forwarded_again(self):
        # Two nodes that take each other for the leader would send it back and forth.
        async def scenario():
            lost, other = self.followers()
            request = JoinRequest(lost.name, "n9@new", "n9:1", CLUSTER, is_forwarded=True)
            with self.assertRaises(RowanrailError):
                await self.controls.call(other, request)

        self.run_scenario(scenario)


class SqlSideAdmissionTest(unittest.TestCase):
    def test_the_leader_is_not_among_the_nodes_of_the_settings(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(seed)
                world.run(self._lose_a_followers_disk(world))

    async def _lose_a_followers_disk(self, world):
        endpoints, registry = EndpointRegistry(), Registry()
        nodes = [NodeAddress(name, f"{name}:7100") for name in ("c1", "c2", "c3")]
        controls = [
            SqlControl(world, endpoints, node.name, "z1", nodes, registry, 1.0, True, 25)
            for node in nodes
        ]
        for control in controls:
            control.start(bootstrap=True)
        await asyncio.sleep(5.0)
        followers = [c for c in controls if not c.node.consensus.raft.is_leader]
        self.assertEqual(len(followers), 2)
        leader = next(c for c in controls if c not in followers)
        lost = followers[0]
        lost.kill()
        lost.set_nodes([node for node in nodes if node.name != leader.name])
        lost.restart(lose_disk=True)
        await asyncio.sleep(2 * ADMISSION_SECONDS)
        identity = lost.node.consensus.identity.node
        self.assertIn(identity, leader.node.consensus.raft.membership.voters)


if __name__ == "__main__":
    unittest.main()
