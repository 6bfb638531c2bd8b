"""Regions of data: statements reach no member outside the regions of their route and tenant."""

import unittest

import msgspec

from rowanrail.directory.messages import Evacuations
from rowanrail.gateway.gauges import gauges
from rowanrail.model.data_regions import DataRegions
from rowanrail.model.routing import RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import Answer, CommandKind, Refusal, SessionState
from rowanrail.tenants.model import Tenant, Tenants, key_digest
from tests.support.gateway import GatewayHarness, routes

INSIDE, OUTSIDE = "r2", "r1"  # the primary and a replica are in r1, the other replica in r2


def bound(names):
    return None if names is None else frozenset(names.split())


def configuration(version, route=None, tenant=None, connections=30):
    """Return a configuration that binds all routes and the tenant to regions, if given."""
    bound_routes = {
        name: msgspec.structs.replace(each, regions=bound(route)) for name, each in routes().items()
    }
    tenants = Tenants(
        {"t": Tenant("t", regions=bound(tenant)), "free": Tenant("free")},
        {key_digest("client"): "t", key_digest("other"): "free"},
    )
    services = {"db": ServiceSpec("db", connections)}
    return RoutingConfiguration(version, bound_routes, services, 3.0, tenants=tenants)


class IntersectionTest(unittest.TestCase):
    def regions(self, route, tenant, name="t"):
        restrictions = DataRegions.of(configuration(2, route, tenant))
        return None if restrictions is None else restrictions.route("orders", name).regions

    def test_both_lists_bind(self):
        self.assertEqual(self.regions("r1 r2", "r2 r3"), {"r2"})

    def test_one_list_binds_alone(self):
        self.assertEqual(self.regions("r1", None), {"r1"})
        self.assertEqual(self.regions(None, "r2"), {"r2"})

    def test_without_a_common_region_nothing_is_allowed(self):
        self.assertEqual(self.regions("r1", "r2"), frozenset())

    def test_a_configuration_without_lists_has_no_restrictions(self):
        self.assertIsNone(DataRegions.of(configuration(2)))

    def test_other_tenants_are_bound_by_the_route_only(self):
        self.assertEqual(self.regions("r1 r2", "r2", "free"), {"r1", "r2"})
        self.assertIsNone(self.regions(None, "r2", "free"))

    def test_the_route_of_a_tenant_is_computed_once(self):
        restrictions = DataRegions.of(configuration(2, "r1", "r1 r2"))
        self.assertIs(restrictions.route("orders", "t"), restrictions.route("orders", "t"))

    def test_a_newer_configuration_restricts_statements_that_began_before(self):
        before = DataRegions.of(configuration(2, "r1 r2")).route("orders", "t")
        now = DataRegions.of(configuration(3, "r2 r3"))
        self.assertEqual(now.effective(before, "t"), {"r2"})

    def test_an_older_configuration_does_not_change_what_a_newer_one_said(self):
        newer = DataRegions.of(configuration(3, "r2")).route("orders", "t")
        self.assertEqual(DataRegions.of(configuration(2, "r1")).effective(newer, "t"), {"r2"})

    def test_regions_bind_by_the_own_configuration_if_a_sender_named_none(self):
        plain = routes()["orders"]
        self.assertEqual(DataRegions.of(configuration(2, "r1")).effective(plain, "t"), {"r1"})
        self.assertEqual(DataRegions.of(configuration(2, None, "r1")).effective(plain, "t"), {"r1"})


class BoundGateway(GatewayHarness):
    def __init__(self):
        super().__init__(with_regions=True)
        self.version = 1

    def bind(self, route=None, tenant=None, connections=30):
        self.version += 1
        self.gateway.apply(configuration(self.version, route, tenant, connections))

    def received_outside(self, text):
        """Return whether a member outside received a text, alone or within a command."""
        return any(
            text in command.text
            for member in (self.primary, self.near)
            for _, command in member.ran
        )


class BoundTest(unittest.TestCase):
    def setUp(self):
        self.world = BoundGateway()

    def assert_refused_at_once(self, answer):
        self.assertEqual(answer.refusal, Refusal.BUSY, answer)
        self.assertIn("outside-regions", answer.message)
        self.assertIn("retry in", answer.message)


