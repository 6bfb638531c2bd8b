"""Members at their connection limit, as after a restart of all gateways."""

import unittest

from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Refusal, SessionState
from tests.support.gateway import GatewayHarness

DONE = Answer(rows=[b"row"], signature=b"sig", position=Position(1, 12), state=SessionState.IDLE)
FULL = Refusal.TOO_MANY_CONNECTIONS


class ConnectionLimitTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()

    def health(self):
        (health,) = self.harness.gateway.health()
        return health

    def test_a_primary_at_its_connection_limit_does_not_count_as_failing(self):
        # A failover from such a primary would lose commits that had been acknowledged.
        self.harness.primary.refuse_start = FULL
        for text in ("READ a", "WRITE a 1"):
            self.harness.client("orders").ask(text)
        self.harness.clock.advance(1.5)
        self.assertEqual(self.health().failing_for_ms, 0)

    def test_statements_for_a_full_primary_are_refused_before_their_deadline(self):
        self.harness.primary.refuse_start = FULL
        answer = self.harness.client("orders").run("READ a", seconds=0.4)
        self.assertEqual(answer.refusal, Refusal.BUSY)
        self.assertIn("no connection left", answer.message)

    def test_samples_use_a_pooled_connection(self):
        self.harness.client("orders").run("WRITE a 1", seconds=0.1)
        self.harness.primary.refuse_start = FULL
        self.harness.clock.advance(2.0)
        answer = self.harness.client("orders").run("READ a", seconds=0.1)
        self.assertIsNone(answer.refusal)

    def test_a_service_with_little_load_needs_one_connection_to_its_primary(self):
        for _ in range(5):
            self.harness.client("orders").run("READ a", seconds=0.1)
            self.harness.client("orders").run("WRITE a 1", seconds=0.1)
            self.harness.clock.advance(0.5)
        self.assertEqual(len(self.harness.primary.open_transports()), 1)

    def test_a_sample_succeeds_while_all_connections_are_in_use(self):
        self.harness.configure(2, connections=18)
        clients = [self.harness.client("orders") for _ in range(8)]
        for client in clients:
            client.run("BEGIN")
            client.run("READ a", seconds=0.05)
        self.assertIsNone(self.harness.client("reports").run("READ b", seconds=0.1).refusal)

    def test_a_statement_at_a_full_member_gets_the_connection_that_a_transaction_releases(self):
        self.harness.configure(2, connections=12)  # four for each gateway
        holders = [self.harness.client("orders") for _ in range(2)]
        for client in holders:
            client.run("BEGIN")
            client.run("WRITE a 1", seconds=0.05)
        self.harness.primary.refuse_start = FULL
        waiting = self.harness.client("orders")
        waiting.ask("WRITE b 1")
        self.harness.clock.advance(0.01)
        self.assertEqual(waiting.answers, [])
        holders[0].run("COMMIT")
        self.assertIsNone(waiting.answers[-1].refusal)

    def test_a_proof_of_the_primary_clears_its_connection_limit(self):
        # Otherwise statements that wait for another reason are refused as if it were full.
        tracker = self.harness.gateway.services["db"].primary
        client = self.harness.client("orders")
        self.harness.primary.refuse_start = FULL
        client.run("WRITE a 1", seconds=0.6)
        self.assertTrue(tracker.is_at_connection_limit)
        self.harness.primary.refuse_start = None
        tracker.note_proof("m1", self.harness.clock.now, Position(1, 12))
        self.assertFalse(tracker.is_at_connection_limit)

    def test_a_sample_unanswered_on_a_pooled_connection_counts_as_a_failure(self):
        self.harness.client("orders").run("WRITE a 1", seconds=0.1)
        self.harness.clock.advance(0.1)
        self.harness.primary.silent = True
        self.harness.client("orders").ask("READ a")
        self.harness.clock.advance(0.5)
        self.assertGreater(self.health().failing_for_ms, 0)
        self.harness.primary.silent = False
        self.harness.clock.advance(1.0)
        self.assertIsNone(self.harness.client("orders").run("READ a", seconds=0.5).refusal)
        self.assertEqual(self.health().failing_for_ms, 0)


class SilentPrimaryTest(unittest.TestCase):
    def test_a_silent_primary_is_detected_while_all_connections_are_in_use(self):
        # A sample must not wait for pooled connections whose statements are never answered.
        harness = GatewayHarness()
        harness.client("orders").run("WRITE a 1", seconds=0.1)
        harness.primary.silent = True
        harness.client("orders").ask("WRITE b 2")
        harness.clock.advance(0.01)
        harness.client("orders").ask("READ a")
        harness.clock.advance(0.55)
        (health,) = harness.gateway.health()
        self.assertGreater(health.failing_for_ms, 0)

    def test_statements_for_a_long_lost_primary_are_refused_at_once(self):
        # Their clients must have time left to try a gateway that reaches the primary.
        harness = GatewayHarness()
        harness.client("orders").run("WRITE a 1", seconds=0.1)
        harness.primary.silent = True
        for _ in range(6):
            harness.client("orders").ask("READ a")
            harness.clock.advance(0.5)
        for text in ("READ b", "WRITE b 2"):
            self.assertEqual(harness.client("orders").run(text).refusal, Refusal.BUSY)
        client = harness.client("orders")
        client.run("BEGIN")
        self.assertEqual(client.run("READ b").refusal, Refusal.BUSY)
        harness.primary.silent = False
        harness.clock.advance(1.5)
        self.assertIsNone(harness.client("orders").run("WRITE c 3", seconds=0.1).refusal)


class DelayedOpeningTest(unittest.TestCase):
    def test_a_short_wait_opens_no_further_connection(self):
        harness = GatewayHarness()
        first, second = harness.client("orders"), harness.client("orders")
        first.run("WRITE a 1", seconds=0.1)
        harness.primary.script = [None]
        first.ask("WRITE b 2")
        second.ask("WRITE c 3")
        harness.clock.advance(0.01)
        harness.primary.transports[0].channel.answered(DONE)
        self.assertIsNone(second.answers[-1].refusal)
        self.assertEqual(len(harness.primary.transports), 1)

    def test_a_wait_as_long_as_an_opening_opens_a_connection(self):
        harness = GatewayHarness()
        first, second = harness.client("orders"), harness.client("orders")
        first.run("WRITE a 1", seconds=0.1)
        harness.primary.script = [None]
        first.ask("WRITE b 2")
        second.ask("WRITE c 3")
        harness.clock.advance(0.06)
        self.assertIsNone(second.answers[-1].refusal)
        self.assertEqual(len(harness.primary.transports), 2)
