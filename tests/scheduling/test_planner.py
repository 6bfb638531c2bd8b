"""Plans under uneven demand and with slow or lost gateways."""

import unittest

from rowanrail.scheduling.demand import WINDOW_SPANS, DemandWindow, ShardDemand
from rowanrail.scheduling.group_draft import MAX_RATE_PER_HOLDER, GatewayLoad
from rowanrail.scheduling.plan import NO_PLAN, Plan, PlanCause
from rowanrail.scheduling.planner import Layout, propose_plan

ZONES = ("z1", "z2", "z3", "z4")
PER_ZONE = 6
SPAN_SECONDS = 5


def gateways(zones=ZONES, slow=(), lost=(), own=2.0):
    return [
        GatewayLoad(f"{zone}-g{n}", zone, f"{zone}-g{n}:1", own, f"{zone}-g{n}" in slow)
        for zone in zones
        for n in range(PER_ZONE)
        if f"{zone}-g{n}" not in lost
    ]


def zone_layout(zones=ZONES, services=("db1", "db2")):
    """Return a layout in which hashing assigns both services of a zone to the same gateway."""
    return Layout({s: {zone: {s: f"{zone}-g0"} for zone in zones} for s in services})


def region_layout(regions=("east", "west")):
    return Layout(
        {"db": {region: {f"db/{n}": f"{region}-g{n}" for n in range(3)} for region in regions}},
        is_regional=True,
    )


def rates(**zones):
    """Return the demand of both services in each zone."""
    return {
        zone: {"db1": ShardDemand(one), "db2": ShardDemand(two)}
        for zone, (one, two) in zones.items()
    }


def numbered(plan, number):
    return Plan(number, plan.groups, plan.addresses)


def settle(demand, loads, layout, current=NO_PLAN, rounds=6):
    """Plan until nothing changes; return the plan and the number of changes."""
    for changes in range(rounds):
        proposal = propose_plan(demand, loads, layout, current)
        if proposal.plan is None:
            return current, changes
        current = numbered(proposal.plan, current.number + 1)
    raise AssertionError("the plan does not converge")


def max_rate(plan, demand, layout):
    """Return the highest rate that a gateway holds, in statements per second."""
    held = {}
    for group, shards in demand.items():
        for key, shard in shards.items():
            planned = plan.shard(group, key)
            default = layout.group_defaults(group)[key]
            names = planned.gateways if planned is not None else [default]
            for name in names:
                held[name] = held.get(name, 0.0) + shard.rate / len(names)
    return max(held.values())


def shares(plan, key):
    return {group: shards[key].share for group, shards in plan.groups.items() if key in shards}


class MovesTest(unittest.TestCase):
    def test_two_busy_services_of_one_holder_are_separated(self):
        demand = rates(z1=(30, 30), z2=(30, 30), z3=(30, 30), z4=(30, 30))
        layout = zone_layout()
        plan, changes = settle(demand, gateways(), layout)
        self.assertEqual(max_rate(NO_PLAN, demand, layout), 60)
        self.assertEqual(max_rate(plan, demand, layout), 30)
        self.assertEqual(changes, 1)

    def test_small_services_are_not_moved(self):
        demand = rates(z1=(3, 3), z2=(3, 3), z3=(3, 3), z4=(3, 3))
        self.assertIsNone(propose_plan(demand, gateways(), zone_layout(), NO_PLAN).plan)

    def test_a_move_that_reduces_the_load_by_less_than_a_quarter_is_not_made(self):
        demand = rates(z1=(35, 5), z2=(35, 5), z3=(35, 5), z4=(35, 5))
        self.assertEqual(propose_plan(demand, gateways(), zone_layout(), NO_PLAN).changes, [])

    def test_shards_of_a_slow_holder_move_to_one_that_is_not_slow(self):
        demand = {zone: {"db1": ShardDemand(20.0)} for zone in ZONES}
        layout = zone_layout(services=("db1",))
        proposal = propose_plan(demand, gateways(slow=("z1-g0", "z1-g1")), layout, NO_PLAN)
        (change,) = proposal.changes
        self.assertEqual(
            (change.group, change.before, change.cause), ("z1", ("z1-g0",), PlanCause.SLOW)
        )
        self.assertNotIn(change.after[0], ("z1-g0", "z1-g1"))
        self.assertEqual(proposal.plan.shard("z2", "db1").gateways, ["z2-g0"])

    def test_recently_changed_shards_are_not_changed(self):
        demand = rates(z1=(30, 30), z2=(3, 3), z3=(3, 3), z4=(3, 3))
        recently_changed = {("z1", "db1"), ("z1", "db2"), ("", "db1"), ("", "db2")}
        self.assertIsNone(
            propose_plan(demand, gateways(), zone_layout(), NO_PLAN, recently_changed).plan
        )

    def test_a_gateway_that_has_just_joined_is_assigned_nothing(self):
        demand = rates(z1=(30, 30), z2=(0, 0), z3=(0, 0), z4=(0, 0))
        loads = [
            GatewayLoad(g.name, g.group, g.address, g.own_rate, is_settled=False)
            for g in gateways()
        ]
        self.assertEqual(propose_plan(demand, loads, zone_layout(), NO_PLAN).changes, [])

    def test_the_plan_contains_the_addresses_of_all_holders(self):
        demand = rates(z1=(30, 30), z2=(30, 30), z3=(30, 30), z4=(30, 30))
        plan = propose_plan(demand, gateways(), zone_layout(), NO_PLAN).plan
        named = {
            name for shards in plan.groups.values() for p in shards.values() for name in p.gateways
        }
        self.assertEqual(plan.addresses, {name: f"{name}:1" for name in named})