class MemberTest(BoundTest):
    def test_a_bounded_read_runs_inside_though_the_primary_is_outside(self):
        self.world.bind("r2")
        for number in range(8):
            answer = self.world.client("reports").run(f"READ a{number}", seconds=0.2)
            self.assertIsNone(answer.refusal, answer)
        self.assertEqual(len(self.world.far.texts()), 8)
        self.assertFalse(self.world.received_outside("READ"))
        self.assertFalse(self.world.near.transports, "a connection was opened in vain")

    def test_a_read_of_the_primarys_state_runs_inside_at_its_position(self):
        self.world.bind("r2")
        self.assertIsNone(self.world.client("orders").run("READ a", seconds=0.2).refusal)
        self.assertFalse(self.world.received_outside("READ"))
        floors = [c.floor for _, c in self.world.far.ran if c.text == "READ a"]
        self.assertEqual(floors, [self.world.primary.position])

    def test_a_transaction_that_only_reads_runs_inside(self):
        self.world.bind("r2")
        for database in ("orders", "reports", "carts"):
            client = self.world.client(database)
            client.run("BEGIN READ")
            for text in ("READ a", "COMMIT"):
                self.assertIsNone(client.run(text, seconds=0.2).refusal, database)
        self.assertFalse(self.world.received_outside("READ"))

    def test_a_write_is_refused_at_once_while_the_primary_is_outside(self):
        self.world.bind("r2")
        self.assert_refused_at_once(self.world.client("carts").run("WRITE a 1"))
        self.assertFalse(self.world.received_outside("WRITE"))

    def test_a_transaction_is_refused_at_once_while_the_primary_is_outside(self):
        self.world.bind("r2")
        client = self.world.client("carts")
        client.run("BEGIN")
        self.assert_refused_at_once(client.run("READ a"))
        self.assertFalse(self.world.received_outside("READ"))

    def test_writes_run_while_the_primary_is_inside(self):
        self.world.bind("r1")
        self.assertIsNone(self.world.client("orders").run("WRITE a 1", seconds=0.2).refusal)

    def test_the_tenants_regions_bind_too(self):
        self.world.bind("r1 r2", "r2")
        self.assertIsNone(self.world.client("reports").run("READ a", seconds=0.2).refusal)
        self.assert_refused_at_once(self.world.client("orders").run("WRITE a 1"))
        self.assertFalse(self.world.received_outside("READ"))

    def test_without_a_common_region_each_statement_is_refused_at_once(self):
        self.world.bind("r1", "r2")
        for text in ("READ a", "WRITE a 1"):
            self.assert_refused_at_once(self.world.client("reports").run(text))
        client = self.world.client("reports")
        client.run("BEGIN READ")
        self.assert_refused_at_once(client.run("READ a"))

    def test_the_reason_is_that_of_the_members_inside(self):
        self.world.bind("r2")
        for zones, cause in (("c", "evacuated"), ("a", None), ("abc", "evacuated")):
            self.world.gateway.set_evacuations(Evacuations(1, dict.fromkeys(zones, 1)))
            answer = self.world.client("reports").run("READ a", seconds=0.2)
            if cause is None:
                self.assertIsNone(answer.refusal, answer)
            else:
                self.assertIn(cause, answer.message)
        self.world.bind("r3")
        self.assert_refused_at_once(self.world.client("reports").run("READ a"))

    def test_failures_inside_send_no_read_outside(self):
        # A replica that lacks the position usually sends the read on to the primary.
        self.world.bind("r2")
        for refusal in (Refusal.FAILED, Refusal.BEHIND, Refusal.BUSY):
            self.world.far.script = [Answer(refusal=refusal, state=SessionState.IDLE)] * 8
            self.world.client("reports").run("READ a", seconds=1.0)
            self.world.clock.advance(1.0)
        self.world.far.reachable = False
        for transport in self.world.far.transports:
            transport.channel.lost("reset")
        self.world.client("reports").run("READ a", seconds=1.0)
        self.assertFalse(self.world.received_outside("READ"))

    def test_prepared_texts_and_values_reach_members_inside_only(self):
        self.world.bind("r2")
        client = self.world.client("reports")
        client.run("SET zone secret-value")
        client.run("PREPARE p READ secret-shape")
        self.assertIsNone(client.run("EXECUTE p secret-argument", seconds=0.2).refusal)
        self.assertFalse(self.world.received_outside("secret"))


