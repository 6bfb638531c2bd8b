"""Early rejection at the sender, by the load that holders report with their answers."""

import unittest

import msgspec

from rowanrail.gateway.relay.message_mapping import (
    OutgoingStatement,
    apply_session_values,
    build_run_message,
)
from rowanrail.gateway.relay.messages import Reply, RunStatement
from rowanrail.gateway.relay.remote_admission import RemoteAdmission, RemoteRequest
from rowanrail.gateway.session_context import SessionContext
from rowanrail.model.routing import Consistency, Route
from rowanrail.model.statements import Refusal
from rowanrail.model.trace import Trace
from rowanrail.scheduling.load import ServiceLoad
from tests.support.gateway import statement
from tests.support.relay import ZoneHarness


def remote_request(**changes):
    """Return a write with a timeout of 800 ms and a round trip of 80 ms."""
    fields = {"peer": "g1", "service": "db", "tenant": "anna", "urgency": 1, "writes": True}
    fields |= {"time_left": 800.0, "time_given": 800.0, "round_trip": 80.0}
    return RemoteRequest(**(fields | changes))


class RemoteAdmissionTest(unittest.TestCase):
    def setUp(self):
        self.zone = ZoneHarness()
        self.remote_admission = RemoteAdmission(self.zone.relay_clock)
        self.remote_admission.note("g1", "db", "anna", ServiceLoad([0, 3000], [0, 0], 400))

    def test_a_statement_that_the_holder_would_reject_is_not_sent(self):
        rejected = self.remote_admission.check(remote_request())
        self.assertEqual(rejected.answer.refusal, Refusal.BUSY)
        self.assertRegex(rejected.answer.message, r"^g1 is crowded .*; retry in \d\.\d\d s$")
        self.assertEqual(rejected.rejection.cause, "holder-crowded")
        self.assertEqual(rejected.rejection.left, 800)

    def test_more_urgent_statements_and_reads_are_sent(self):
        self.assertIsNone(self.remote_admission.check(remote_request(urgency=0)))
        self.assertIsNone(self.remote_admission.check(remote_request(writes=False)))

    def test_another_tenant_s_statement_is_sent(self):
        self.assertIsNone(self.remote_admission.check(remote_request(tenant="bob")))

    def test_a_retry_is_sent_since_the_holder_gives_it_precedence(self):
        self.assertIsNone(self.remote_admission.check(remote_request(is_retry=True)))

    def test_a_statement_without_time_for_the_round_trip_is_not_sent_even_as_a_probe(self):
        self.zone.clock.advance(0.5)
        rejected = self.remote_admission.check(remote_request(time_left=70.0))
        self.assertEqual(rejected.rejection.cause, "way-too-long")

    def test_a_probe_is_sent_each_tenth_of_a_second(self):
        self.assertIsNotNone(self.remote_admission.check(remote_request()))
        self.zone.clock.advance(0.11)
        self.assertIsNone(self.remote_admission.check(remote_request()))
        self.assertIsNotNone(self.remote_admission.check(remote_request()))

    def test_statements_rejected_together_get_different_retry_times(self):
        retry_times = {
            self.remote_admission.check(remote_request()).rejection.return_in for _ in range(50)
        }
        self.assertGreater(len(retry_times), 40)


class ZoneTest(unittest.TestCase):
    """Three gateways: clients are at ``last``, connections at ``first``."""

    def setUp(self):
        self.zone = ZoneHarness()
        self.zone.clock.advance(0.2)
        self.client = self.zone.last.client("orders")
        self.assertIsNone(self.client.run("WRITE a 1", seconds=0.3).refusal)
        self.pool = self.zone.first.gateway.services["db"].pools["m1"]

    def fill(self):
        """Queue more statements at the holder than it can serve within their timeout."""
        for _ in range(30):
            self.pool.connections.leases.note(500.0)
        self.zone.primary.script = [None] * 500
        for _ in range(60):
            self.zone.last.client("orders").ask("WRITE b 2")
        self.zone.clock.advance(0.01)

    def receive_load(self):
        """Let the sender receive the holder's load with an answer."""
        self.client.ask("WRITE c 3")
        self.zone.clock.advance(0.05)

    def test_the_second_statement_that_cannot_be_in_time_is_rejected_by_the_sender(self):
        self.fill()
        self.receive_load()
        self.assertEqual(self.client.answers[-1].refusal, Refusal.BUSY)
        held = self.zone.first.holder.running_statements
        other = self.zone.last.client("orders")
        self.assertEqual(other.run("WRITE d 4").refusal, Refusal.BUSY)
        self.assertIn("is crowded", other.answers[-1].message)
        self.assertEqual(self.zone.first.holder.running_statements, held)
        self.assertNotIn("WRITE d 4", self.zone.primary.texts())

    def test_when_room_is_back_a_probe_learns_it(self):
        self.fill()
        self.receive_load()
        self.zone.primary.script = []
        self.zone.clock.advance(1.2)  # the queued statements have timed out
        for _ in range(60):
            self.pool.connections.leases.note(10.0)
        answers = [self.zone.last.client("orders").run("WRITE e 5", 0.2) for _ in range(3)]
        self.assertIsNone(answers[-1].refusal)

    def test_a_transaction_that_has_begun_is_not_rejected(self):
        self.client.run("BEGIN")
        self.assertIsNone(self.client.run("WRITE a 2", seconds=0.3).refusal)
        self.fill()
        other = self.zone.last.client("orders")
        other.ask("WRITE c 3")
        self.zone.clock.advance(0.05)
        self.assertEqual(other.answers[-1].refusal, Refusal.BUSY)
        self.zone.primary.script = []
        self.assertIsNone(self.client.run("WRITE a 3", seconds=0.05).refusal)

    def test_the_load_of_a_lost_holder_is_discarded(self):
        self.fill()
        self.receive_load()
        self.zone.kill(self.zone.first)
        self.zone.primary.script = []
        self.assertIsNone(self.client.run("WRITE f 6", seconds=0.5).refusal)


