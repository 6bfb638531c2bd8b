"""All proxies together stay within a member's connections."""

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

    def shares_are_known(self):
        reports = self.shared.fleet.client().request("GET", "/v1/status").body["proxies"]
        return len(reports) == 3 and all(report["used"] for report in reports)

    async def load(self):
        file = self.shared.file
        options = LoadOptions(CALLERS, 12.0, 0.3, seed=1, pause_seconds=0.001)
        load = RunningLoad(file, file.groups[0].database, options)
        await load.start()
        await asyncio.sleep(options.seconds)
        verdict = await load.finish()
        figures = [
            await call_process(member.rpc, FiguresRequest()) for member in file.groups[0].members
        ]
        return verdict, figures

    def test_no_member_refuses_a_connection(self):
        wait_until(self.shares_are_known)
        verdict, figures = asyncio.run(self.load())
        self.assertGreater(verdict.acknowledged, 0)
        self.assertEqual(verdict.violations, 0, verdict.examples)
        for member in figures:
            self.assertEqual(member.refused, 0)
            self.assertLessEqual(member.connections_peak, 40)
