"""Time-outs of waiting reads, and members that open no connection."""

import unittest

from rowanrail.model.routing import Consistency, Route, RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import NO_EFFECT_REFUSALS
from tests.support.gateway import GatewayHarness

SHORT, LONG = 0.1, 5.0  # time-outs of routes in seconds


def route(name, seconds, objective):
    return Route(name, name, "db", Consistency.BOUNDED, seconds, objective, 1.0, 1)


class TimeLimitTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        routes = {
            name: route(name, seconds, objective)
            for name, seconds, objective in (
                ("reports", 1.0, 0.5),
                ("short", SHORT, LONG),
                ("long", LONG, LONG),
            )
        }
        services = {"db": ServiceSpec("db", 30)}
        self.harness.gateway.apply(RoutingConfiguration(2, routes, services, 3.0))
        self.harness.clock.advance(1.0)

    def warm(self):
        self.harness.client("reports").run("READ warm", seconds=0.1)

    def test_an_unanswered_read_closes_its_connection(self):
        self.warm()
        self.harness.near.script = [None]
        answer = self.harness.client("short").run("READ a", seconds=SHORT)
        self.assertIsNotNone(answer.refusal)
        self.assertEqual(self.harness.near.open_transports(), [])
        self.harness.near.transports[-1].channel.lost("late")  # has no effect any more
        self.assertEqual(self.harness.near.texts(), ["READ warm", "READ a"])

    def test_a_read_without_a_connection_in_time_is_refused_as_not_run(self):
        for member in self.harness.members:
            for transport in member.open_transports():
                transport.channel.lost("reset")
            member.silent = True
        answer = self.harness.client("short").run("READ a", seconds=SHORT)
        self.assertIn(answer.refusal, NO_EFFECT_REFUSALS)
        self.assertEqual([m.texts() for m in self.harness.members], [[], [], []])

    def test_a_transaction_begins_at_another_member_if_one_opens_no_connection(self):
        self.harness.near.silent = True
        client = self.harness.client("reports")
        client.run("BEGIN READ")
        self.assertIsNone(client.run("READ a", seconds=0.2).refusal)
        self.assertEqual(self.harness.near.texts(), [])
