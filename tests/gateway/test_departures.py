"""Members that leave: what a gateway learns of them, logs, and still sends them."""

import doctest
import json
import unittest

import msgspec

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.gauges import gauges
from rowanrail.members import departures
from rowanrail.members.departures import Departures
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.statements import Refusal
from rowanrail.placement.hashed import FleetSize
from tests.support.gateway import GatewayHarness

LEAVES, USED = 342, 343  # numbers of events
OTHER = MemberRecord("m4", "db", "m4:1", "c", False, False, 3, 1)


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
        self.harness.gateway.note_confirmed(1000 * self.clock.now)
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


class LeavingPrimaryTest(unittest.TestCase):
    """A primary that leaves and is not replaced; it may be used for 5 of the allowed 7 s."""

    def setUp(self):
        self.harness = GatewayHarness()
        self.clock, self.client = self.harness.clock, self.harness.client("orders")
        self.primary = self.harness.primary
        self.client.run("WRITE a 1")

    def leave(self, unconfirmed_for=0.0):
        self.harness.gateway.note_confirmed(1000 * (self.clock.now - unconfirmed_for))
        self.harness.announce(2, leaving=("m1",))

    def assert_rejected(self, *texts):
        known = self.primary.texts()
        for text in texts:
            answer = self.client.run(text)
            self.assertIs(answer.refusal, Refusal.BUSY)
            self.assertIn("its primary m1 is excluded: leaving; retry in", answer.message)
            self.assertIn('"cause":"leaving"', self.harness.logs()[-1])
        self.assertEqual(self.primary.texts(), known)

    def test_it_runs_what_needs_it_for_a_part_of_the_allowed_time(self):
        self.leave()
        self.clock.advance(4.9)
        self.assertIsNone(self.client.run("WRITE b 1").refusal)

    # It was used for as long as it led, however long ago it had announced that it leaves.
    def test_it_gets_nothing_after_that(self):
        self.leave()
        self.clock.advance(5.0)
        self.assert_rejected("WRITE b 1")
        self.client.run("BEGIN")
        self.assert_rejected("WRITE c 1")

    def test_the_time_counts_from_the_last_directory_without_its_announcement(self):
        self.leave(unconfirmed_for=2.0)
        self.clock.advance(3.0)
        self.assert_rejected("WRITE b 1")

    def test_a_gateway_that_starts_does_not_use_it(self):
        harness = GatewayHarness()
        harness.announce(2, leaving=("m1",))
        answer = harness.client("orders").run("WRITE a 1")
        self.assertIn("leaving", answer.message)
        self.assertEqual(harness.primary.texts(), [])

    def test_a_service_that_is_configured_later_does_not_extend_the_time(self):
        self.leave()
        self.clock.advance(4.0)
        configuration = self.harness.gateway.configuration
        self.harness.gateway.apply(replace_services(configuration, version=2, services={}))
        self.harness.configure(3)
        self.clock.advance(1.0)
        self.client = self.harness.client("orders")
        self.assert_rejected("WRITE b 1")

    def test_what_waits_for_a_connection_is_rejected_when_the_time_is_over(self):
        harness = self.harness = GatewayHarness(slots=1)
        self.clock, self.primary = harness.clock, harness.primary
        harness.client("orders").run("WRITE a 1")
        self.leave()
        self.clock.advance(4.8)
        self.primary.script = [None] * 9
        clients = [harness.client("orders") for _ in range(9)]
        for client in clients:
            client.ask("WRITE b 1")
        self.clock.advance(0.3)
        messages = [answer.message for client in clients for answer in client.answers]
        self.assertGreater(len(messages), 0)
        for message in messages:
            self.assertIn("is excluded: leaving", message)
        sent = self.primary.texts().count("WRITE b 1")
        self.assertEqual(sent, len(clients) - len(messages))

    def test_an_open_transaction_goes_on(self):
        self.client.run("BEGIN")
        self.client.run("WRITE b 1")
        self.leave()
        for _ in range(7):
            self.clock.advance(1.0)
            self.assertIsNone(self.client.run("WRITE c 1").refusal)
        self.assertIsNone(self.client.run("COMMIT").refusal)

    def test_it_is_still_sampled_so_that_reads_go_on_at_replicas(self):
        reader = self.harness.client("reports")
        self.leave()
        self.clock.advance(6.0)
        for member in (self.harness.near, self.harness.far):
            member.position = self.primary.position
        known = self.primary.texts()
        for _ in range(3):
            self.assertIsNone(reader.run("READ a", 0.2).refusal)
        self.assertEqual(self.primary.texts(), known)

    def test_its_successor_is_used_at_once(self):
        self.leave()
        self.clock.advance(5.0)
        self.assert_rejected("WRITE b 1")
        self.primary.primary, self.harness.near.primary = False, True
        self.harness.near.position = Position(2, 20)
        self.clock.advance(0.7)  # until the next sample
        self.assertIsNone(self.client.run("WRITE c 1", 0.1).refusal)

    def test_a_read_that_waits_at_a_replica_leaves_with_its_departure(self):
        harness = GatewayHarness(slots=1)
        harness.client("reports").run("READ warm", 0.1)
        harness.primary.refuse_start = harness.far.refuse_start = Refusal.TOO_MANY_CONNECTIONS
        harness.near.script = [None]
        clients = [harness.client("reports") for _ in range(2)]
        for client in clients:
            client.ask("READ a")
        harness.primary.refuse_start = harness.far.refuse_start = None
        harness.announce(2, leaving=("m2",))
        harness.clock.advance(0.2)
        self.assertIsNone(clients[1].answers[0].refusal)
        self.assertEqual(harness.near.texts().count("READ a"), 1)


