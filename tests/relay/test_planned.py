"""Holders by a plan: routing, handover of shares, diverging plans, lost links, the load meter."""

import unittest

from rowanrail.gateway.relay.load_meter import LOOP_CHECK_MS, WINDOW_MS, LoadMeter
from rowanrail.kernel.clock import Clock
from rowanrail.model.statements import Refusal
from rowanrail.placement.hashed import FleetSize, Shard, even_share, planned_limit
from rowanrail.placement.planned import HANDOVER_MS, PlannedHolders
from rowanrail.scheduling.plan import NO_PLAN, Holding, Plan, PlanCause, ShardPlan
from tests.support.gateway import ManualClock
from tests.support.relay import ZoneHarness

CONNECTIONS = 30  # that a member accepts
OTHER_ZONES = ("b", "c", "d", "e", "f")


def plan(number, *holders, share=1 / 6):
    """Return a plan with the given holders in zone a, and one holder in each of five others."""
    own = ShardPlan([Holding(name, share / len(holders)) for name in holders], PlanCause.BUSY)
    rest = (1 - share) / len(OTHER_ZONES)
    groups = {zone: {"db": ShardPlan([Holding(f"{zone}1", rest)])} for zone in OTHER_ZONES}
    return Plan(number, {"a": {"db": own}, **groups}, {name: name for name in holders})


class PlannedZone(ZoneHarness):
    """A zone whose gateways receive plans; without one, ``first`` is the holder."""

    def set_plan(self, given_plan, *names):
        for one in self.gateways.values():
            if not names or one.name in names:
                one.gateway.set_plan(given_plan)

    def open_links(self):
        """Let all gateways open their links, so that statements run at the preferred holder."""
        for one in self.gateways.values():
            one.client("reports").run("READ x", seconds=0.1)
        self.clock.advance(0.1)

    def limits(self, one):
        return [pool.connections.limit for pool in one.gateway.services["db"].pools.values()]

    def most_open(self):
        """Return the largest number of connections that a member has from the zone."""
        pools = [one.gateway.services["db"].pools for one in self.gateways.values()]
        return max(sum(p[name].connections.count for p in pools) for name in ("m1", "m2", "m3"))


class HolderTest(unittest.TestCase):
    def setUp(self):
        self.zone = PlannedZone()
        self.client = self.zone.second.client("reports")

    def test_without_a_plan_rendezvous_hashing_decides(self):
        self.zone.open_links()
        self.assertIsNone(self.client.run("READ a", seconds=0.1).refusal)
        self.assertGreater(self.zone.open_connections(self.zone.first), 0)
        self.assertEqual(self.zone.open_connections(self.zone.last), 0)

    def test_statements_run_at_the_holder_that_the_plan_names(self):
        self.zone.set_plan(plan(1, self.zone.last.name))
        self.assertIsNone(self.client.run("READ a", seconds=0.1).refusal)
        self.assertGreater(self.zone.open_connections(self.zone.last), 0)
        self.assertEqual(self.zone.open_connections(self.zone.first), 0)

    def test_an_older_plan_changes_nothing(self):
        self.zone.set_plan(plan(7, self.zone.last.name))
        self.zone.set_plan(plan(6, self.zone.second.name))
        self.client.run("READ a", seconds=0.1)
        self.assertGreater(self.zone.open_connections(self.zone.last), 0)

    def test_an_empty_plan_restores_rendezvous_hashing(self):
        self.zone.set_plan(plan(1, self.zone.last.name))
        before = self.zone.limits(self.zone.first)
        self.zone.set_plan(Plan(2))
        self.zone.open_links()
        self.client.run("READ a", seconds=0.1)
        self.assertGreater(self.zone.open_connections(self.zone.first), 0)
        self.assertLess(before, self.zone.limits(self.zone.first))

    def test_a_transaction_stays_where_it_began(self):
        client = self.zone.second.client("orders")
        client.run("BEGIN")
        client.run("WRITE a 1", seconds=0.1)
        self.zone.set_plan(plan(1, self.zone.last.name))
        self.zone.clock.advance(0.3)
        client.run("WRITE b 2", seconds=0.1)
        self.assertIsNone(client.run("COMMIT", seconds=0.1).refusal)
        connections = {number for number, c in self.zone.primary.ran if c.text.startswith("WRITE")}
        self.assertEqual(len(connections), 1)

    def test_a_holder_without_budget_for_info_lines_still_logs_what_it_holds(self):
        self.zone.last.decisions._info_budget = 0
        self.zone.set_plan(plan(1, self.zone.last.name))
        self.assertIn('"event":356', "".join(self.zone.last.logs()).replace(" ", ""))

    def test_it_logs_what_it_holds_and_why(self):
        self.zone.set_plan(plan(1, self.zone.last.name))
        self.zone.set_plan(plan(2, self.zone.first.name))
        text = "\n".join(self.zone.last.logs())
        self.assertIn('"cause":"busy"', text)
        for event in (355, 356, 357):
            self.assertIn(str(event), text)


