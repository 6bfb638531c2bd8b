"""Evacuated zones at a gateway: what leaves them at once, what may go on, and what is refused."""

import doctest
import unittest
from unittest.mock import patch

from rowanrail.directory.messages import Evacuations
from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.services.warm_up_limits import WarmUpLimits
from rowanrail.gateway.sessions.session import Session
from rowanrail.kernel.registry import Registry
from rowanrail.members import eligibility, evacuated_zones
from rowanrail.model.position import Position
from rowanrail.model.routing import RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import Answer, CommandKind, Refusal
from rowanrail.placement.hashed import FleetSize
from tests.support.gateway import FakeClient, GatewayHarness, RecordingLog, routes
from tests.support.relay import ZoneHarness

PRIMARY_ZONE, NEAR_ZONE, FAR_ZONE = "b", "a", "c"
GRACE_SECONDS = 2.0  # of the default 5 s
ALLOWED_SECONDS = 5.0


class RulesTest(unittest.TestCase):
    def test_doctests_pass(self):
        for module in (eligibility, evacuated_zones):
            self.assertEqual(doctest.testmod(module).failed, 0)


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        self.clock = self.harness.clock
        self.primary, self.near = self.harness.primary, self.harness.near
        self.revision = 0

    def evacuate(self, *zones):
        self.revision += 1
        self.harness.gateway.set_evacuations(
            Evacuations(self.revision, dict.fromkeys(zones, self.revision))
        )

    def close(self, *zones):
        """Evacuate zones and wait until they are closed."""
        self.evacuate(*zones)
        self.clock.advance(GRACE_SECONDS + 0.6)

    def warm_up(self, *databases):
        """Run statements, so that connections are open and samples are taken."""
        for database in databases or ("orders", "reports"):
            client = self.harness.client(database)
            for _ in range(4):
                client.run("READ a", 0.1)
        self.harness.client("orders").run("WRITE a 1", 0.1)

    def assert_rejected(self, answer, cause="evacuated"):
        self.assertIs(answer.refusal, Refusal.BUSY)
        self.assertIn("retry in", answer.message)
        self.assertIn(f'"cause":"{cause}"', self.harness.logs()[-1])

    # Members that can be replaced

    def test_reads_leave_a_replica_at_once(self):
        client = self.harness.client("reports")
        client.run("READ a")
        self.assertEqual(self.near.texts(), ["READ a"])
        self.evacuate(NEAR_ZONE)
        for _ in range(20):
            self.assertIsNone(client.run("READ b", 0.1).refusal)
        self.assertEqual(self.near.texts(), ["READ a"])

    def test_new_transactions_leave_a_replica_at_once(self):
        self.warm_up()
        self.evacuate(NEAR_ZONE)
        before = self.near.texts()
        client = self.harness.client("reports")
        client.run("BEGIN READ")
        self.assertIsNone(client.run("READ b", 0.1).refusal)
        self.assertEqual(self.near.texts(), before)

    def test_a_queued_read_leaves_a_replica_at_once(self):
        harness = self.harness = GatewayHarness(slots=1)
        self.clock = harness.clock
        harness.client("reports").run("READ warm", 0.1)
        harness.primary.refuse_start = harness.far.refuse_start = Refusal.TOO_MANY_CONNECTIONS
        harness.near.script = [None]
        clients = [harness.client("reports") for _ in range(2)]
        for client in clients:
            client.ask("READ a")
        queue = harness.gateway.services["db"].pools["m2"].queue
        self.assertEqual(len(queue), 1)
        harness.primary.refuse_start = harness.far.refuse_start = None
        self.evacuate(NEAR_ZONE)
        self.assertEqual(len(queue), 0)
        self.clock.advance(0.1)
        self.assertEqual([len(client.answers) for client in clients], [0, 1])
        self.assertIsNone(clients[1].answers[0].refusal)
        self.assertEqual(harness.near.texts().count("READ a"), 1)

    def test_an_open_transaction_at_a_replica_ends_when_the_zone_is_closed(self):
        client = self.harness.client("reports")
        client.run("BEGIN READ")
        client.run("READ a")
        self.assertEqual(self.near.texts(), ["READ a"])
        self.evacuate(NEAR_ZONE)
        self.assertIsNone(client.run("READ b").refusal)
        self.clock.advance(GRACE_SECONDS + 0.1)
        self.assertEqual(self.near.open_transports(), [])
        self.assertIs(client.run("READ c").refusal, Refusal.ABORTED)
        self.assertEqual(self.near.texts(), ["READ a", "READ b"])

    def test_members_in_evacuated_zones_are_not_probed(self):
        self.warm_up()
        self.harness.gateway.services["db"].pools["m2"].note_error()
        self.evacuate(NEAR_ZONE)
        self.near.ran.clear()
        opened = len(self.near.transports)
        client = self.harness.client("reports")
        for _ in range(20):
            self.clock.advance(0.1)
            client.run("READ a", 0.1)
        self.assertEqual((self.near.ran, len(self.near.transports)), ([], opened))

    # Primaries

    def test_the_primary_serves_on_until_its_zone_is_closed(self):
        self.warm_up()
        client = self.harness.client("orders")
        self.evacuate(PRIMARY_ZONE)
        self.clock.advance(GRACE_SECONDS - 0.2)
        self.assertIsNone(client.run("WRITE a 1", 0.1).refusal)
        self.clock.advance(0.2)
        sent = len(self.primary.ran)
        self.assert_rejected(client.run("WRITE a 2"))
        self.assertEqual(len(self.primary.ran), sent)

    def test_nothing_is_sent_to_a_closed_primary_and_its_connections_are_closed(self):
        self.warm_up()
        self.near.position = self.harness.far.position = self.primary.position
        self.close(PRIMARY_ZONE)
        sent = len(self.primary.ran)
        clients = [self.harness.client(name) for name in ("orders", "reports", "carts")]
        for _ in range(100):
            for client in clients:
                client.run("READ a")
                client.run("WRITE a 1")
            self.clock.advance(0.05)
        self.assertEqual(len(self.primary.ran), sent)
        self.assertEqual(self.primary.open_transports(), [])

    def test_a_closed_primary_is_not_reported_as_failing(self):
        # The control nodes would promote a replica that lacks its last commits.
        self.warm_up()
        self.close(PRIMARY_ZONE)
        for _ in range(20):
            self.harness.client("orders").run("WRITE a 1")
            self.clock.advance(0.2)
        (health,) = self.harness.gateway.health()
        self.assertEqual((health.instance, health.failing_for_ms), ("m1", 0))

    def test_reads_that_need_a_sample_of_a_closed_primary_are_rejected_at_once(self):
        self.warm_up()
        self.close(PRIMARY_ZONE)
        self.assert_rejected(self.harness.client("orders").run("READ a"))
        transaction = self.harness.client("orders")
        transaction.run("BEGIN READ")
        self.assert_rejected(transaction.run("READ a"))

    def test_a_read_that_waits_for_a_sample_is_rejected_when_the_zone_is_closed(self):
        self.warm_up()
        self.evacuate(PRIMARY_ZONE)
        self.clock.advance(GRACE_SECONDS - 0.1)
        self.primary.silent = True
        answer = self.harness.client("orders").run("READ a", 0.2)
        self.assert_rejected(answer)

    def test_a_queued_write_is_rejected_when_the_zone_is_closed(self):
        self.harness = GatewayHarness(slots=1)
        self.clock, self.primary = self.harness.clock, self.harness.primary
        self.harness.client("orders").run("WRITE a 1", 0.1)
        self.evacuate(PRIMARY_ZONE)
        self.clock.advance(GRACE_SECONDS - 0.1)
        self.primary.script = [None] * 10
        clients = [self.harness.client("orders") for _ in range(10)]
        for client in clients:
            client.ask("WRITE b 2")
        self.clock.advance(0.2)
        sent = self.primary.texts().count("WRITE b 2")
        self.assertIn(sent, range(1, 10))
        answers = [answer for client in clients for answer in client.answers]
        self.assertEqual(len(answers), 10 - sent)
        for answer in answers:
            self.assert_rejected(answer)

    def test_queued_work_follows_the_primary_out_of_the_zone(self):
        for texts in (("WRITE b 2",), ("BEGIN", "WRITE b 2")):
            with self.subTest(texts):
                self.harness = harness = GatewayHarness(slots=1)
                self.clock, primary, near = harness.clock, harness.primary, harness.near
                harness.client("orders").run("WRITE a 1", 0.1)
                self.evacuate(PRIMARY_ZONE)
                primary.script = [None]
                clients = [harness.client("orders") for _ in range(3)]
                clients[0].ask("WRITE b 2")
                for client in clients[1:]:
                    for text in texts:
                        client.ask(text)
                primary.primary, near.primary = False, True
                near.position = Position(2, 30)
                [busy] = [t for t in primary.open_transports() if t.channel.busy]
                busy.channel.answered(Answer(refusal=Refusal.NOT_PRIMARY))
                self.clock.advance(0.4)
                last = [client.answers[-1].refusal for client in clients]
                self.assertEqual(last, [None] * 3)
                self.assertEqual(near.texts().count("WRITE b 2"), 3)

    def test_another_member_that_announces_itself_as_primary_is_followed(self):
        self.warm_up()
        self.close(PRIMARY_ZONE)
        self.primary.primary, self.near.primary = False, True
        self.near.position = Position(2, 30)
        self.harness.announce(2)
        self.clock.advance(0.6)
        self.assertIsNone(self.harness.client("orders").run("WRITE a 9", 0.2).refusal)
        self.assertIn("WRITE a 9", self.near.texts())

    def test_a_primary_that_moved_while_the_service_was_idle_is_followed(self):
        self.warm_up()
        self.clock.advance(20)
        self.evacuate(PRIMARY_ZONE)
        self.primary.primary, self.near.primary = False, True
        self.near.position = Position(2, 30)
        self.harness.announce(2)
        self.clock.advance(GRACE_SECONDS + 0.6)
        self.assertIsNone(self.harness.client("orders").run("WRITE a 9", 0.2).refusal)

    # Transactions at the primary

    def open_transaction(self):
        client = self.harness.client("orders")
        client.run("BEGIN")
        self.assertIsNone(client.run("WRITE t 1", 0.1).refusal)
        return client

    def test_an_idle_transaction_is_rolled_back_and_told_so(self):
        client = self.open_transaction()
        self.close(PRIMARY_ZONE)
        self.assertEqual(self.primary.open_transports(), [])
        self.assertIs(client.run("COMMIT").refusal, Refusal.ABORTED)
        self.assertNotIn("COMMIT", self.primary.texts())

    def test_a_statement_that_comes_just_as_the_zone_is_closed_is_not_sent(self):
        client = self.open_transaction()
        self.evacuate(PRIMARY_ZONE)
        self.clock.advance(GRACE_SECONDS - 0.1)
        self.clock.now += 0.1  # before the next tick
        sent = len(self.primary.ran)
        self.assertIs(client.run("COMMIT").refusal, Refusal.ABORTED)
        self.clock.advance(0.1)
        self.assertEqual(len(self.primary.ran), sent)
        self.assertEqual(self.primary.open_transports(), [])

    def test_a_commit_that_was_sent_keeps_its_answer(self):
        client = self.open_transaction()
        self.evacuate(PRIMARY_ZONE)
        self.clock.advance(GRACE_SECONDS - 0.1)
        self.primary.script = [None]
        client.ask("COMMIT")
        self.clock.advance(0.3)
        self.assertEqual(len(client.answers), 2)
        (transport,) = self.primary.open_transports()
        transport.channel.answered(Answer(signature=b"sig", position=Position(1, 11)))
        self.assertIsNone(client.answers[-1].refusal)
        self.clock.advance(0.6)
        self.assertEqual(self.primary.open_transports(), [])

    def test_a_statement_that_was_sent_is_answered_and_the_next_one_is_not_sent(self):
        client = self.open_transaction()
        self.evacuate(PRIMARY_ZONE)
        self.clock.advance(GRACE_SECONDS - 0.1)
        self.primary.script = [None]
        client.ask("WRITE t 2")
        self.clock.advance(0.2)
        (transport,) = self.primary.open_transports()
        transport.channel.answered(Answer(signature=b"sig", position=Position(1, 11)))
        self.assertIsNone(client.answers[-1].refusal)
        sent = len(self.primary.ran)
        self.assertIs(client.run("COMMIT").refusal, Refusal.ABORTED)
        self.assertEqual(len(self.primary.ran), sent)

    # Whole services

    def test_a_service_in_evacuated_zones_only_is_refused_at_once(self):
        self.warm_up()
        self.close(PRIMARY_ZONE, NEAR_ZONE, FAR_ZONE)
        sent = [len(member.ran) for member in self.harness.members]
        for database in ("orders", "reports", "carts"):
            client = self.harness.client(database)
            self.assert_rejected(client.run("READ a"))
            self.assert_rejected(client.run("WRITE a 1"))
        self.clock.advance(ALLOWED_SECONDS)
        self.assertEqual([len(member.ran) for member in self.harness.members], sent)

    def test_the_withdrawal_opens_the_zone_again(self):
        self.warm_up()
        self.close(PRIMARY_ZONE, NEAR_ZONE, FAR_ZONE)
        self.evacuate()
        self.clock.advance(0.1)
        self.assertIsNone(self.harness.client("orders").run("WRITE a 1", 0.2).refusal)
        self.assertIsNone(self.harness.client("reports").run("READ a", 0.2).refusal)

    def test_a_gateway_that_starts_uses_no_evacuated_primary(self):
        decisions = RecordingLog("other", wall_clock=self.clock.time)
        gateway = Gateway(Locality("a"), self.harness.driver, self.clock, decisions, Registry())
        gateway.start()
        gateway.apply(RoutingConfiguration(1, routes(), {"db": ServiceSpec("db", 30)}, 3.0))
        gateway.set_evacuations(Evacuations(7, {PRIMARY_ZONE: 1}))
        records = [member.record() for member in self.harness.members]
        gateway.set_directory(Directory(1, records, FleetSize(3, 3)))
        session = gateway.open_session("orders", "client")
        assert isinstance(session, Session)
        self.assertIs(FakeClient(self.harness, session).run("WRITE a 1").refusal, Refusal.BUSY)
        self.clock.advance(1.0)
        self.assertEqual(self.primary.ran, [])

    def test_known_evacuations_are_logged_once_and_do_not_extend_the_time(self):
        self.evacuate(PRIMARY_ZONE)
        self.clock.advance(1.0)
        known = Evacuations(1, {PRIMARY_ZONE: 1})
        self.harness.gateway.set_evacuations(known)
        self.harness.gateway.set_evacuations(Evacuations(9, {PRIMARY_ZONE: 1, FAR_ZONE: 2}))
        self.clock.advance(1.1)
        self.assertEqual(self.harness.gateway.evacuations.closed, {PRIMARY_ZONE})
        lines = self.harness.logs()
        self.assertEqual(sum('"event":340' in line for line in lines), 2)
        self.assertEqual(sum('"event":341' in line for line in lines), 1)


