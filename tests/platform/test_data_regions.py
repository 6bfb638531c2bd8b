"""Regions of data with gateway processes: where statements run, and by which gateways."""

import asyncio
import json
import unittest

from tests.support.line_member import Member
from tests.support.platform_fleet import LineClient, PlatformFleet, configuration

ZONES = ("a1", "b1", "c1")
REGIONS = {zone: zone[0] for zone in ZONES}
# Gateways share connections once their directories list each other, after a second or more.
FORWARDING_SECONDS = 20.0
ZONE_OF_MEMBER = {"i-0": "b1", "i-1": "a1", "i-2": "c1"}  # i-0 is the primary


class ZonedMember(Member):
    def heartbeat(self, state="ready"):
        return super().heartbeat(state) | {"zone": ZONE_OF_MEMBER[self.instance]}


def document(version, route=(), tenant=()):
    tenants = [{"name": "t", "api-keys": ["tester"], "allowed-regions": list(tenant)}]
    base = configuration(version, tenants=tenants)
    for each in base["routes"]:
        each["allowed-regions"] = list(route)
    return base


class DataRegionsTest(unittest.IsolatedAsyncioTestCase):
    async def test_statements_run_in_their_regions(self):
        # Control nodes that know no regions leave the primary where it is.
        async with PlatformFleet(
            1,
            6,
            ZONES,
            regions=REGIONS,
            control_zones=("b1",),
            control_regions={},
            member_type=ZonedMember,
        ) as fleet:
            self.fleet, self.version = fleet, 1
            self.outside = next(h for h in fleet.proxy_hosts if self.region(h) == "c")
            for check in (
                self.check_a_gateway_outside,
                self.check_a_primary_outside,
                self.check_an_open_transaction,
                self.check_lists_without_a_common_region,
                self.check_what_gateways_report,
            ):
                with self.subTest(check.__name__):
                    await check()

    async def test_a_primary_outside_moves_into_the_regions_of_its_routes(self):
        async with PlatformFleet(
            1, 3, ZONES, regions=REGIONS, control_zones=("b1",), member_type=ZonedMember
        ) as fleet:
            self.fleet, self.version = fleet, 1
            self.outside = next(h for h in fleet.proxy_hosts if self.region(h) == "c")
            await self.bind()
            client = await self.client("carts")
            self.assertIn("DONE", (await client.query("WRITE before 1"))[-2])
            await self.bind(["a"])

            async def writes():
                return "DONE" in (await client.query("WRITE after 1"))[-2]

            await fleet.until(writes, True)
            self.assertEqual(fleet.group.primary.instance, "i-1")
            self.assertEqual(fleet.group.primary.data()["before"], "1")
            self.assertEqual(self.executed("after"), {"i-1"})

    def region(self, host):
        return REGIONS[ZONES[self.fleet.proxy_hosts.index(host) % len(ZONES)]]

    async def bind(self, route=(), tenant=()):
        self.version += 1
        status = await self.fleet.put(document(self.version, route, tenant))
        self.assertLess(status, 300)
        wanted = f"rowanrail_gateway_configuration_version {float(self.version)}"
        for host in self.fleet.proxy_hosts:

            async def has_version(host=host):
                return wanted in await self.fleet.metrics(host)

            await self.fleet.until(has_version, True)

    async def client(self, database):
        client = LineClient(self.outside)
        self.addCleanup(client.close)
        await client.start(database)
        return client

    def helpers(self, text):
        """Return the regions of other gateways that ran statements of a request's client."""
        whole_lines = self.fleet.log(self.outside).rpartition("\n")[0].splitlines()
        lines = [json.loads(line) for line in whole_lines]
        names = {line["via"] for line in lines if line.get("database") == text and line.get("via")}
        return {self.region(name.removeprefix("proxy-")) for name in names}

    def executed(self, key):
        return {m.instance for m in self.fleet.members if any(key in e for e in m.executed)}

    async def check_a_gateway_outside(self):
        await self.bind(["b"])
        client = await self.client("orders")
        statements = 0
        deadline = asyncio.get_running_loop().time() + FORWARDING_SECONDS
        while statements < 60 or not self.helpers("orders"):
            self.assertLess(asyncio.get_running_loop().time(), deadline, "nothing was forwarded")
            for text in (f"WRITE far{statements} 1", f"READ far{statements}"):
                self.assertIn("DONE", (await client.query(text))[-2], text)
                statements += 1
            await asyncio.sleep(0.02)
        self.assertEqual(self.executed("far"), {"i-0"})
        self.assertEqual(self.helpers("orders"), {"b"})

    async def check_a_primary_outside(self):
        await self.bind(["a", "c"])
        reader, writer = await self.client("reports"), await self.client("carts")
        for _ in range(10):
            self.assertIn("DONE", (await reader.query("READ near"))[-2])
            answer = await writer.query("WRITE near 1")
            self.assertTrue(answer[0].startswith("ERROR BUSY"), answer)
            self.assertIn("outside-regions", answer[0])
        self.assertLessEqual(self.executed("near"), {"i-1", "i-2"})
        self.assertNotIn("b", self.helpers("reports") | self.helpers("carts"))

    async def check_an_open_transaction(self):
        await self.bind(["b"])
        client = await self.client("orders")
        await client.query("BEGIN")
        self.assertIn("DONE", (await client.query("WRITE begun 1"))[-2])
        await self.bind(["c"])
        answer = await client.query("WRITE later 1")
        self.assertTrue(answer[0].startswith("ERROR ABORTED"), answer)
        await client.query("ROLLBACK")
        self.assertFalse(self.executed("later"))
        self.assertNotIn("begun", self.fleet.group.primary.data())

    async def check_lists_without_a_common_region(self):
        await self.bind(["a", "atlantis"], ["b"])
        for database in ("orders", "reports", "carts"):
            client = await self.client(database)
            answer = await client.query("READ nowhere")
            self.assertIn("outside-regions", answer[0])
        self.assertFalse(self.executed("nowhere"))

    async def check_what_gateways_report(self):
        for host in self.fleet.proxy_hosts:
            metrics = await self.fleet.metrics(host)
            self.assertIn("rowanrail_gateway_received_outside_regions 0", metrics)
            self.assertIn('rowanrail_gateway_bound_to_regions{kind="tenant"} 1', metrics)

            async def has_logged(host=host):  # the log is written at intervals
                return '"event":345' in self.fleet.log(host)

            await self.fleet.until(has_logged, True)
