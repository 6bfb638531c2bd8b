"""What a sender rejects by itself, from what the holder reported with its answers."""

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
from tests.support.relay import PlayedZone


def asked(**changes):
    """Return a write with 800 ms to a holder 40 ms away."""
    terms = {"peer": "g1", "service": "db", "tenant": "anna", "urgency": 1, "writes": True}
    terms |= {"time_left": 800.0, "time_given": 800.0, "round_trip": 80.0}
    return RemoteRequest(**(terms | changes))


class RemoteAdmissionTest(unittest.TestCase):
    def setUp(self):
        self.zone = PlayedZone()
        self.remote_admission = RemoteAdmission(self.zone.relay_clock)
        self.remote_admission.note("g1", "db", "anna", ServiceLoad([0, 3000], [0, 0], 400))

    def test_what_the_holder_would_refuse_is_not_sent(self):
        rejected = self.remote_admission.check(asked())
        self.assertEqual(rejected.answer.refusal, Refusal.BUSY)
        self.assertRegex(rejected.answer.message, r"^g1 is crowded .*; retry in \d\.\d\d s$")
        self.assertEqual(rejected.rejection.cause, "holder-crowded")
        self.assertEqual(rejected.rejection.left, 800)

    def test_what_is_more_urgent_or_only_reads_is_sent(self):
        self.assertIsNone(self.remote_admission.check(asked(urgency=0)))
        self.assertIsNone(self.remote_admission.check(asked(writes=False)))

    def test_another_tenant_s_statement_is_sent(self):
        self.assertIsNone(self.remote_admission.check(asked(tenant="bob")))

    def test_who_has_returned_is_sent_since_the_holder_knows_its_place(self):
        self.assertIsNone(self.remote_admission.check(asked(is_retry=True)))

    def test_what_has_no_time_for_the_way_is_not_sent_even_as_a_probe(self):
        self.zone.clock.advance(0.5)
        rejected = self.remote_admission.check(asked(time_left=70.0))
        self.assertEqual(rejected.rejection.cause, "way-too-long")

    def test_a_probe_is_sent_each_tenth_of_a_second(self):
        self.assertIsNotNone(self.remote_admission.check(asked()))
        self.zone.clock.advance(0.11)
        self.assertIsNone(self.remote_admission.check(asked()))
        self.assertIsNotNone(self.remote_admission.check(asked()))

    def test_many_refused_at_one_moment_are_told_different_moments(self):
        told = {self.remote_admission.check(asked()).rejection.return_in for _ in range(50)}
        self.assertGreater(len(told), 40)


class ZoneTest(unittest.TestCase):
    """Three gateways: clients at ``last``, connections at ``first``."""

    def setUp(self):
        self.zone = PlayedZone()
        self.zone.clock.advance(0.2)
        self.client = self.zone.last.client("orders")
        self.assertIsNone(self.client.run("WRITE a 1", seconds=0.3).refusal)
        self.pool = self.zone.first.gateway.services["db"].pools["m1"]

    def fill(self):
        """Have more wait at the holder than it can serve in the time of a statement."""
        for _ in range(30):
            self.pool.connections.leases.note(500.0)
        self.zone.primary.script = [None] * 500
        for _ in range(60):
            self.zone.last.client("orders").ask("WRITE b 2")
        self.zone.clock.advance(0.01)

    def hear_load(self):
        """Have the sender learn of it by an answer."""
        self.client.ask("WRITE c 3")
        self.zone.clock.advance(0.05)

    def test_the_second_hopeless_statement_is_refused_where_it_came(self):
        self.fill()
        self.hear_load()
        self.assertEqual(self.client.answers[-1].refusal, Refusal.BUSY)
        held = self.zone.first.holder.running_statements
        other = self.zone.last.client("orders")
        self.assertEqual(other.run("WRITE d 4").refusal, Refusal.BUSY)
        self.assertIn("is crowded", other.answers[-1].message)
        self.assertEqual(self.zone.first.holder.running_statements, held)
        self.assertNotIn("WRITE d 4", self.zone.primary.texts())

    def test_when_room_is_back_a_probe_learns_it(self):
        self.fill()
        self.hear_load()
        self.zone.primary.script = []
        self.zone.clock.advance(1.2)  # those who waited have left
        for _ in range(60):
            self.pool.connections.leases.note(10.0)
        answers = [self.zone.last.client("orders").run("WRITE e 5", 0.2) for _ in range(3)]
        self.assertIsNone(answers[-1].refusal)

    def test_a_begun_transaction_is_not_judged_by_it(self):
        self.client.run("BEGIN")
        self.assertIsNone(self.client.run("WRITE a 2", seconds=0.3).refusal)
        self.fill()
        other = self.zone.last.client("orders")
        other.ask("WRITE c 3")
        self.zone.clock.advance(0.05)
        self.assertEqual(other.answers[-1].refusal, Refusal.BUSY)
        self.zone.primary.script = []
        self.assertIsNone(self.client.run("WRITE a 3", seconds=0.05).refusal)

    def test_a_lost_holder_s_word_counts_for_nothing_at_the_next_one(self):
        self.fill()
        self.hear_load()
        self.zone.kill(self.zone.first)
        self.zone.primary.script = []
        self.assertIsNone(self.client.run("WRITE f 6", seconds=0.5).refusal)


class GivenUpTest(unittest.TestCase):
    """What its client gave up while it waited at the holder isn't run there."""

    def setUp(self):
        self.zone = PlayedZone()
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


class ReturnedTest(unittest.TestCase):
    def test_who_goes_before_newcomers_is_known_at_the_holder(self):
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
    """Messages of a gateway that runs the release before, and to one."""

    def test_a_reply_without_a_load_decodes(self):
        reply = Reply(1, [], b"", None, "", None, None, Trace("db", "sent"), ServiceLoad([1]))
        old = msgspec.msgpack.decode(msgspec.msgpack.encode(reply))
        *shorter, _, _ = old  # neither a load nor doubts
        shorter[-1] = shorter[-1][:-1]  # nor does its trace say why a statement was rejected
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(shorter), type=Reply)
        self.assertIsNone(decoded.load)
        self.assertEqual(decoded.doubts, {})
        self.assertIsNone(decoded.trace.rejection)

    def test_what_an_older_gateway_does_not_know_is_passed_over(self):
        class OldReply(msgspec.Struct, tag=11, array_like=True):
            call: int
            rows: list[bytes]

        reply = Reply(1, [], b"", None, "", None, None, Trace("db", "sent"), ServiceLoad([1]))
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=OldReply)
        self.assertEqual(decoded.call, 1)

    def test_a_run_without_the_last_field_is_a_newcomer_s(self):
        self.assertEqual(RunStatement.__struct_fields__[-1], "is_retry")
        self.assertIs(RunStatement.__struct_defaults__[-1], False)