class WarmUpAfterEvacuationTest(unittest.TestCase):
    def test_work_that_leaves_a_zone_is_not_sent_to_one_that_just_returned(self):
        harness = GatewayHarness(slots=1)
        spec = ServiceSpec("db", 30, warm_up_seconds=10.0, warm_up_rate=3.0)
        harness.gateway.apply(RoutingConfiguration(2, routes(), {"db": spec}, 3.0))
        service = harness.gateway.services["db"]
        harness.clock.advance(20)  # all members are warm
        for _ in range(4):
            harness.client("reports").run("READ a", 0.1)
        harness.gateway.set_evacuations(Evacuations(1, {NEAR_ZONE: 1}, {}))
        harness.primary.script, harness.far.script = [None] * 9, [None] * 9
        clients = [harness.client("reports") for _ in range(6)]
        for client in clients:
            client.ask("READ b")
        self.assertTrue(service.pools["m3"].queue or service.pools["m1"].queue)
        sent = len(harness.near.ran)
        harness.gateway.set_evacuations(
            Evacuations(3, {FAR_ZONE: 2, PRIMARY_ZONE: 2}, {NEAR_ZONE: 3})
        )
        self.assertTrue(service.is_warming(harness.near.record()))
        self.assertEqual(harness.near.ran[sent:], [])


