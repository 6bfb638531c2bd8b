"""Rendezvous hashing, and limits on connections to a member."""

import doctest
import unittest

from rowanrail.placement import hashed as placement
from rowanrail.placement.hashed import FleetSize, connection_limit, is_shared, rank


class PlacementTest(unittest.TestCase):
    def test_examples_of_the_pages_hold(self):
        self.assertEqual(doctest.testmod(placement).failed, 0)

    def test_a_small_system_shares_nothing(self):
        for connections, gateways in ((36, 7), (50, 6), (36, 10), (50, 9)):
            self.assertFalse(is_shared(connections, FleetSize(gateways, 3)))

    def test_a_zone_of_one_gateway_has_nobody_to_share_with(self):
        self.assertFalse(is_shared(10, FleetSize(6, 6)))

    def test_all_zones_together_stay_within_a_members_limit(self):
        for connections in (20, 36, 40, 51):
            for zones in (3, 6):
                fleet_size = FleetSize(100, zones)
                limit = connection_limit(connections, fleet_size)
                # one more connection of each holder samples the primary
                self.assertLessEqual(zones * (limit + 1), connections)

    def test_one_gateway_alone_stays_within_a_members_limit(self):
        # Regression: the limit of a single gateway exceeded the member's connections.
        for connections in (5, 10, 40):
            self.assertLess(connection_limit(connections, FleetSize(1, 1)), connections)

    def test_a_gateway_that_goes_moves_only_what_it_held(self):
        names = [f"g{number}" for number in range(12)]
        services = [f"s{number}" for number in range(50)]
        for service in services:
            order = rank(service, names)
            without = rank(service, [name for name in names if name != "g3"])
            self.assertEqual([name for name in order if name != "g3"], without)

    def test_services_spread_over_the_gateways(self):
        names = [f"g{number}" for number in range(10)]
        first = [rank(f"s{number}", names)[0] for number in range(1000)]
        counts = [first.count(name) for name in names]
        self.assertLess(max(counts), 150)
        self.assertGreater(min(counts), 60)
