"""Regions of data: the text of a statement is sent to no gateway outside its regions."""

import unittest

import msgspec

from rowanrail.gateway.gauges import gauges
from rowanrail.gateway.relay.forwarding import ForwardedWork
from rowanrail.gateway.work.local import LocalExecutor
from rowanrail.model.routing import RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import Answer, Refusal
from rowanrail.placement.hashed import FleetSize, rank
from rowanrail.scheduling.plan import Holding, Plan, PlanCause, ShardPlan
from rowanrail.tenants.model import Tenant, Tenants, key_digest
from tests.relay.test_regions import SHARD_OF_A, Regions
from tests.support.gateway import FakeMember, routes


def bound_configuration(version, names, tenant=None):
    """Return a configuration that binds all routes, and tenant a, to regions if given."""
    regions, of_tenant = (
        None if each is None else frozenset(each.split()) for each in (names, tenant)
    )
    bound = {
        name: msgspec.structs.replace(route, regions=regions) for name, route in routes().items()
    }
    tenants = Tenants({"a": Tenant("a", regions=of_tenant)}, {key_digest("key-of-a"): "a"})
    return RoutingConfiguration(version, bound, {"db": ServiceSpec("db", 30)}, 3.0, tenants=tenants)


class BoundRegions(Regions):
    """Three regions with two gateways and a member each; the primary is in region b."""

    regions = {zone: zone[0] for zone in ("a1", "a2", "b1", "b2", "c1", "c2")}
    zones = {f"g{zone}": zone for zone in regions}
    fleet_size = FleetSize(6, 3, is_regional=True)

    def create_members(self):
        super().create_members()
        self.members.append(FakeMember("m3", False, "c1"))

    def select_gateways(self):
        self.version = 1
        self.clock.advance(0.5)
        for one in self.gateways.values():
            one.client("orders").ask("READ a")  # opens the links
        self.clock.advance(0.5)
        self.network.sent.clear()

    def first(self, region):
        """Return the gateway that holds the shard of tenant a in a region."""
        return self._ranked(region)[0]

    def other(self, region):
        """Return a gateway of a region that does not hold the shard of tenant a."""
        return self._ranked(region)[1]

    def _ranked(self, region):
        names = [name for name, zone in self.zones.items() if self.regions[zone] == region]
        return [self.gateways[name] for name in rank(SHARD_OF_A.key, names)]

    def bind(self, names, only=None, tenant=None):
        self.version += 1
        for one in self.gateways.values() if only is None else only:
            one.gateway.apply(bound_configuration(self.version, names, tenant))

    def recipients(self, text):
        """Return the gateways to which a message with a text was sent."""
        return {address for _, address, sent in self.network.sent if text.encode() in sent}

    def kill(self, one):
        del self.network.holders[one.name]
        self.break_links(one)

    def break_links(self, one):
        for link in self.network.links:
            if one.name in link.ends:
                link.disconnect("reset")


class BoundRegionsTest(unittest.TestCase):
    def setUp(self):
        self.world = BoundRegions()

    def assert_served(self, client, text, seconds=0.4):
        answer = client.run(text, seconds=seconds)
        self.assertIsNone(answer.refusal, answer)

    def assert_refused_for_regions(self, answer):
        self.assertEqual(answer.refusal, Refusal.BUSY, answer)
        self.assertIn("outside-regions", answer.message)


