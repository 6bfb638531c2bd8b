"""A region is lost at once: a third of the control nodes, of the gateways and of the members.

Guards against a quorum, a failover or a holder of connections that depends on one region. Runs
processes.
"""

import asyncio
import unittest
from typing import Any

from tests.support.line_member import Member
from tests.support.platform_fleet import PlatformFleet, configuration

ZONES = ("a1", "b1", "c1", "a2", "b2", "c2")
REGIONS = {zone: zone[0] for zone in ZONES}
FAILOVER_SECONDS = 14.0  # within which a lost primary is to be replaced
CONNECTIONS = 16  # few enough that gateways share them


class ZonedMember(Member):
    """A member in the first zone of a region; the first member, which is the primary, in ``a1``."""

    def heartbeat(self, state: str = "ready") -> dict[str, Any]:
        number = int(self.instance.rpartition("-")[2])
        return {**super().heartbeat(state), "zone": ZONES[number % 3]}


def shared_connections(version):
    services = [{"name": "db", "max-conns": CONNECTIONS, "sync-replicas": 0}]
    return configuration(version, services=services)


class RegionLossTest(unittest.IsolatedAsyncioTestCase):
    def fleet(self):
        return PlatformFleet(
            controls=6,
            proxies=6,
            zones=ZONES,
            regions=REGIONS,
            control_zones=ZONES,
            member_type=ZonedMember,
        )

    @staticmethod
    def hosts_in(fleet, region):
        """Return the control nodes and the proxies of a region."""
        controls = [
            h for h, zone in zip(fleet.control_hosts, ZONES, strict=True) if zone[0] == region
        ]
        proxies = [h for h, zone in zip(fleet.proxy_hosts, ZONES, strict=True) if zone[0] == region]
        return controls, proxies

    async def writes(self, fleet, host, value):
        """Return whether a new session at a proxy writes and reads its own write."""
        try:
            client = await fleet.client("carts", host)
            written = await client.query(f"WRITE k {value}")
            read = await client.query("READ k")
            client.close()
        except (OSError, TimeoutError):
            return False  # the proxy is not up yet, or has just lost the primary
        return written[0] == "DONE sig.write" and read[0] == f"ROW {value}"

    async def test_service_goes_on_elsewhere_and_the_region_returns(self):
        async with self.fleet() as fleet:
            await fleet.until(lambda: fleet.put(shared_connections(2)), 200)
            controls, proxies = self.hosts_in(fleet, "a")
            others = [host for host in fleet.proxy_hosts if host not in proxies]
            other_controls = [host for host in fleet.control_hosts if host not in controls]
            self.assertTrue(await self.writes(fleet, others[0], "before"))
            lost = fleet.group.primary
            fleet.states[lost.instance] = "gone"
            lost.stop()
            for host in [*controls, *proxies]:
                fleet.kill(host)

            began = asyncio.get_running_loop().time()
            for host in others:
                left = FAILOVER_SECONDS - (asyncio.get_running_loop().time() - began)
                await fleet.until(lambda host=host: self.writes(fleet, host, "during"), True, left)
            self.assertNotEqual(fleet.group.primary.instance, lost.instance)
            await fleet.until(
                lambda: fleet.put(shared_connections(3), other_controls[0]), 200, FAILOVER_SECONDS
            )

            for host in [*controls, *proxies]:
                fleet.restart(host)
            await lost.start()
            fleet.states[lost.instance] = "ready"
            for host in proxies:
                await fleet.until(lambda host=host: self.writes(fleet, host, "after"), True)
            for host in controls:
                await fleet.until(lambda host=host: self.version(fleet, host), 3)

    @staticmethod
    async def version(fleet, host):
        status, document = await fleet.get(host)
        return document["version"] if status == 200 else None


if __name__ == "__main__":
    unittest.main()
