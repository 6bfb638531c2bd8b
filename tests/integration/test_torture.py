"""Guarantees of a fleet under load while processes are killed or frozen, links cut, members lag."""

import tempfile
import unittest
from pathlib import Path

from rowanlab.fleet.profiles import BLUE_MAHOE, HALLERBACH
from rowanlab.load.torture import torture

SECONDS = 8.0


class TortureTest(unittest.TestCase):
    def assert_guarantees(self, profile, seed):
        with tempfile.TemporaryDirectory(prefix="rowanrail-test-") as scratch:
            report = torture(profile, SECONDS, seed, Path(scratch))
        self.assertTrue(report.passed, report)
        self.assertGreater(sum(report.faults.values()), 1)

    def test_blue_mahoe(self):
        self.assert_guarantees(BLUE_MAHOE, 1)

    def test_hallerbach(self):
        self.assert_guarantees(HALLERBACH, 2)