class HandoverTest(unittest.TestCase):
    def setUp(self):
        self.zone = PlannedZone()
        self.clients = [self.zone.second.client("orders") for _ in range(8)]
        self.zone.open_links()

    def all_ask(self):
        for client in self.clients:
            client.ask("READ a")
        self.zone.clock.advance(0.3)

    def test_the_new_holder_begins_with_half_and_has_its_share_later(self):
        self.zone.set_plan(plan(1, self.zone.last.name, share=0.5))
        half = self.zone.limits(self.zone.last)
        self.zone.clock.advance(HANDOVER_MS / 1000 + 0.1)
        self.all_ask()
        self.zone.clock.advance(0.1)
        whole = self.zone.limits(self.zone.last)
        self.assertEqual(half, [5, 5, 5])
        self.assertEqual(whole, [10, 10, 10])

    def test_both_stay_within_what_the_zone_may_open(self):
        even = planned_limit(CONNECTIONS, FleetSize(60, 6), even_share(FleetSize(60, 6)), 6)
        self.all_ask()
        for number, holder in enumerate((self.zone.last, self.zone.first, self.zone.last), 1):
            self.zone.set_plan(plan(number, holder.name))
            for _ in range(12):
                self.all_ask()
                self.assertLessEqual(self.zone.most_open(), even + 1, "a sample's beside them")

    def test_the_old_holder_closes_what_nobody_uses(self):
        self.all_ask()
        self.assertGreater(self.zone.open_connections(self.zone.first), 0)
        self.zone.set_plan(plan(1, self.zone.last.name))
        self.zone.clock.advance(0.5)
        self.assertLessEqual(
            self.zone.open_connections(self.zone.first), 1, "it samples for a while"
        )
        self.zone.clock.advance(12.0)
        self.assertEqual(self.zone.open_connections(self.zone.first), 0)

    def test_a_holder_by_hashing_keeps_its_whole_share(self):
        before = self.zone.limits(self.zone.first)
        self.zone.set_plan(plan(1, self.zone.first.name))
        self.assertGreaterEqual(self.zone.limits(self.zone.first), before)

    def test_a_share_grows_only_after_the_handover(self):
        self.zone.set_plan(plan(1, self.zone.first.name))
        self.all_ask()
        self.zone.clock.advance(HANDOVER_MS / 1000)
        before = self.zone.limits(self.zone.first)
        self.zone.set_plan(plan(2, self.zone.first.name, share=0.5))
        self.all_ask()
        self.assertEqual(self.zone.limits(self.zone.first), before)
        self.zone.clock.advance(HANDOVER_MS / 1000 - 0.2)
        self.assertEqual(self.zone.limits(self.zone.first), [10, 10, 10])
        self.zone.set_plan(plan(3, self.zone.first.name, share=0.2))
        self.assertEqual(self.zone.limits(self.zone.first), [4, 4, 4], "at once")

    def test_a_holders_part_of_a_members_slots_follows_its_share(self):
        service = self.zone.last.gateway.services["db"]
        is_near = service._is_near(next(iter(service.pools.values())).record)
        self.assertEqual(service.share.holders(is_near), 6, "one of six zones")
        self.zone.set_plan(plan(1, self.zone.last.name, share=0.5))
        self.assertEqual(service.share.holders(is_near), 4, "half of it during the handover")
        self.all_ask()
        self.zone.clock.advance(HANDOVER_MS / 1000)
        self.assertEqual(service.share.holders(is_near), 2)

    def test_a_new_holder_that_is_lost_during_the_handover_is_replaced(self):
        self.all_ask()
        self.zone.set_plan(plan(1, self.zone.last.name))
        self.zone.kill(self.zone.last)
        client = self.zone.second.client("reports")
        self.assertIsNone(client.run("READ b", seconds=0.3).refusal)
        self.zone.clock.advance(0.2)
        self.assertGreater(self.zone.open_connections(self.zone.first), 0)
        self.assertEqual(self.zone.limits(self.zone.first), [3, 3, 3], "as by the hash")

    def test_a_write_under_way_at_the_old_holder_is_answered_once(self):
        client = self.zone.second.client("orders")
        self.zone.primary.script = [None]
        client.ask("WRITE a 1")
        self.zone.clock.advance(0.05)
        self.zone.set_plan(plan(1, self.zone.last.name))
        self.zone.clock.advance(2.0)
        self.assertEqual([a.refusal for a in client.answers], [Refusal.OUTCOME_UNKNOWN])
        self.assertEqual(self.zone.primary.texts().count("WRITE a 1"), 1)


