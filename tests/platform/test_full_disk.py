"""Routes come into force in all zones while the disk of a control node is full.

Guards against a control node, leader or follower, that stops processing after a failed write but
still serves outdated configurations to the gateways of its zone. Runs processes.
"""

import asyncio
import unittest

from tests.support.platform_fleet import PlatformFleet, configuration

ZONES = ("a", "b", "c")
DISK_FULL_SECONDS = 1.0  # longer than an election, which takes 0.1 to 0.5 s
IN_FORCE_SECONDS = 2.5  # the target is 3 s from the acknowledgement


def with_route(version, host):
    """Return a configuration with an additional route."""
    document = configuration(version)
    document["routes"].append({**document["routes"][0], "name": f"r-{host}", "host": host})
    return document


class FullDiskTest(unittest.IsolatedAsyncioTestCase):
    async def is_served(self, fleet, host, database):
        client = await fleet.client(database, host)
        client.close()
        return (await client.start(database)).startswith("READY")

    async def add_route(self, fleet, failed, version, database):
        """Add a route through the nodes whose disk is not full; return once it is acknowledged."""
        hosts = [host for host in fleet.control_hosts if host != failed]

        async def put():
            answers = [await fleet.put(with_route(version, database), host) for host in hosts]
            return 200 in answers

        await fleet.until(put, True, 10)

    async def route_after_failure(self, is_leader):
        async with PlatformFleet(3, 3, zones=ZONES, control_zones=ZONES) as fleet:
            await asyncio.sleep(2.5)  # by then each gateway polls the node of its own zone
            leader = await fleet.leader()
            self.assertIn(leader, fleet.control_hosts)
            others = [host for host in fleet.control_hosts if host != leader]
            failed = leader if is_leader else others[0]
            fleet.fill_disk(failed, True)
            await self.add_route(fleet, failed, 2, "added")
            await asyncio.sleep(IN_FORCE_SECONDS)
            served = [await self.is_served(fleet, host, "added") for host in fleet.proxy_hosts]
            self.assertEqual(served, [True, True, True])

    async def test_a_route_is_in_force_in_the_zone_of_a_leader_whose_disk_fails(self):
        await self.route_after_failure(is_leader=True)

    async def test_a_route_is_in_force_in_the_zone_of_a_follower_whose_disk_fails(self):
        await self.route_after_failure(is_leader=False)

    async def test_a_node_takes_part_again_once_its_disk_has_space(self):
        # Otherwise two disks that fill up one after the other leave one of three nodes.
        async with PlatformFleet(controls=3, proxies=1) as fleet:
            first = await fleet.leader()
            fleet.fill_disk(first, True)
            await self.add_route(fleet, first, 2, "added")
            await asyncio.sleep(DISK_FULL_SECONDS)
            fleet.fill_disk(first, False)
            await asyncio.sleep(DISK_FULL_SECONDS)
            second = next(host for host in fleet.control_hosts if host != first)
            fleet.kill(second)

            async def put():
                return await fleet.put(configuration(3), first)

            await fleet.until(put, 200, 10)
