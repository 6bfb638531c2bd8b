"""A short soak run for CI; ``python -m tests.soak`` runs longer ones."""

import unittest

from tests.soak.run import Soak

SECONDS = 60.0
SEED = 3


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_every_rule_holds_under_faults(self):
        soak = Soak(SECONDS, SEED)
        verdict = await soak.run()
        self.assertEqual(verdict.problems, [], soak.fault_log)
        self.assertGreater(verdict.acknowledged, 100)
        self.assertGreater(verdict.reads, 100)
        self.assertGreater(verdict.faults, 3)
        self.assertGreater(soak.linked_proxies, 0, "no gateway had a link to a neighbour")
