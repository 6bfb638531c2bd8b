"""Read-only transactions at members that accept statements and never answer."""

import unittest

from rowanrail.model.statements import CommandKind, Refusal
from tests.support.gateway import GatewayHarness


class SilentMemberTest(unittest.TestCase):
    """Transactions must not wait for a hung member, nor their retries return to it."""

    def setUp(self):
        self.harness = GatewayHarness()
        self.harness.client("reports").run("READ warm")
        self.client = self.harness.client("reports")
        self.client.run("BEGIN READ")

    def test_a_first_read_goes_to_another_member(self):
        self.harness.near.silent = True
        answer = self.client.run("READ a", seconds=0.45)
        self.assertIsNone(answer.refusal)
        self.assertNotIn("READ a", self.harness.near.texts())  # its BEGIN was not answered

    def test_a_first_read_after_an_answered_begin_is_aborted_in_time_for_a_retry(self):
        # Not retried elsewhere: it may have run, and later statements need the same connection.
        self.harness.near.script = [None]
        answer = self.client.run("READ a", seconds=0.45)
        self.assertEqual(answer.refusal, Refusal.ABORTED)
        others = [t for m in (self.harness.primary, self.harness.far) for t in m.texts()]
        self.assertEqual(others, [])

    def test_the_log_has_the_number_of_members_tried(self):
        self.harness.near.silent = True
        self.client.run("READ a", seconds=0.45)
        line = [line for line in self.harness.logs() if '"event":300' in line][-1]
        self.assertIn('"attempts":2', line)

    def test_a_later_read_is_aborted_in_time_for_a_retry(self):
        self.assertIsNone(self.client.run("READ a").refusal)
        self.harness.near.silent = True
        answer = self.client.run("READ b", seconds=0.45)
        self.assertEqual(answer.refusal, Refusal.ABORTED)

    def test_the_next_transaction_avoids_the_silent_member(self):
        self.harness.near.silent = True
        self.client.run("READ a", seconds=0.45)
        follower = self.harness.client("reports")
        follower.run("BEGIN READ")
        self.assertIsNone(follower.run("READ b", seconds=0.01).refusal)

    def test_a_transaction_that_writes_is_not_retried_at_another_member(self):
        client = self.harness.client("orders")
        client.run("BEGIN")
        self.harness.primary.silent = True
        answer = client.run("READ a", seconds=1.1)
        self.assertIn(answer.refusal, (Refusal.ABORTED, Refusal.BUSY))
        begun = [c for m in (self.harness.near, self.harness.far) for _, c in m.ran]
        self.assertNotIn(CommandKind.STATEMENT, [c.kind for c in begun if c.text == "READ a"])


class OpeningTest(unittest.TestCase):
    def test_a_slow_opening_at_one_member_does_not_count_against_another(self):
        # The timeout for opening a connection at one member must not continue at the next, where
        # the read is queued, and count that one as silent.
        harness = GatewayHarness()
        harness.client("orders").run("WRITE a 1", seconds=0.1)
        harness.far.position = harness.near.position = harness.primary.position
        harness.announce(2, leaving=("m1", "m2"))
        near, far = (harness.gateway.services["db"].pools[name] for name in ("m2", "m3"))
        harness.far.script = [None] * 100
        for _ in range(far.connections.limit):
            harness.client("reports").ask("READ a")
            harness.clock.advance(0.004)
        harness.announce(3, leaving=("m1",))
        harness.near.silent = True
        harness.client("reports").ask("READ b")
        harness.clock.advance(0.05)
        for channel in list(near.connections.openings):
            channel.lost("refused")
        self.assertGreater(len(far.queue), 0)
        harness.clock.advance(0.12)
        self.assertFalse(far.is_failing)
