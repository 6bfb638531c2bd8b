"""Gateways that share a cold member: what it gets from all of them, what becomes of the rest."""

import unittest
from collections import Counter
from types import SimpleNamespace

import msgspec

from rowanrail.directory.messages import Evacuations
from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.neighbours import Neighbour
from rowanrail.gateway.relay.serving import LinkServer
from rowanrail.kernel.clock import Clock
from rowanrail.model.routing import RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import CommandKind, Refusal
from rowanrail.placement.hashed import FleetSize, rank, shards_of
from rowanrail.scheduling.plan import Holding, Plan, ShardPlan
from rowanrail.tenants.model import Tenant, Tenants, key_digest
from tests.relay.test_regions import FLEET_SIZE, GATEWAYS, REGIONS, Regions
from tests.support.gateway import ManualClock, routes
from tests.support.relay_network import RelayNetwork

RATE = 12.0
WARM_UP_SECONDS = 60.0
LONG_AGO_MS = 1
HANDOVER_SECONDS = 8.0
OBJECTIVE_SECONDS = 0.5  # of each route
TENANTS = {f"key-of-{name}": name for name in "abcdef"}


class TimedCommands(list):
    """The commands that a member received, with their times."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.times = []

    def append(self, command):
        super().append(command)
        self.times.append(self.clock.now)

    def busiest_second(self, since=0.0):
        times = [at for at in self.times if at >= since]
        return max((sum(at - 0.999999 < other <= at for other in times) for at in times), default=0)


class WarmingRegions(Regions):
    """Two regions; the members' service has a warm-up limit."""

    def __init__(self, rate=RATE, warm=("m2",)):
        self.rate = rate
        self.warm = set(warm)
        self.start_ms = {}
        self.confirmed = set(GATEWAYS)
        super().__init__()
        for member in self.members:
            member.ran = TimedCommands(self.clock)
        self.announce_revision(2)
        self.clock.call_later(0.0, self.confirm)

    def configure(self, version, keys, only=None, **limits):
        by_name = {name: Tenant(name) for name in TENANTS.values()}
        tenants = Tenants(by_name, {key_digest(key): name for key, name in TENANTS.items()})
        spec = ServiceSpec("db", 30, 0, WARM_UP_SECONDS, self.rate)
        configuration = RoutingConfiguration(version, routes(), {"db": spec}, 3.0, tenants=tenants)
        for one in self.gateways.values():
            one.gateway.apply(configuration)

    def records(self):
        return [
            msgspec.structs.replace(
                member.record(), start_ms=self.start_ms.get(member.instance, LONG_AGO_MS)
            )
            if member.instance in self.warm | self.start_ms.keys()
            else member.record()
            for member in self.members
        ]

    def announce_revision(self, revision, fleet_size=FLEET_SIZE):
        in_group = {}
        for name, zone in GATEWAYS.items():
            group = REGIONS[zone] if fleet_size.is_regional else zone
            in_group.setdefault(group, []).append(Neighbour(name, name))
        for name, one in self.gateways.items():
            zone = GATEWAYS[name]
            group = REGIONS[zone] if fleet_size.is_regional else zone
            others = {g: listed for g, listed in in_group.items() if g != group}
            one.gateway.set_directory(
                Directory(revision, self.records(), fleet_size, in_group[group], others)
            )

    def confirm(self):
        """Confirm the directory of each gateway that is in touch, once a second."""
        for name in self.confirmed:
            self.gateways[name].gateway.note_confirmed(1000 * self.clock.now)
        self.clock.call_later(1.0, self.confirm)

    def load(self, seconds, text="WRITE a 1", database="orders", interval=0.02):
        """Run statements of all tenants at all gateways; return the answers by refusal."""
        clients = [one.client(database, key) for one in self.gateways.values() for key in TENANTS]
        for turn in range(round(seconds / interval)):
            client = clients[turn % len(clients)]
            if client.asked == len(client.answers):
                client.ask(text)
            self.clock.advance(interval)
        self.clock.advance(1.0)
        return Counter(answer.refusal for client in clients for answer in client.answers)

    def logs(self):
        for one in self.gateways.values():
            one.log.flush()
        return b"".join(one.log.written for one in self.gateways.values()).decode()