class TwoPlansTest(unittest.TestCase):
    """The client's gateway still has the old plan, the others have the new one."""

    def setUp(self):
        self.zone = PlannedZone()
        self.zone.set_plan(plan(1, self.zone.first.name))
        self.zone.open_links()
        self.zone.set_plan(plan(2, self.zone.last.name), self.zone.first.name, self.zone.last.name)

    def test_the_old_holder_runs_what_comes(self):
        client = self.zone.second.client("orders")
        old, new = (one.gateway.services["db"] for one in (self.zone.first, self.zone.last))
        before = (old.used_at, new.used_at)
        for text in ("READ a", "WRITE a 1", "READ a"):
            self.assertIsNone(client.run(text, seconds=0.2).refusal, text)
        self.assertGreater(old.used_at, before[0])
        self.assertEqual(new.used_at, before[1])

    def test_a_transaction_runs_there_to_its_end(self):
        client = self.zone.second.client("orders")
        client.run("BEGIN")
        for text in ("READ a", "WRITE a 1", "COMMIT"):
            self.assertIsNone(client.run(text, seconds=0.2).refusal, text)

    def test_it_opens_half_of_an_even_share_at_most(self):
        self.zone.clock.advance(0.1)
        self.assertEqual(self.zone.limits(self.zone.first), [2, 2, 2])

    def test_a_restarted_gateway_uses_hashing_until_it_gets_the_plan(self):
        one = self.zone.second
        one.gateway.holdings.planned._plan = NO_PLAN  # as after a restart
        self.assertIsNone(one.client("reports").run("READ a", seconds=0.1).refusal)
        one.gateway.set_plan(plan(2, self.zone.last.name))
        self.assertIsNone(one.client("reports").run("READ a", seconds=0.1).refusal)


class LinkLostTest(unittest.TestCase):
    def test_a_gateway_cut_off_from_the_holder_goes_to_the_next(self):
        zone = PlannedZone()
        zone.set_plan(plan(1, zone.last.name))
        client = zone.second.client("reports")
        client.run("READ a", seconds=0.1)
        zone.network.cut.add((zone.second.name, zone.last.name))
        client.ask("READ b")
        zone.clock.advance(0.9)
        self.assertEqual([answer.refusal for answer in client.answers], [None, None])

    def test_it_comes_back_when_the_link_does(self):
        zone = PlannedZone()
        zone.set_plan(plan(1, zone.last.name))
        client = zone.second.client("reports")
        zone.network.cut.add((zone.second.name, zone.last.name))
        client.ask("READ b")
        zone.clock.advance(3.0)
        zone.network.cut.clear()
        zone.clock.advance(3.0)
        held = zone.last.gateway.services["db"]
        held.used_at = 0.0
        client.run("READ c", seconds=0.5)
        client.run("READ d", seconds=0.5)
        self.assertGreater(held.used_at, 0.0)


