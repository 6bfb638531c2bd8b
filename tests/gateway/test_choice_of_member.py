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
        self.harness = GatewayHarness()
        self.client = self.harness.client("carts")
        self.client.run("READ warm", seconds=0.1)

    def note_answer_times(self, seconds):
        """Record answers of all members with a run time, as fake members take no time."""
        service = self.harness.gateway.services["db"]
        for member in self.harness.members:
            sent_at = self.harness.clock.now - seconds
            done = Answer()
            service.estimates.note_answer(member.instance, "carts", done, sent_at, None)

    def test_a_replica_that_lags_gets_no_reads_that_need_a_newer_position(self):
        self.client.run("WRITE a 1")
        self.assertIsNone(self.client.run("READ b").refusal)
        self.assertEqual(self.harness.primary.texts()[-1], "READ b")
        known = len(self.harness.near.texts())
        self.client.run("WRITE a 2")
        self.assertIsNone(self.client.run("READ c").refusal)
        self.assertEqual(len(self.harness.near.texts()), known)

    def test_a_lagging_replica_serves_reads_that_accept_its_lag(self):
        self.harness.clock.advance(0.5)
        self.client.run("WRITE a 1")
        self.client.run("READ b")
        self.harness.client("reports").run("READ d")
        self.assertEqual(self.harness.near.texts()[-1], "READ d")

    def test_a_lagging_replica_is_tried_again_after_a_while(self):
        self.client.run("WRITE a 1")
        self.client.run("READ b")
        self.harness.near.position = self.harness.primary.position
        self.harness.clock.advance(3)
        self.client.run("READ c", seconds=0.1)
        self.assertEqual(self.harness.near.texts()[-1], "READ c")

    def test_a_member_that_refused_a_read_as_busy_is_avoided_for_a_moment(self):
        self.note_answer_times(0.02)
        self.harness.near.script = [BUSY_ANSWER] * 5
        for text in ("READ a", "READ b", "READ c"):
            self.assertIsNone(self.client.run(text).refusal)
        refused = 5 - len(self.harness.near.script)
        self.assertEqual(refused, 1)
        self.harness.near.script.clear()
        self.harness.clock.advance(3)
        self.client.run("READ d", seconds=0.1)
        self.assertEqual(self.harness.near.texts()[-1], "READ d")

    def test_a_member_that_has_just_started_gets_reads_after_its_warm_up(self):
        self.note_answer_times(0.02)
        fresh = self.harness.near
        fresh.instance = "m4"
        self.harness.driver.members["m4:1"] = fresh
        records = [member.record() for member in self.harness.members]
        records[1] = msgspec.structs.replace(records[1], cold_ms=4000)
        self.harness.gateway.set_directory(Directory(2, records, FleetSize(3, 3)))
        known = len(fresh.texts())
        self.client.run("READ a", seconds=0.1)
        self.assertEqual(len(fresh.texts()), known)
        self.harness.clock.advance(4)
        self.client.run("READ b", seconds=0.1)
        self.assertEqual(fresh.texts()[-1], "READ b")


class SlowPrimaryTest(unittest.TestCase):
    """A slow primary remains primary, but reads that other members can serve avoid it."""

    def setUp(self):
        self.harness = GatewayHarness()
        self.harness.primary.zone, self.harness.near.zone = "a", "b"
        self.harness.announce(2)
        self.harness.near.position = self.harness.far.position = Position(1, 99)
        self.writer = self.harness.client("orders")
        self.writer.run("WRITE warm 1", seconds=0.1)
        self.estimates = self.harness.gateway.services["db"].estimates
        for instance in ("m1", "m2", "m3") * 10:
            self.note(instance, 0.02)
        self.reader = self.harness.client("reports")
        self.reader.run("READ before", seconds=0.1)
        for instance in ["m1"] * 5:
            self.note(instance, 0.6)

    def note(self, instance, seconds):
        """Record an answer of a member that took ``seconds``."""
        sent_at = self.harness.clock.now - seconds
        self.estimates.note_answer(instance, "reports", Answer(), sent_at, None)

    def test_reads_with_bounded_staleness_use_other_members(self):
        self.assertEqual(self.harness.primary.texts()[-1], "READ before")
        for number in range(5):
            self.assertIsNone(self.reader.run(f"READ r{number}", seconds=0.1).refusal)
        self.assertEqual(self.harness.primary.texts()[-1], "READ before")

    def test_it_does_not_count_as_failing_and_keeps_its_writes(self):
        (health,) = self.harness.gateway.health()
        self.assertEqual(health.failing_for_ms, 0)
        self.assertIsNone(self.writer.run("WRITE a 1", seconds=0.1).refusal)
        self.assertEqual(self.estimates.weights.local_weight("m1").value, 1.0)
