"""Regression tests for faults found by the simulator, each reproduced in one run."""

import asyncio
import unittest

import msgspec

from rowanlab.simulator.data_world import DataOptions, DataWorld
from rowanlab.simulator.permissive import registry_without
from rowanlab.simulator.world import World
from rowanlab.standin.member import FaultRequest
from rowanrail.config.model import VersionedConfiguration
from rowanrail.kernel.errors import NotRunError, OutcomeUnknownError
from rowanrail.kernel.events import disable_logging
from rowanrail.model.position import Position
from rowanrail.sql_proxy.token import encode_token


class RegressionTest(unittest.TestCase):
    def setUp(self):
        disable_logging()
        self.world = World(1)
        options = DataOptions(callers=0, proxies=1)
        self.data = DataWorld(self.world, registry_without(None), 1, options)

    def run_in_proxy(self, scenario):
        async def started():
            await self.data.start()
            await asyncio.sleep(1.0)
            process = self.world.process("p1")
            return await self.world.run_in(process, scenario(self.data.proxies[0].core))

        return self.world.run(started())

    def cut_primary(self):
        primary = self.data.primary().name
        for member in self.data.members:
            if member.name != primary:
                self.world.cut(primary, member.name)
                self.world.cut(member.name, primary)

    def test_commit_is_confirmed_though_a_status_round_failed_at_its_beginning(self):
        """The monitor marks the primary as unreachable while the transaction leases it."""

        async def scenario(core):
            session = core.open_session("caller", "data")
            writer = core.watched_groups()[0].writer
            lease_primary = writer.lease_primary

            async def lease_and_lose_status(*arguments):
                lease = await lease_primary(*arguments)
                lease.member.state.mark_unreachable()
                return lease

            writer.lease_primary = lease_and_lose_status
            await session.execute("BEGIN", {})
            await session.execute("INSERT INTO edits (operation) VALUES ('x')", {})
            self.cut_primary()
            with self.assertRaises(OutcomeUnknownError):
                await session.execute("COMMIT", {})

        self.run_in_proxy(scenario)

    def test_transaction_does_not_begin_on_a_primary_older_than_the_session(self):
        """The proxy can only reach the old primary."""

        async def scenario(core):
            session = core.open_session("caller", "data")
            await session.execute("INSERT INTO edits (operation) VALUES ('x')", {})
            self.isolate_primary_and_proxy()
            session.merge_token(encode_token({"group": Position(99, 1)}))
            with self.assertRaises(NotRunError):
                await session.execute("BEGIN", {})
                await session.execute("SELECT COUNT(*) FROM edits", {})

        self.run_in_proxy(scenario)

    def test_new_session_does_not_begin_a_transaction_without_a_majority(self):
        async def scenario(core):
            session = core.open_session("caller", "data")
            self.isolate_primary_and_proxy()
            await asyncio.sleep(2.0)
            with self.assertRaises(NotRunError):
                await session.execute("BEGIN", {})
                await session.execute("SELECT COUNT(*) FROM edits", {})

        self.run_in_proxy(scenario)

    def test_transaction_waits_until_a_new_primary_has_applied_what_it_holds(self):
        async def scenario(core):
            session = core.open_session("caller", "data")
            primary = self.data.primary()
            for member in self.data.members:
                if member is not primary:
                    member.member.set_faults(FaultRequest(lag_seconds=1.0))
            await session.execute("INSERT INTO edits (operation) VALUES ('x')", {})
            primary.kill()
            while self.data.primary() is None:
                await asyncio.sleep(0.01)
            query = "SELECT COUNT(*) FROM edits"
            rows = (await session.execute(f"{query} FOR UPDATE", {})).rows
            self.assertEqual(rows[0][0], b"1")
            await session.execute("BEGIN", {})
            rows = (await session.execute(query, {})).rows
            self.assertEqual(rows[0][0], b"1")

        self.run_in_proxy(scenario)

    def test_transaction_does_not_trust_a_primary_that_was_demoted_after_the_write(self):
        async def scenario(core):
            session = core.open_session("caller", "data")
            primary = self.data.primary()
            for (
                member
            ) in self.data.members:  # the primary does not learn that the replicas hold the write
                if member is not primary:
                    self.world.cut(member.name, primary.name)
            await session.execute("INSERT INTO edits (operation) VALUES ('x')", {})
            primary.member.set_faults(FaultRequest(leaving=True))
            try:
                await session.execute("BEGIN", {})
                rows = (await session.execute("SELECT COUNT(*) FROM edits", {})).rows
            except NotRunError:
                return
            self.assertEqual(rows[0][0], b"1")

        self.run_in_proxy(scenario)

    def test_pinned_session_does_not_begin_on_an_old_primary(self):
        async def scenario(core):
            session = core.open_session("caller", "data")
            self.isolate_primary_and_proxy()
            await asyncio.sleep(2.0)
            with self.assertRaises(NotRunError):
                await session.execute("CREATE TEMPORARY TABLE scratch (id INT)", {})

        self.run_in_proxy(scenario)

    def test_locking_read_outside_of_a_transaction_is_answered(self):
        async def scenario(core):
            session = core.open_session("caller", "data")
            result = await session.execute("SELECT COUNT(*) FROM edits FOR UPDATE", {})
            self.assertEqual(len(result.rows), 1)
            self.isolate_primary_and_proxy()
            await asyncio.sleep(2.0)
            with self.assertRaises((NotRunError, OutcomeUnknownError)):
                await session.execute("SELECT COUNT(*) FROM edits FOR UPDATE", {})

        self.run_in_proxy(scenario)

    def change_limit(self, core):
        current = core.in_force
        limits = msgspec.structs.replace(current.configuration.groups[0].limits, queue_length=77)
        group = msgspec.structs.replace(current.configuration.groups[0], limits=limits)
        changed = msgspec.structs.replace(current.configuration, groups=[group])
        core.apply(VersionedConfiguration(current.version + 1, changed))

    def test_changed_limit_keeps_the_count_of_open_transactions_correct(self):
        async def scenario(core):
            session = core.open_session("caller", "data")
            await session.execute("BEGIN", {})
            await session.execute("INSERT INTO edits (operation) VALUES ('x')", {})
            before = core.watched_groups()[0]
            self.change_limit(core)
            after = core.watched_groups()[0]
            self.assertIsNot(before, after)
            await session.execute("COMMIT", {})
            self.assertEqual((before.open_transactions, after.open_transactions), (0, 0))
            await asyncio.sleep(0.5)
            self.assertEqual(core.groups.retiring, 0)

        self.run_in_proxy(scenario)

    def test_changed_limit_interrupts_no_running_statement(self):
        async def scenario(core):
            session = core.open_session("caller", "data")
            for member in self.data.members:
                member.member.set_faults(FaultRequest(answer_delay_seconds=0.4))
            running = asyncio.ensure_future(
                session.execute("INSERT INTO edits (operation) VALUES ('x')", {})
            )
            await asyncio.sleep(0.2)
            self.change_limit(core)
            result = await running
            self.assertEqual(result.affected_rows, 1)
            after = core.open_session("caller", "data")
            rows = (await after.execute("SELECT COUNT(*) FROM edits", {})).rows
            self.assertEqual(rows[0][0], b"1")

        self.run_in_proxy(scenario)

    def isolate_primary_and_proxy(self):
        """Partition the primary and the proxy together from the other members."""
        primary = self.data.primary().name
        for member in self.data.members:
            if member.name != primary:
                for name in (primary, "p1"):
                    self.world.cut(name, member.name)
                    self.world.cut(member.name, name)
