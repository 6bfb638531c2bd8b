"""Evacuated zones, with control nodes and gateways as processes and faults among them."""

import asyncio
import contextlib
import statistics
import unittest

from tests.support.line_member import Member, MemberConnection
from tests.support.platform_fleet import PlatformFleet

CALM_ACKNOWLEDGEMENT_SECONDS = 0.2
CALL_SECONDS = 0.95  # callers try the next node after 1 s
KNOWN_SECONDS = 1.0
ALLOWED_SECONDS = 5.0
CLIENT_PAUSE_SECONDS = 0.02


class _TimedConnection(MemberConnection):
    def handle_line(self, line):
        self.member.received.append((asyncio.get_running_loop().time(), line))
        super().handle_line(line)


class ZonedMember(Member):
    """A member in a zone of its own, which keeps what it received and when."""

    connection_type = _TimedConnection

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.received = []

    @property
    def zone(self):
        return "z" + self.instance.rpartition("-")[2]

    def heartbeat(self, state="ready"):
        return {**super().heartbeat(state), "zone": self.zone}

    def received_since(self, time, word=""):
        return [(at - time, line) for at, line in self.received if at > time and word in line]


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    def fleet(self, proxies=3):
        return PlatformFleet(controls=3, proxies=proxies, member_type=ZonedMember)

    @staticmethod
    def now():
        return asyncio.get_running_loop().time()

    async def order(self, call, zone, hosts):
        """Send an order to one node after the other until it is acknowledged."""
        deadline = self.now() + 15
        while True:
            for host in hosts:
                sent_at = self.now()
                status = await call(zone, host)
                if status == 200:
                    return
                if status:
                    self.assertEqual(status, 503)
                    self.assertLess(self.now() - sent_at, CALL_SECONDS)
            self.assertLess(self.now(), deadline, f"the order for {zone} is not acknowledged")
            await asyncio.sleep(0.05)

    @contextlib.asynccontextmanager
    async def clients(self, fleet):
        """Run reads and writes at all gateways in the meantime."""
        stopped = asyncio.Event()
        tasks = [
            asyncio.ensure_future(self.run_client(fleet, h, stopped)) for h in fleet.proxy_hosts
        ]
        try:
            yield
        finally:
            stopped.set()  # a cancellation can be lost in the clients' time limits
            await asyncio.gather(*tasks)

    async def run_client(self, fleet, host, stopped):
        """Run reads and writes at a gateway, also across its restarts."""
        while not stopped.is_set():
            try:
                reader = await fleet.client("reports", host)
                writer = await fleet.client("orders", host)
                while not stopped.is_set():
                    if not (await reader.query("READ a") and await writer.query("WRITE a 1")):
                        break
                    await asyncio.sleep(CLIENT_PAUSE_SECONDS)
            except (OSError, EOFError, TimeoutError, ValueError):
                pass  # the gateway was killed, or is not ready yet
            await asyncio.sleep(CLIENT_PAUSE_SECONDS)

    async def evacuated_zones(self, fleet, host):
        name = (
            "rowanrail_control_evacuated_zones"
            if host in fleet.control_hosts
            else "rowanrail_gateway_evacuated_zones"
        )
        metrics = await fleet.metrics(host)
        line = next(line for line in metrics.splitlines() if line.startswith(name))
        return float(line.split()[-1])

    async def test_orders_are_acknowledged_soon_and_obeyed_by_all_gateways(self):
        async with self.fleet() as fleet:
            primary, replica, last = fleet.members
            await self.order(fleet.evacuate, "spare", fleet.control_hosts)
            async with self.clients(fleet):
                await self.check_acknowledgements(fleet)
                await asyncio.sleep(1.0)
                self.assertTrue(replica.received_since(self.now() - 1.0, "READ a"))
                await self.order(fleet.evacuate, replica.zone, fleet.control_hosts)
                ordered_at = self.now()
                await asyncio.sleep(ALLOWED_SECONDS)
                reads = [after for after, _ in replica.received_since(ordered_at, "READ a")]
                self.assertLess(max(reads, default=0.0), KNOWN_SECONDS)
                await self.order(fleet.evacuate, primary.zone, fleet.control_hosts)
                await asyncio.sleep(ALLOWED_SECONDS)
                closed_at = self.now()
                await self.check_new_gateway(fleet)
                await asyncio.sleep(2.0)
                for member in (primary, replica):
                    self.assertEqual(member.received_since(closed_at), [])
                await self.order(fleet.evacuate, last.zone, fleet.control_hosts)
                await asyncio.sleep(ALLOWED_SECONDS)
                await self.check_refused_at_once(fleet)
                for member in fleet.members:
                    await self.order(fleet.end_evacuation, member.zone, fleet.control_hosts)
                await asyncio.sleep(KNOWN_SECONDS)
                client = await fleet.client("orders")
                self.assertEqual((await client.query("WRITE a 2"))[0], "DONE sig.write")

    async def check_acknowledgements(self, fleet):
        taken = []
        for number in range(20):
            call = fleet.end_evacuation if number % 2 else fleet.evacuate
            sent_at = self.now()
            self.assertEqual(await call("other", fleet.control_hosts[number % 3]), 200)
            taken.append(self.now() - sent_at)
        self.assertLess(statistics.median(taken), CALM_ACKNOWLEDGEMENT_SECONDS)
        orders = [fleet.evacuate(f"zone-{n}", fleet.control_hosts[n % 3]) for n in range(8)]
        self.assertEqual(await asyncio.gather(*orders), [200] * 8)

    async def check_new_gateway(self, fleet):
        host = f"{fleet.proxy_hosts[0].rpartition('.')[0]}.99"
        fleet.proxy_hosts.append(host)
        fleet.start_proxy(host)
        await fleet.until(lambda: fleet.ready(host), 200)
        client = await fleet.client("reports", host)
        for _ in range(20):
            await client.query("READ a")

    async def check_refused_at_once(self, fleet):
        for host in fleet.proxy_hosts:
            for database in ("orders", "reports"):
                client = await fleet.client(database, host)
                sent_at = self.now()
                (refused, _) = await client.query("READ a")
                self.assertIn("ERROR BUSY", refused)
                self.assertIn("evacuated; retry in", refused)
                self.assertLess(self.now() - sent_at, 0.1)

    async def test_an_order_survives_its_leader_and_the_kill_of_all_processes(self):
        async with self.fleet(proxies=2) as fleet:
            primary = fleet.members[0]
            await self.order(fleet.evacuate, "spare", fleet.control_hosts)
            async with self.clients(fleet):
                leader = await fleet.leader()
                others = [host for host in fleet.control_hosts if host != leader]
                first = asyncio.ensure_future(fleet.evacuate(primary.zone, leader))
                await asyncio.sleep(0.002)
                fleet.kill(leader)
                first.cancel()
                await self.order(fleet.evacuate, primary.zone, others)
                for host in [*others, *fleet.proxy_hosts]:
                    fleet.kill(host)
                for host in [*fleet.control_hosts, *fleet.proxy_hosts]:
                    fleet.restart(host)
                for host in fleet.proxy_hosts:
                    await fleet.until(lambda host=host: fleet.ready(host), 200)
                await asyncio.sleep(ALLOWED_SECONDS)
                closed_at = self.now()
                await asyncio.sleep(2.0)
                self.assertEqual(primary.received_since(closed_at), [])
                for host in [*fleet.control_hosts, *fleet.proxy_hosts]:
                    self.assertEqual(await self.evacuated_zones(fleet, host), 2.0, host)
