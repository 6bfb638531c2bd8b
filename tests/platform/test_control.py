"""HTTP API of control nodes, replacement of a primary, and planned stops. Runs processes."""

import asyncio
import json
import signal
import unittest

from tests.support.platform_fleet import HEARTBEAT_SECONDS, PlatformFleet, configuration


class ControlTest(unittest.IsolatedAsyncioTestCase):
    async def test_configurations(self):
        async with PlatformFleet(controls=3, proxies=1) as fleet:
            first, second, third = fleet.control_hosts
            wanted = configuration(10)
            self.assertEqual(await fleet.put(wanted, second), 200)
            for host in fleet.control_hosts:
                self.assertEqual(await fleet.put(wanted, host), 200)  # sent again
                self.assertEqual(await fleet.get(host), (200, wanted))
            self.assertEqual(await fleet.put(configuration(4), third), 200)  # older
            changed = configuration(10, limits={"idle-tx-ms": 1})
            self.assertEqual(await fleet.put(changed, third), 200)
            self.assertEqual(await fleet.get(first), (200, wanted))
            await self.check_invalid_documents(fleet)
            self.assertEqual(await fleet.get(first), (200, wanted))
            both = await asyncio.gather(
                fleet.put(configuration(20, limits={"idle-tx-ms": 1}), first),
                fleet.put(configuration(20, limits={"idle-tx-ms": 2}), second),
            )
            self.assertEqual(both, [200, 200])
            answers = [await fleet.get(host) for host in fleet.control_hosts]
            self.assertEqual(answers, [answers[0]] * 3)
            await self.check_without_majority(fleet)

    async def check_invalid_documents(self, fleet):
        def with_route(**changes):
            document = configuration(30)
            document["routes"][0].update(changes)
            return document

        duplicate = configuration(30)
        duplicate["routes"].append({**duplicate["routes"][0], "name": "other"})
        for document in (
            json.dumps(configuration(30)).encode()[:-40],
            b"",
            b"[]",
            b'{"version": 30}',
            with_route(service="nobody"),
            with_route(**{"timeout-ms": 0}),
            with_route(kind="wild"),
            duplicate,
            configuration(0),
        ):
            self.assertEqual(await fleet.put(document), 400, document)

    async def check_without_majority(self, fleet):
        fleet.kill(fleet.control_hosts[1])
        fleet.kill(fleet.control_hosts[2])
        await asyncio.sleep(1.0)
        self.assertEqual((await fleet.get())[0], 503)
        self.assertEqual(await fleet.put(configuration(40)), 503)
        fleet.start_control(fleet.control_hosts[1], bootstrap=False)
        await fleet.until(lambda: fleet.put(configuration(40)), 200)
        self.assertEqual((await fleet.get())[1]["version"], 40)

    async def test_a_lost_primary_is_replaced(self):
        async with PlatformFleet(controls=3, proxies=2) as fleet:
            client = await fleet.client("orders")
            await client.query("WRITE a 1")
            await asyncio.sleep(1.5)
            lost = fleet.group.primary
            fleet.states[lost.instance] = "gone"
            lost.stop()

            async def writes():
                return (await client.query("WRITE a 2"))[0]

            await fleet.until(writes, "DONE sig.write", 8)
            self.assertNotEqual(fleet.group.primary.instance, lost.instance)
            self.assertEqual((await client.query("READ a"))[0], "ROW 2")
            self.assertEqual([call[3] for call in fleet.platform.calls], [200])

    async def test_a_leaving_primary_hands_over_and_gets_no_new_work(self):
        async with PlatformFleet(controls=3, proxies=1) as fleet:
            client = await fleet.client("orders")
            await client.query("WRITE a 1")
            leaving = fleet.group.primary
            fleet.states[leaving.instance] = "draining"
            await asyncio.sleep(HEARTBEAT_SECONDS + 1.2)
            self.assertNotEqual(fleet.group.primary.instance, leaving.instance)
            leaving.executed.clear()
            reader = await fleet.client("reports")
            for _ in range(20):
                self.assertEqual((await client.query("WRITE a 2"))[0], "DONE sig.write")
                await reader.query("READ a")
            self.assertEqual(leaving.executed, [])
            tokens = [call[1] for call in fleet.platform.calls]
            self.assertEqual(tokens, sorted(set(tokens)))

    async def test_configuration_survives_a_lost_disk_and_killed_nodes(self):
        async with PlatformFleet(controls=3, proxies=1) as fleet:
            self.assertEqual(await fleet.put(configuration(50)), 200)
            for host in fleet.control_hosts:
                # Under load a node may not have initialized its folder yet; then two would be lost.
                await fleet.until(lambda host=host: self.version(fleet, host), 50)
            for host in fleet.control_hosts:
                fleet.kill(host)
            wiped = fleet.control_hosts[0]
            for file in (fleet.folder / wiped).iterdir():
                file.unlink()
            for host in fleet.control_hosts:
                fleet.start_control(host, bootstrap=False)
            for host in fleet.control_hosts:
                await fleet.until(lambda host=host: self.version(fleet, host), 50)
            client = await fleet.client("carts")
            self.assertEqual((await client.query("WRITE a 1"))[0], "DONE sig.write")

    @staticmethod
    async def version(fleet, host):
        status, document = await fleet.get(host)
        return document["version"] if status == 200 else None


class ChangedSettingsTest(unittest.IsolatedAsyncioTestCase):
    async def test_programs_keep_running_after_a_sighup(self):
        # Without a handler, SIGHUP ends a program: a control node exited with code 129.
        async with PlatformFleet(controls=1, proxies=1) as fleet:
            for host in (fleet.control_hosts[0], fleet.proxy_hosts[0]):
                fleet.processes[host].send_signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
            client = await fleet.client("orders")
            self.assertEqual((await client.query("WRITE a 1"))[0], "DONE sig.write")
            self.assertEqual((await fleet.get())[0], 200)
            self.assertIn('"event":402', fleet.log(fleet.control_hosts[0]))
            self.assertIn('"event":323', fleet.log(fleet.proxy_hosts[0]))


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stop_lets_transactions_end_and_closes_idle_sessions(self):
        async with PlatformFleet(controls=1, proxies=1) as fleet:
            host = fleet.proxy_hosts[0]
            open_client, idle = await fleet.client("orders"), await fleet.client("orders")
            await open_client.query("BEGIN")
            await open_client.query("WRITE a 1")
            fleet.terminate(host)
            await fleet.until(lambda: fleet.ready(host), 503, 1)
            late = await fleet.client("orders")
            self.assertEqual((await late.query("READ a"))[0], "ROW none")
            await asyncio.sleep(1.2)
            self.assertEqual((await open_client.query("COMMIT"))[0], "DONE sig.commit")
            self.assertEqual(await idle.line(), "")
            self.assertEqual(await asyncio.to_thread(fleet.processes[host].wait, 5), 0)
            self.assertIn('"event":322', fleet.log(host))
