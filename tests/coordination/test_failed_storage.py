"""A control node whose storage fails must not answer as current, in virtual time."""

import asyncio
import unittest

import msgspec

from rowanlab.simulator.world import World
from rowanrail.coordination.commands import PutDocument
from rowanrail.directory.messages import DirectoryRequest, GatewayReport, LoggedDirectoryRequest
from rowanrail.kernel.errors import RowanrailError
from rowanrail.model.members import MemberRecord
from tests.support.simulated_controls import SimulatedControls

SEEDS = (1, 2, 3)
GATEWAY = GatewayReport("g1", "z1", [])
MEMBER = MemberRecord("m1", "db", "m1:1", "z1", False, False, 3, 1)


class FailedStorageTest(unittest.TestCase):
    """Three nodes; the disk of one of them fills up."""

    def run_scenario(self, scenario):
        for seed in SEEDS:
            world = World(seed)
            self.controls = SimulatedControls(world)
            world.run(self._begin(scenario))

    async def _begin(self, scenario):
        await self.controls.start()
        await self.put(self.controls.nodes[0], 1)
        await scenario()

    async def leader(self):
        while True:
            for control in self.controls.nodes:
                raft = control.node.consensus.raft
                if raft.is_established_leader and not control.disk.full:
                    return control
            await asyncio.sleep(0.05)

    async def put(self, control, version):
        return await self.call_until_served(control, "put", version, f"{version}".encode())

    async def call_until_served(self, control, method, *arguments, seconds=5.0):
        """Call a node until it answers without an error."""
        async with asyncio.timeout(seconds):
            while True:
                process = self.controls.world.process(control.name)
                try:
                    call = getattr(control.node.service, method)(*arguments)
                    return await self.controls.world.run_in(process, call)
                except RowanrailError:
                    await asyncio.sleep(0.05)

    async def fill_disk(self, control):
        """Fill a node's disk, and wait until the others continue without it."""
        control.disk.full = True
        others = [other for other in self.controls.nodes if other is not control]
        await self.put(others[0], 2)
        await asyncio.sleep(2.0)

    async def poll(self, control, known_version):
        process = self.controls.world.process(control.name)
        request = DirectoryRequest(GATEWAY, known_version, 0, 0.0)
        return await self.controls.world.run_in(process, control.node.service.handle(request))

    def test_a_leader_with_a_full_disk_is_not_current(self):
        async def scenario():
            failed = await self.leader()
            await self.fill_disk(failed)
            self.assertFalse((await self.poll(failed, 1)).current)

        self.run_scenario(scenario)

    def test_a_node_with_a_full_disk_does_not_answer_from_its_log(self):
        # Its memory holds entries that were never written to its disk.
        async def scenario():
            failed = await self.leader()
            await self.fill_disk(failed)
            process = self.controls.world.process(failed.name)
            with self.assertRaises(RowanrailError):
                call = failed.node.service.handle(LoggedDirectoryRequest("z1"))
                await self.controls.world.run_in(process, call)

        self.run_scenario(scenario)

    def test_an_entry_that_is_not_on_disk_yet_is_not_told(self):
        # A majority that holds an entry proves that it is committed, also after a loss of power.
        async def scenario():
            leading = await self.leader()
            process = self.controls.world.process(leading.name)

            async def propose_and_ask():
                consensus = leading.node.consensus
                index = consensus.append(msgspec.msgpack.encode(PutDocument(2, b"2"))).index
                reply = await leading.node.service.handle(LoggedDirectoryRequest("z1"))
                return index, reply.last_index, consensus.raft.has_unsaved_state

            index, told, is_unsaved = await self.controls.world.run_in(process, propose_and_ask())
            self.assertGreaterEqual(told, index)
            self.assertFalse(is_unsaved)
            leading.disk.full = True
            with self.assertRaises(RowanrailError):
                await self.controls.world.run_in(process, propose_and_ask())

        self.run_scenario(scenario)

    def test_calls_to_the_failed_node_are_served_by_the_next_leader(self):
        async def scenario():
            failed = await self.leader()
            await self.fill_disk(failed)
            reply = await self.put(failed, 3)
            self.assertEqual(reply.version, 3)
            self.assertEqual((await self.call_until_served(failed, "document")).version, 3)

        self.run_scenario(scenario)

    def test_heartbeats_to_the_failed_node_reach_the_next_leader(self):
        async def scenario():
            failed = await self.leader()
            await self.call_until_served(failed, "announce", MEMBER)
            await self.fill_disk(failed)
            leading = await self.leader()
            for sequence in range(2, 12):
                record = MemberRecord("m1", "db", "m1:1", "z1", False, False, 3, sequence)
                await self.call_until_served(failed, "announce", record)
                await asyncio.sleep(0.2)
            self.assertLess(leading.node.service.liveness.heartbeat_ago("m1"), 0.5)

        self.run_scenario(scenario)

    def test_the_node_recovers_once_its_disk_has_space(self):
        async def scenario():
            failed = await self.leader()
            await self.fill_disk(failed)
            failed.disk.full = False
            await asyncio.sleep(3.0)
            self.assertEqual(failed.node.state.version, 2)
            self.assertTrue((await self.poll(failed, 1)).current)

        self.run_scenario(scenario)
