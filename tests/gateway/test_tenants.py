"""API keys, connections and limits of tenants at one gateway."""

import unittest

from rowanrail.gateway.sessions.session import Session
from rowanrail.model.position import Position
from rowanrail.model.routing import RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import Answer, Refusal, SessionState
from rowanrail.tenants.demand import DemandSummary
from rowanrail.tenants.model import Tenant, Tenants, key_digest
from tests.support.gateway import FakeClient, GatewayHarness, routes

KEYS = {"key-of-a": "a", "key-of-b": "b", "key-of-c": "c"}
DONE = Answer(rows=[b"row"], signature=b"sig", position=Position(1, 12), state=SessionState.IDLE)


def tenants(keys=KEYS, **limits):
    by_name = {name: Tenant(name, **limits) for name in keys.values()}
    return Tenants(by_name, {key_digest(key): name for key, name in keys.items()})


class TenantGateway(GatewayHarness):
    """A gateway whose clients authenticate with keys."""

    def configure(self, version, keys=KEYS, connections=30, **limits):
        services = {"db": ServiceSpec("db", connections)}
        known = tenants(keys, **limits)
        self.gateway.apply(RoutingConfiguration(version, routes(), services, 3.0, tenants=known))

    def client(self, database, key="key-of-a"):
        session = self.gateway.open_session(database, key)
        assert isinstance(session, Session), session
        return FakeClient(self, session)


class KeyTest(unittest.TestCase):
    def setUp(self):
        self.harness = TenantGateway()

    def test_an_unknown_key_is_denied_at_once(self):
        answer = self.harness.gateway.open_session("orders", "no-such-key")
        self.assertEqual(answer.refusal, Refusal.DENIED)

    def test_no_key_is_written_to_the_log(self):
        # Regression: log lines contained the key that the client had sent.
        self.harness.gateway.open_session("orders", "no-such-key")
        self.harness.client("orders").run("WRITE a 1", seconds=0.1)
        self.harness.configure(2, keys={})
        text = "".join(self.harness.logs())
        self.assertIn('"tenant":"a"', text)
        for key in (*KEYS, "no-such-key"):
            self.assertNotIn(key, text)
            self.assertNotIn(key_digest(key).hex(), text)

    def test_an_open_route_needs_no_key(self):
        open_route = {
            name: type(route)(**{**_fields(route), "takes_anybody": True})
            for name, route in routes().items()
        }
        services = {"db": ServiceSpec("db", 30)}
        self.harness.gateway.apply(
            RoutingConfiguration(2, open_route, services, 3.0, tenants=tenants())
        )
        client = self.harness.client("orders", "no-such-key")
        self.assertEqual(client.session.identity.tenant, "anonymous")
        self.assertIsNone(client.run("WRITE a 1", seconds=0.1).refusal)

    def test_a_withdrawn_key_ends_idle_sessions(self):
        client, other = self.harness.client("orders"), self.harness.client("orders", "key-of-b")
        denied = []
        client.session.on_denied = lambda: denied.append("a")
        other.session.on_denied = lambda: denied.append("b")
        self.harness.configure(2, keys={"key-of-b": "b"})
        self.assertEqual(denied, ["a"])
        self.assertEqual(client.run("READ a").refusal, Refusal.DENIED)
        self.assertIsNone(other.run("READ a", seconds=0.1).refusal)

    def test_a_withdrawn_key_rolls_its_transaction_back(self):
        client = self.harness.client("orders")
        client.run("BEGIN")
        client.run("WRITE a 1", seconds=0.1)
        self.harness.configure(2, keys={"key-of-b": "b"})
        self.assertEqual(client.run("COMMIT").refusal, Refusal.DENIED)
        self.assertNotIn("COMMIT", self.harness.primary.texts())

    def test_a_running_statement_is_still_answered(self):
        client = self.harness.client("orders")
        self.harness.primary.script.append(None)
        client.ask("WRITE a 1")
        self.harness.clock.advance(0.1)
        self.harness.configure(2, keys={"key-of-b": "b"})
        (transport,) = [t for t in self.harness.primary.transports if t.channel.tenant == "a"]
        transport.channel.answered(DONE)
        self.assertIsNone(client.answers[-1].refusal)
        self.assertTrue(client.session.is_denied)

    def test_a_reassigned_key_ends_the_sessions_of_the_old_tenant(self):
        client = self.harness.client("orders")
        self.harness.configure(2, keys={"key-of-a": "b"})
        self.assertTrue(client.session.is_denied)


class ConnectionTest(unittest.TestCase):
    def setUp(self):
        self.harness = TenantGateway()

    def opened_for(self, member):
        return [t.channel.tenant for t in member.transports if not t.closed]

    def run_each(self, *keys):
        for key in keys:
            answer = self.harness.client("orders", key).run("WRITE a 1", seconds=0.1)
            self.assertIsNone(answer.refusal, answer)

    def test_a_connection_serves_only_the_tenant_for_which_it_was_opened(self):
        self.run_each("key-of-a", "key-of-b", "key-of-a")
        opened = self.opened_for(self.harness.primary)
        self.assertEqual((opened.count("a"), opened.count("b")), (1, 1))

    def test_a_tenants_connection_is_kept_for_its_next_statement(self):
        self.run_each("key-of-a")
        self.harness.clock.advance(5.0)
        self.run_each("key-of-a")
        transports = [t for t in self.harness.primary.transports if t.channel.tenant == "a"]
        self.assertEqual(len(transports), 1)

    def test_the_longest_idle_connection_is_closed_at_the_limit(self):
        self.harness.configure(2, connections=9)  # two per gateway
        self.run_each("key-of-a", "key-of-b", "key-of-c")
        self.assertEqual(sorted(set(self.opened_for(self.harness.primary)) - {""}), ["b", "c"])

    def test_a_tenant_waits_while_others_use_all_connections(self):
        self.harness.configure(2, connections=9)
        holders = [self.harness.client("orders", key) for key in ("key-of-a", "key-of-b")]
        for client in holders:
            client.run("BEGIN")
            client.run("WRITE a 1", seconds=0.1)
        waiting = self.harness.client("orders", "key-of-c")
        waiting.ask("WRITE a 1")
        self.harness.clock.advance(0.05)
        self.assertEqual(waiting.answers, [])
        holders[0].run("COMMIT", seconds=0.05)
        self.harness.clock.advance(0.1)
        self.assertIsNone(waiting.answers[-1].refusal)
        self.assertNotIn("a", self.opened_for(self.harness.primary))


class LimitTest(unittest.TestCase):
    def test_an_operation_over_the_limit_is_refused_before_it_takes_a_connection(self):
        harness = TenantGateway()
        harness.configure(2, rate=1.0, burst=1.0)
        harness.gateway.access.quota.set_fleet_totals(DemandSummary({}))
        client = harness.client("orders")
        answers = [client.run("WRITE a 1", seconds=0.01) for _ in range(40)]
        refused = [answer for answer in answers if answer.refusal is not None]
        self.assertTrue(refused)
        self.assertEqual({answer.refusal for answer in refused}, {Refusal.BUSY})
        self.assertIn("retry in", refused[0].message)
        self.assertEqual(len(harness.primary.texts()), len(answers) - len(refused))
        (line, *_) = [line for line in harness.logs() if '"event":332' in line]
        for field in ('"tenant":"a"', '"limit":6', '"part":', '"age_ms":'):
            self.assertIn(field, line)


def _fields(route):
    return {name: getattr(route, name) for name in route.__struct_fields__}