class ColdPrimaryTest(unittest.TestCase):
    def setUp(self):
        self.world = WarmingRegions()
        self.sent = self.world.primary.ran

    def assert_limit_kept(self, rate=RATE):
        self.assertLessEqual(self.sent.busiest_second(), rate)

    def test_no_gateway_sends_before_former_senders_have_stopped(self):
        answers = self.world.load(3.0)
        self.assertEqual((len(self.sent), set(answers)), (0, {Refusal.BUSY}))
        self.assertIn('"cause":"warming-up"', self.world.logs())

    def test_writes_of_all_gateways_keep_the_limit_and_use_it(self):
        self.world.clock.advance(HANDOVER_SECONDS)
        answers = self.world.load(10.0)
        self.assert_limit_kept()
        self.assertEqual(set(answers), {None, Refusal.BUSY})
        self.assertGreater(answers[None], 0.6 * 10 * RATE)

    def test_a_rejected_write_is_told_when_to_come_back(self):
        self.world.clock.advance(HANDOVER_SECONDS)
        clients = [self.world.client("orders") for _ in range(20)]
        for client in clients:
            client.ask("WRITE a 1")
        self.world.clock.advance(1.0)
        rejected = [client.answers[0] for client in clients if client.answers[0].refusal]
        self.assertTrue(rejected)
        for answer in rejected:
            self.assertRegex(answer.message, r"warms up.*; retry in \d")

    def test_statements_of_transactions_count_each(self):
        self.world.clock.advance(HANDOVER_SECONDS)
        committed = 0
        for key in list(TENANTS) * 3:
            client = self.world.client("orders", key)
            client.run("BEGIN")
            for text in ("READ a", "WRITE a 1", "READ b", "COMMIT"):
                answer = client.run(text, seconds=0.6)
                if answer.refusal is not None:
                    self.assertIs(answer.refusal, Refusal.BUSY, answer)
                    break
            else:
                committed += 1
        self.world.clock.advance(1.0)
        self.assert_limit_kept()
        self.assertGreater(committed, 5)
        texts = self.world.primary.texts()
        self.assertEqual(texts.count("COMMIT"), committed)

    def run_transactions(self, seconds):
        """Run transactions of all tenants at all gateways; return how many were committed."""
        gateways = self.world.gateways.values()
        clients = [one.client("orders", key) for one in gateways for key in TENANTS]
        texts = ("BEGIN", "READ a", "WRITE a 1", "READ b", "COMMIT")
        steps, ready_at, committed = Counter(), Counter(), 0
        end = self.world.clock.now + seconds
        while self.world.clock.now < end:
            for client in clients:
                is_idle = client.asked == len(client.answers)
                if not is_idle or ready_at[client] > self.world.clock.now:
                    continue
                if client.answers and client.answers[-1].refusal is not None:
                    steps[client] = 0
                    ready_at[client] = self.world.clock.now + 0.5
                    client.ask("ROLLBACK")
                    continue
                committed += steps[client] == len(texts)
                steps[client] %= len(texts)
                client.ask(texts[steps[client]])
                steps[client] += 1
            self.world.clock.advance(0.02)
        return committed

    def test_transactions_beyond_the_limit_are_not_begun(self):
        self.world.clock.advance(HANDOVER_SECONDS)
        committed = self.run_transactions(20.0)
        self.assert_limit_kept()
        commands_of_committed = 5 * committed
        self.assertGreater(commands_of_committed, 0.5 * 20 * RATE)

    def test_samples_use_a_part_of_the_limit(self):
        self.world.clock.advance(HANDOVER_SECONDS)
        answers = self.world.load(10.0, "READ a", "carts")
        samples = sum(command.kind is CommandKind.BEGIN for _, command in self.sent)
        self.assertLessEqual(2 * samples, 0.25 * RATE * 10 + 8)
        self.assertGreater(answers[None], 0.9 * sum(answers.values()), answers)

    def test_session_values_that_were_not_sent_are_not_taken_for_set(self):
        self.world = WarmingRegions(rate=10.0)  # 5 each, and a write takes 2 places
        self.sent = self.world.primary.ran
        self.world.clock.advance(HANDOVER_SECONDS)
        clients = [self.world.client("orders") for _ in range(40)]
        for number, client in enumerate(clients):
            client.run(f"SET owner {number}")
            client.ask(f"WRITE a {number}")
            self.world.clock.advance(0.15)
        self.world.clock.advance(1.0)
        self.assert_limit_kept(10.0)
        self.assertTrue(any(client.answers[1].refusal for client in clients))
        values = {}  # by connection
        for connection, command in self.sent:
            if command.kind in (CommandKind.RESET, CommandKind.SET):
                values[connection] = command.text.removeprefix("owner ")
            elif command.text.startswith("WRITE"):
                self.assertEqual(command.text, f"WRITE a {values[connection]}")

    def test_reads_run_at_a_warm_replica(self):
        self.world.clock.advance(HANDOVER_SECONDS)
        answers = self.world.load(5.0, "READ a", "reports")
        self.assert_limit_kept()
        self.assertGreater(answers[None], 0.9 * sum(answers.values()), answers)

    def test_gateways_without_control_nodes_send_nothing(self):
        self.world.clock.advance(HANDOVER_SECONDS)
        self.world.load(1.0)
        self.world.confirmed.clear()
        self.world.clock.advance(5.0)
        before = len(self.sent)
        self.world.load(3.0)
        self.assertEqual(len(self.sent), before)

    def test_the_limit_ends_with_the_warm_up(self):
        self.world.clock.advance(WARM_UP_SECONDS + 1)
        answers = self.world.load(5.0, interval=0.01)
        self.assertEqual(set(answers), {None})
        self.assertIn('"event":349', self.world.logs())

    def test_members_of_a_returned_zone_warm_up_again(self):
        self.world.clock.advance(WARM_UP_SECONDS + 1)
        for one in self.world.gateways.values():
            one.gateway.set_evacuations(Evacuations(1, {"b1": 5}))
        self.world.load(1.0)
        for one in self.world.gateways.values():
            one.gateway.set_evacuations(Evacuations(2, {}, {"b1": 6}))
        since = self.world.clock.now
        answers = self.world.load(5.0)
        self.assertLessEqual(self.sent.busiest_second(since), RATE)
        self.assertGreater(answers[None], 0.5 * 5 * RATE)

    def test_a_holder_is_lost(self):
        self.world.clock.advance(HANDOVER_SECONDS)
        self.world.load(2.0)
        lost = self.world.holder
        del self.world.network.holders[lost.name]
        for link in self.world.network.links:
            if lost.name in link.ends:
                link.disconnect("reset")
        answers = self.world.load(5.0)
        self.assert_limit_kept()
        self.assertGreater(answers[None], 0.3 * 5 * RATE, "the other holder has half of the limit")

    def test_the_plan_moves_all_shards_to_one_holder_and_to_another(self):
        self.world.clock.advance(HANDOVER_SECONDS)
        gateways = self.world.gateways
        for number, holder in enumerate(("gb1", "gb2"), start=1):
            shards = {f"db/{n}": ShardPlan([Holding(holder, 1 / 3)]) for n in range(3)}
            for one in gateways.values():
                one.gateway.set_plan(Plan(number, {"b": shards}, {holder: holder}))
            self.world.load(HANDOVER_SECONDS)
            before = self.sent_by(holder)
            answers = self.world.load(4.0)
            self.assertGreater(answers[None], 0.5 * 4 * RATE)
            self.assertGreater(self.sent_by(holder), before)
        self.assert_limit_kept()

    def sent_by(self, name):
        return self.world.gateways[name].gateway.services["db"].warm_up.sent["m1"]

    def test_statements_without_a_tenant_reach_a_sender(self):
        self.world.clock.advance(HANDOVER_SECONDS)
        configuration = self.world.sender.gateway.configuration
        for one in self.world.gateways.values():
            one.gateway.apply(msgspec.structs.replace(configuration, version=2, tenants=None))
        clients = [one.client("orders", "") for one in self.world.gateways.values()]
        for client in clients:
            client.ask("WRITE a 1")
        self.world.clock.advance(1.0)
        self.assertEqual([client.answers[0].refusal for client in clients], [None] * 4)