def replace_services(configuration, version, services):
    """Return a configuration of a version with other services, and no routes."""
    return msgspec.structs.replace(configuration, version=version, services=services, routes={})


class ReplacedPrimaryTest(unittest.TestCase):
    """A primary that is replaced while the gateway runs no statements of its service."""

    def setUp(self):
        self.harness = GatewayHarness()
        self.clock, self.client = self.harness.clock, self.harness.client("orders")
        self.former, self.successor = self.harness.primary, self.harness.near

    def replace_primary(self, leaving=("m1",)):
        self.former.primary, self.successor.primary = False, True
        self.successor.position = Position(2, 11)
        self.harness.announce(2, leaving)

    def assert_first_statements_go_to_the_successor(self):
        known = self.former.texts()
        for texts in (["WRITE b 1"], ["READ b"], ["BEGIN", "WRITE c 1", "COMMIT"]):
            for text in texts:
                self.assertIsNone(self.client.run(text, 0.1).refusal, text)
        self.assertEqual(self.former.texts(), known)

    def test_it_gets_nothing_if_it_was_never_used(self):
        self.replace_primary()
        self.clock.advance(8.0)
        self.assert_first_statements_go_to_the_successor()

    def test_it_gets_nothing_if_it_was_last_used_long_ago(self):
        self.client.run("WRITE a 1")
        self.clock.advance(11.0)
        self.replace_primary()
        self.clock.advance(8.0)
        self.assert_first_statements_go_to_the_successor()

    def test_it_gets_nothing_if_it_stays_as_a_replica(self):
        self.replace_primary(leaving=())
        self.clock.advance(8.0)
        self.assert_first_statements_go_to_the_successor()

    def test_a_claim_that_was_known_before_the_last_proof_is_not_followed(self):
        self.replace_primary()
        self.client.run("WRITE a 1", 0.1)
        self.former.primary, self.successor.primary = True, False
        self.former.position = Position(3, 12)
        self.client.run("WRITE b 1", 0.2)  # a search finds it before its announcement arrives
        records = [member.record() for member in self.harness.members]
        records = [msgspec.structs.replace(r, primary=r.instance == "m2") for r in records]
        self.clock.advance(11.0)
        self.harness.gateway.set_directory(Directory(3, [*records, OTHER], FleetSize(3, 3)))
        self.assertEqual(self.harness.gateway.services["db"].primary.presumed_primary, "m1")
