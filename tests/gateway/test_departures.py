"""Members that leave: what a gateway learns of them, logs, and still sends them."""

import doctest
import json
import unittest

from rowanrail.gateway.gauges import gauges
from rowanrail.members import departures
from rowanrail.members.departures import Departures
from rowanrail.model.members import MemberRecord
from tests.support.gateway import GatewayHarness

LEAVES, USED = 342, 343  # numbers of events


class RulesTest(unittest.TestCase):
    def test_doctests_pass(self):
        self.assertEqual(doctest.testmod(departures).failed, 0)

    def test_a_member_that_returns_and_leaves_again_begins_anew(self):
        leaving = MemberRecord("m1", "db", "m1:1", "a", False, True, 3, 2)
        known = Departures().updated([leaving], 10.0).updated([], 12.0)
        self.assertEqual(known.seconds("m1", 12.0), 0.0)
        self.assertEqual(known.updated([leaving], 20.0).seconds("m1", 21.0), 1.0)


class DepartureLogTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        self.clock = self.harness.clock

    def events(self, number):
        lines = map(json.loads, self.harness.logs())
        return [line for line in lines if line["event"] == number]

    def test_a_departure_is_logged_with_the_time_in_which_it_was_not_known(self):
        self.harness.gateway.note_confirmed(1000 * (self.clock.now - 0.4))
        self.harness.announce(2, leaving=("m1",))
        self.harness.announce(3, leaving=("m1",))
        (line,) = self.events(LEAVES)
        self.assertEqual((line["instance"], line["primary"]), ("m1", True))
        self.assertEqual(line["unknown_for"], 0.4)

    def test_a_departure_before_the_first_confirmation_has_no_known_begin(self):
        self.harness.announce(2, leaving=("m1",))
        self.assertIsNone(self.events(LEAVES)[0]["unknown_for"])

    def test_the_use_of_a_leaving_primary_is_logged_only_beyond_a_usual_move(self):
        client = self.harness.client("orders")
        client.run("WRITE a 1")
        self.harness.gateway.note_confirmed(1000 * self.clock.now)
        self.harness.announce(2, leaving=("m1",))
        client.run("WRITE b 1")
        self.assertEqual(self.events(USED), [])
        self.clock.advance(2.1)
        for text in ("WRITE c 1", "WRITE d 1"):
            client.run(text)
        (line,) = self.events(USED)
        self.assertEqual(line["leaving_for"], 2.1)
        self.assertEqual((line["primary"], line["presumed"]), (True, True))
        self.assertLess(line["proved_ago"], 1.0)

    def test_metrics_tell_how_long_a_member_leaves_and_what_it_was_sent(self):
        client = self.harness.client("orders")
        self.harness.announce(2, leaving=("m1",))
        client.run("WRITE a 1")
        self.clock.advance(0.5)
        found = {
            name: value
            for name, labels, value in gauges(self.harness.gateway)
            if labels.get("member") == "m1"
        }
        self.assertEqual(found["member_leaving_seconds"], 0.5)
        self.assertEqual(found["sent_while_leaving"], 1)
