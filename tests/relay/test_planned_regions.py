"""Holders by a plan where regions share connections."""

import unittest

from rowanrail.placement.hashed import Shard, rank
from rowanrail.scheduling.plan import Holding, Plan, PlanCause, ShardPlan
from tests.relay.test_regions import SHARD_OF_A, Regions


class PlannedRegions(Regions):
    """Two regions; plans name the gateway that rendezvous hashing does not choose."""

    def __init__(self):
        super().__init__()
        self.planned_holder = next(
            one
            for name, one in self.gateways.items()
            if name.startswith("gb") and one is not self.holder
        )

    def plan(self, number, holder, share=1 / 3):
        shards = [f"db/{n}" for n in range(3)]
        east = {key: ShardPlan([Holding(self.sender.name, 1 / 3)]) for key in shards}
        west = {key: ShardPlan([Holding(holder.name, 1 / 3)], PlanCause.BUSY) for key in shards}
        west[SHARD_OF_A.key] = ShardPlan([Holding(holder.name, share)], PlanCause.BUSY)
        return Plan(number, {"a": east, "b": west}, {holder.name: holder.name})

    def set_plan(self, plan, *only):
        for one in only or self.gateways.values():
            one.gateway.set_plan(plan)
        self.clock.advance(0.1)


class PlannedRemoteHolderTest(unittest.TestCase):
    def setUp(self):
        self.world = PlannedRegions()
        self.new = self.world.planned_holder
        self.old = self.world.holder

    def write(self, times=2):
        for _ in range(times):
            answer = self.world.client("orders").run("WRITE a 1", seconds=0.3)
            self.assertIsNone(answer.refusal, answer)
            self.world.clock.advance(0.1)  # time for links to open

    def open_at(self, one):
        return one.gateway.services["db"].pools["m1"].connections.count

    def test_a_write_runs_at_the_holder_that_the_plan_names(self):
        self.world.set_plan(self.world.plan(1, self.new))
        self.write(3)
        self.assertGreater(self.open_at(self.new), 0)
        self.world.clock.advance(0.5)
        pool = self.old.gateway.services["db"].pools["m1"]
        kept = [channel.tenant for channel in pool.connections.idle]
        self.assertNotIn("a", kept, "the hash's holder gives it up")

    def test_a_lost_planned_holder_is_replaced_by_rendezvous_hashing(self):
        self.world.set_plan(self.world.plan(1, self.new))
        self.write()
        del self.world.network.holders[self.new.name]
        for link in self.world.network.links:
            if self.new.name in link.ends:
                link.disconnect("reset")
        self.write()

    def test_a_holder_without_the_plan_runs_what_it_is_sent(self):
        self.world.set_plan(self.world.plan(1, self.new), self.world.sender)
        self.write()

    def test_a_sender_without_the_plan_is_served_by_the_old_holder(self):
        self.world.set_plan(self.world.plan(1, self.new), self.new, self.old)
        self.write()

    def test_a_plan_divides_the_regions_connections(self):
        even = self.old.gateway.services["db"].pools["m1"].connections.limit
        self.world.set_plan(self.world.plan(1, self.new, share=0.2))
        self.world.clock.advance(2.2)
        self.write()
        self.world.clock.advance(0.1)
        limit = self.new.gateway.services["db"].pools["m1"].connections.limit
        self.assertGreater(limit, even)
        self.assertLessEqual(limit, 30 - 3 - 6, "all shards of the region are held there")

    def test_the_order_without_a_plan_is_that_of_rendezvous_hashing(self):
        neighbours = self.world.sender.gateway.peers.neighbours
        shard = Shard.of("db", "somebody")
        self.assertEqual(neighbours._ranking(shard.key), rank(shard.key, ["ga1", "ga2"]))