class ChangeTest(BoundTest):
    def fill_the_primary(self):
        """Leave writes unanswered until one waits for a connection, and return its client."""
        self.world.bind("r1 r2", connections=5)
        self.world.primary.script = [None, None]
        clients = [self.world.client("orders") for _ in range(3)]
        for number, client in enumerate(clients):
            client.ask(f"WRITE queued{number} 1")
            self.world.clock.advance(0.01)
        self.assertFalse(self.world.received_outside("queued2"))
        return clients[2]

    def test_a_queued_write_is_refused_at_once_when_it_gets_a_connection(self):
        waiting = self.fill_the_primary()
        self.world.bind("r2", connections=5)
        transport = next(t for t in self.world.primary.open_transports() if t.channel.tenant == "t")
        transport.channel.answered(Answer(signature=b"sig", state=SessionState.IDLE))
        self.assertEqual(len(waiting.answers), 1)
        self.assert_refused_at_once(waiting.answers[0])
        self.assertFalse(self.world.received_outside("queued2"))

    def test_a_read_that_waits_for_its_position_follows_the_change(self):
        self.world.bind("r1")
        self.world.primary.silent = True
        client = self.world.client("orders")
        client.ask("READ a")
        self.world.bind("r3")
        self.world.primary.silent = False
        self.world.clock.advance(0.6)
        self.assertEqual(client.answers[-1].refusal, Refusal.BUSY)
        self.assertFalse(self.world.received_outside("READ"))

    def test_an_open_transaction_is_aborted_before_its_next_statement(self):
        for last in ("WRITE later 2", "READ later", "COMMIT"):
            self.world.bind("r1")
            client = self.world.client("orders")
            client.run("BEGIN")
            client.run("WRITE a 1", seconds=0.2)
            self.world.bind("r2")
            answer = client.run(last)
            self.assertEqual(answer.refusal, Refusal.ABORTED, last)
            self.assertIn("outside-regions", answer.message)
            last_command = self.world.primary.ran[-1][1]
            self.assertEqual(last_command.kind, CommandKind.ROLLBACK)
        self.assertFalse(self.world.received_outside("later"))
        self.assertFalse(self.world.received_outside("COMMIT"))

    def test_a_transaction_that_only_reads_is_aborted_too(self):
        self.world.bind("r1")
        client = self.world.client("reports")
        client.run("BEGIN READ")
        client.run("READ a", seconds=0.2)
        self.world.bind("r2")
        self.assertEqual(client.run("READ later").refusal, Refusal.ABORTED)
        self.assertFalse(self.world.received_outside("later"))

    def test_a_statement_is_not_sent_again_after_the_change(self):
        self.world.bind("r1")
        client = self.world.client("orders")
        client.run("BEGIN")
        client.run("READ a", seconds=0.2)
        self.world.primary.script = [Answer(refusal=Refusal.BUSY, state=SessionState.TRANSACTION)]
        busy = [Answer(refusal=Refusal.BUSY, state=SessionState.TRANSACTION)]
        channel = self.world.primary.open_transports()[-1]
        channel._answer = lambda command, answers=busy: answers.pop() if answers else Answer()
        client.ask("READ b")
        sent = self.world.primary.texts().count("READ b")
        self.assertEqual(sent, 1)
        self.world.bind("r2")
        self.world.clock.advance(0.2)
        self.assertEqual(client.answers[-1].refusal, Refusal.ABORTED)
        self.assertEqual(self.world.primary.texts().count("READ b"), sent)

    def test_a_transaction_inside_goes_on(self):
        self.world.bind("r1")
        client = self.world.client("orders")
        client.run("BEGIN")
        client.run("WRITE a 1", seconds=0.2)
        self.world.bind("r1 r2")
        self.assertIsNone(client.run("COMMIT", seconds=0.2).refusal)


class OperatorTest(BoundTest):
    def lines(self, event):
        return [line for line in self.world.logs() if f'"event":{event}' in line]

    def test_unknown_regions_are_logged_with_the_routes_that_name_them(self):
        self.world.bind("r1 atlantis", "lemuria")
        (line,) = self.lines(345)
        for name in ("atlantis", "lemuria", "route orders", "tenant t"):
            self.assertIn(name, line)
        self.assert_refused_at_once(self.world.client("reports").run("READ a"))

    def test_known_regions_are_logged_as_numbers_only(self):
        self.world.bind("r1", "r2")
        (line,) = self.lines(344)
        self.assertIn('"routes":3,"tenants":1', line)
        self.assertFalse(self.lines(345))

    def test_the_metrics_tell_how_many_are_bound(self):
        names = {name for name, _, _ in gauges(self.world.gateway)}
        self.assertNotIn("bound_to_regions", names)
        self.world.bind("r1", "r2")
        values = {
            labels["kind"]: value
            for name, labels, value in gauges(self.world.gateway)
            if name == "bound_to_regions"
        }
        self.assertEqual(values, {"route": 3, "tenant": 1})
