"""The proxies together never exceed the connection limit of a member."""

import asyncio
import unittest

from rowanlab.fleet.runner import call_process
from rowanlab.load.running import RunningLoad
from rowanlab.load.workload import LoadOptions
from rowanlab.standin.member import FiguresRequest
from tests.support.fleet import SharedFleet, wait_until

CALLERS = 90


class ConnectionBudgetTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.shared = SharedFleet()

    @classmethod
    def tearDownClass(cls):
        cls.shared.close()

    def all_proxies_report_groups(self):
        reports = self.shared.fleet.client().request("GET", "/v1/status").body["proxies"]
        return len(reports) == 3 and all(report["used"] for report in reports)

    async def run_load(self):
        file = self.shared.file
        options = LoadOptions(CALLERS, 12.0, 0.3, seed=1, pause_seconds=0.001)
        load = RunningLoad(file, file.groups[0].database, options)
        await load.start()
        await asyncio.sleep(options.seconds)
        verdict = await load.finish()
        counts_by_member = [
            await call_process(member.rpc, FiguresRequest()) for member in file.groups[0].members
        ]
        return verdict, counts_by_member

    def test_no_member_refuses_a_connection(self):
        wait_until(self.all_proxies_report_groups)
        verdict, counts_by_member = asyncio.run(self.run_load())
        self.assertGreater(verdict.acknowledged, 0)
        self.assertEqual(verdict.violations, 0, verdict.examples)
        for member_counts in counts_by_member:
            self.assertEqual(member_counts.refused, 0)
            self.assertLessEqual(member_counts.connections_peak, 40)
