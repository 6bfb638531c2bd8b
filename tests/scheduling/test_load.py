"""Load reports of holders: their expiry, probes, and the reporter's cache."""

import unittest

import msgspec

from rowanrail.kernel.clock import Clock
from rowanrail.scheduling.load import (
    FRESH_MS,
    MAX_REPORTS,
    REPORT_LIFETIME_MS,
    LoadEstimate,
    LoadReporter,
    LoadSubject,
    PeerLoads,
    ServiceLoad,
)
from tests.support.gateway import ManualClock

HELD = LoadSubject("g1", "db", "anna")
FULL = ServiceLoad([0, 900, 2000], [0, 0, 700], 444)


class PeerLoadsTest(unittest.TestCase):
    def setUp(self):
        self.manual = ManualClock()
        self.loads = PeerLoads(Clock(self.manual))
        self.loads.note(HELD, FULL)

    def estimate(self, urgency=1, writes=True, **changes):
        return self.loads.estimate(HELD._replace(**changes), urgency, writes).wait

    def test_waits_depend_on_the_urgency_and_on_writes(self):
        self.assertEqual(
            [self.estimate(0), self.estimate(1), self.estimate(2), self.estimate(9)],
            [0, 900, 2000, 2000],
        )
        self.assertEqual(self.estimate(1, writes=False), 0)
        self.assertEqual(self.estimate(2, writes=False), 700)

    def test_the_wait_of_a_report_without_renewal_decreases(self):
        self.manual.advance(FRESH_MS / 1000)
        self.assertAlmostEqual(self.estimate(1), 900.0)
        self.manual.advance(0.4)
        self.assertAlmostEqual(self.estimate(1), 500.0)

    def test_an_old_report_is_ignored(self):
        self.manual.advance(REPORT_LIFETIME_MS / 1000 + 0.01)
        self.assertEqual(self.loads.estimate(HELD, 2, True), LoadEstimate())

    def test_reports_of_a_holder_whose_link_is_lost_are_dropped(self):
        other = HELD._replace(peer="g2")
        self.loads.note(other, FULL)
        self.loads.forget("g1")
        self.assertEqual(self.estimate(2), 0)
        self.assertEqual(self.loads.estimate(other, 2, True).wait, 2000)

    def test_an_answer_without_a_report_means_that_there_is_room(self):
        self.loads.note(HELD, None)
        self.assertEqual(self.estimate(2), 0)

    def test_reports_on_another_service_or_tenant_do_not_apply(self):
        self.assertEqual(self.estimate(2, service="other"), 0)
        self.assertEqual(self.estimate(2, tenant="bob"), 0)

    def test_ten_probes_per_second_are_sent(self):
        probes = 0
        for _ in range(100):
            self.manual.advance(0.01)
            self.loads.note(HELD, FULL)
            probes += self.loads.try_probe(HELD)
        self.assertIn(probes, (9, 10))

    def test_memory_is_bounded(self):
        for number in range(2 * MAX_REPORTS):
            self.loads.note(LoadSubject(f"g{number}", "db"), FULL)
        self.assertLessEqual(len(self.loads), MAX_REPORTS)
        self.manual.advance(2.0)
        self.loads.note(HELD._replace(peer="new"), FULL)
        self.assertEqual(self.estimate(1, peer="new"), 900)


class LoadReporterTest(unittest.TestCase):
    def setUp(self):
        self.manual = ManualClock()
        self.measured = 0
        self.load = FULL
        self.reporter = LoadReporter(Clock(self.manual), self.measure)

    def measure(self, service, tenant):
        self.measured += 1
        return self.load

    def test_the_load_is_computed_once_for_answers_that_are_sent_together(self):
        for _ in range(50):
            self.assertEqual(self.reporter.report("db", "anna"), FULL)
        self.assertEqual(self.measured, 1)
        self.manual.advance(0.02)
        self.reporter.report("db", "anna")
        self.assertEqual(self.measured, 2)

    def test_nothing_is_reported_while_there_is_room(self):
        self.load = ServiceLoad([0, 0, 3], [0, 0, 0], 444)
        self.assertIsNone(self.reporter.report("db", "anna"))


class SizeTest(unittest.TestCase):
    def test_a_report_takes_few_bytes(self):
        self.assertLess(len(msgspec.msgpack.encode(FULL)), 24)