class CancelledTest(unittest.TestCase):
    """A queued statement does not run at the holder once its client has closed its session."""

    def setUp(self):
        self.zone = ZoneHarness()
        self.zone.clock.advance(0.2)
        self.assertIsNone(self.zone.last.client("orders").run("WRITE a 1", seconds=0.3).refusal)
        self.pool = self.zone.first.gateway.services["db"].pools["m1"]
        self.zone.primary.script = [None] * 10
        self.busy = [self.zone.first.client("orders") for _ in range(self.pool.concurrency.value)]
        for client in self.busy:
            client.ask("WRITE b 2")
            self.zone.clock.advance(0.05)

    def give_up(self, *texts):
        client = self.zone.last.client("orders")
        for text in texts:
            client.ask(text)
        self.zone.clock.advance(0.05)
        self.assertGreater(len(self.pool.queue), 0)
        client.session.close()
        self.zone.clock.advance(0.05)
        self.assertEqual(len(self.pool.queue), 0)
        self.zone.primary.script = []
        for client in self.busy:
            client.session.close()
        self.zone.clock.advance(1.0)
        self.assertNotIn("WRITE given-up 1", self.zone.primary.texts())

    def test_a_single_statement(self):
        self.give_up("WRITE given-up 1")

    def test_the_first_statement_of_a_transaction(self):
        self.give_up("BEGIN", "WRITE given-up 1")


class RetryTest(unittest.TestCase):
    def test_a_retry_is_marked_at_the_holder(self):
        session, held = SessionContext(), SessionContext()
        session.is_retrying = True
        route = Route("orders", "orders", "db", Consistency.PRIMARY, 1.0, 0.5)
        run = build_run_message(
            OutgoingStatement(statement("q1", "WRITE a 1"), route, session, 800.0), 1
        )
        apply_session_values(
            held, msgspec.msgpack.decode(msgspec.msgpack.encode(run), type=RunStatement)
        )
        self.assertTrue(held.is_retrying)


class RollingRestartTest(unittest.TestCase):
    """Messages to and from a gateway of the previous release."""

    def test_a_reply_without_a_load_decodes(self):
        reply = Reply(1, [], b"", None, "", None, None, Trace("db", "sent"), ServiceLoad([1]))
        old = msgspec.msgpack.decode(msgspec.msgpack.encode(reply))
        *shorter, _, _ = old  # without load and doubts
        shorter[-1] = shorter[-1][:-1]  # and a trace without rejection
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(shorter), type=Reply)
        self.assertIsNone(decoded.load)
        self.assertEqual(decoded.doubts, {})
        self.assertIsNone(decoded.trace.rejection)

    def test_an_older_gateway_ignores_unknown_fields(self):
        class OldReply(msgspec.Struct, tag=11, array_like=True):
            call: int
            rows: list[bytes]

        reply = Reply(1, [], b"", None, "", None, None, Trace("db", "sent"), ServiceLoad([1]))
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=OldReply)
        self.assertEqual(decoded.call, 1)

    def test_a_run_without_the_last_fields_is_no_retry_and_may_run_anywhere(self):
        self.assertEqual(RunStatement.__struct_fields__[-2:], ("is_retry", "regions"))
        self.assertEqual(RunStatement.__struct_defaults__[-2:], (False, None))
