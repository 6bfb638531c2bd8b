"""Commits that are under way while their primary is replaced, with processes."""

import asyncio
import unittest

from tests.support.acknowledging_members import (
    AcknowledgingGroup,
    AcknowledgingMember,
    ReplacedPrimary,
)
from tests.support.platform_fleet import LineClient, PlatformFleet, configuration

SERVICES = [{"name": "db", "max-conns": 40, "sync-replicas": 1}]
PROXIES = 3  # of one zone, which share connections: most forward to another
ANSWER_SECONDS = 0.6  # less than the time-out of the route
SERVED_SECONDS = 5.0


class ReplacedPrimaryTest(unittest.IsolatedAsyncioTestCase):
    async def send(self) -> list[asyncio.Task[list[str]]]:
        """Send a write and a COMMIT through each proxy, which no replica receives."""
        clients = [
            await self.fleet.client("orders", host) for host in self.fleet.proxy_hosts for _ in "ab"
        ]
        for client in clients[::2]:
            await self.write(client, "BEGIN")
            self.assertEqual(await self.write(client, "WRITE t t"), "DONE sig.write")
        for client in clients[1::2]:
            self.assertEqual(await self.write(client, "WRITE s s"), "DONE sig.write")
        for member in self.fleet.members:
            assert isinstance(member, AcknowledgingMember)
            member.receives = False
        answers = [asyncio.ensure_future(client.query("COMMIT")) for client in clients[::2]]
        for number, client in enumerate(clients[1::2]):
            answers.append(asyncio.ensure_future(client.query(f"WRITE k{number} v{number}")))
        async with asyncio.timeout(ANSWER_SECONDS):
            while self.group.waiting < len(clients):
                await asyncio.sleep(0.005)
        return answers

    async def is_configured(self, host: str) -> bool:
        """Return whether a proxy knows that replicas acknowledge commits."""
        return "rowanrail_gateway_configuration_version 2.0" in await self.fleet.metrics(host)

    async def write(self, client: LineClient, text: str) -> str:
        return (await client.query(text))[0]

    async def check(self, behaviour: ReplacedPrimary, replace: str) -> list[str]:
        """Return the first lines of the answers; check that the service goes on without these."""
        self.group = AcknowledgingGroup("db")
        self.group.replaced_primary = behaviour
        async with PlatformFleet(
            3, PROXIES, group=self.group, member_type=AcknowledgingMember
        ) as self.fleet:
            await self.fleet.until(lambda: self.fleet.put(configuration(2, services=SERVICES)), 200)
            for host in self.fleet.proxy_hosts:
                await self.fleet.until(lambda host=host: self.is_configured(host), True)
            answers = await self.send()
            first, second, _ = self.fleet.members
            if replace == "demote":
                first.demote(first.term + 1)
            self.group.promote(second.instance)
            for member in self.fleet.members:
                assert isinstance(member, AcknowledgingMember)
                member.receives = True
            _, late = await asyncio.wait(answers, timeout=ANSWER_SECONDS)
            self.assertEqual(late, set())
            lines = [answer.result()[0] for answer in answers]
            await self.check_served(second)
        return lines

    async def check_served(self, primary: AcknowledgingMember) -> None:
        client = await self.fleet.client("orders")
        await self.fleet.until(
            lambda: self.write(client, "WRITE last last"), "DONE sig.write", SERVED_SECONDS
        )
        self.assertIn("last", primary.values)
        self.assertNotIn("v0", primary.values)

    # Clients were told that commits stand which had been rolled back.
    async def test_commits_that_a_replaced_primary_reports_are_in_doubt(self):
        for replace in ("promote", "demote"):
            with self.subTest(replace):
                lines = await self.check(ReplacedPrimary.REPORTS_SUCCESS, replace)
                self.assertEqual({line.split(" ")[1] for line in lines}, {"INDOUBT"})

    # Clients waited until the time-out of their route.
    async def test_commits_that_a_replaced_primary_never_answers_are_in_doubt_before_their_time(
        self,
    ):
        for replace in ("promote", "demote"):
            with self.subTest(replace):
                lines = await self.check(ReplacedPrimary.SILENT, replace)
                self.assertEqual({line.split(" ")[1] for line in lines}, {"INDOUBT"})

    async def test_commits_whose_connection_a_replaced_primary_closes_are_in_doubt(self):
        lines = await self.check(ReplacedPrimary.DISCONNECTS, "promote")
        self.assertEqual({line.split(" ")[1] for line in lines}, {"INDOUBT"})