class ForwardingTest(BoundRegionsTest):
    def test_a_gateway_outside_sends_straight_to_the_holder_inside(self):
        self.world.bind("b")
        for sender in (self.world.other("c"), self.world.first("c"), self.world.other("a")):
            self.assert_served(sender.client("orders"), "WRITE far 1")
        self.assertEqual(self.world.recipients("WRITE far"), {self.world.first("b").name})

    def test_a_gateway_inside_uses_the_holder_of_its_group(self):
        self.world.bind("a b")
        self.assert_served(self.world.other("a").client("orders"), "WRITE far 1")
        inside = {self.world.first("a").name, self.world.first("b").name}
        self.assertEqual(self.world.recipients("WRITE far"), inside)

    def test_the_regions_of_the_tenant_bind_too(self):
        self.world.bind("a b", tenant="b c")
        self.assert_served(self.world.other("a").client("orders"), "WRITE far 1")
        self.assertEqual(self.world.recipients("WRITE far"), {self.world.first("b").name})

    def test_a_gateway_outside_does_not_wait_for_the_holder_of_its_group(self):
        # A holder that is being connected or replaced would delay the statement.
        sender = self.world.other("c").gateway
        self.assertIsInstance(sender.route("orders", "a")[1], ForwardedWork)
        self.world.bind("b")
        self.assertIsInstance(sender.route("orders", "a")[1], LocalExecutor)

    def test_without_regions_the_holder_of_the_own_group_is_used(self):
        self.assert_served(self.world.other("c").client("orders"), "WRITE far 1")
        self.assertIn(self.world.first("c").name, self.world.recipients("WRITE far"))

    def test_prepared_texts_values_and_arguments_go_to_gateways_inside_only(self):
        self.world.bind("b")
        client = self.world.other("c").client("orders")
        client.run("SET zone secret-value")
        client.run("PREPARE p WRITE secret-shape")
        self.assert_served(client, "EXECUTE p secret-argument")
        client.run("BEGIN")
        for text in ("READ secret-read", "EXECUTE p secret-again", "COMMIT"):
            self.assert_served(client, text)
        self.assertEqual(self.world.recipients("secret"), {self.world.first("b").name})

    def test_no_text_is_sent_if_no_member_may_run_it(self):
        self.world.bind("b", tenant="c")
        for database in ("orders", "reports", "carts"):
            client = self.world.other("c").client(database)
            self.assert_refused_for_regions(client.run("READ secret"))
        self.assertFalse(self.world.recipients("secret"))

    def test_own_connections_are_used_if_no_holder_inside_is_reached(self):
        self.world.bind("b")
        for one in (self.world.first("b"), self.world.other("b")):
            self.world.kill(one)
        self.assert_served(self.world.other("c").client("orders"), "WRITE far 1")
        self.assertFalse(self.world.recipients("WRITE far"))
        self.assertIn("WRITE far 1", self.world.primary.texts())

    def test_a_read_that_lost_its_holder_is_not_sent_outside(self):
        self.world.bind("b")
        self.world.primary.script = [None]
        client = self.world.other("c").client("orders")
        client.ask("READ far")
        self.world.clock.advance(0.05)
        self.world.kill(self.world.first("b"))
        self.world.clock.advance(0.5)
        self.assertIsNone(client.answers[-1].refusal, client.answers[-1])
        inside = {self.world.first("b").name, self.world.other("b").name}
        self.assertLessEqual(self.world.recipients("READ far"), inside)

    def test_a_statement_that_was_not_served_is_not_sent_outside(self):
        self.world.bind("b")
        self.world.first("b").gateway.stopping = True
        self.assert_served(self.world.other("c").client("orders"), "WRITE far 1")
        self.assertLessEqual(
            self.world.recipients("WRITE far"),
            {self.world.first("b").name, self.world.other("b").name},
        )

    def test_a_plan_with_a_holder_outside_is_not_followed(self):
        self.world.bind("b")
        outside = self.world.first("a")
        shards = {SHARD_OF_A.key: ShardPlan([Holding(outside.name, 1 / 3)], PlanCause.BUSY)}
        sender = self.world.other("c")
        sender.gateway.set_plan(Plan(1, {"b": shards}, {outside.name: outside.name}))
        self.world.clock.advance(0.1)
        for _ in range(2):  # the first one opens the link
            self.assert_served(sender.client("orders"), "WRITE far 1")
            self.world.clock.advance(0.1)
        self.assertNotIn(outside.name, self.world.recipients("WRITE far"))

    def test_a_read_only_transaction_does_not_follow_the_primary_outside(self):
        self.world.bind("c")
        client = self.world.other("c").client("orders")
        client.run("BEGIN READ")
        self.assert_served(client, "READ far")
        gateways_of_c = {self.world.first("c").name}
        self.assertLessEqual(self.world.recipients("READ far"), gateways_of_c)
        self.assertNotIn("READ far", self.world.primary.texts())


