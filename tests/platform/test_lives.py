"""Members that start again, and announcements of other writers, with running processes."""

import asyncio
import unittest

from tests.support.platform_fleet import CONTROL_PORT, PlatformFleet

BORN = 1_700_000_000_000


class MemberLivesTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_replica_that_starts_again_serves_again(self):
        async with PlatformFleet(controls=3, proxies=2) as fleet:
            replica = next(member for member in fleet.members if not member.is_primary)
            client, reader = await fleet.client("orders"), await fleet.client("reports")
            await client.query("WRITE a 1")
            replica.stop()
            fleet.states[replica.instance] = "gone"
            await asyncio.sleep(1.0)
            await replica.start_again(BORN)
            replica.log.extend(fleet.group.primary.log)
            fleet.states.pop(replica.instance)

            async def is_used():
                answer = (await reader.query("READ a"))[0]
                return answer, bool(replica.executed)

            await fleet.until(is_used, ("ROW 1", True), 10)
            self.assertEqual((await client.query("WRITE a 2"))[0], "DONE sig.write")
            self.assertEqual(fleet.platform.calls, [], "the primary is not replaced")

    async def test_other_writers_change_nothing(self):
        async with PlatformFleet(controls=3, proxies=1) as fleet:
            client = await fleet.client("orders")
            await client.query("WRITE a 1")
            primary = fleet.group.primary
            valid = primary.heartbeat()
            bodies = [
                b"\xff\xfe",
                b"[" * 4000,
                *(
                    {**valid, **changes}
                    for changes in (
                        {"state": "resting"},
                        {"db-role": 7},
                        {"addr": "nowhere"},
                        {"slots": -1},
                        {"service": "made-up", "call-seq": valid["call-seq"] + 50},
                    )
                ),
                {key: value for key, value in valid.items() if key != "db-role"},
                {**valid, "version": "v" * 5000},
            ]
            for host in fleet.control_hosts:
                for instance in (primary.instance, "i-made-up"):
                    url = f"http://{host}:{CONTROL_PORT}/instances/{instance}"
                    for body in bodies:
                        sent = {"data": body} if isinstance(body, bytes) else {"json": body}
                        status = await fleet._call("PUT", url, **sent)
                        self.assertIn(status, (400, 409, 413), (instance, body))
            metrics = await fleet.metrics(fleet.control_hosts[0])
            self.assertIn('announcements_rejected{reason="invalid"} 14.0', metrics)
            self.assertIn("rowanrail_control_members 3.0", metrics)
            self.assertEqual((await client.query("WRITE a 2"))[0], "DONE sig.write")
            self.assertEqual(fleet.platform.calls, [])


if __name__ == "__main__":
    unittest.main()
