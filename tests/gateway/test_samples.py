"""History of position samples, and the interval at which a primary is monitored."""

import doctest
import unittest

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.services import locality
from rowanrail.members import primary, samples
from rowanrail.members.samples import HISTORY_SECONDS, SampleHistory
from rowanrail.model.position import Position
from rowanrail.model.statements import CommandKind
from rowanrail.placement.hashed import FleetSize
from tests.support.gateway import GatewayHarness


class SampleHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = SampleHistory()

    def test_doctests_pass(self):
        for module in (samples, locality, primary):
            self.assertEqual(doctest.testmod(module).failed, 0)

    def test_no_sample_older_than_requested_is_returned(self):
        for number in range(100):
            self.history.add(number * 0.1, Position(1, number), "m1")
        for number in range(60, 100):
            since = number * 0.1 - 0.05
            sample = self.history.oldest_since(since)
            self.assertGreaterEqual(sample.asked_at, since)
            self.assertLess(sample.asked_at - since, 0.1)
        self.assertIsNone(self.history.oldest_since(10.0))

    def test_the_history_is_bounded(self):
        for number in range(20_000):
            self.history.add(number * 0.001, Position(1, number), "m1")
        self.assertLessEqual(len(self.history._retained), HISTORY_SECONDS / 0.02 + 1)
        self.assertEqual(self.history.newest.position, Position(1, 19_999))

    def test_the_newest_sample_is_returned_even_if_it_is_not_in_the_history(self):
        self.history.add(1.0, Position(1, 1), "m1")
        self.history.add(1.01, Position(1, 2), "m1")
        self.assertEqual(self.history.oldest_since(1.005).position, Position(1, 2))

    def test_a_late_answer_changes_nothing(self):
        self.history.add(2.0, Position(1, 5), "m1")
        self.assertTrue(self.history.add(1.0, Position(1, 3), "m1"))
        self.assertEqual(self.history.newest.asked_at, 2.0)


class MonitorTest(unittest.TestCase):
    """Sampling rate of a primary when no read waits for a sample."""

    def harness_with(self, gateways):
        harness = GatewayHarness()
        harness.configure(2, connections=820)
        records = [member.record() for member in harness.members]
        harness.gateway.set_directory(Directory(2, records, FleetSize(gateways, 6)))
        harness.client("orders").run("WRITE a 1")
        return harness

    def samples_in_six_seconds(self, gateways):
        harness = self.harness_with(gateways)
        known = len(harness.primary.ran)
        harness.clock.advance(6.0)
        return sum(c.kind is CommandKind.BEGIN for _, c in harness.primary.ran[known:])

    def test_with_many_gateways_each_samples_less_often(self):
        # The rate from all gateways together must stay bounded.
        self.assertGreater(self.samples_in_six_seconds(12), 15)
        self.assertLess(194 * self.samples_in_six_seconds(194) / 6, 360)

    def test_with_many_gateways_a_silent_primary_is_reported_in_time(self):
        harness = self.harness_with(194)
        alarms = []
        harness.gateway.on_primary_change = lambda: alarms.append(harness.clock.now)
        began = harness.clock.now
        harness.primary.silent = True
        harness.clock.advance(2.0)
        self.assertEqual(len(alarms), 1)
        self.assertLess(alarms[0] - began, 1.35)
