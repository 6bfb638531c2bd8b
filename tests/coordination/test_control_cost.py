"""Traffic of the gateways that follow one control node must grow linearly with the machines.

It is counted in virtual time for 30 and 300 machines: at startup, when idle, when members are
replaced, and in a burst of configurations.
"""

import unittest

from tests.support.control_cost import simulate_fleet

# Tenfold for ten times the machines, plus a fifth for longer names and numbers.
MAX_GROWTH = 12
# Each gateway gets all members once, and each service's primary at once.
MAX_START_BYTES_PER_GATEWAY = 20_000
# For one of the two incremental updates of a replaced member, with its reply.
MAX_CHANGE_BYTES_PER_GATEWAY = 250


class ControlCostTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.small, cls.large = simulate_fleet(30), simulate_fleet(300)

    def growth(self, phase):
        small, large = (fleet.costs.phases[phase] for fleet in (self.small, self.large))
        return large.bytes_sent / small.bytes_sent, large.bytes_received / small.bytes_received

    def test_bytes_grow_with_the_machines_only(self):
        for phase in ("calm", "restarts", "storm"):
            with self.subTest(phase):
                sent, taken = self.growth(phase)
                self.assertLess(sent, MAX_GROWTH)
                self.assertLess(taken, MAX_GROWTH)

    def test_a_start_costs_a_gateway_little_more_than_the_directory_itself(self):
        sent = self.large.costs.phases["start"].bytes_sent / self.large.costs.machines
        self.assertLess(sent, MAX_START_BYTES_PER_GATEWAY)

    def test_a_change_costs_a_gateway_what_changed(self):
        phase = self.large.costs.phases["restarts"]
        changes = 2 * self.large.replaced
        sent = phase.bytes_sent / changes / self.large.costs.machines
        self.assertLess(sent, MAX_CHANGE_BYTES_PER_GATEWAY)

    def test_every_gateway_ends_with_the_directory_and_the_newest_configuration(self):
        for fleet in (self.small, self.large):
            members = fleet.state.members
            for gateway, watch in fleet.followers:
                known = {record.instance: record for record in gateway.directory.members}
                self.assertEqual(known, members)
                self.assertEqual(gateway.directory.revision, fleet.state.revision)
                self.assertEqual(gateway.version, fleet.state.version)
                self.assertEqual(watch.counts["mismatch"], 0)
                self.assertEqual(watch.counts["whole"], 1)


if __name__ == "__main__":
    unittest.main()