class SenderLocationTest(unittest.TestCase):
    """A region most of whose gateways hold nothing of a service."""

    def setUp(self):
        self.time = ManualClock()
        clock = Clock(self.time)
        network = RelayNetwork(clock)
        self.detours = Detours("ga1", clock, network.opener("ga1"))
        names = [f"gb{number}" for number in range(9)]
        self.holders = [rank(shard.key, names)[0] for shard in shards_of("db")]
        for name in names:
            host = SimpleNamespace(stopping=False, load=None)
            network.holders[name] = LinkServer(host, clock)
        self.network = network
        self.detours.set_gateways([], {"b": [Neighbour(name, name) for name in names]})

    def located(self, shard):
        for _ in range(3):
            found = self.detours.first_sender_in("b", [shard, *shards_of("db")])
            self.time.advance(0.1)
        return found.link.peer

    def test_it_is_the_holder_of_the_shard_or_of_another_one(self):
        shard = shards_of("db")[1]
        self.assertEqual(self.located(shard), self.holders[1])
        del self.network.holders[self.holders[1]]
        for link in self.network.links:
            link.disconnect("reset")
        self.assertIn(self.located(shard), {self.holders[0], self.holders[2]})


class RestartTest(unittest.TestCase):
    """The primary starts again under its identity; its announcement takes a while."""

    def setUp(self):
        self.world = WarmingRegions(warm=("m1", "m2"))
        self.primary, self.sent = self.world.primary, self.world.primary.ran
        self.world.clock.advance(HANDOVER_SECONDS)
        self.world.load(2.0)

    def stop_primary(self):
        self.primary.reachable = False
        for transport in list(self.primary.transports):
            transport.channel.lost("reset")
        self.answers_while_down = self.world.load(1.0, interval=0.01)

    def start_primary(self):
        self.primary.reachable = True
        self.since = self.world.clock.now

    def test_it_is_taken_for_cold_until_its_life_is_known(self):
        self.stop_primary()
        self.start_primary()
        answers = self.world.load(1.0, interval=0.01)
        self.assertLessEqual(self.sent.busiest_second(self.since), RATE)
        self.world.warm.discard("m1")
        self.world.start_ms["m1"] = 2
        self.world.announce_revision(3)
        answers = self.world.load(6.0)
        self.assertLessEqual(self.sent.busiest_second(self.since), RATE)
        self.assertGreater(answers[None], 0.5 * 6 * RATE)

    def test_it_is_taken_for_warm_when_the_directory_confirms_the_same_life(self):
        self.stop_primary()
        self.start_primary()
        self.world.clock.advance(5.0)
        self.assertEqual(set(self.world.load(3.0, interval=0.01)), {None})

    def test_gateways_without_control_nodes_send_nothing_to_it(self):
        self.world.confirmed.clear()
        self.world.clock.advance(5.0)
        self.assertEqual(set(self.world.load(1.0)), {None}, "a known life has no limit")
        self.stop_primary()
        self.start_primary()
        before = len(self.sent)
        self.world.load(10.0)
        self.assertEqual(len(self.sent), before)

    def test_a_lost_primary_is_not_reported_as_warming_up(self):
        before = self.world.logs().count('"cause":"warming-up"')
        self.stop_primary()
        self.assertEqual(self.world.logs().count('"cause":"warming-up"'), before)
        self.assertEqual(set(self.answers_while_down), {Refusal.BUSY})

    def test_no_gateway_goes_on_to_report_the_primary_as_lost(self):
        self.stop_primary()
        self.start_primary()
        self.world.warm.discard("m1")
        self.world.start_ms["m1"] = 2
        self.world.announce_revision(3)
        self.world.load(4.0, "READ a", "reports")
        failing = {
            name: [health.failing_for_ms for health in one.gateway.health()]
            for name, one in self.world.gateways.items()
        }
        self.assertEqual(failing, {name: [0] for name in GATEWAYS})