class SpreadTest(unittest.TestCase):
    def holders(self, shard, given_plan, name="g1"):
        planned = PlannedHolders(name, "a", Clock(ManualClock()))
        planned.adopt(given_plan, lambda key: 0.0)
        return planned.local_holders(shard)

    def given_plan(self, is_split):
        holdings = [Holding(name, 0.1) for name in ("h1", "h2", "h3")]
        shards = {f"db/{n}": ShardPlan(holdings, PlanCause.DIVIDED, is_split) for n in range(3)}
        return Plan(1, {"a": shards})

    def first_of(self, tenant, is_split):
        names = [f"g{n}" for n in range(30)]
        return {
            self.holders(Shard.of("db", tenant), self.given_plan(is_split), n)[0] for n in names
        }

    def test_tenants_of_a_shared_shard_are_spread_and_each_has_one_holder(self):
        firsts = [self.first_of(f"tenant{n}", is_split=False) for n in range(40)]
        self.assertTrue(all(len(first) == 1 for first in firsts))
        self.assertEqual(len(set.union(*firsts)), 3)

    def test_a_large_tenant_is_spread_by_its_clients_gateways(self):
        self.assertEqual(len(self.first_of("large", is_split=True)), 3)

    def test_a_service_without_tenants_is_spread_by_clients_gateways(self):
        holdings = [Holding(name, 0.1) for name in ("h1", "h2")]
        given_plan = Plan(1, {"a": {"db": ShardPlan(holdings, PlanCause.DIVIDED)}})
        firsts = [self.holders(Shard("db"), given_plan, f"g{n}")[0] for n in range(40)]
        self.assertGreater(min(firsts.count("h1"), firsts.count("h2")), 10)

    def test_the_order_has_all_holders(self):
        self.assertEqual(
            sorted(self.holders(Shard.of("db", "t"), self.given_plan(False))), ["h1", "h2", "h3"]
        )


class LimitTest(unittest.TestCase):
    def test_all_holders_of_a_plan_stay_within_a_members_limit(self):
        for connections in (40, 56, 79):
            for shares in ([1 / 6] * 6, [0.5, 0.1, 0.1, 0.1, 0.1, 0.1]):
                zones = FleetSize(103, 6)
                limits = [planned_limit(connections, zones, s, len(shares)) for s in shares]
                self.assertLessEqual(sum(limits) + len(shares) + 3, connections)

    def test_a_regions_holders_leave_room_for_samples_and_who_takes_over(self):
        region = FleetSize(86, 3, is_regional=True)
        limits = [planned_limit(56, region, share, samplers=6) for share in (0.6, 0.2, 0.2)]
        self.assertLessEqual(sum(limits) + 3 + 6 + 6, 56)


class LoadMeterTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.unsent = 0
        self.meter = LoadMeter(Clock(self.clock), lambda: self.unsent)
        self.meter.start()

    def end_window(self):
        self.clock.advance(WINDOW_MS / 1000)
        return self.meter.latest

    def test_a_window_is_reported_for_a_limited_time(self):
        self.assertIsNone(self.meter.latest)
        for _ in range(10):
            self.meter.note_held_statement(Shard("db"))
            self.meter.note_client_statement()
        report = self.end_window()
        self.assertEqual(
            (report.own_count, [(p.key, p.count) for p in report.shards]), (10, [("db", 10)])
        )
        self.clock.advance(2.0)
        self.assertIsNone(self.meter.latest)

    def test_it_reports_the_largest_shards_and_their_largest_tenant(self):
        for number in range(12):
            for _ in range(number + 1):
                self.meter.note_held_statement(Shard(f"db{number}"))
        for tenant in ("a", "b", "b"):
            shard = Shard.of("db", tenant)
            for _ in range(50):
                self.meter.note_held_statement(shard)
        report = self.end_window()
        self.assertEqual(len(report.shards), 8)
        self.assertIn("b", [shard.tenant for shard in report.shards])

    def test_links_that_are_congested_for_most_of_a_window_make_it_slow(self):
        self.unsent = 4000
        self.assertTrue(self.end_window().is_slow)
        self.unsent = 0
        self.assertFalse(self.end_window().is_slow)
        self.unsent = 4000
        self.clock.advance(LOOP_CHECK_MS / 1000)
        self.unsent = 0
        self.clock.advance((WINDOW_MS - LOOP_CHECK_MS) / 1000)
        self.assertFalse(self.meter.latest.is_slow, "a moment is no sign")
