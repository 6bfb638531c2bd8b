"""Reads for which the members of the own region are too full run at another region's holder."""

import unittest

from rowanrail.gateway.directory import Directory
from rowanrail.gateway.model import Answer, Refusal, SessionState
from rowanrail.relay.neighbours import Neighbour
from tests.relay.test_regions import GATEWAYS, POPULATION, REGIONS, Regions
from tests.support.gateway import PlayedMember

FULL = Answer(refusal=Refusal.BUSY, state=SessionState.IDLE)


class FarReplicaTest(unittest.TestCase):
    def setUp(self):
        """Have the primary and a replica stand in region a, and a replica in region b."""
        self.world = world = Regions()
        self.away = PlayedMember("m3", False, "b2")
        self.away.position = world.primary.position
        world.primary.zone = "a2"
        world.members.append(self.away)
        records = [member.record() for member in world.members]
        for name, one in world.gateways.items():
            one.driver.members["m3:1"] = self.away
            region = REGIONS[GATEWAYS[name]]
            groups = {
                group: [Neighbour(n, n) for n, zone in GATEWAYS.items() if REGIONS[zone] == group]
                for group in ("a", "b")
            }
            own = groups.pop(region)
            one.gateway.set_directory(Directory(2, records, POPULATION, own, groups))
        world.clock.advance(0.5)
        self.client = world.client("reports")

    def service(self, one):
        return one.gateway.services["db"]

    def fill_the_own_region(self):
        self.world.near.script = [FULL]
        self.world.primary.script = [FULL]

    def test_a_read_goes_there_and_opens_no_connection_from_here(self):
        self.fill_the_own_region()
        self.assertIsNone(self.client.run("READ a", seconds=0.3).refusal)
        self.assertEqual(self.away.texts()[-1], "READ a")
        for name in ("ga1", "ga2"):
            self.assertEqual(self.service(self.world.gateways[name]).pools["m3"].open_count, 0)

    def test_a_transaction_that_only_reads_goes_there_with_all_its_statements(self):
        self.fill_the_own_region()
        self.client.run("READ a", seconds=0.3)  # after it both are known to be full
        self.client.run("BEGIN READ")
        for text in ("READ b", "READ c", "COMMIT"):
            self.assertIsNone(self.client.run(text, seconds=0.3).refusal, text)
        self.assertEqual(self.away.texts()[-3:], ["READ b", "READ c", "COMMIT"])

    def test_reads_stay_at_home_while_there_is_room(self):
        for _ in range(5):
            self.assertIsNone(self.client.run("READ a", seconds=0.3).refusal)
        self.assertEqual(self.away.texts(), [])

    def test_a_holder_there_that_is_lost_leaves_the_read_to_own_connections(self):
        self.fill_the_own_region()
        for name in ("gb1", "gb2"):
            del self.world.network.holders[name]
        for twin in self.world.network.links:
            if {"gb1", "gb2"} & set(twin.ends):
                twin.break_off("reset")
        self.assertIsNone(self.client.run("READ a", seconds=0.4).refusal)