class OnlyMemberTest(unittest.TestCase):
    def test_reads_of_the_only_member_keep_its_limit(self):
        world = WarmingRegions()
        world.members.remove(world.near)
        world.announce_revision(3)
        world.clock.advance(HANDOVER_SECONDS)
        answers = world.load(6.0, "READ a", "reports")
        self.assertLessEqual(world.primary.ran.busiest_second(), RATE)
        self.assertEqual(set(answers), {None, Refusal.BUSY})
        self.assertGreater(answers[None], 0.5 * 6 * RATE)

    def test_reads_that_waited_for_a_sample_are_told_when_to_come_back(self):
        world = WarmingRegions()
        world.members.remove(world.near)
        world.announce_revision(3)
        world.clock.advance(HANDOVER_SECONDS)
        clients = [world.gateways["gb1"].client("orders") for _ in range(10)]
        for client in clients:
            client.ask("READ a")
        world.clock.advance(1.0)
        answers = [answer for client in clients for answer in client.answers]
        self.assertEqual({answer.refusal for answer in answers}, {None, Refusal.BUSY})
        for answer in answers:
            if answer.refusal:
                self.assertRegex(answer.message, r"m1 warms up.*; retry in \d")

    def test_a_read_with_more_commands_than_a_part_is_rejected_at_once(self):
        world = WarmingRegions(rate=8.0)
        world.members.remove(world.near)
        world.announce_revision(3)
        world.clock.advance(HANDOVER_SECONDS - 0.4)  # shortly after the first sample
        client = world.gateways["gb1"].client("reports")
        for text in ("SET one 1", "SET two 2", "SET three 3", "PREPARE s READ q"):
            client.run(text)
        answer = client.run("EXECUTE s a", 0.1)
        self.assertRegex(answer.message, r"m1 warms up.*; retry in \d")


