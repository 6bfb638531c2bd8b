"""A gateway's share of connections, and the assumed number of gateways that share a member."""

import unittest
from dataclasses import replace

from rowanrail.gateway.services.service_share import ServiceShare
from rowanrail.placement.hashed import ASSUMED_GATEWAYS, SHARDS, FleetSize, Shard, connection_limit
from rowanrail.placement.planned import HANDOVER_SHARE_FACTOR, Allowance

SHARD = Shard("db", 0)
ZONES = FleetSize(72, 6)
REGIONS = FleetSize(58, 3, is_regional=True)


class ServiceShareTest(unittest.TestCase):
    def test_until_the_directory_is_known_a_number_of_gateways_is_assumed(self):
        share = ServiceShare(40)
        self.assertEqual(share.holders(is_near=True), ASSUMED_GATEWAYS)
        self.assertEqual(share.limit(is_near=True), connection_limit(40, FleetSize()))

    def test_unshared_connections_count_each_gateway_as_holder_and_sampler(self):
        share = ServiceShare(40, FleetSize(7, 3))
        self.assertFalse(share.is_shared)
        self.assertEqual((share.holders(True), share.samplers), (7, 7))

    def test_a_zone_that_shares_connections_counts_as_one_gateway(self):
        share = ServiceShare(40, ZONES)
        self.assertTrue(share.is_shared)
        self.assertEqual((share.holders(True), share.samplers), (6, 6))

    def test_in_a_region_more_shards_mean_fewer_other_holders(self):
        for number, holders in ((1, SHARDS), (2, 2), (3, 1)):
            shards = frozenset(Shard("db", shard) for shard in range(number))
            share = ServiceShare(32, REGIONS, shards)
            self.assertEqual(share.holders(is_near=True), holders)
            self.assertEqual(share.holders(is_near=False), SHARDS * 3)

    def test_a_planned_share_applies_to_near_members_only(self):
        allowance = Allowance(0.5, samplers=2, shards=frozenset([SHARD]))
        share = ServiceShare(32, REGIONS, frozenset([SHARD]), allowance)
        self.assertEqual(share.holders(is_near=True), 2)
        self.assertEqual(share.holders(is_near=False), SHARDS * 3)

    def test_a_substitute_for_a_planned_holder_has_an_even_share(self):
        named = ServiceShare(40, ZONES, frozenset([SHARD]), Allowance(0.25, 1, frozenset([SHARD])))
        substitute = replace(named, allowance=Allowance(0.0, 1, frozenset()))
        self.assertEqual(named.holders(True), 4)
        self.assertEqual(substitute.holders(True), 6)

    def test_a_gateway_outside_the_plan_keeps_part_of_an_even_share(self):
        share = ServiceShare(40, ZONES, allowance=Allowance(0.0, 1, frozenset()))
        self.assertEqual(share.holders(True), round(6 / HANDOVER_SHARE_FACTOR))

    def test_idle_connections_are_kept_for_tenants_routed_to_this_gateway(self):
        shards = frozenset([Shard.of("db", "anna")])
        other = next(name for name in map(str, range(99)) if Shard.of("db", name) not in shards)
        share = ServiceShare(32, REGIONS, shards)
        self.assertTrue(share.keeps_idle("db", "anna"))
        self.assertTrue(share.keeps_idle("db", ""))
        self.assertFalse(share.keeps_idle("db", other))

    def test_without_regions_all_are_kept_unless_a_plan_assigns_them_elsewhere(self):
        share = ServiceShare(40, ZONES)
        self.assertTrue(share.keeps_idle("db", "anna"))
        planned = replace(share, allowance=Allowance(0.0, 1, frozenset()))
        self.assertFalse(planned.keeps_idle("db", "anna"))
        self.assertTrue(replace(planned, shards=frozenset([Shard("db")])).keeps_idle("db", "anna"))