class NoExclusionsTest(unittest.TestCase):
    """Deployments without evacuations, regions and warm-up limits pay nothing for them."""

    def test_statements_are_not_checked(self):
        harness = GatewayHarness()
        harness.client("reports").run("READ a", 0.1)
        with (
            patch.object(eligibility.Eligibility, "exclusion") as check,
            patch.object(WarmUpLimits, "has_place") as has_place,
            patch.object(Service, "regions_of") as regions_of,
        ):
            for database in ("orders", "reports", "carts"):
                client = harness.client(database)
                for text in ("READ a", "WRITE a 1", "BEGIN", "WRITE a 1", "COMMIT"):
                    self.assertIsNone(client.run(text, 0.1).refusal)
        self.assertFalse(check.called or has_place.called or regions_of.called)


class HolderTest(unittest.TestCase):
    """The holder knows of an evacuation, the gateway that forwards to it does not."""

    def setUp(self):
        self.zone = ZoneHarness()
        self.client = self.zone.last.client("orders")
        self.client.run("WRITE a 1", seconds=0.1)

    def close_at_holder(self):
        self.zone.first.gateway.set_evacuations(Evacuations(1, {PRIMARY_ZONE: 1}))
        self.zone.clock.advance(GRACE_SECONDS + 0.6)

    def test_a_forwarded_write_is_refused_by_the_holder(self):
        self.close_at_holder()
        answer = self.client.run("WRITE a 2", seconds=0.2)
        self.assertIs(answer.refusal, Refusal.BUSY)
        self.assertIn("evacuated", answer.message)
        self.assertEqual(self.zone.primary.texts(), ["WRITE a 1"])

    def test_a_forwarded_transaction_is_aborted_by_the_holder(self):
        self.client.run("BEGIN")
        self.assertIsNone(self.client.run("WRITE t 1", seconds=0.1).refusal)
        self.close_at_holder()
        self.assertIs(self.client.run("COMMIT", seconds=0.2).refusal, Refusal.ABORTED)
        self.assertNotIn("COMMIT", self.zone.primary.texts())
        kinds = [command.kind for _, command in self.zone.primary.ran]
        self.assertEqual(kinds.count(CommandKind.ROLLBACK), kinds.count(CommandKind.BEGIN) - 1)
