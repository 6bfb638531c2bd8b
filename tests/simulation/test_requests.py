"""A request id must run once across two proxies, and transaction limits must be enforced."""

import asyncio
import unittest

from rowanlab.simulator.data_world import DataOptions, DataWorld
from rowanlab.simulator.permissive import registry_without
from rowanlab.simulator.world import WALL_CLOCK_START, World
from rowanrail.kernel.errors import NotRunError, RequestConflictError
from rowanrail.kernel.events import disable_logging
from rowanrail.sql_proxy.writes import CLEANUP_INTERVAL_WRITES

REQUEST_ID = f"{int(WALL_CLOCK_START)}-request"
INSERT = "INSERT INTO edits (operation) VALUES ('{}')"


class TwoProxiesTest(unittest.TestCase):
    def setUp(self):
        disable_logging()
        self.world = World(1)
        options = DataOptions(callers=0, proxies=2)
        self.data = DataWorld(self.world, registry_without(None), 1, options)

    def run_scenario(self, scenario):
        async def started():
            await self.data.start()
            await asyncio.sleep(1.0)
            return await scenario()

        return self.world.run(started())

    async def at(self, number, *statements):
        """Run statements in a new session at a proxy and return the last result."""
        process = self.world.process(f"p{number}")
        return await self.world.run_in(process, self.execute(number, statements))

    async def execute(self, number, statements):
        session = self.data.proxies[number - 1].core.open_session("caller", "data")
        for statement in statements:
            result = await session.execute(statement, {})
        return result

    def recorded(self, value):
        return (f"SET @rowanrail_request_id = '{REQUEST_ID}'", INSERT.format(value))

    async def count(self):
        return int((await self.at(1, "SELECT COUNT(*) FROM edits")).rows[0][0])

    def test_a_repeat_through_another_proxy_gets_the_recorded_outcome(self):
        async def scenario():
            first = await self.at(1, *self.recorded("x"))
            again = await self.at(2, *self.recorded("x"))
            self.assertEqual(first.affected_rows, again.affected_rows)
            self.assertEqual(first.insert_id, again.insert_id)
            self.assertEqual(await self.count(), 1)

        self.run_scenario(scenario)

    def test_concurrent_repeats_through_two_proxies_run_once(self):
        async def scenario():
            results = await asyncio.gather(
                self.at(1, *self.recorded("x")), self.at(2, *self.recorded("x"))
            )
            self.assertEqual([result.affected_rows for result in results], [1, 1])
            self.assertEqual(await self.count(), 1)

        self.run_scenario(scenario)

    def test_a_different_statement_under_the_same_id_is_refused(self):
        async def scenario():
            await self.at(1, *self.recorded("x"))
            with self.assertRaises(RequestConflictError):
                await self.at(2, *self.recorded("y"))
            self.assertEqual(await self.count(), 1)

        self.run_scenario(scenario)

    def test_expired_records_are_removed(self):
        old = "INSERT INTO rowanrail_requests VALUES ('old', 'd', 'done', 1, 0, 1000)"

        async def scenario():
            await self.at(1, *self.recorded("x"))
            await self.at(1, old)
            writer = self.data.proxies[0].core.watched_groups()[0].writer
            writer._recorded_writes = CLEANUP_INTERVAL_WRITES - 1
            await self.at(1, f"SET @rowanrail_request_id = '{REQUEST_ID}2'", INSERT.format("y"))
            await asyncio.sleep(1.0)
            rows = (await self.at(2, "SELECT id FROM rowanrail_requests ORDER BY id")).rows
            kept = [row[0].decode() for row in rows]
            self.assertEqual(kept, [REQUEST_ID, f"{REQUEST_ID}2"])

        self.run_scenario(scenario)

    def test_an_idle_transaction_is_rolled_back(self):
        async def idle():
            session = self.data.proxies[0].core.open_session("caller", "data")
            await session.execute("BEGIN", {})
            await session.execute(INSERT.format("x"), {})
            await asyncio.sleep(3.0)
            with self.assertRaises(NotRunError):
                await session.execute("COMMIT", {})

        async def scenario():
            await self.world.run_in(self.world.process("p1"), idle())
            self.assertEqual(await self.count(), 0)

        self.run_scenario(scenario)

    def test_open_transactions_are_limited(self):
        async def many():
            core = self.data.proxies[0].core
            services = core.watched_groups()[0]
            services.open_transactions = services.spec.limits.open_transactions
            with self.assertRaises(NotRunError) as raised:
                await core.open_session("caller", "data").execute("BEGIN", {})
            self.assertGreater(raised.exception.retry_after_seconds, 0)

        async def scenario():
            await self.world.run_in(self.world.process("p1"), many())

        self.run_scenario(scenario)
