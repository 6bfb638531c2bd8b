"""Selection of members by several holders that know only their own answers.

Three members of 6 slots in three regions run 643 statements of 28 ms per second; by default a fifth
of the statements are writes.
"""

import unittest

from tests.scheduling.holders import Simulation

EVEN = (1, 1, 1, 1, 1, 1)
UNEVEN = (6, 4, 1, 1, 1, 1)  # most clients in the primary's region
ONE_ZONE = (10, 1, 1, 1, 1, 1)
PEAK_RATE = 450  # per second: 0.7 of the capacity


class UnevenLoadTest(unittest.TestCase):
    def simulate(self, demand, rate=PEAK_RATE, writes=0.2, **options):
        simulation = Simulation(demand, writes, **options)
        simulation.run(8, rate)
        return simulation

    def test_uneven_demand_overloads_no_member(self):
        # A refusal costs a round trip of up to 40 ms between regions.
        for demand in (EVEN, UNEVEN, ONE_ZONE):
            with self.subTest(demand=demand):
                simulation = self.simulate(demand)
                self.assertLess(simulation.refused_share, 0.01)
                self.assertLess(simulation.imbalance, 1.35)
                self.assertEqual(simulation.slower_than(500), 0)

    def test_low_demand_stays_within_its_regions(self):
        # Traffic between regions uses the clients' links.
        simulation = self.simulate((0, 0, 1, 1, 1, 1), rate=120, writes=0.0)
        served = {member.name: member.served for member in simulation.members}
        self.assertLess(served["m1"], 0.02 * sum(served.values()))

    def test_holders_with_outdated_information_do_not_select_the_same_member(self):
        # All holders are 20 ms from all members, so their information is at least 40 ms old, and
        # distance does not spread their selections.
        regions = {f"z{n}": f"r{n}" for n in range(6)} | {"a1": "a", "b1": "b", "c1": "c"}
        demand = EVEN + (0, 0, 0)
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                simulation = self.simulate(
                    demand, writes=0.0, regions=regions, primary="", seed=seed
                )
                self.assertLess(simulation.refused_share, 0.002)
                self.assertLess(simulation.imbalance, 1.05)

    def test_a_member_that_becomes_slow_gets_a_share_by_its_speed(self):
        simulation = Simulation(EVEN, writes=0.0)
        simulation.members[1].slowdown = 4.0
        simulation.run(10, 300)
        shares = [member.served / len(simulation.answer_times) for member in simulation.members]
        self.assertGreater(shares[1], 0.03)
        self.assertLess(shares[1], 0.2)
        self.assertLess(simulation.slower_than(500), 0.01)

    def test_reads_avoid_a_primary_that_writes_need(self):
        # Writes are half of the statements and need three quarters of the primary's slots; most
        # clients are nearest to it.
        simulation = self.simulate(UNEVEN, rate=330, writes=0.5)
        self.assertLess(simulation.reads["m1"], 0.2 * simulation.reads.total())
        self.assertLess(simulation.slower_than(500), 0.01)