class HolderCountTest(unittest.TestCase):
    def test_a_busy_service_gets_more_holders_and_a_small_one_does_not(self):
        demand = rates(z1=(140, 12), z2=(12, 12), z3=(12, 12), z4=(12, 12))
        plan, _ = settle(demand, gateways(), zone_layout())
        self.assertEqual(len(plan.shard("z1", "db1").gateways), 3)
        for zone in ("z2", "z3", "z4"):
            self.assertEqual(len(plan.shard(zone, "db1").gateways), 1)
        self.assertLess(
            max_rate(plan, demand, zone_layout()),
            MAX_RATE_PER_HOLDER + 12,
            "db2 may remain on the same gateway",
        )

    def test_a_tenant_with_a_third_of_all_statements_gets_several_holders(self):
        # A third of 240 statements per second is one tenant's, in the region of the primary.
        demand = {
            "east": {
                "db/0": ShardDemand(133.0, largest_tenant_share=0.6),
                "db/1": ShardDemand(53.0, largest_tenant_share=0.1),
                "db/2": ShardDemand(40.0, largest_tenant_share=0.1),
            },
            "west": {f"db/{n}": ShardDemand(4.0, largest_tenant_share=0.2) for n in range(3)},
        }
        loads = gateways(("east", "west"))
        plan, _ = settle(demand, loads, region_layout())
        self.assertGreaterEqual(len(plan.shard("east", "db/0").gateways), 3)
        self.assertTrue(plan.shard("east", "db/0").is_split)
        self.assertFalse(plan.shard("east", "db/1").is_split, "its tenants are small")
        self.assertFalse(any(shard.is_split for shard in plan.groups["west"].values()))
        self.assertLessEqual(max_rate(plan, demand, region_layout()), MAX_RATE_PER_HOLDER)
        self.assertGreater(plan.shard("east", "db/0").share, 0.45)

    def test_few_connections_limit_the_number_of_holders(self):
        # Two holders with two connections each serve less than one with four.
        demand = rates(z1=(120, 0), z2=(60, 0), z3=(60, 0), z4=(60, 0))
        layout = zone_layout(services=("db1",))
        for connections, expected in ((20, 1), (36, 2), (79, 3)):
            bounded = Layout(layout.defaults, connections={"db1": connections})
            plan, _ = settle(demand, gateways(), bounded)
            self.assertEqual(len(plan.shard("z1", "db1").gateways), expected, connections)

    def test_holders_are_joined_only_when_the_demand_is_much_lower(self):
        loads, layout = gateways(), zone_layout()
        plan, _ = settle(rates(z1=(90, 0), z2=(0, 0), z3=(0, 0), z4=(0, 0)), loads, layout)
        self.assertEqual(len(plan.shard("z1", "db1").gateways), 2)
        for rate, expected in ((60, 2), (40, 2), (25, 1)):
            demand = rates(z1=(rate, 0), z2=(0, 0), z3=(0, 0), z4=(0, 0))
            after, _ = settle(demand, loads, layout, plan)
            self.assertEqual(len(after.shard("z1", "db1").gateways), expected, rate)


class SharesTest(unittest.TestCase):
    def test_shares_of_a_members_connections_add_up_to_one(self):
        for uneven in ((30, 30, 30, 30), (100, 10, 10, 0), (0, 0, 7, 90), (200, 200, 1, 1)):
            demand = rates(**{zone: (rate, 1) for zone, rate in zip(ZONES, uneven, strict=True)})
            plan, _ = settle(demand, gateways(), zone_layout())
            for key in ("db1", "db2"):
                if shares(plan, key):
                    self.assertAlmostEqual(sum(shares(plan, key).values()), 1.0, places=2)

    def test_shares_follow_clients_that_move_to_another_zone(self):
        before = rates(z1=(40, 0), z2=(40, 0), z3=(40, 0), z4=(40, 0))
        layout = zone_layout(services=("db1",))
        plan, _ = settle(before, gateways(), layout)
        self.assertEqual(shares(plan, "db1"), {})
        moved = rates(z1=(5, 0), z2=(45, 0), z3=(70, 0), z4=(40, 0))
        plan, _ = settle(moved, gateways(), layout, plan)
        after = shares(plan, "db1")
        self.assertGreater(after["z3"], 1.3 * 0.25)
        self.assertGreaterEqual(after["z1"], 0.125, "clients that return are served as well")

    def test_a_slight_imbalance_changes_nothing(self):
        demand = rates(z1=(20, 0), z2=(24, 0), z3=(17, 0), z4=(19, 0))
        self.assertIsNone(propose_plan(demand, gateways(), zone_layout(), NO_PLAN).plan)

    def test_a_region_divides_the_connections_among_its_own_shards(self):
        demand = {
            "east": {"db/0": ShardDemand(40.0), "db/1": ShardDemand(4.0), "db/2": ShardDemand(4.0)},
            "west": {f"db/{n}": ShardDemand(9.0) for n in range(3)},
        }
        plan, _ = settle(demand, gateways(("east", "west")), region_layout())
        for region in ("east", "west"):
            total = sum(shard.share for shard in plan.groups[region].values())
            self.assertAlmostEqual(total, 1.0, places=2)
        self.assertGreater(plan.shard("east", "db/0").share, 0.5)
        self.assertAlmostEqual(plan.shard("west", "db/0").share, 1 / 3, places=2)


