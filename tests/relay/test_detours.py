"""Detours: gateways that can't reach a primary use those that can."""

import unittest

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.neighbours import Neighbour, Neighbours
from rowanrail.gateway.relay.peers import Peers
from rowanrail.gateway.relay.serving import LinkServer
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.sessions.session import Session
from rowanrail.kernel.clock import Clock
from rowanrail.kernel.registry import Registry
from rowanrail.model.position import Position
from rowanrail.model.routing import RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import Answer, Refusal
from rowanrail.placement.hashed import FleetSize
from tests.support.gateway import (
    FakeClient,
    FakeDriver,
    FakeMember,
    ManualClock,
    RecordingLog,
    routes,
)
from tests.support.relay_network import RelayNetwork


class CutDriver(FakeDriver):
    """A driver that can't reach the members in ``cut``."""

    def __init__(self, members):
        super().__init__(members)
        self.cut = set()

    def open(self, address, service, instance, channel):
        if instance in self.cut:
            channel.lost("unreachable")
        else:
            super().open(address, service, instance, channel)


class SingleGatewayZone:
    """The only gateway of its zone, with its own network path to the members."""

    def __init__(self, world, name):
        self.clock = world.clock
        self.driver = CutDriver(world.members)
        relay_clock = Clock(world.clock)
        opener = world.network.opener(name)
        self.neighbours = Neighbours(name, relay_clock, opener)
        detours = Detours(name, relay_clock, opener)
        self.log = RecordingLog(name, wall_clock=world.clock.time)
        self.gateway = Gateway(
            Locality(name),
            self.driver,
            world.clock,
            self.log,
            Registry(),
            Peers(self.neighbours, detours),
        )
        self.gateway.start()
        self.gateway.apply(RoutingConfiguration(1, routes(), {"db": ServiceSpec("db", 30)}, 3.0))
        world.network.holders[name] = LinkServer(self.gateway, relay_clock)

    def client(self, database):
        session = self.gateway.open_session(database, "client")
        assert isinstance(session, Session)
        return FakeClient(self, session)

    def cut_path(self, member):
        """Cut the path to a member, and close all connections to it."""
        self.driver.cut.add(member.instance)
        for pool in self.gateway.services["db"].pools.values():
            if pool.record.instance == member.instance:
                for channel in [*pool.connections.idle]:
                    channel.lost("cut")


class DetourTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.network = RelayNetwork(Clock(self.clock), lambda: 5.0)
        self.primary = FakeMember("m1", True, "z1")
        self.members = [self.primary, FakeMember("m2", False, "z2")]
        self.zones = {name: SingleGatewayZone(self, name) for name in ("z1", "z2", "z3")}
        records = [member.record() for member in self.members]
        for name, zone in self.zones.items():
            others = {other: [Neighbour(other, other)] for other in self.zones if other != name}
            zone.gateway.set_directory(Directory(1, records, FleetSize(3, 3), [], others))
        self.cut = self.zones["z2"]
        self.cut.client("orders").run("WRITE a 1", seconds=0.1)
        self.members[1].position = self.primary.position
        self.cut.cut_path(self.primary)

    def run_until_served(self, text, database="orders"):
        """Return the answer of a client that retries up to four times."""
        answer = Answer(refusal=Refusal.BUSY)
        for _ in range(5):
            client = self.cut.client(database)
            answer = client.run(text, seconds=0.55)
            if answer.refusal is None:
                return answer
            self.clock.advance(0.1)
        return answer

    def test_a_write_runs_where_the_primary_is_reached(self):
        self.assertIsNone(self.run_until_served("WRITE b 2").refusal)
        self.assertEqual(self.primary.texts().count("WRITE b 2"), 1)

    def test_a_read_that_must_see_all_goes_on_at_a_replica(self):
        self.assertIsNone(self.run_until_served("READ b").refusal)
        floors = [c.floor for _, c in self.members[1].ran if c.text == "READ b"]
        self.assertEqual(floors[-1], self.primary.position)

    def test_a_transaction_runs_where_the_primary_is_reached(self):
        self.run_until_served("WRITE b 2")
        client = self.cut.client("orders")
        client.run("BEGIN")
        self.assertIsNone(client.run("WRITE c 3", seconds=0.1).refusal)
        self.assertIsNone(client.run("READ c", seconds=0.1).refusal)
        self.assertIsNone(client.run("COMMIT", seconds=0.1).refusal)
        self.assertIn("COMMIT", self.primary.texts())

    def test_a_session_reads_what_it_wrote_on_a_detour(self):
        client = self.cut.client("carts")
        self.run_until_served("WRITE b 2")
        self.assertIsNone(client.run("WRITE c 3", seconds=0.1).refusal)
        floor = client.session.values.floors["db"]
        self.assertEqual(floor, self.primary.position)
        self.members[1].position = Position(1, floor.index)
        self.assertIsNone(client.run("READ c", seconds=0.3).refusal)

    def test_no_gateway_is_asked_while_the_primary_is_reached(self):
        calm = self.zones["z3"]
        for _ in range(5):
            calm.client("orders").run("WRITE a 1", seconds=0.1)
            self.clock.advance(0.3)
        self.assertFalse([link for link in self.network.links if link.ends[0] == "z3"])

    def test_the_detour_that_was_found_first_is_kept_and_logged_once(self):
        # If two gateways answer each query, the detour must not switch between them.
        self.run_until_served("WRITE b 2")
        for number in range(5):
            self.cut.client("orders").ask(f"WRITE c {number}")
            self.clock.advance(0.2)
        found_lines = [
            line for line in self.cut.log.written.decode().splitlines() if '"event":318' in line
        ]
        self.assertEqual(len(found_lines), 1)

    def test_a_primary_that_no_gateway_reaches_leads_to_refusals_in_time(self):
        for zone in self.zones.values():
            zone.cut_path(self.primary)
        self.clock.advance(1.0)
        answer = self.cut.client("orders").run("WRITE b 2", seconds=0.4)
        self.assertEqual(answer.refusal, Refusal.BUSY)

    def test_there_is_no_detour_again_once_the_primary_is_reached(self):
        self.run_until_served("WRITE b 2")
        self.cut.driver.cut.clear()
        self.clock.advance(1.0)
        client = self.cut.client("orders")
        self.assertIsNone(client.run("WRITE c 3", seconds=0.1).refusal)
        self.assertFalse(self.cut.gateway.services["db"].primary.failing_since)
