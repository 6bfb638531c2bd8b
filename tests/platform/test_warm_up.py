"""A member with a warm-up limit gets no more from all processes together."""

import asyncio
import time
import unittest

from tests.support.line_member import Member, MemberConnection
from tests.support.platform_fleet import PlatformFleet, configuration

RATE = 8
WARM_UP_SECONDS = 16
HANDOVER_SECONDS = 8.0
EXCESS, SLACK = 1.5, 5
WRITE_INTERVAL_SECONDS = 0.05


class TimedConnection(MemberConnection):
    """Records when each command arrived."""

    def handle_line(self, line):
        if self.started:
            self.member.arrivals.append(time.monotonic())
        super().handle_line(line)


class TimedMember(Member):
    connection_type = TimedConnection

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.arrivals = []


def busiest_second(times):
    return max((sum(at - 1 < other <= at for other in times) for at in times), default=0)


class WarmUpLimitTest(unittest.IsolatedAsyncioTestCase):
    async def write_until(self, fleet, end):
        """Write at all gateways; return the answers with their times."""
        answers = []

        async def write(host):
            client = await fleet.client("orders", host)
            while time.monotonic() < end:
                lines = await client.query("WRITE a 1")
                answers.append((time.monotonic(), lines[0].split(" ")[0]))
                await asyncio.sleep(WRITE_INTERVAL_SECONDS)
            client.close()

        await asyncio.gather(*(write(host) for host in fleet.proxy_hosts * 2))
        return answers

    async def test_writes_to_a_warming_primary(self):
        async with PlatformFleet(3, 4, member_type=TimedMember) as fleet:
            service = {
                "name": "db",
                "max-conns": 40,
                "warmup-s": WARM_UP_SECONDS,
                "warmup-per-s": RATE,
            }
            await asyncio.sleep(HANDOVER_SECONDS)
            self.assertEqual(await fleet.put(configuration(2, services=[service])), 200)
            await asyncio.sleep(1.0)
            began = time.monotonic()
            answers = await self.write_until(fleet, began + WARM_UP_SECONDS + 4)
            warm_at = began + WARM_UP_SECONDS - 2
            arrivals = [at for at in fleet.members[0].arrivals if began < at < warm_at]
            self.assertLessEqual(busiest_second(arrivals), EXCESS * RATE + SLACK)
            served = [at for at, word in answers if word == "DONE"]
            while_cold = sum(began + HANDOVER_SECONDS < at < warm_at for at in served)
            self.assertGreater(while_cold, 0.5 * RATE * (warm_at - began - HANDOVER_SECONDS))
            self.assertGreater(sum(at > began + WARM_UP_SECONDS + 1 for at in served), 4 * RATE)
            self.assertEqual({word for _, word in answers}, {"DONE", "ERROR"})