class LostTest(unittest.TestCase):
    def setUp(self):
        self.layout = zone_layout()
        self.demand = rates(z1=(30, 30), z2=(30, 30), z3=(30, 30), z4=(30, 30))
        self.plan, _ = settle(self.demand, gateways(), self.layout)

    def planned_holder(self):
        named = [shard for key in ("db1", "db2") if (shard := self.plan.shard("z1", key))]
        (other,) = {name for shard in named for name in shard.gateways} - {"z1-g0"}
        return other

    def test_a_lost_holder_is_replaced_despite_a_recent_change(self):
        lost = self.planned_holder()
        recently_changed = {("z1", "db1"), ("z1", "db2"), ("", "db1"), ("", "db2")}
        loads = gateways(lost=(lost,))
        proposal = propose_plan(self.demand, loads, self.layout, self.plan, recently_changed)
        (change,) = proposal.changes
        self.assertEqual((change.before, change.cause), ((lost,), PlanCause.LOST))
        self.assertEqual(change.after, ("z1-g0",), "hashing has already chosen it")

    def test_connections_of_a_zone_that_is_gone_go_to_the_others(self):
        remaining = ZONES[1:]
        demand = {zone: self.demand[zone] for zone in remaining}
        layout = zone_layout(remaining)
        plan, _ = settle(demand, gateways(remaining), layout, self.plan)
        self.assertNotIn("z1", plan.groups)
        self.assertAlmostEqual(sum(shares(plan, "db1").values()), 1.0, places=2)

    def test_a_zone_that_joins_gets_a_share(self):
        zones = (*ZONES, "z5")
        plan, _ = settle(self.demand, gateways(zones), zone_layout(zones), self.plan)
        self.assertAlmostEqual(sum(shares(plan, "db1").values()), 1.0, places=2)
        self.assertGreater(plan.shard("z5", "db1").share, 0)

    def test_a_service_that_is_gone_leaves_the_plan(self):
        layout = zone_layout(services=("db1",))
        plan, _ = settle(self.demand, gateways(), layout, self.plan)
        self.assertFalse(any("db2" in shards for shards in plan.groups.values()))


class PeakTest(unittest.TestCase):
    def simulate(self, rate_at, rounds=40):
        """Plan every 5 s for a demand over time; return the times of changes in s."""
        window, current, changed = DemandWindow(), NO_PLAN, []
        for step in range(rounds):
            rate = rate_at(step * SPAN_SECONDS)
            window.add(rates(z1=(rate, 4), z2=(20, 4), z3=(20, 4), z4=(20, 4)))
            if not window.is_full:
                continue
            proposal = propose_plan(window.median(), gateways(), zone_layout(), current)
            if proposal.plan is not None:
                current = numbered(proposal.plan, current.number + 1)
                changed.append(step * SPAN_SECONDS)
        return changed

    def test_a_peak_of_ten_seconds_moves_nothing(self):
        # Ten seconds overlap three spans at most, as the spans of gateways are not aligned.
        for height in (46, 200, 2000):
            self.assertEqual(self.simulate(lambda t, h=height: h if 70 <= t < 85 else 20), [])

    def test_a_gap_of_ten_seconds_moves_nothing(self):
        self.assertEqual(self.simulate(lambda t: 0 if 70 <= t < 85 else 20), [])

    def test_a_lasting_change_is_followed_within_half_a_minute(self):
        changed = self.simulate(lambda t: 200 if t >= 70 else 20)
        self.assertTrue(changed)
        self.assertLessEqual(changed[0], 100)
        self.assertLessEqual(len(changed), 3)

    def test_nothing_is_planned_in_the_first_half_minute(self):
        changed = self.simulate(lambda t: 200)
        self.assertGreaterEqual(changed[0], (WINDOW_SPANS - 1) * SPAN_SECONDS)


if __name__ == "__main__":
    unittest.main()
