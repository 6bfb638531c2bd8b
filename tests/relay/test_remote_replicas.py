"""Reads run at another region's holder if the members of the own region are full."""

import unittest

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.relay.neighbours import Neighbour
from rowanrail.gateway.services.member_estimates import ReadRequirements
from rowanrail.model.statements import Answer, Refusal, SessionState
from tests.relay.test_regions import FLEET_SIZE, GATEWAYS, REGIONS, Regions
from tests.support.gateway import FakeMember

FULL = Answer(refusal=Refusal.BUSY, state=SessionState.IDLE)


class RemoteReplicaTest(unittest.TestCase):
    def setUp(self):
        """Put the primary and a replica into region a, and a replica into region b."""
        self.world = world = Regions()
        self.remote = FakeMember("m3", False, "b2")
        self.remote.position = world.primary.position
        world.primary.zone = "a2"
        world.members.append(self.remote)
        records = [member.record() for member in world.members]
        for name, one in world.gateways.items():
            one.driver.members["m3:1"] = self.remote
            region = REGIONS[GATEWAYS[name]]
            groups = {
                group: [Neighbour(n, n) for n, zone in GATEWAYS.items() if REGIONS[zone] == group]
                for group in ("a", "b")
            }
            own = groups.pop(region)
            one.gateway.set_directory(Directory(2, records, FLEET_SIZE, own, groups))
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
        self.assertEqual(self.remote.texts()[-1], "READ a")
        for name in ("ga1", "ga2"):
            self.assertEqual(
                self.service(self.world.gateways[name]).pools["m3"].connections.count, 0
            )

    def test_a_transaction_that_only_reads_goes_there_with_all_its_statements(self):
        self.fill_the_own_region()
        self.client.run("READ a", seconds=0.3)  # afterwards both are known to be full
        self.client.run("BEGIN READ")
        for text in ("READ b", "READ c", "COMMIT"):
            self.assertIsNone(self.client.run(text, seconds=0.3).refusal, text)
        self.assertEqual(self.remote.texts()[-3:], ["READ b", "READ c", "COMMIT"])

    def test_reads_stay_in_the_region_while_there_is_room(self):
        for _ in range(5):
            self.assertIsNone(self.client.run("READ a", seconds=0.3).refusal)
        self.assertEqual(self.remote.texts(), [])

    def test_a_holder_there_that_is_lost_leaves_the_read_to_own_connections(self):
        self.fill_the_own_region()
        for name in ("gb1", "gb2"):
            del self.world.network.holders[name]
        for link in self.world.network.links:
            if {"gb1", "gb2"} & set(link.ends):
                link.disconnect("reset")
        self.assertIsNone(self.client.run("READ a", seconds=0.4).refusal)


class DoubtsTest(unittest.TestCase):
    """A holder's answers tell senders which members it has reduced the weight of."""

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

    def write_at_holder(self):
        answer = self.world.client("orders").run("WRITE a 1", seconds=0.3)
        self.assertIsNone(answer.refusal)

    def test_it_comes_with_an_answer_and_reduces_the_weight(self):
        self.assertEqual(self.weight_here(), 1.0)
        self.write_at_holder()
        self.assertLess(self.weight_here(), 0.6)
        self.assertGreater(self.weight_here(), 0.2)

    def test_it_decays(self):
        self.write_at_holder()
        self.world.clock.advance(9)
        self.assertGreater(self.weight_here(), 0.95)

    def test_it_is_not_passed_on(self):
        self.write_at_holder()
        self.assertEqual(self.here.estimates.weights.reduced_weights(), {})
        self.assertEqual(list(self.there.estimates.weights.reduced_weights()), ["m2"])

    def test_a_member_that_others_can_not_reach_still_serves_here(self):
        self.write_at_holder()
        self.world.client("reports").run("READ a", seconds=0.3)
        self.assertEqual(self.world.near.texts()[-1], "READ a")
