"""Acknowledged commits of a service with a replica that leaves and one that is behind.

Runs processes.
"""

import asyncio
import itertools
import unittest

from tests.support.acknowledging_members import AcknowledgingGroup, AcknowledgingMember
from tests.support.platform_fleet import MEMBER_PORT, PlatformFleet, configuration

WRITES = 10  # each before and after the third member stops receiving
FAILOVER_TIMEOUT_SECONDS = 10.0
WITHOUT_SUCCESSOR_SECONDS = 4.0  # a failover takes less
SERVICES = [{"name": "db", "max-conns": 40, "sync-replicas": 1}]


class AcknowledgedCommitsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, fleet: PlatformFleet) -> None:
        """Have the second member leave with commits that the third one doesn't receive."""
        self.fleet = fleet
        self.first, self.second, self.third = fleet.members
        self.acknowledged: list[str] = []
        self.numbers = itertools.count()
        await fleet.until(lambda: fleet.put(configuration(2, services=SERVICES)), 200)
        self.client = await fleet.client("orders")
        await self.write()
        fleet.states[self.second.instance] = "draining"
        host = fleet.control_hosts[0]
        await fleet.until(lambda: fleet.heartbeat(host, self.second, "draining"), 200)
        assert isinstance(self.third, AcknowledgingMember)
        self.third.receives = False
        await self.write()
        self.assertEqual(len(self.third.log), WRITES)

    async def write(self) -> None:
        for number in itertools.islice(self.numbers, WRITES):
            lines = await self.client.query(f"WRITE key-{number} v{number}")
            self.assertEqual(lines[0], "DONE sig.write")
            self.acknowledged.append(f"v{number}")

    def crash(self, member: AcknowledgingMember) -> None:
        self.fleet.states[member.instance] = "gone"
        member.stop()

    async def check_promoted(self, member: AcknowledgingMember) -> None:
        """Check that a member is promoted, and that it has all acknowledged commits."""
        group = self.fleet.group
        assert isinstance(group, AcknowledgingGroup)
        async with asyncio.timeout(FAILOVER_TIMEOUT_SECONDS):
            while not group.promoted:
                await asyncio.sleep(0.05)
        self.assertEqual(group.promoted[0], member.instance)
        self.assertEqual(member.values[: len(self.acknowledged)], self.acknowledged)

    # The replica that was behind was promoted.
    async def test_a_leaving_replica_that_has_them_is_promoted(self):
        group = AcknowledgingGroup("db")
        async with PlatformFleet(3, 1, group=group, member_type=AcknowledgingMember) as fleet:
            await self.start(fleet)
            self.crash(self.first)
            await self.check_promoted(self.second)

    # The replica that was behind was promoted before the successor of the other one had started.
    async def test_the_successor_of_a_replica_that_had_them_is_promoted(self):
        group = AcknowledgingGroup("db")
        async with PlatformFleet(3, 1, group=group, member_type=AcknowledgingMember) as fleet:
            await self.start(fleet)
            self.crash(self.second)
            await fleet.until(lambda: fleet.remove(self.second), 200)
            self.crash(self.first)
            await asyncio.sleep(WITHOUT_SUCCESSOR_SECONDS)
            self.assertEqual(group.promoted, [])
            host = self.second.host
            successor = AcknowledgingMember(group, "i-9", host, MEMBER_PORT, is_primary=False)
            successor.log = list(self.second.log)
            await fleet.add(successor)
            await self.check_promoted(successor)
