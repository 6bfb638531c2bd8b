"""What gateways send to a member that announced long ago that it leaves. Runs processes."""

import asyncio
import unittest

from tests.support.line_member import Member, MemberConnection
from tests.support.platform_fleet import PlatformFleet

DRAIN_SECONDS = 7.0  # drain-ms
AFTER_DRAIN_SECONDS = DRAIN_SECONDS + 0.3
MOVE_TIMEOUT_SECONDS = 5.0
LATE_PROMOTE_SECONDS = 60.0  # longer than the test


class RecordingConnection(MemberConnection):
    """Records the lines with a client's request id, whether they are run or not."""

    def handle_line(self, line: str) -> None:
        if line.startswith("QUERY ") and not line.startswith("QUERY - "):
            assert isinstance(self.member, RecordingMember)
            self.member.arrivals.append(line)
        super().handle_line(line)


class RecordingMember(Member):
    connection_type = RecordingConnection

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.arrivals: list[str] = []


class DepartureTest(unittest.IsolatedAsyncioTestCase):
    async def announce_departure(self, fleet: PlatformFleet, member: Member) -> float:
        """Have a member leave; return the time of the acknowledgement."""
        fleet.states[member.instance] = "draining"
        host = fleet.control_hosts[0]
        await fleet.until(lambda: fleet.heartbeat(host, member, "draining"), 200)
        return asyncio.get_running_loop().time()

    async def wait_until_drained(self, acknowledged_at: float) -> None:
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(acknowledged_at + AFTER_DRAIN_SECONDS - now)

    # A gateway that did not sample the primary went on to presume the one that had been replaced.
    async def test_a_gateway_without_statements_follows_a_replacement(self):
        async with PlatformFleet(controls=3, proxies=2, member_type=RecordingMember) as fleet:
            former = fleet.members[0]
            acknowledged_at = await self.announce_departure(fleet, former)
            async with asyncio.timeout(MOVE_TIMEOUT_SECONDS):
                while not any(member.is_primary for member in fleet.members[1:]):
                    await asyncio.sleep(0.05)
            await self.wait_until_drained(acknowledged_at)
            for host in fleet.proxy_hosts:
                client = await fleet.client("orders", host)
                for text in ("WRITE a 1", "READ a", "BEGIN", "WRITE b 1", "COMMIT"):
                    lines = await client.query(text)
                    self.assertNotIn("ERROR", lines[0])
            self.assertEqual(former.arrivals, [])

    # A leaving primary was used until it was replaced, also long after the allowed time.
    async def test_a_leaving_primary_that_is_not_replaced_gets_nothing_more(self):
        async with PlatformFleet(controls=3, proxies=2, member_type=RecordingMember) as fleet:
            fleet.platform.promote_seconds = LATE_PROMOTE_SECONDS
            primary, *replicas = fleet.members
            clients = [await fleet.client("orders", host) for host in fleet.proxy_hosts]
            for client in clients:
                self.assertIn("DONE", (await client.query("WRITE a 1"))[0])
            for replica in replicas:
                replica.replication_paused = True
            self.assertIn("DONE", (await clients[0].query("WRITE a 2"))[0])
            acknowledged_at = await self.announce_departure(fleet, primary)
            await self.wait_until_drained(acknowledged_at)
            self.assertTrue(primary.is_primary)
            primary.arrivals.clear()
            for client in clients:
                for text in ("WRITE b 1", "READ a"):
                    lines = await client.query(text)
                    self.assertTrue(lines[0].startswith("ERROR BUSY"), lines)
                    self.assertIn("retry in", lines[0])
            self.assertEqual(primary.arrivals, [])
