"""Gateways of one zone that share the connections of a holder, on a manual clock."""

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.relay.neighbours import Neighbour, Neighbours
from rowanrail.gateway.relay.peers import Peers
from rowanrail.gateway.relay.serving import LinkServer
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.sessions.session import Session
from rowanrail.kernel.clock import Clock
from rowanrail.kernel.registry import Registry
from rowanrail.model.routing import RoutingConfiguration, ServiceSpec
from rowanrail.placement.hashed import FleetSize, rank
from rowanrail.placement.planned import PlannedHolders
from tests.support.gateway import (
    FakeClient,
    FakeDriver,
    FakeMember,
    ManualClock,
    RecordingLog,
    routes,
)
from tests.support.relay_network import RelayNetwork

GATEWAYS = ("g1", "g2", "g3")
FLEET_SIZE = FleetSize(60, 6)


class ZoneGateway:
    """One gateway of the zone, with its connections to members and to other gateways."""

    def __init__(self, zone: "ZoneHarness", name: str) -> None:
        self.name = name
        self.clock = zone.clock
        self.decisions = RecordingLog(name, wall_clock=zone.clock.time)
        self.neighbours = Neighbours(name, zone.relay_clock, zone.network.opener(name))
        driver = FakeDriver(zone.members)
        self.gateway = Gateway(
            Locality("a"),
            driver,
            zone.clock,
            self.decisions,
            Registry(),
            Peers(self.neighbours, planned=PlannedHolders(name, "a", zone.relay_clock)),
        )
        self.holder = LinkServer(self.gateway, zone.relay_clock)
        self.gateway.start()
        self.holder.start()
        services = {"db": ServiceSpec("db", 30)}
        self.gateway.apply(RoutingConfiguration(1, routes(), services, 3.0))

    def client(self, database: str) -> FakeClient:
        session = self.gateway.open_session(database, "client")
        assert isinstance(session, Session)
        return FakeClient(self, session)

    def logs(self) -> list[str]:
        self.decisions.flush()
        return self.decisions.written.decode().splitlines()


class ZoneHarness:
    """Three gateways: the holder ``first``, its successor ``second``, and ``last`` for clients."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.relay_clock = Clock(self.clock)
        self.network = RelayNetwork(self.relay_clock)
        self.primary = FakeMember("m1", True, "b")
        self.near = FakeMember("m2", False, "a")
        self.members = [self.primary, self.near, FakeMember("m3", False, "c")]
        self.gateways = {name: ZoneGateway(self, name) for name in GATEWAYS}
        for name, zone_gateway in self.gateways.items():
            self.network.holders[name] = zone_gateway.holder
        self.announce(1)
        self.first, self.second, self.last = (self.gateways[name] for name in rank("db", GATEWAYS))

    def announce(self, revision: int) -> None:
        records = [member.record() for member in self.members]
        neighbours = [Neighbour(name, name) for name in GATEWAYS]
        for zone_gateway in self.gateways.values():
            zone_gateway.gateway.set_directory(Directory(revision, records, FLEET_SIZE, neighbours))

    def kill(self, zone_gateway: ZoneGateway) -> None:
        """Kill a gateway: its links break, and its address refuses connections."""
        del self.network.holders[zone_gateway.name]
        for link in self.network.links:
            if zone_gateway.name in link.ends:
                link.disconnect("reset")

    def open_connections(self, zone_gateway: ZoneGateway) -> int:
        """Return the number of open connections from a gateway to members."""
        return sum(
            pool.connections.count for pool in zone_gateway.gateway.services["db"].pools.values()
        )
