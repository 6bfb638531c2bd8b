"""Statements and transactions that run on another gateway's connections."""

import unittest

from rowanrail.gateway.relay.messages import Pong
from rowanrail.model.position import Position
from rowanrail.model.statements import NO_EFFECT_REFUSALS, CommandKind, Refusal, SessionState
from tests.support.relay import ZoneHarness


class ForwardingTest(unittest.TestCase):
    def setUp(self):
        self.zone = ZoneHarness()

    def test_a_gateway_that_shares_connections_opens_none_of_its_own(self):
        client = self.zone.last.client("reports")
        self.assertIsNone(client.run("READ a", seconds=0.1).refusal)
        self.assertEqual(self.zone.open_connections(self.zone.last), 0)
        self.assertGreater(self.zone.open_connections(self.zone.first), 0)

    def test_the_holder_itself_runs_its_clients_statements_at_once(self):
        self.assertIsNone(self.zone.first.client("reports").run("READ a").refusal)
        self.assertEqual(self.zone.network.links, [])

    def test_a_statement_reaches_the_member_as_the_client_wrote_it(self):
        answer = self.zone.last.client("orders").run("WRITE a 1", seconds=0.1)
        self.assertEqual((answer.rows, answer.signature), ([b"row"], b"sig"))
        self.assertEqual(self.zone.primary.texts(), ["WRITE a 1"])

    def test_a_session_reads_its_own_write_at_a_holder_that_knows_nothing_of_it(self):
        client = self.zone.last.client("carts")
        client.run("WRITE a 1", seconds=0.1)
        floor = client.session.values.floors["db"]
        self.zone.kill(self.zone.first)
        client.run("READ a", seconds=0.3)
        reads = [c for m in self.zone.members for _, c in m.ran if c.text == "READ a"]
        self.assertGreaterEqual(reads[-1].floor, floor)

    def test_a_session_keeps_its_values_and_names_on_every_holder(self):
        client = self.zone.last.client("reports")
        client.run("SET a x")
        client.run("PREPARE s READ q")
        client.run("EXECUTE s k", seconds=0.1)
        self.zone.kill(self.zone.first)
        client.run("EXECUTE s k", seconds=0.3)
        connections = [(m, n) for m in self.zone.members for n, c in m.ran if c.request_id]
        self.assertEqual(len(connections), 2)
        for member, number in connections:
            self.assertEqual(member.transports[number].values, {"a": "x"})
            self.assertEqual(list(member.transports[number].prepared.values()), ["READ q"])

    def test_a_write_that_the_holder_does_not_answer_in_time_is_in_doubt(self):
        client = self.zone.last.client("orders")
        client.run("WRITE a 1", seconds=0.1)
        self.zone.primary.script = [None]
        answer = client.run("WRITE b 2", seconds=1.0)
        self.assertEqual(answer.refusal, Refusal.OUTCOME_UNKNOWN)
        self.zone.clock.advance(2.0)
        self.assertEqual(self.zone.primary.texts(), ["WRITE a 1", "WRITE b 2"])

    def test_a_read_whose_link_breaks_is_asked_for_at_the_next_holder(self):
        client = self.zone.last.client("reports")
        client.run("READ a", seconds=0.1)
        self.zone.near.script = [None]
        client.ask("READ b")
        self.zone.clock.advance(0.05)
        self.zone.kill(self.zone.first)
        self.zone.clock.advance(0.2)
        self.assertIsNone(client.answers[-1].refusal)
        self.assertGreater(self.zone.open_connections(self.zone.second), 0)

    def test_a_write_whose_link_breaks_is_in_doubt_and_not_sent_again(self):
        client = self.zone.last.client("orders")
        client.run("WRITE a 1", seconds=0.1)
        self.zone.primary.script = [None]
        client.ask("WRITE b 2")
        self.zone.clock.advance(0.05)
        self.zone.kill(self.zone.first)
        self.assertEqual(client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)
        self.zone.clock.advance(2)
        self.assertEqual(self.zone.primary.texts().count("WRITE b 2"), 1)

    def test_a_frozen_holder_is_given_up_for_reads_within_their_time(self):
        client = self.zone.last.client("reports")
        client.run("READ a", seconds=0.1)
        self.zone.network.frozen.add(self.zone.first.name)
        client.ask("READ b")
        self.zone.clock.advance(0.95)
        self.assertEqual(len(client.answers), 2)
        client.ask("READ c")
        self.zone.clock.advance(0.2)
        self.assertIsNone(client.answers[-1].refusal)
        self.assertEqual(self.zone.network.links[0].ends[1], self.zone.first.name)

    def test_reads_leave_a_silent_holder_while_they_can_be_in_time(self):
        # Reads must not wait for the whole timeout of a holder that does not answer.
        client, other = self.zone.last.client("reports"), self.zone.last.client("reports")
        client.run("READ a", seconds=0.1)
        self.zone.network.frozen.add(self.zone.first.name)
        client.ask("READ b")
        self.zone.clock.advance(0.4)
        self.assertIsNone(client.answers[-1].refusal)
        self.assertEqual(len(client.answers), 2)
        self.assertIsNone(other.run("READ c", seconds=0.02).refusal)

    def test_a_holder_that_was_silent_for_a_moment_is_used_again(self):
        client = self.zone.last.client("reports")
        client.run("READ a", seconds=0.1)
        self.zone.network.frozen.add(self.zone.first.name)
        client.ask("READ b")
        self.zone.clock.advance(0.4)
        self.zone.network.frozen.clear()
        link = self.zone.network.links[0].link
        link.receive(Pong())
        self.assertFalse(link.is_suspect)
        opened = self.zone.open_connections(self.zone.second)
        for _ in range(5):
            self.assertIsNone(client.run("READ c", seconds=0.1).refusal)
        self.assertLessEqual(self.zone.open_connections(self.zone.second), opened)

    def test_a_slow_statement_at_a_holder_that_answers_pings_stays_there(self):
        client = self.zone.last.client("orders")
        client.run("WRITE a 1", seconds=0.1)
        self.zone.primary.script = [None]
        client.ask("WRITE b 2")
        self.zone.clock.advance(0.8)
        self.assertFalse(self.zone.network.links[0].link.is_suspect)
        self.assertEqual(len(client.answers), 1)

    def test_a_write_at_a_silent_holder_is_not_asked_elsewhere(self):
        client = self.zone.last.client("orders")
        client.run("WRITE a 1", seconds=0.1)
        self.zone.network.frozen.add(self.zone.first.name)
        client.ask("WRITE b 2")
        self.zone.clock.advance(0.9)
        self.assertEqual(client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)
        self.assertEqual(self.zone.open_connections(self.zone.second), 0)

    def test_a_process_that_was_paused_suspects_no_gateway(self):
        client = self.zone.last.client("reports")
        client.run("READ a", seconds=0.1)
        self.zone.near.script = [None]
        client.ask("READ b")
        self.zone.clock.now += 0.55  # no timer ran meanwhile
        self.zone.clock.advance(0.02)
        self.assertFalse(self.zone.network.links[0].link.is_suspect)

    def test_a_zone_whose_other_gateways_are_gone_uses_own_connections(self):
        self.zone.kill(self.zone.first)
        self.zone.kill(self.zone.second)
        client = self.zone.last.client("reports")
        self.assertIsNone(client.run("READ a", seconds=0.3).refusal)
        self.assertGreater(self.zone.open_connections(self.zone.last), 0)

    def test_a_holder_that_stops_is_left_before_its_end(self):
        client = self.zone.last.client("reports")
        client.run("READ a", seconds=0.1)
        self.zone.first.gateway.stopping = True
        self.zone.first.holder.announce_leaving()
        self.zone.clock.advance(0.01)
        self.assertIsNone(client.run("READ b", seconds=0.1).refusal)
        self.assertGreater(self.zone.open_connections(self.zone.second), 0)

    def test_a_holder_without_a_configuration_leads_to_a_not_run_refusal(self):
        self.zone.first.gateway.services.clear()
        answer = self.zone.last.client("orders").run("WRITE a 1", seconds=1.0)
        self.assertIn(answer.refusal, NO_EFFECT_REFUSALS)
        self.assertEqual(self.zone.primary.texts(), [])

    def test_a_client_that_leaves_frees_what_it_used(self):
        client = self.zone.last.client("orders")
        client.run("BEGIN")
        client.run("READ a", seconds=0.1)
        self.assertEqual(self.zone.first.holder.open_transactions, 1)
        client.session.close()
        self.zone.clock.advance(0.1)
        self.assertEqual(self.zone.first.holder.open_transactions, 0)
        self.assertEqual(self.zone.primary.ran[-1][1].kind, CommandKind.ROLLBACK)

    def test_the_log_names_the_holder_and_what_decided_there(self):
        self.zone.primary.primary = False
        self.zone.last.client("orders").run("WRITE a 1", seconds=1.0)
        line = next(line for line in self.zone.last.logs() if '"event":301' in line)
        self.assertIn(f'"via":"{self.zone.first.name}"', line)
        self.assertIn('"stage":"waits-for-primary"', line)


