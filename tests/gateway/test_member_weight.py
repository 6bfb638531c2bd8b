"""A member loses weight by failures of clients' statements and regains it by probes alone."""

import unittest

from rowanrail.gateway.gauges import gauges
from rowanrail.model.statements import Answer, CommandKind, Refusal, SessionState
from tests.support.gateway import GatewayHarness

FAILED = Answer(refusal=Refusal.FAILED, state=SessionState.IDLE)
BUSY_ANSWER = Answer(refusal=Refusal.BUSY, state=SessionState.IDLE)


class MemberWeightTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        self.client = self.harness.client("reports")
        self.client.run("READ warm", seconds=0.1)
        self.weights = self.harness.gateway.services["db"].estimates.weights

    def weight(self):
        return self.weights.local_weight("m2").value

    def lose_weight(self):
        """Report errors of the near member until it has lost most of its weight."""
        self.harness.near.script = [FAILED] * 8
        pool = self.harness.gateway.services["db"].pools["m2"]
        while self.weight() >= 0.5:
            pool.note_error()
        self.harness.near.script.clear()

    def probes(self):
        return [
            command for _, command in self.harness.near.ran if command.kind is CommandKind.STATUS
        ]

    def use(self, seconds):
        """Run a read every 0.1 s, so that the service stays in use."""
        for _ in range(round(seconds * 10)):
            self.harness.clock.advance(0.1)
            self.client.run("READ a", seconds=0.1)

    def test_a_healthy_member_is_not_probed(self):
        self.use(3)
        self.assertEqual(self.probes(), [])

    def test_errors_reduce_weight_and_probes_restore_it(self):
        self.lose_weight()
        self.use(2)
        self.assertGreater(len(self.probes()), 0)
        self.use(5)
        self.assertEqual(self.weight(), 1.0)

    def test_errors_in_read_only_transactions_reduce_weight(self):
        self.client.run("BEGIN READ")
        self.client.run("READ a")
        self.harness.near.script = [FAILED]
        self.assertEqual(self.client.run("READ b").refusal, Refusal.FAILED)
        self.assertLess(self.weight(), 1.0)

    def test_at_most_one_probe_is_sent_each_second(self):
        self.lose_weight()
        self.use(2)
        self.assertLessEqual(len(self.probes()), 3)

    def test_a_member_that_leaves_is_not_probed(self):
        self.lose_weight()
        self.harness.announce(2, leaving=("m2",))
        self.use(2)
        self.assertEqual(self.probes(), [])

    def test_clients_statements_do_not_restore_weight(self):
        self.lose_weight()
        before = self.weight()
        for _ in range(20):
            self.client.run("READ a")  # no time passes, so that no probe is due
        self.assertEqual(self.weight(), before)

    def test_an_unanswered_probe_reduces_weight(self):
        self.lose_weight()
        before = self.weight()
        self.harness.near.silent = True
        self.use(2)
        self.assertLess(self.weight(), before)

    def test_a_member_that_refuses_connections_loses_weight(self):
        for transport in self.harness.near.open_transports():
            transport.channel.lost("closed")
        self.harness.near.reachable = False
        self.use(1)
        self.assertLess(self.weight(), 0.5)

    def test_a_silent_member_loses_weight(self):
        self.harness.near.silent = True
        self.client.run("READ a", seconds=0.5)
        self.assertLess(self.weight(), 0.5)

    def test_only_many_consecutive_busy_refusals_reduce_weight(self):
        self.harness.near.script = [BUSY_ANSWER] * 3
        for _ in range(3):
            self.harness.clock.advance(3)
            self.client.run("READ a", seconds=0.1)
        self.assertEqual(self.weight(), 1.0)
        self.harness.near.script = [BUSY_ANSWER] * 9
        for _ in range(9):
            self.harness.clock.advance(3)
            self.client.run("READ a", seconds=0.1)
        self.assertLess(self.weight(), 1.0)

    def test_a_fall_and_a_recovery_are_logged_once_each_with_their_inputs(self):
        self.lose_weight()
        pool = self.harness.gateway.services["db"].pools["m2"]
        for _ in range(5):
            pool.note_error()
        self.use(10)
        fallen = [line for line in self.harness.logs() if '"event":350' in line]
        recovered = [line for line in self.harness.logs() if '"event":351' in line]
        self.assertEqual((len(fallen), len(recovered)), (1, 1))
        for word in ('"instance":"m2"', '"reason":"error"', '"weight":', '"error_share":'):
            self.assertIn(word, fallen[0])

    def test_gauges_have_weight_and_reason(self):
        self.lose_weight()
        readings = {
            labels["member"]: (labels["reason"], value)
            for name, labels, value in gauges(self.harness.gateway)
            if name == "member_weight"
        }
        self.assertEqual(readings["m1"], ("", 1.0))
        self.assertEqual(readings["m2"][0], "error")
        self.assertLess(readings["m2"][1], 0.5)
