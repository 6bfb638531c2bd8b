"""The line protocol of clients, with gateway processes and simulated members."""

import asyncio
import unittest

from tests.support.platform_fleet import LineClient, PlatformFleet, configuration


class WireTest(unittest.IsolatedAsyncioTestCase):
    async def test_line_protocol(self):
        async with PlatformFleet(controls=1, proxies=1) as fleet:
            for check in (
                self.check_statements,
                self.check_read_your_writes,
                self.check_transactions,
                self.check_session_state,
                self.check_malformed_input,
                self.check_pipelining,
                self.check_unknown_database,
                self.check_changed_routes,
                self.check_idle_sessions,
                self.check_metrics,
            ):
                with self.subTest(check.__name__):
                    await check(fleet)

    async def check_statements(self, fleet):
        client = await fleet.client("orders")
        done = await client.query("WRITE a 1")
        self.assertEqual(done[0], "DONE sig.write")
        self.assertRegex(done[1], r"^READY I 1\.\d+$")
        self.assertEqual((await client.query("READ a"))[:2], ["ROW 1", "DONE sig.read"])

    async def check_read_your_writes(self, fleet):
        for database in ("orders", "carts"):
            client = await fleet.client(database)
            for number in range(20):
                await client.query(f"WRITE own {number}")
                self.assertEqual((await client.query("READ own"))[0], f"ROW {number}")

    async def check_transactions(self, fleet):
        client, other = await fleet.client("orders"), await fleet.client("orders")
        self.assertEqual(await client.query("BEGIN"), ["DONE -", "READY T -"])
        await client.query("WRITE t 1")
        self.assertEqual((await client.query("READ t"))[0], "ROW 1")
        self.assertEqual((await other.query("READ t"))[0], "ROW none")
        self.assertEqual((await client.query("ROLLBACK"))[-1], "READY I -")
        await client.query("BEGIN")
        await client.query("WRITE t 2")
        self.assertEqual((await client.query("COMMIT"))[0], "DONE sig.commit")
        self.assertEqual((await other.query("READ t"))[0], "ROW 2")
        await client.query("BEGIN READ")
        self.assertEqual((await client.query("READ t"))[0], "ROW 2")
        refused = await client.query("WRITE t 3")
        self.assertTrue(refused[0].startswith("ERROR READONLY"), refused)
        self.assertTrue(refused[1].startswith("READY E"))
        self.assertTrue((await client.query("READ t"))[0].startswith("ERROR MALFORMED"))
        self.assertEqual((await client.query("ROLLBACK"))[-1], "READY I -")

    async def check_session_state(self, fleet):
        client = await fleet.client("reports")
        self.assertEqual(await client.query("SET colour red"), ["DONE -", "READY I -"])
        self.assertEqual(await client.query("PREPARE s READ q1"), ["DONE -", "READY I -"])
        self.assertEqual((await client.query("EXECUTE s nothing"))[0], "ROW none")
        self.assertEqual(await client.query("CLOSE s"), ["DONE -", "READY I -"])
        self.assertTrue((await client.query("EXECUTE s a"))[0].startswith("ERROR UNKNOWN"))

    async def check_malformed_input(self, fleet):
        client = await fleet.client("orders")
        for text in (
            "DROP all",
            "READ",
            "BEGIN NOW",
            "SET",
            "PREPARE s LOOK x",
            "AFTER 1.1 READ a",
        ):
            answer = await client.query(text)
            self.assertTrue(answer[0].startswith("ERROR MALFORMED"), (text, answer))
            self.assertTrue(answer[1].startswith("READY I"))
        self.assertEqual((await client.query("READ a"))[1], "DONE sig.read")
        for garbage in (b"\x00\xff\xfe\r\n", b"HELLO\r\n", b"GET / HTTP/1.1\r\n\r\n", b"\r\n"):
            stray = LineClient(fleet.proxy_hosts[0])
            await stray.connect()
            await stray.raw(garbage)
            self.assertTrue((await stray.line()).startswith("ERROR MALFORMED"), garbage)
            self.assertEqual(await stray.line(), "")
        oversized = await fleet.client("orders")
        await oversized.raw(b"QUERY q " + b"x" * (1024 * 1024 + 10) + b"\r\n")
        self.assertTrue((await oversized.line()).startswith("ERROR TOOBIG"))
        partial = await fleet.client("orders")
        await partial.raw(b"QUERY q1 READ")
        await asyncio.sleep(0.05)
        await partial.raw(b" a\r\n")
        self.assertEqual((await partial.answer())[1], "DONE sig.read")
        disconnected = await fleet.client("orders")
        await disconnected.raw(b"QUERY q1 WRITE gone 1")
        disconnected.close()
        quitting = await fleet.client("orders")
        await quitting.raw(b"QUIT\r\n")
        self.assertEqual(await quitting.line(), "")

    async def check_pipelining(self, fleet):
        client = await fleet.client("carts")
        await client.raw(b"".join(b"QUERY p%d WRITE p %d\r\n" % (n, n) for n in range(10)))
        answers = [await client.answer() for _ in range(10)]
        self.assertTrue(all(answer[0] == "DONE sig.write" for answer in answers))
        self.assertEqual((await client.query("READ p"))[0], "ROW 9")

    async def check_unknown_database(self, fleet):
        client = LineClient(fleet.proxy_hosts[0])
        self.assertTrue((await client.start("nothing")).startswith("ERROR NODB"))
        self.assertEqual(await client.line(), "")

    async def check_changed_routes(self, fleet):
        client = await fleet.client("reports")
        routes = [r for r in configuration(1)["routes"] if r["host"] != "reports"]
        self.assertEqual(await fleet.put(configuration(5, routes=routes)), 200)

        async def error_code():
            return (await client.query("READ a"))[0].split(" ")[1]

        await fleet.until(error_code, "NODB", 3)
        self.assertEqual(await fleet.put(configuration(6)), 200)
        await fleet.until(lambda: self._serves(client), True, 3)

    @staticmethod
    async def _serves(client):
        return (await client.query("READ a"))[-2] == "DONE sig.read"

    async def check_idle_sessions(self, fleet):
        before = sum(len(member.connections) for member in fleet.members)
        clients = [await fleet.client("orders") for _ in range(200)]
        after = sum(len(member.connections) for member in fleet.members)
        self.assertLessEqual(after, before)
        for client in clients:
            client.close()

    async def check_metrics(self, fleet):
        proxy = await fleet.metrics(fleet.proxy_hosts[0])
        self.assertIn(
            'rowanrail_gateway_statements_total{kind="write",outcome="done",stage="sent"}', proxy
        )
        self.assertIn('rowanrail_gateway_statement_seconds_bucket{kind="read",le="0.4"}', proxy)
        self.assertIn('rowanrail_gateway_connections{member="i-0",service="db"}', proxy)
        control = await fleet.metrics(fleet.control_hosts[0])
        self.assertIn("rowanrail_control_leader 1.0", control)
        self.assertIn("rowanrail_control_members 3.0", control)