class RareSamplesTest(unittest.TestCase):
    """Each sender's part of the limit is smaller than a sample."""

    def setUp(self):
        self.world = WarmingRegions(rate=2.0)
        self.world.clock.advance(HANDOVER_SECONDS)

    def assert_rejected(self, name, database, seconds):
        client = self.world.gateways[name].client(database)
        transaction = self.world.gateways[name].client(database)
        transaction.run("BEGIN READ")
        for one in (client, transaction):
            answer = one.run("READ a", seconds)
            self.assertIs(answer.refusal, Refusal.BUSY)
            self.assertRegex(answer.message, r"m1 warms up.*; retry in \d")

    def test_reads_are_rejected_at_the_end_of_their_objective(self):
        for name in GATEWAYS:
            self.assert_rejected(name, "orders", OBJECTIVE_SECONDS + 0.05)
            self.assert_rejected(name, "reports", OBJECTIVE_SECONDS + 0.05)


class OwnConnectionsTest(unittest.TestCase):
    """Gateways that share no connections: those of the member's zone send, the others forward."""

    def test_writes_reach_the_member_through_the_gateways_of_its_zone(self):
        world = WarmingRegions()
        world.announce_revision(3, FleetSize(4, 4))
        world.clock.advance(HANDOVER_SECONDS)
        answers = world.load(8.0)
        self.assertLessEqual(world.primary.ran.busiest_second(), RATE)
        self.assertGreater(answers[None], 0.5 * 8 * RATE)
        holders = {
            name
            for name, one in world.gateways.items()
            if one.gateway.services["db"].warm_up.sent["m1"]
        }
        self.assertEqual(holders, {"gb1"})


class NoLimitTest(unittest.TestCase):
    def test_a_rate_of_zero_sets_no_limit(self):
        world = WarmingRegions(rate=0.0)
        answers = world.load(3.0, interval=0.01)
        self.assertEqual(set(answers), {None})
        self.assertGreater(world.primary.ran.busiest_second(), RATE)
