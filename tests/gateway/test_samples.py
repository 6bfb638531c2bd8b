"""The history of proved positions."""

import doctest
import unittest

from rowanrail.gateway import locality, samples
from rowanrail.gateway.samples import HISTORY_SECONDS, SampleHistory
from rowanrail.proxy.backend import Position


class SampleHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = SampleHistory()

    def test_examples_of_the_pages_hold(self):
        for module in (samples, locality):
            self.assertEqual(doctest.testmod(module).failed, 0)

    def test_nothing_older_than_asked_for_is_given(self):
        for number in range(100):
            self.history.add(number * 0.1, Position(1, number), "m1")
        for number in range(60, 100):
            since = number * 0.1 - 0.05
            sample = self.history.oldest_since(since)
            self.assertGreaterEqual(sample.asked_at, since)
            self.assertLess(sample.asked_at - since, 0.1)
        self.assertIsNone(self.history.oldest_since(10.0))

    def test_it_stays_small(self):
        for number in range(20_000):
            self.history.add(number * 0.001, Position(1, number), "m1")
        self.assertLessEqual(len(self.history._kept), HISTORY_SECONDS / 0.02 + 1)
        self.assertEqual(self.history.newest.position, Position(1, 19_999))

    def test_the_newest_is_given_even_if_it_was_not_kept(self):
        self.history.add(1.0, Position(1, 1), "m1")
        self.history.add(1.01, Position(1, 2), "m1")
        self.assertEqual(self.history.oldest_since(1.005).position, Position(1, 2))

    def test_an_answer_that_came_late_changes_nothing(self):
        self.history.add(2.0, Position(1, 5), "m1")
        self.assertTrue(self.history.add(1.0, Position(1, 3), "m1"))
        self.assertEqual(self.history.newest.asked_at, 2.0)
