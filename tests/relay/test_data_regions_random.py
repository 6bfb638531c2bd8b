"""Random faults and changes: no text leaves the regions that its gateway's configurations named."""

import random
import unittest

from rowanrail.model.data_regions import DataRegions
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Refusal, SessionState
from rowanrail.placement.hashed import FleetSize
from rowanrail.scheduling.plan import Holding, Plan, PlanCause, ShardPlan
from tests.relay.test_data_regions import BoundRegions, bound_configuration

LISTS = (None, "a", "b", "c", "a b", "b c", "a c", "a b c")
SEEDS = 8
STEPS = 250  # for each seed
EVERYWHERE = frozenset("abc")


class Text:
    """A text that a client has sent, and the regions in which it may be by now."""

    def __init__(self, client, regions):
        self.client, self.allowed = client, set(regions)


class RandomWorld:
    """Clients, faults and changes of configuration, chosen at random."""

    def __init__(self, seed, regional):
        self.random = random.Random(seed)  # noqa: S311 - no secret

        class World(BoundRegions):
            fleet_size = FleetSize(6, 3, is_regional=True) if regional else FleetSize(60, 6)

        self.world = World()
        self.texts = {}
        self.clients = []
        self.version = 1
        self.plan_number = 0

    def regions_at(self, one):
        """Return the regions that a gateway's configuration names for tenant a."""
        restrictions = DataRegions.of(one.gateway.configuration)
        if restrictions is None:
            return EVERYWHERE
        regions = restrictions.route("orders", "a").regions
        return EVERYWHERE if regions is None else regions

    def run(self):
        actions = (
            [self.ask] * 12
            + [self.bind, self.bind_all] * 2
            + [self.cut_member, self.heal, self.move_primary, self.kill, self.plan, self.refuse]
            + [self.open_client] * 2
        )
        for _ in range(STEPS):
            self.random.choice(actions)()
            self.note_configurations()
            self.world.clock.advance(self.random.choice((0.0, 0.003, 0.02, 0.1, 0.4)))
        self.world.clock.advance(2.0)

    # Clients

    def open_client(self):
        one = self.random.choice(list(self.world.gateways.values()))
        database = self.random.choice(("orders", "reports", "carts"))
        client = one.client(database)
        client.home = one
        self.clients.append(client)

    def ask(self):
        idle = [client for client in self.clients if len(client.answers) == client.asked]
        if not idle:
            self.open_client()
            return
        client = self.random.choice(idle)
        text = f"secret{len(self.texts)}"
        self.texts[text] = Text(client, self.regions_at(client.home))
        kind = self.random.choice(("READ", "READ", "WRITE", "BEGIN", "BEGIN READ", "COMMIT"))
        if client.session.in_transaction:
            kind = self.random.choice(("READ", "WRITE", "COMMIT"))
        client.ask(f"{kind} {text}" if kind in ("READ", "WRITE") else kind)

    def note_configurations(self):
        """Add the regions that are in force for unanswered statements to what is allowed."""
        for text in self.texts.values():
            if len(text.client.answers) < text.client.asked:
                text.allowed |= self.regions_at(text.client.home)

    @property
    def served(self):
        return sum(a.refusal is None for client in self.clients for a in client.answers)

    # Changes and faults

    def bind(self):
        self.version += 1
        configuration = bound_configuration(
            self.version, self.random.choice(LISTS), self.random.choice(LISTS)
        )
        for one in self.random.sample(list(self.world.gateways.values()), 3):
            one.gateway.apply(configuration)

    def bind_all(self):
        self.version += 1
        configuration = bound_configuration(self.version, self.random.choice(LISTS))
        for one in self.world.gateways.values():
            one.gateway.apply(configuration)

    def cut_member(self):
        one = self.random.choice(list(self.world.gateways.values()))
        member = self.random.choice(self.world.members)
        one.driver.cut.add(member.instance)
        for channel in [*one.gateway.services["db"].pools[member.instance].connections.idle]:
            channel.lost("cut")

    def heal(self):
        for one in self.world.gateways.values():
            one.driver.cut.clear()

    def move_primary(self):
        successor = self.random.choice(self.world.members)
        for member in self.world.members:
            member.primary = member is successor
        successor.position = Position(successor.position.term + 1, 1 + successor.position.index)

    def kill(self):
        self.world.break_links(self.random.choice(list(self.world.gateways.values())))

    def plan(self):
        """Adopt a plan that may name holders of the wrong group."""
        self.plan_number += 1
        names = list(self.world.gateways)
        groups = {
            group: {
                f"db/{number}": ShardPlan(
                    [Holding(self.random.choice(names), 1 / 3)], PlanCause.BUSY
                )
                for number in range(3)
            }
            for group in {self.world.group(zone) for zone in self.world.zones.values()}
        }
        plan = Plan(self.plan_number, groups, {name: name for name in names})
        for one in self.random.sample(list(self.world.gateways.values()), 4):
            one.gateway.set_plan(plan)

    def refuse(self):
        refusal = self.random.choice((Refusal.BUSY, Refusal.BEHIND, Refusal.FAILED))
        member = self.random.choice(self.world.members)
        member.script = [Answer(refusal=refusal, state=SessionState.IDLE)]

    # Check

    def leaks(self):
        """Return each text that was sent outside, with the place."""
        found = []
        places = [
            (sent.decode(errors="replace"), self.world.regions[self.world.zones[address]])
            for _, address, sent in self.world.network.sent
        ]
        places += [
            (command.text, member.zone[0])
            for member in self.world.members
            for _, command in member.ran
        ]
        for content, region in places:
            for name in _names(content):
                if region not in self.texts[name].allowed:
                    found.append((name, region, sorted(self.texts[name].allowed)))
        return found


def _names(content):
    """Return the names of the texts that a message or command contains."""
    names = []
    for part in content.split("secret")[1:]:
        digits = ""
        for character in part:
            if not character.isdigit():
                break
            digits += character
        names.append(f"secret{digits}")
    return names


class RandomTest(unittest.TestCase):
    def check(self, seed, regional):
        world = RandomWorld(seed, regional)
        world.run()
        self.assertEqual(world.leaks(), [])
        return world

    def test_regions_that_share_connections(self):
        served = 0
        for seed in range(SEEDS):
            with self.subTest(seed):
                served += self.check(seed, regional=True).served
        self.assertGreater(served, 100)

    def test_zones_that_share_connections(self):
        served = 0
        for seed in range(SEEDS):
            with self.subTest(seed):
                served += self.check(seed, regional=False).served
        self.assertGreater(served, 100)
