"""Commits of services with acknowledging replicas that another gateway's connections run."""

import unittest

from rowanrail.model.position import Position
from rowanrail.model.routing import RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import Answer, Refusal, SessionState
from tests.relay import test_detours
from tests.support.gateway import FakeClient, FakeMember, routes
from tests.support.relay import ZoneHarness

FORWARDING_SECONDS = 0.1
CONFIGURATION = RoutingConfiguration(
    2, routes(), {"db": ServiceSpec("db", 30, acknowledging_replicas=1)}, 3.0
)


def report_success(member: FakeMember, position: Position) -> None:
    """Let a member report success for the last command that it was sent."""
    transport = member.transports[member.ran[-1][0]]
    transport.state = SessionState.IDLE
    transport.channel.answered(Answer(signature=b"sig", position=position, state=SessionState.IDLE))


class ForwardedCommitTest(unittest.TestCase):
    def setUp(self):
        self.zone = ZoneHarness()
        for zone_gateway in self.zone.gateways.values():
            zone_gateway.gateway.apply(CONFIGURATION)
        self.client = self.zone.last.client("carts")
        self.assertIsNone(self.client.run("WRITE first 1", FORWARDING_SECONDS).refusal)

    def begin_write(self, client: FakeClient) -> None:
        self.zone.primary.script = [None]
        client.ask("WRITE a 1")

    def begin_commit(self, client: FakeClient) -> None:
        client.run("BEGIN")
        self.assertIsNone(client.run("WRITE a 1", FORWARDING_SECONDS).refusal)
        self.zone.primary.script = [None]
        client.ask("COMMIT")

    def report(self, position: Position) -> None:
        """Let the holder get a report of success for what is under way."""
        self.zone.clock.advance(FORWARDING_SECONDS)
        report_success(self.zone.primary, position)
        self.zone.clock.advance(FORWARDING_SECONDS)

    # The holder passed on what a replaced primary reported, with a floor that no log has.
    def test_what_a_replaced_primary_reports_is_in_doubt_and_raises_no_floor(self):
        for begin in (self.begin_write, self.begin_commit):
            with self.subTest(begin=begin.__name__):
                self.setUp()
                floor = self.client.session.values.floors["db"]
                begin(self.client)
                self.zone.primary.primary, self.zone.near.primary = False, True
                self.zone.near.position = Position(2, 40)
                self.report(Position(2, 41))
                self.assertEqual(len(self.client.answers), self.client.asked)
                self.assertEqual(self.client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)
                self.assertEqual(self.client.session.values.floors["db"], floor)

    def test_a_confirmed_commit_is_acknowledged_with_its_floor(self):
        for begin in (self.begin_write, self.begin_commit):
            with self.subTest(begin=begin.__name__):
                self.setUp()
                begin(self.client)
                self.report(Position(1, 41))
                self.assertIsNone(self.client.answers[-1].refusal)
                self.assertEqual(self.client.session.values.floors["db"], Position(1, 41))


class DetourCommitTest(test_detours.DetourTest):
    """All detours, with replicas that acknowledge commits."""

    def setUp(self):
        super().setUp()
        for zone in self.zones.values():
            zone.gateway.apply(CONFIGURATION)

    def test_what_a_replaced_primary_reports_on_a_detour_is_in_doubt(self):
        self.assertIsNone(self.run_until_served("WRITE b 2").refusal)
        client = self.cut.client("orders")
        self.primary.script = [None]
        client.ask("WRITE c 3")
        self.clock.advance(FORWARDING_SECONDS)
        self.assertEqual(self.primary.texts()[-1], "WRITE c 3")
        self.primary.primary = False
        report_success(self.primary, Position(1, 40))
        self.clock.advance(FORWARDING_SECONDS)
        self.assertEqual(client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)
