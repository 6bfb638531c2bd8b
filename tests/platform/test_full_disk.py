"""A control node leads and its disk takes no more bytes: processes, and the route of a gateway.

Seen: a confirmed configuration added routes, and the gateways of one zone answered for more than
3 s that there was no such route; those of other zones served it. No process had ended.

How it came about: the control node of that zone led when a write to its log failed. The loop that
drives the log ended with the failure, and with it all that would have ended the role: the check of
the quorum, and the messages of the next leader. A leader counted as sure of what is committed
without a further look, so the gateways that followed this one stayed with it and its last version,
and operators who called it got no clear answer, though another node led.

What proved it: the first test below, which does just that and nothing else, failed for as long as
one waited. With the disk of a node that follows, the gateways of its zone stayed for 2.5 s: the
last word of the leader counted for 1.5 s more, and a poll under way was held to its end.
"""

import asyncio
import unittest

from tests.support.platform_fleet import PlatformFleet, configuration

ZONES = ("a", "b", "c")
STAYS_FULL_SECONDS = 1.0  # above an election, which takes 0.1 to 0.5 s
IN_FORCE_SECONDS = 2.5  # of 3 s that users allow from the acknowledgement


def with_route(version, host):
    """Return a configuration with one route more."""
    document = configuration(version)
    document["routes"].append({**document["routes"][0], "name": f"r-{host}", "host": host})
    return document


class FullDiskTest(unittest.IsolatedAsyncioTestCase):
    async def is_served(self, fleet, host, database):
        client = await fleet.client(database, host)
        client.close()
        return (await client.start(database)).startswith("READY")

    async def add_route(self, fleet, failed, version, database):
        """Add a route through the nodes whose disk is well; return once it is acknowledged."""
        hosts = [host for host in fleet.control_hosts if host != failed]

        async def put():
            answers = [await fleet.put(with_route(version, database), host) for host in hosts]
            return 200 in answers

        await fleet.until(put, True, 10)

    async def route_after_failure(self, leads):
        async with PlatformFleet(3, 3, zones=ZONES, control_zones=ZONES) as fleet:
            await asyncio.sleep(2.5)  # each gateway follows the node of its own zone by then
            leader = await fleet.leader()
            self.assertIn(leader, fleet.control_hosts)
            others = [host for host in fleet.control_hosts if host != leader]
            failed = leader if leads else others[0]
            fleet.fill_disk(failed, True)
            await self.add_route(fleet, failed, 2, "added")
            await asyncio.sleep(IN_FORCE_SECONDS)
            served = [await self.is_served(fleet, host, "added") for host in fleet.proxy_hosts]
            self.assertEqual(served, [True, True, True])

    async def test_a_route_is_in_force_in_the_zone_of_a_leader_whose_disk_fails(self):
        await self.route_after_failure(leads=True)

    async def test_a_route_is_in_force_in_the_zone_of_a_follower_whose_disk_fails(self):
        await self.route_after_failure(leads=False)

    async def test_a_node_takes_part_again_once_its_disk_takes_bytes(self):
        # Without it two disks that are full one after the other leave one node of three.
        async with PlatformFleet(controls=3, proxies=1) as fleet:
            first = await fleet.leader()
            fleet.fill_disk(first, True)
            await self.add_route(fleet, first, 2, "added")
            await asyncio.sleep(STAYS_FULL_SECONDS)
            fleet.fill_disk(first, False)
            await asyncio.sleep(STAYS_FULL_SECONDS)
            second = next(host for host in fleet.control_hosts if host != first)
            fleet.kill(second)

            async def put():
                return await fleet.put(configuration(3), first)

            await fleet.until(put, 200, 10)