class ZoneForwardingTest(BoundRegionsTest):
    def setUp(self):
        class BoundZones(BoundRegions):
            zones = {f"g{zone}{n}": zone for zone in ("a1", "b1", "c1") for n in (1, 2)}
            fleet_size = FleetSize(60, 6)

        self.world = BoundZones()

    def test_a_gateway_outside_sends_straight_to_the_holder_in_the_members_zone(self):
        self.world.bind("b")
        client = self.world.other("c").client("orders")
        self.assert_served(client, "WRITE near 1")  # on own connections: no link is open yet
        self.world.clock.advance(0.1)
        self.assert_served(client, "WRITE far 1")
        self.assertFalse(self.world.recipients("WRITE near"))
        self.assertEqual(self.world.recipients("WRITE far"), {self.world.first("b").name})

    def test_a_gateway_inside_uses_the_holder_of_its_zone(self):
        self.world.bind("b c")
        self.assert_served(self.world.other("c").client("orders"), "WRITE far 1")
        self.assertEqual(self.world.recipients("WRITE far"), {self.world.first("c").name})


class BoundDetourTest(BoundRegionsTest):
    """One gateway in each region; that of region c does not reach the primary."""

    def setUp(self):
        class SingleGateways(BoundRegions):
            zones = {f"g{zone}": zone for zone in ("a1", "b1", "c1")}
            fleet_size = FleetSize(3, 3)

        self.world = SingleGateways()
        self.cut = self.world.gateways["gc1"]

    def cut_off(self, *names):
        for name in names:
            one = self.world.gateways[name]
            one.driver.cut.add("m1")
            for channel in [*one.gateway.services["db"].pools["m1"].connections.idle]:
                channel.lost("cut")

    def run_until_served(self, text, database="orders"):
        answer = Answer(refusal=Refusal.BUSY)
        for _ in range(6):
            answer = self.cut.client(database).run(text, seconds=0.6)
            if answer.refusal is None:
                return answer
            self.world.clock.advance(0.1)
        return answer

    def test_a_detour_inside_is_used_though_another_answered_first(self):
        self.cut_off("gc1")
        self.run_until_served("WRITE any 1")
        detours = self.cut.gateway.peers.detours
        self.assertEqual(detours._reachability.gateway("db", detours._clock.now), "ga1")
        self.world.bind("b")
        self.assertIsNone(self.run_until_served("WRITE far 1").refusal)
        self.assertEqual(self.world.recipients("WRITE far"), {"gb1"})

    def test_a_detour_outside_is_not_used(self):
        # Only the gateway of region a reaches the primary.
        self.cut_off("gb1", "gc1")
        self.assertIsNone(self.run_until_served("WRITE any 1").refusal)
        self.world.bind("b")
        for database in ("orders", "reports", "carts"):
            self.assertEqual(self.run_until_served("WRITE far 1", database).refusal, Refusal.BUSY)
        self.assertFalse(self.world.recipients("WRITE far"))

    def test_a_transaction_takes_no_detour_outside(self):
        self.cut_off("gb1", "gc1")
        self.run_until_served("WRITE any 1")
        self.world.bind("b")
        client = self.cut.client("orders")
        client.run("BEGIN")
        self.assertEqual(client.run("WRITE far 1", seconds=0.6).refusal, Refusal.BUSY)
        self.assertFalse(self.world.recipients("WRITE far"))

    def test_reads_inside_use_samples_from_outside(self):
        # A sample contains no text of a client.
        self.cut_off("gb1", "gc1")
        self.world.bind("c")
        self.assertIsNone(self.run_until_served("READ near").refusal)
        self.assertFalse(self.world.recipients("READ near"))


