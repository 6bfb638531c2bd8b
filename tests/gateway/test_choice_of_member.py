"""How the answers that a gateway receives change its choice of a member for reads."""

import unittest

import msgspec

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Refusal, SessionState
from rowanrail.placement.hashed import FleetSize
from tests.support.gateway import GatewayHarness

BUSY_ANSWER = Answer(refusal=Refusal.BUSY, state=SessionState.IDLE)


class ChoiceOfMemberTest(unittest.TestCase):
    def setUp(self):
        self.played = GatewayHarness()
        self.client = self.played.client("carts")
        self.client.run("READ warm", seconds=0.1)

    def note_answer_times(self, seconds):
        """Record answers of all members with a run time, as the played ones take no time."""
        service = self.played.gateway.services["db"]
        for member in self.played.members:
            sent_at = self.played.clock.now - seconds
            done = Answer()
            service.estimates.note_answer(member.instance, "carts", done, sent_at, None)

    def test_a_replica_that_lags_gets_no_reads_that_need_a_newer_position(self):
        self.client.run("WRITE a 1")
        self.assertIsNone(self.client.run("READ b").refusal)
        self.assertEqual(self.played.primary.texts()[-1], "READ b")
        known = len(self.played.near.texts())
        self.client.run("WRITE a 2")
        self.assertIsNone(self.client.run("READ c").refusal)
        self.assertEqual(len(self.played.near.texts()), known)

    def test_a_lagging_replica_serves_reads_that_accept_its_lag(self):
        self.played.clock.advance(0.5)
        self.client.run("WRITE a 1")
        self.client.run("READ b")
        self.played.client("reports").run("READ d")
        self.assertEqual(self.played.near.texts()[-1], "READ d")

    def test_a_lagging_replica_is_tried_again_after_a_while(self):
        self.client.run("WRITE a 1")
        self.client.run("READ b")
        self.played.near.position = self.played.primary.position
        self.played.clock.advance(3)
        self.client.run("READ c", seconds=0.1)
        self.assertEqual(self.played.near.texts()[-1], "READ c")

    def test_a_member_that_refused_a_read_as_busy_is_avoided_for_a_moment(self):
        self.note_answer_times(0.02)
        self.played.near.script = [BUSY_ANSWER] * 5
        for text in ("READ a", "READ b", "READ c"):
            self.assertIsNone(self.client.run(text).refusal)
        refused = 5 - len(self.played.near.script)
        self.assertEqual(refused, 1)
        self.played.near.script.clear()
        self.played.clock.advance(3)
        self.client.run("READ d", seconds=0.1)
        self.assertEqual(self.played.near.texts()[-1], "READ d")

    def test_a_member_that_has_just_started_gets_reads_after_its_warm_up(self):
        self.note_answer_times(0.02)
        fresh = self.played.near
        fresh.instance = "m4"
        self.played.driver.members["m4:1"] = fresh
        records = [member.record() for member in self.played.members]
        records[1] = msgspec.structs.replace(records[1], cold_ms=4000)
        self.played.gateway.set_directory(Directory(2, records, FleetSize(3, 3)))
        known = len(fresh.texts())
        self.client.run("READ a", seconds=0.1)
        self.assertEqual(len(fresh.texts()), known)
        self.played.clock.advance(4)
        self.client.run("READ b", seconds=0.1)
        self.assertEqual(fresh.texts()[-1], "READ b")


class SlowPrimaryTest(unittest.TestCase):
    """A slow primary remains primary, but reads that other members can serve avoid it."""

    def setUp(self):
        self.played = GatewayHarness()
        self.played.primary.zone, self.played.near.zone = "a", "b"
        self.played.announce(2)
        self.played.near.position = self.played.far.position = Position(1, 99)
        self.writer = self.played.client("orders")
        self.writer.run("WRITE warm 1", seconds=0.1)
        self.estimates = self.played.gateway.services["db"].estimates
        for instance in ("m1", "m2", "m3") * 10:
            self.note(instance, 0.02)
        self.reader = self.played.client("reports")
        self.reader.run("READ before", seconds=0.1)
        for instance in ["m1"] * 5:
            self.note(instance, 0.6)

    def note(self, instance, seconds):
        """Record an answer of a member that took ``seconds``."""
        sent_at = self.played.clock.now - seconds
        self.estimates.note_answer(instance, "reports", Answer(), sent_at, None)

    def test_reads_with_bounded_staleness_use_other_members(self):
        self.assertEqual(self.played.primary.texts()[-1], "READ before")
        for number in range(5):
            self.assertIsNone(self.reader.run(f"READ r{number}", seconds=0.1).refusal)
        self.assertEqual(self.played.primary.texts()[-1], "READ before")

    def test_it_does_not_count_as_failing_and_keeps_its_writes(self):
        (health,) = self.played.gateway.health()
        self.assertEqual(health.failing_for_ms, 0)
        self.assertIsNone(self.writer.run("WRITE a 1", seconds=0.1).refusal)
        self.assertEqual(self.estimates.weights.local_weight("m1").value, 1.0)
