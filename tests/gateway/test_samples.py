"""The history of proved positions."""

import doctest
import unittest

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.services import locality
from rowanrail.members import primary, samples
from rowanrail.members.samples import HISTORY_SECONDS, SampleHistory
from rowanrail.model.position import Position
from rowanrail.model.statements import CommandKind
from rowanrail.placement.hashed import Population
from tests.support.gateway import PlayedGateway


class SampleHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = SampleHistory()

    def test_examples_of_the_pages_hold(self):
        for module in (samples, locality, primary):
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


class MonitorTest(unittest.TestCase):
    """How often a primary is sampled when nobody waits for its position."""

    def played(self, gateways):
        played = PlayedGateway()
        played.configure(2, connections=820)
        records = [member.record() for member in played.members]
        played.gateway.set_directory(Directory(2, records, Population(gateways, 6)))
        played.client("orders").run("WRITE a 1")
        return played

    def samples_in_six_seconds(self, gateways):
        played = self.played(gateways)
        known = len(played.primary.ran)
        played.clock.advance(6.0)
        return sum(c.kind is CommandKind.BEGIN for _, c in played.primary.ran[known:])

    def test_many_gateways_sample_less_each(self):
        # Found on hb-subrail-large: 194 gateways sampled each primary 650 times a second.
        self.assertGreater(self.samples_in_six_seconds(12), 15)
        self.assertLess(194 * self.samples_in_six_seconds(194) / 6, 360)

    def test_a_silent_primary_is_told_in_time_also_there(self):
        played = self.played(194)
        alarms = []
        played.gateway.on_primary_change = lambda: alarms.append(played.clock.now)
        began = played.clock.now
        played.primary.silent = True
        played.clock.advance(2.0)
        self.assertEqual(len(alarms), 1)
        self.assertLess(alarms[0] - began, 1.35)
