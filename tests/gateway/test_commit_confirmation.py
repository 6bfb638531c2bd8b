"""Commits of services with acknowledging replicas, whose member is replaced before it answers."""

import unittest

from rowanrail.gateway.work.committing import CONFIRMATION_TIMEOUT_SECONDS
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, CommandKind, Refusal, SessionState
from tests.support.gateway import FakeClient, GatewayHarness


class CommitConfirmationTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        self.harness.configure(2, acknowledging_replicas=1)
        self.client = self.harness.client("carts")
        self.assertIsNone(self.client.run("WRITE first 1", seconds=0.1).refusal)
        self.floor = self.client.session.values.floors["db"]
        self.tracker = self.harness.gateway.services["db"].primary

    def begins(self) -> int:
        return sum(c.kind is CommandKind.BEGIN for _, c in self.harness.primary.ran)

    def begin_write(self, client: FakeClient) -> None:
        """Send a write, whose commit waits for replicas."""
        self.harness.primary.script = [None]
        client.ask("WRITE a 1")

    def begin_prepared(self, client: FakeClient) -> None:
        """Send a prepared write, whose commit waits for replicas."""
        client.run("PREPARE s WRITE q")
        self.harness.primary.script = [None]
        client.ask("EXECUTE s a 1")

    def begin_commit(self, client: FakeClient) -> None:
        """Send the COMMIT of a transaction that wrote, which waits for replicas."""
        client.run("BEGIN")
        self.assertIsNone(client.run("WRITE a 1").refusal)
        self.harness.primary.script = [None]
        client.ask("COMMIT")

    def promote(self, member, term: int) -> None:
        """Let a member lead a term, with a longer log than any member had before."""
        for other in self.harness.members:
            other.primary = other is member
        member.position = Position(term, member.position.index + 20)

    def report(self, position: Position) -> None:
        """Let the first primary report success for what is under way."""
        transport = self.harness.primary.transports[self.harness.primary.ran[-1][0]]
        transport.state = SessionState.IDLE
        answer = Answer(signature=b"sig", position=position, state=SessionState.IDLE)
        transport.channel.answered(answer)

    # A replaced primary reported success for a commit that was rolled back, and the client was
    # told that it stands.
    def test_a_commit_that_a_replaced_primary_reports_is_in_doubt_at_once(self):
        for begin in (self.begin_write, self.begin_prepared, self.begin_commit):
            for position in (Position(1, 10), Position(1, 11), Position(2, 12)):
                with self.subTest(begin=begin.__name__, position=position):
                    self.setUp()
                    begin(self.client)
                    self.promote(self.harness.near, 2)
                    self.report(position)
                    answer = self.client.answers[-1]
                    self.assertEqual(len(self.client.answers), self.client.asked)
                    self.assertEqual(answer.refusal, Refusal.OUTCOME_UNKNOWN)
                    self.assertIn("did not confirm", answer.message)

    # The same, where the member led again before it reported success.
    def test_a_commit_is_in_doubt_if_its_member_led_two_terms_meanwhile(self):
        for begin in (self.begin_write, self.begin_commit):
            with self.subTest(begin=begin.__name__):
                self.setUp()
                begin(self.client)
                self.promote(self.harness.primary, 3)
                self.report(self.harness.primary.position)
                self.assertEqual(self.client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)
                self.assertIn("another term", self.client.answers[-1].message)

    # Readers waited for a position that no log had, and the replaced primary counted as proved.
    def test_an_unconfirmed_commit_raises_no_floor_and_proves_no_primary(self):
        for begin in (self.begin_write, self.begin_commit):
            with self.subTest(begin=begin.__name__):
                self.setUp()
                begin(self.client)
                self.promote(self.harness.near, 2)
                self.report(Position(2, 12))
                self.assertEqual(self.client.session.values.floors["db"], self.floor)
                self.assertEqual(self.tracker.sample.instance, "m2")
                self.assertEqual(self.tracker.sample.position, self.harness.near.position)
                self.assertEqual(self.tracker.presumed_primary, "m2")

    def test_a_commit_that_stands_is_acknowledged_with_its_own_position(self):
        for begin in (self.begin_write, self.begin_commit):
            with self.subTest(begin=begin.__name__):
                self.setUp()
                begin(self.client)
                begins = self.begins()
                self.harness.primary.position = Position(1, 30)  # with later commits of others
                self.report(Position(1, 12))
                answer = self.client.answers[-1]
                self.assertEqual((answer.refusal, answer.signature), (None, b"sig"))
                self.assertEqual(self.begins(), begins + 1)
                self.assertEqual(self.client.session.values.floors["db"], Position(1, 12))

    def test_a_member_that_falls_silent_is_waited_for_only_shortly(self):
        for begin in (self.begin_write, self.begin_commit):
            with self.subTest(begin=begin.__name__):
                self.setUp()
                begin(self.client)
                self.harness.primary.silent = True
                self.report(Position(1, 12))
                known = len(self.client.answers)
                self.harness.clock.advance(CONFIRMATION_TIMEOUT_SECONDS)
                self.assertEqual(len(self.client.answers), known + 1)
                self.assertEqual(self.client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)
                self.assertLess(self.client.session.values.floors["db"], Position(1, 12))

    # Clients waited until the time-out of their route for an answer that could not come.
    def test_a_commit_is_in_doubt_at_once_when_another_member_proves_to_lead(self):
        for begin in (self.begin_write, self.begin_commit):
            with self.subTest(begin=begin.__name__):
                self.setUp()
                begin(self.client)
                self.promote(self.harness.near, 2)
                known = len(self.client.answers)
                self.tracker.note_proof("m1", self.harness.clock.now, Position(1, 12))
                self.assertEqual(len(self.client.answers), known)
                self.tracker.note_proof("m2", self.harness.clock.now, self.harness.near.position)
                self.assertEqual(len(self.client.answers), known + 1)
                self.assertEqual(self.client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)
                self.assertIn("was replaced", self.client.answers[-1].message)

    def test_a_commit_is_in_doubt_at_once_when_its_member_refuses_another_one(self):
        for begin in (self.begin_write, self.begin_commit):
            with self.subTest(begin=begin.__name__):
                self.setUp()
                begin(self.client)
                self.harness.primary.primary = False
                self.harness.client("orders").ask("WRITE b 2")
                self.harness.clock.advance(0.05)
                self.assertEqual(self.client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)
                pool = self.harness.gateway.services["db"].pools["m1"]
                self.assertEqual(len(pool.connections.leases), 0)

    def test_a_client_that_leaves_meanwhile_keeps_no_connection_leased(self):
        pool = self.harness.gateway.services["db"].pools["m1"]
        for begin in (self.begin_write, self.begin_commit):
            with self.subTest(begin=begin.__name__):
                client = self.harness.client("carts")
                begin(client)
                self.harness.primary.silent = True
                self.report(Position(1, 40))
                client.session.close()
                self.harness.primary.silent = False
                self.harness.clock.advance(CONFIRMATION_TIMEOUT_SECONDS + 0.5)
                self.assertEqual(len(pool.connections.leases), 0)

    # Nothing tells whether a commit stands at a member that hasn't proved its term before.
    def test_a_write_is_not_sent_before_its_member_proved_to_lead(self):
        harness = GatewayHarness()
        harness.configure(2, acknowledging_replicas=1)
        self.assertIsNone(harness.client("orders").run("WRITE a 1", seconds=0.1).refusal)
        kinds = [c.kind for _, c in harness.primary.ran]
        self.assertEqual(kinds[0], CommandKind.BEGIN)

    def test_a_commit_of_a_transaction_that_wrote_nothing_is_not_confirmed(self):
        self.client.run("BEGIN")
        self.client.run("READ a")
        begins = self.begins()
        self.assertIsNone(self.client.run("COMMIT").refusal)
        self.assertEqual(self.begins(), begins)

    def test_without_acknowledging_replicas_nothing_is_confirmed(self):
        harness = GatewayHarness()
        self.assertIsNone(harness.client("orders").run("WRITE a 1").refusal)
        self.assertEqual([c.text for _, c in harness.primary.ran], ["WRITE a 1"])

    # A write that was under way when the configuration changed was in doubt.
    def test_the_configuration_at_the_time_of_sending_decides(self):
        harness = GatewayHarness()
        client = harness.client("orders")
        harness.primary.script = [None]
        client.ask("WRITE a 1")
        harness.configure(2, acknowledging_replicas=1)
        transport = harness.primary.transports[0]
        transport.channel.answered(Answer(signature=b"sig", position=Position(1, 11)))
        self.assertIsNone(client.answers[-1].refusal)

    def test_the_log_tells_that_a_commit_was_not_confirmed(self):
        self.begin_write(self.client)
        self.promote(self.harness.near, 2)
        self.report(Position(2, 12))
        line = next(text for text in reversed(self.harness.logs()) if '"event":301' in text)
        self.assertIn('"stage":"waits-for-confirmation"', line)
        self.assertIn('"member":"m1"', line)
