"""Regions that share connections: remote holders, tenants' connections and keys, demand."""

import unittest

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.relay.demand_exchange import DemandExchange
from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.neighbours import Neighbour, Neighbours
from rowanrail.gateway.relay.peers import Peers
from rowanrail.gateway.relay.serving import LinkServer
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.sessions.session import Session
from rowanrail.kernel.clock import Clock
from rowanrail.kernel.registry import Registry
from rowanrail.model.routing import RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import Refusal
from rowanrail.placement.hashed import DEMAND_AGGREGATOR, FleetSize, Shard, rank
from rowanrail.placement.planned import PlannedHolders
from rowanrail.tenants.model import Tenant, Tenants, key_digest
from tests.relay.test_detours import CutDriver
from tests.support.gateway import (
    FakeClient,
    FakeMember,
    ManualClock,
    RecordingLog,
    routes,
    statement,
)
from tests.support.relay_network import RelayNetwork

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
GATEWAYS = {"ga1": "a1", "ga2": "a2", "gb1": "b1", "gb2": "b2"}
SHARD_OF_A = Shard.of("db", "a")
FLEET_SIZE = FleetSize(4, 2, is_regional=True)


def configuration(version, keys, **limits):
    by_name = {name: Tenant(name, **limits) for name in keys.values()}
    tenants = Tenants(by_name, {key_digest(key): name for key, name in keys.items()})
    return RoutingConfiguration(
        version, routes(), {"db": ServiceSpec("db", 30)}, 3.0, tenants=tenants
    )


class RegionGateway:
    def __init__(self, world, name, zone):
        self.name, self.clock = name, world.clock
        self.driver = CutDriver(world.members)
        clock = Clock(world.clock)
        opener = world.network.opener(name)
        neighbours, detours = Neighbours(name, clock, opener), Detours(name, clock, opener)
        self.log = RecordingLog(name, wall_clock=world.clock.time)
        self.gateway = Gateway(
            Locality(zone, world.regions),
            self.driver,
            world.clock,
            self.log,
            Registry(),
            Peers(neighbours, detours, PlannedHolders(name, world.group(zone), clock)),
        )
        self.demand_exchange = DemandExchange(
            name,
            world.group(zone),
            clock,
            neighbours,
            detours,
            self.gateway.access.quota,
            self.gateway.access.demand,
        )
        self.gateway.start()
        self.demand_exchange.start()
        holder = world.network.holders[name] = LinkServer(self.gateway, clock)
        holder.on_region_report = self.demand_exchange.forward_to_aggregator

    def client(self, database, key="key-of-a"):
        session = self.gateway.open_session(database, key)
        assert isinstance(session, Session), session
        return FakeClient(self, session)


class Regions:
    """Two regions with two gateways each; the primary is in the second region."""

    regions = REGIONS
    zones = GATEWAYS
    fleet_size = FLEET_SIZE

    def __init__(self):
        self.clock = ManualClock()
        self.network = RelayNetwork(Clock(self.clock), lambda: 5.0)
        self.create_members()
        self.make_gateways()
        self.configure(1, {"key-of-a": "a", "key-of-b": "b"})
        self.announce()
        self.select_gateways()

    def make_gateways(self):
        self.gateways = {n: RegionGateway(self, n, zone) for n, zone in self.zones.items()}

    def create_members(self):
        self.primary = FakeMember("m1", True, "b1")
        self.near = FakeMember("m2", False, "a1")
        self.members = [self.primary, self.near]

    def group(self, zone):
        """Return the group of a zone's gateways."""
        return self.regions[zone] if self.fleet_size.is_regional else zone

    def address(self, name):
        """Return the address at which a gateway accepts links."""
        return name

    def announce(self):
        records = [member.record() for member in self.members]
        groups = {}
        for name, zone in self.zones.items():
            neighbour = Neighbour(name, self.address(name))
            groups.setdefault(self.group(zone), []).append(neighbour)
        for name, one in self.gateways.items():
            own = self.group(self.zones[name])
            others = {group: listed for group, listed in groups.items() if group != own}
            one.gateway.set_directory(Directory(1, records, self.fleet_size, groups[own], others))

    def select_gateways(self):
        self.holder = self.gateways[rank(SHARD_OF_A.key, ["gb1", "gb2"])[0]]
        self.sender = self.gateways[rank(SHARD_OF_A.key, ["ga1", "ga2"])[0]]
        self.clock.advance(0.5)
        self.sender.client("orders").ask("READ a")  # opens the links
        self.clock.advance(0.5)

    def configure(self, version, keys, only=None, **limits):
        for one in self.gateways.values():
            if only is None or one is only:
                one.gateway.apply(configuration(version, keys, **limits))

    def client(self, database, key="key-of-a"):
        return self.sender.client(database, key)

    def open_transports_for(self, member, tenant):
        return [t for t in member.transports if t.channel.tenant == tenant and not t.closed]


