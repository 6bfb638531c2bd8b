"""Reads on lagging replicas must return what the group's consistency level promises."""

import asyncio
import unittest

from rowanlab.simulator.data_world import DataOptions, DataWorld
from rowanlab.simulator.permissive import registry_without
from rowanlab.simulator.world import World
from rowanlab.standin.member import FaultRequest
from rowanrail.config.model import GroupConsistency
from rowanrail.kernel.events import disable_logging

LAG_SECONDS = 0.4
COUNT = "SELECT COUNT(*) FROM edits"


class ConsistencyTest(unittest.TestCase):
    def observe(self, consistency):
        """Return what an existing session reads right after another's write, and later."""
        disable_logging()
        world = World(1)
        options = DataOptions(callers=0, proxies=1, consistency=consistency)
        data = DataWorld(world, registry_without(None), 1, options)

        async def scenario(core):
            reader = core.open_session("caller", "data")
            await reader.execute(COUNT, {})
            for member in data.members:
                if member is not data.primary():
                    member.member.set_faults(FaultRequest(lag_seconds=LAG_SECONDS))
            writer = core.open_session("caller", "data")
            await writer.execute("INSERT INTO edits (operation) VALUES ('x')", {})
            soon = (await reader.execute(COUNT, {})).rows[0][0]
            await asyncio.sleep(3 * LAG_SECONDS + 1.0)
            later = (await reader.execute(COUNT, {})).rows[0][0]
            own = (await writer.execute(COUNT, {})).rows[0][0]
            return soon, later, own

        async def started():
            await data.start()
            await asyncio.sleep(10.0)
            process = world.process("p1")
            return await world.run_in(process, scenario(data.proxies[0].core))

        return world.run(started())

    def test_strict_reads_see_all_acknowledged_writes(self):
        self.assertEqual(self.observe(GroupConsistency.STRICT), (b"1", b"1", b"1"))

    def test_session_reads_may_miss_recent_writes_of_other_sessions(self):
        self.assertEqual(self.observe(GroupConsistency.SESSION), (b"0", b"1", b"1"))

    def test_bounded_reads_catch_up_within_their_bound(self):
        soon, later, own = self.observe(GroupConsistency.BOUNDED)
        self.assertIn(soon, (b"0", b"1"))
        self.assertEqual((later, own), (b"1", b"1"))