class ForwardedTransactionTest(unittest.TestCase):
    def setUp(self):
        self.zone = ZoneHarness()
        self.client = self.zone.last.client("orders")

    def begin(self, *texts):
        self.client.run("BEGIN")
        for text in texts:
            self.assertIsNone(self.client.run(text, seconds=0.1).refusal)

    def test_it_runs_here_once_no_other_holder_is_left(self):
        client = self.zone.last.client("orders")
        client.run("WRITE a 1", seconds=0.3)
        self.zone.kill(self.zone.first)
        self.zone.kill(self.zone.second)
        client.run("BEGIN")
        self.assertIsNone(client.run("WRITE b 2", seconds=0.3).refusal)
        self.assertIsNone(client.run("COMMIT").refusal)
        self.assertEqual(self.zone.open_connections(self.zone.last), 1)
        self.assertEqual(self.zone.primary.texts()[1:], ["WRITE b 2", "COMMIT"])

    def test_it_stays_on_one_connection(self):
        self.begin("READ a", "WRITE a 1")
        self.assertIsNone(self.client.run("COMMIT", seconds=0.1).refusal)
        connections = {number for number, command in self.zone.primary.ran if command.request_id}
        self.assertEqual(len(connections), 1)
        self.assertEqual(self.zone.first.holder.open_transactions, 0)

    def test_a_lost_link_aborts_it_and_rolls_it_back(self):
        self.begin("WRITE a 1")
        self.zone.kill(self.zone.first)
        answer = self.client.run("COMMIT", seconds=0.2)
        self.assertEqual(answer.refusal, Refusal.ABORTED)
        self.zone.clock.advance(0.1)
        self.assertNotIn("COMMIT", self.zone.primary.texts())
        self.assertEqual(self.client.session.state, SessionState.IDLE)

    def test_a_holder_that_ended_it_does_not_begin_it_anew(self):
        # A statement that arrives after its transaction was ended must not start a new one.
        self.begin("WRITE a 1")
        for link in self.zone.first.holder._links:
            link.end_idle_since(self.zone.relay_clock.now)
        answer = self.client.run("WRITE b 2", seconds=0.1)
        self.assertEqual(answer.refusal, Refusal.ABORTED)
        self.assertEqual(self.zone.primary.texts(), ["WRITE a 1"])

    def test_at_a_silent_holder_it_is_aborted_in_time_to_begin_again(self):
        # It can't move: its first statement may have run at the silent holder.
        self.zone.last.client("orders").run("READ warm", seconds=0.1)
        self.zone.primary.ran.clear()
        self.zone.near.ran.clear()
        self.begin()
        self.zone.network.frozen.add(self.zone.first.name)
        answer = self.client.run("READ a", seconds=0.4)
        self.assertEqual(answer.refusal, Refusal.ABORTED)
        self.client.run("ROLLBACK")
        self.begin("READ a", "WRITE a 1")
        self.assertIsNone(self.client.run("COMMIT", seconds=0.1).refusal)
        self.assertEqual(self.zone.primary.texts(), ["READ a", "WRITE a 1", "COMMIT"])

    def test_a_commit_at_a_silent_holder_is_in_doubt_only_when_that_is_gone(self):
        self.begin("WRITE a 1")
        self.zone.network.frozen.add(self.zone.first.name)
        self.client.ask("COMMIT")
        answered = len(self.client.answers)
        self.zone.clock.advance(0.4)
        self.assertEqual(len(self.client.answers), answered)
        self.zone.clock.advance(0.4)
        self.assertEqual(self.client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)

    def test_a_commit_whose_link_breaks_is_in_doubt(self):
        self.begin("WRITE a 1")
        self.zone.primary.script = [None]
        self.client.ask("COMMIT")
        self.zone.clock.advance(0.05)
        self.zone.kill(self.zone.first)
        self.assertEqual(self.client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)

    def test_a_commit_that_wrote_nothing_is_aborted_when_its_link_breaks(self):
        self.begin("READ a")
        self.zone.primary.script = [None]
        self.client.ask("COMMIT")
        self.zone.clock.advance(0.05)
        self.zone.kill(self.zone.first)
        self.assertEqual(self.client.answers[-1].refusal, Refusal.ABORTED)

    def test_it_goes_on_at_a_holder_that_is_leaving(self):
        self.begin("WRITE a 1")
        self.zone.first.gateway.stopping = True
        self.zone.first.holder.announce_leaving()
        self.zone.clock.advance(0.01)
        self.assertIsNone(self.client.run("COMMIT", seconds=0.1).refusal)

    def test_a_rollback_ends_it_at_the_holder(self):
        self.begin("WRITE a 1")
        self.client.run("ROLLBACK")
        self.zone.clock.advance(0.1)
        self.assertEqual(self.zone.primary.ran[-1][1].kind, CommandKind.ROLLBACK)
        self.assertEqual(self.zone.first.holder.open_transactions, 0)

    def test_a_gateway_that_vanished_leaves_no_transaction_behind_for_long(self):
        self.begin("WRITE a 1")
        self.zone.network.cut.add((self.zone.last.name, self.zone.first.name))
        self.zone.clock.advance(6.0)
        self.assertEqual(self.zone.first.holder.open_transactions, 0)

    def test_a_refused_statement_ends_it_at_both_ends(self):
        self.client.run("BEGIN READ")
        answer = self.client.run("WRITE a 1", seconds=0.1)
        self.assertEqual(answer.refusal, Refusal.NOT_PRIMARY)
        self.assertEqual(self.client.session.state, SessionState.FAILED)
        self.assertEqual(self.zone.first.holder.open_transactions, 0)

    def test_its_reads_have_a_sample_asked_for_after_it_began(self):
        client = self.zone.last.client("reports")
        client.run("BEGIN READ")
        self.zone.primary.position = self.zone.near.position = Position(1, 12)
        client.run("READ a", seconds=0.1)
        begins = [
            c for m in self.zone.members for _, c in m.ran if c.kind is CommandKind.BEGIN_READ
        ]
        self.assertEqual(begins[-1].floor, Position(1, 12))