class ChangeTest(BoundRegionsTest):
    def begun_transaction(self, names, sender):
        self.world.bind(names)
        client = sender.client("orders")
        client.run("BEGIN")
        self.assert_served(client, "WRITE first 1")
        return client

    def test_an_open_transaction_sends_nothing_more_to_a_gateway_that_is_now_outside(self):
        for text in ("WRITE later 2", "EXECUTE p later", "COMMIT"):
            client = self.begun_transaction("a b", self.world.other("a"))
            client.session.values.prepared["p"] = (True, "later")
            self.world.bind("b", only=[self.world.other("a")])
            answer = client.run(text)
            self.assertEqual(answer.refusal, Refusal.ABORTED, answer)
            self.world.clock.advance(0.1)
        self.assertFalse(self.world.recipients("later"))
        self.assertNotIn("COMMIT", self.world.primary.texts())
        holder = self.world.network.holders[self.world.first("b").name]
        self.assertEqual(holder.open_transactions, 0)

    def test_the_gateways_between_learn_the_new_regions_with_the_next_statement(self):
        client = self.begun_transaction("a b", self.world.other("a"))
        self.world.bind("a", only=[self.world.other("a")])
        answer = client.run("WRITE later 2", seconds=0.2)
        self.assertEqual(answer.refusal, Refusal.ABORTED, answer)
        self.assertLessEqual(self.world.recipients("later"), {self.world.first("a").name})
        self.assertNotIn("WRITE later 2", self.world.primary.texts())

    def test_a_transaction_that_was_idle_since_its_begin_follows_the_new_regions(self):
        self.world.bind("a b c")
        client = self.world.other("c").client("orders")
        client.run("BEGIN")
        self.world.bind("b")
        client.ask("WRITE later 1")
        self.world.clock.advance(0.4)
        self.assertIsNone(client.answers[-1].refusal, client.answers[-1])
        self.assertLessEqual(self.world.recipients("later"), {self.world.first("b").name})

    def test_a_statement_that_waits_for_a_holder_follows_the_new_regions(self):
        sender, holder = self.world.other("c"), self.world.first("c")
        self.world.bind("b c")
        self.world.network.sent.clear()
        holder.gateway.stopping = True  # it answers that it does not serve
        client = sender.client("orders")
        client.ask("WRITE far 1")
        self.world.bind("b")
        before = len(self.world.network.sent)
        self.world.clock.advance(0.4)
        later = {a for _, a, sent in self.world.network.sent[before:] if b"WRITE far" in sent}
        self.assertLessEqual(later, {self.world.first("b").name, self.world.other("b").name})
        self.assertIsNone(client.answers[-1].refusal, client.answers[-1])


class ReceiverTest(BoundRegionsTest):
    def test_a_receiver_applies_its_own_regions_if_the_sender_named_none(self):
        self.world.bind("a", only=[self.world.first("b")])
        answer = self.world.other("c").client("orders").run("WRITE far 1", seconds=0.4)
        self.assert_refused_for_regions(answer)
        self.assertNotIn("WRITE far 1", self.world.primary.texts())

    def test_a_receiver_with_an_older_configuration_follows_the_sender(self):
        self.world.bind("a", only=[self.world.first("b")])
        self.world.bind("b", only=[self.world.other("c")])
        self.assert_served(self.world.other("c").client("orders"), "WRITE far 1")

    def test_a_receiver_with_a_newer_configuration_applies_both(self):
        self.world.bind("b", only=[self.world.other("c")])
        self.world.bind("a", only=[self.world.first("b")])
        answer = self.world.other("c").client("orders").run("WRITE far 1", seconds=0.4)
        self.assert_refused_for_regions(answer)

    def test_a_receiver_outside_logs_that_it_was_sent_a_text(self):
        receiver = self.world.first("b")
        self.world.bind("a", only=[receiver])
        self.world.other("c").client("orders").run("WRITE far 1", seconds=0.4)
        receiver.log.flush()
        lines = [
            line for line in receiver.log.written.decode().splitlines() if '"event":346' in line
        ]
        self.assertEqual(len(lines), 1)
        self.assertNotIn("WRITE far", lines[0])
        counts = [
            v for name, _, v in gauges(receiver.gateway) if name == "received_outside_regions"
        ]
        self.assertEqual(counts, [1])
