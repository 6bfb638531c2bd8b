"""Several holders that know only their own answers, before members with few slots.

The loads are those of a service with three members of 6 slots in three regions, 28 ms for a
statement and a fifth of them writes, so that 643 statements a second are all that it can do.
"""

import unittest

from tests.scheduling.holders import Load

EVEN = (1, 1, 1, 1, 1, 1)
UNEVEN = (6, 4, 1, 1, 1, 1)  # most callers in the primary's region
ONE_ZONE = (10, 1, 1, 1, 1, 1)
PEAK = 450  # a second: seven tenths of what the members can do


class UnevenLoadTest(unittest.TestCase):
    def play(self, demand, rate=PEAK, writes=0.2, **terms):
        load = Load(demand, writes, **terms)
        load.play(8, rate)
        return load

    def test_uneven_zones_turn_few_away_and_fill_no_member(self):
        # Each statement that is turned away has lost a round trip, up to 40 ms between regions.
        for demand in (EVEN, UNEVEN, ONE_ZONE):
            with self.subTest(demand=demand):
                load = self.play(demand)
                self.assertLess(load.turned_away_share, 0.01)
                self.assertLess(load.busiest, 1.35)
                self.assertEqual(load.slower_than(500), 0)

    def test_a_calm_service_stays_at_home(self):
        # Bytes between regions are paid by callers' links.
        load = self.play((0, 0, 1, 1, 1, 1), rate=120, writes=0.0)
        served = {member.name: member.served for member in load.members}
        self.assertLess(served["m1"], 0.02 * sum(served.values()))

    def test_holders_with_stale_knowledge_do_not_herd(self):
        # All stand 20 ms from all members, so that what they know is 40 ms old or older, and no
        # nearness keeps them apart.
        regions = {f"z{n}": f"r{n}" for n in range(6)} | {"a1": "a", "b1": "b", "c1": "c"}
        demand = EVEN + (0, 0, 0)
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                load = self.play(demand, writes=0.0, regions=regions, primary="", seed=seed)
                self.assertLess(load.turned_away_share, 0.002)
                self.assertLess(load.busiest, 1.05)

    def test_a_member_that_turns_slow_keeps_work_in_proportion_to_its_speed(self):
        load = Load(EVEN, writes=0.0)
        load.members[1].factor = 4.0
        load.play(10, 300)
        shares = [member.served / len(load.taken) for member in load.members]
        self.assertGreater(shares[1], 0.03)
        self.assertLess(shares[1], 0.2)
        self.assertLess(load.slower_than(500), 0.01)

    def test_a_primary_that_writes_need_is_spared(self):
        # Half of the statements are writes, which take three quarters of the primary's slots;
        # most callers stand next to it.
        load = self.play(UNEVEN, rate=330, writes=0.5)
        self.assertLess(load.reads["m1"], 0.2 * load.reads.total())
        self.assertLess(load.slower_than(500), 0.01)