class RemoteHolderTest(unittest.TestCase):
    def setUp(self):
        self.world = Regions()

    def test_a_write_runs_on_the_connections_of_the_primarys_region(self):
        holder, sender = (
            one.gateway.services["db"].pools["m1"] for one in (self.world.holder, self.world.sender)
        )
        before = (holder.connections.count, sender.connections.count)
        answer = self.world.client("orders", "key-of-b").run("WRITE a 1", seconds=0.2)
        self.assertIsNone(answer.refusal)
        self.assertEqual(
            (holder.connections.count, sender.connections.count), (before[0] + 1, before[1])
        )

    def test_a_transaction_runs_there_from_its_first_statement_to_its_end(self):
        client = self.world.client("orders")
        client.run("BEGIN")
        for text in ("READ a", "WRITE a 1", "COMMIT"):
            self.assertIsNone(client.run(text, seconds=0.2).refusal, text)
        self.assertEqual(self.world.primary.texts()[-3:], ["READ a", "WRITE a 1", "COMMIT"])

    def test_a_session_sees_its_own_write_though_it_ran_elsewhere(self):
        client = self.world.client("carts")
        client.run("WRITE a 1", seconds=0.2)
        self.assertIsNone(client.run("READ a", seconds=0.2).refusal)
        self.assertEqual(self.world.primary.texts()[-1], "READ a")  # the replica lags behind

    def test_a_read_that_the_replica_may_serve_stays_in_the_region(self):
        self.world.client("reports").run("READ b", seconds=0.2)
        self.assertIn("READ b", self.world.near.texts())

    def test_a_holder_that_does_not_reach_the_primary_sends_the_work_back(self):
        holder = self.world.holder
        holder.driver.cut.add("m1")
        service = holder.gateway.services["db"]
        service.primary.state.failing_since = self.world.clock.now
        answer = self.world.client("orders").run("WRITE a 1", seconds=0.4)
        self.assertIsNone(answer.refusal, answer)
        self.assertGreater(
            self.world.sender.gateway.services["db"].pools["m1"].connections.count, 0
        )

    def test_a_lost_holder_there_leaves_a_write_in_doubt(self):
        self.world.primary.script = [None]
        client = self.world.client("orders")
        client.ask("WRITE a 1")
        self.world.clock.advance(0.1)
        for link in self.world.network.links:
            if self.world.holder.name in link.ends:
                link.disconnect("reset")
        self.world.clock.advance(0.1)
        self.assertEqual(client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)


class HolderTest(unittest.TestCase):
    def setUp(self):
        self.world = Regions()
        self.service = self.world.holder.gateway.services["db"]
        self.run_each()

    def run_each(self):
        for key in ("key-of-a", "key-of-b"):
            self.world.client("orders", key).run("WRITE a 1", seconds=0.2)

    def test_a_holder_keeps_its_tenants_connections(self):
        self.world.clock.advance(3.0)
        self.assertGreaterEqual(self.service.pools["m1"].connections.count, 2)

    def test_a_gateway_without_connections_opens_no_links(self):
        # Otherwise every gateway would keep links to all others.
        idle = next(
            one
            for one in self.world.gateways.values()
            if not one.gateway.services["db"].has_connections
        )
        links = len(idle.gateway.peers.neighbours.links)
        self.world.clock.advance(1.0)
        self.assertEqual(len(idle.gateway.peers.neighbours.links), links)
        self.assertEqual(links, 0)

    def test_a_gateway_that_stops_closes_its_connections(self):
        self.world.holder.gateway.stopping = True
        self.world.clock.advance(0.3)
        self.assertNotIn(
            "a", [channel.tenant for channel in self.service.pools["m1"].connections.idle]
        )

    def test_a_gateway_that_served_a_detour_closes_its_connections(self):
        # Otherwise members stay full of connections that were opened while a primary was cut off.
        names = rank(SHARD_OF_A.key, ["gb1", "gb2"])
        helper = self.world.gateways[names[1]]
        helper.client("orders").run("WRITE a 1", seconds=0.2)  # opens its link to the holder
        local = helper.gateway.local_work("db", is_detour=True)
        session = helper.client("orders").session
        answers = []
        single = local.autocommit(routes()["orders"], session.values, True)
        single.start(statement("q1", "WRITE a 1"), answers.append)
        pool = helper.gateway.services["db"].pools["m1"]
        self.assertEqual([channel.tenant for channel in pool.connections.idle], ["a"])
        self.world.clock.advance(0.5)
        self.assertNotIn("a", [channel.tenant for channel in pool.connections.idle])


