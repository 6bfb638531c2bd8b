"""What a sender assumes of a holder: its last word, as it ages, is lost, or is asked for again."""

import unittest

import msgspec

from rowanrail.kernel.clock import Clock
from rowanrail.scheduling.load import (
    ASSUMED_MS,
    FRESH_MS,
    MOST_BOOKED,
    LoadEstimate,
    LoadReporter,
    LoadSubject,
    PeerLoads,
    ServiceLoad,
)
from tests.support.gateway import ManualClock

HELD = LoadSubject("g1", "db", "anna")
FULL = ServiceLoad([0, 900, 2000], [0, 0, 700], 444)


class LoadBookTest(unittest.TestCase):
    def setUp(self):
        self.manual = ManualClock()
        self.book = PeerLoads(Clock(self.manual))
        self.book.note(HELD, FULL)

    def assumed(self, urgency=1, writes=True, **changes):
        return self.book.estimate(HELD._replace(**changes), urgency, writes).wait

    def test_it_is_told_by_urgency_and_by_what_needs_the_primary(self):
        self.assertEqual(
            [self.assumed(0), self.assumed(1), self.assumed(2), self.assumed(9)],
            [0, 900, 2000, 2000],
        )
        self.assertEqual(self.assumed(1, writes=False), 0)
        self.assertEqual(self.assumed(2, writes=False), 700)

    def test_a_word_that_no_probe_renews_is_taken_at_its_most_hopeful(self):
        self.manual.advance(FRESH_MS / 1000)
        self.assertAlmostEqual(self.assumed(1), 900.0)
        self.manual.advance(0.4)
        self.assertAlmostEqual(self.assumed(1), 500.0)

    def test_of_a_holder_whose_last_word_is_old_nothing_is_assumed(self):
        self.manual.advance(ASSUMED_MS / 1000 + 0.01)
        self.assertEqual(self.book.estimate(HELD, 2, True), LoadEstimate())

    def test_of_a_holder_whose_link_is_lost_nothing_is_assumed(self):
        other = HELD._replace(peer="g2")
        self.book.note(other, FULL)
        self.book.forget("g1")
        self.assertEqual(self.assumed(2), 0)
        self.assertEqual(self.book.estimate(other, 2, True).wait, 2000)

    def test_no_word_says_that_there_is_room(self):
        self.book.note(HELD, None)
        self.assertEqual(self.assumed(2), 0)

    def test_another_service_or_tenant_at_the_same_holder_stands_apart(self):
        self.assertEqual(self.assumed(2, service="other"), 0)
        self.assertEqual(self.assumed(2, tenant="bob"), 0)

    def test_a_probe_passes_ten_times_a_second(self):
        passed = 0
        for _ in range(100):
            self.manual.advance(0.01)
            self.book.note(HELD, FULL)
            passed += self.book.try_probe(HELD)
        self.assertIn(passed, (9, 10))

    def test_memory_is_bounded(self):
        for number in range(2 * MOST_BOOKED):
            self.book.note(LoadSubject(f"g{number}", "db"), FULL)
        self.assertLessEqual(len(self.book), MOST_BOOKED)
        self.manual.advance(2.0)
        self.book.note(HELD._replace(peer="new"), FULL)
        self.assertEqual(self.assumed(1, peer="new"), 900)


class LoadReporterTest(unittest.TestCase):
    def setUp(self):
        self.manual = ManualClock()
        self.measured = 0
        self.load = FULL
        self.teller = LoadReporter(Clock(self.manual), self.measure)

    def measure(self, service, tenant):
        self.measured += 1
        return self.load

    def test_answers_that_leave_together_are_told_what_was_worked_out_once(self):
        for _ in range(50):
            self.assertEqual(self.teller.report("db", "anna"), FULL)
        self.assertEqual(self.measured, 1)
        self.manual.advance(0.02)
        self.teller.report("db", "anna")
        self.assertEqual(self.measured, 2)

    def test_where_there_is_room_nothing_is_told(self):
        self.load = ServiceLoad([0, 0, 3], [0, 0, 0], 444)
        self.assertIsNone(self.teller.report("db", "anna"))


class SizeTest(unittest.TestCase):
    def test_a_word_is_a_few_bytes(self):
        self.assertLess(len(msgspec.msgpack.encode(FULL)), 24)
