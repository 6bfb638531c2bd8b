"""Reads for which the members of the own region are too full run at another region's holder."""

import unittest

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.relay.neighbours import Neighbour
from rowanrail.gateway.services.member_estimates import ReadRequirements
from rowanrail.model.statements import Answer, Refusal, SessionState
from tests.relay.test_regions import GATEWAYS, POPULATION, REGIONS, Regions
from tests.support.gateway import PlayedMember

FULL = Answer(refusal=Refusal.BUSY, state=SessionState.IDLE)


class RemoteReplicaTest(unittest.TestCase):
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
            self.assertEqual(
                self.service(self.world.gateways[name]).pools["m3"].connections.count, 0
            )

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


class DoubtsTest(unittest.TestCase):
    """What one holder found out of a member reaches those that send to it with its answers."""

    def setUp(self):
        self.world = Regions()
        self.there = self.world.holder.gateway.services["db"]
        self.here = self.world.sender.gateway.services["db"]
        for _ in range(5):
            self.there.pools["m2"].note_error()

    def weight_here(self):
        wanted = ReadRequirements("reports")
        (candidate,) = self.here.estimates.candidates({"m2": self.here.pools["m2"]}, wanted)
        return candidate.weight

    def run_at_home(self):
        answer = self.world.client("orders").run("WRITE a 1", seconds=0.3)
        self.assertIsNone(answer.refusal)

    def test_it_comes_with_an_answer_and_takes_a_part_of_the_weight(self):
        self.assertEqual(self.weight_here(), 1.0)
        self.run_at_home()
        self.assertLess(self.weight_here(), 0.6)
        self.assertGreater(self.weight_here(), 0.2)

    def test_it_ages(self):
        self.run_at_home()
        self.world.clock.advance(9)
        self.assertGreater(self.weight_here(), 0.95)

    def test_it_is_not_told_on(self):
        self.run_at_home()
        self.assertEqual(self.here.estimates.weights.reduced_weights(), {})
        self.assertEqual(list(self.there.estimates.weights.reduced_weights()), ["m2"])

    def test_a_member_that_others_can_not_reach_still_serves_here(self):
        self.run_at_home()
        self.world.client("reports").run("READ a", seconds=0.3)
        self.assertEqual(self.world.near.texts()[-1], "READ a")