class KeysAtHolderTest(unittest.TestCase):
    def setUp(self):
        self.world = Regions()

    def test_statements_run_on_connections_of_the_clients_tenant(self):
        self.world.client("orders", "key-of-b").run("WRITE a 1", seconds=0.2)
        self.assertEqual(len(self.world.open_transports_for(self.world.primary, "b")), 1)

    def test_a_holder_that_knows_of_the_revocation_runs_nothing_for_the_key(self):
        client = self.world.client("orders")
        self.world.configure(2, {"key-of-b": "b"}, only=self.world.holder)
        known = len(self.world.primary.texts())
        client.ask("WRITE a 1")
        self.world.clock.advance(1.0)
        self.assertEqual(client.answers[-1].refusal, Refusal.DENIED)
        self.assertEqual(len(self.world.primary.texts()), known)

    def test_a_holder_that_knows_of_the_revocation_ends_a_transaction(self):
        client = self.world.client("orders")
        client.run("BEGIN")
        client.run("WRITE a 1", seconds=0.2)
        self.world.configure(2, {"key-of-b": "b"}, only=self.world.holder)
        answer = client.run("COMMIT", seconds=0.3)
        self.assertEqual(answer.refusal, Refusal.DENIED)
        self.assertNotIn("COMMIT", self.world.primary.texts())

    def test_a_holder_with_an_older_configuration_trusts_a_newer_one(self):
        self.world.configure(2, {"key-of-a": "a", "key-of-c": "c"}, only=self.world.sender)
        answer = self.world.client("orders", "key-of-c").run("WRITE a 1", seconds=0.2)
        self.assertIsNone(answer.refusal, answer)


class DemandExchangeTest(unittest.TestCase):
    def setUp(self):
        self.world = Regions()
        self.world.configure(2, {"key-of-a": "a", "key-of-b": "b"}, rate=100.0, burst=100.0)
        self.world.clock.advance(2.0)

    def begin_statements(self, one, number):
        for _ in range(number):
            one.gateway.access.quota.admit("a")

    def fleet_at(self, one):
        return one.gateway.access.quota._counts["a"].fleet.admitted

    def test_each_gateway_learns_the_demand_of_the_fleet(self):
        for one, number in zip(self.world.gateways.values(), (5, 7, 11, 13), strict=True):
            self.begin_statements(one, number)
        self.world.clock.advance(1.3)
        self.assertEqual([self.fleet_at(one) for one in self.world.gateways.values()], [36] * 4)

    def test_a_report_to_a_gateway_that_is_not_the_aggregator_is_forwarded(self):
        # During a partition, a report that reaches the wrong gateway must get to the aggregator.
        _, other = rank(DEMAND_AGGREGATOR, ["gb1", "gb2"])
        for name in ("ga1", "ga2"):
            detours = self.world.gateways[name].gateway.peers.detours
            detours.hashed_holder_in = lambda group, key, detours=detours: (
                detours._link_manager.reach(other)
            )
        for one, number in zip(self.world.gateways.values(), (5, 7, 11, 13), strict=True):
            self.begin_statements(one, number)
        self.world.clock.advance(1.3)
        self.assertEqual([self.fleet_at(one) for one in self.world.gateways.values()], [36] * 4)

    def test_another_gateway_takes_over_from_a_lost_aggregator(self):
        names = rank(DEMAND_AGGREGATOR, ["ga1", "ga2"])
        aggregator, other = (self.world.gateways[name] for name in names)
        self.begin_statements(other, 9)
        self.world.clock.advance(1.0)
        del self.world.network.holders[aggregator.name]
        for link in self.world.network.links:
            if aggregator.name in link.ends:
                link.disconnect("reset")
        self.begin_statements(other, 1)
        self.world.clock.advance(1.5)
        # The fourth gateway may be cut off: its demand is estimated from the other three.
        self.assertEqual(self.fleet_at(other), round(10 * 4 / 3))
        other.gateway.access.quota.set_population(3)
        self.world.clock.advance(0.5)
        self.assertEqual(self.fleet_at(other), 10)
