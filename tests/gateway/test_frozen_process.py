"""A gateway whose process was suspended while statements waited must resume.

Regression: a late read moved between two silent members in an endless loop.
"""

import random
import unittest

from tests.support.gateway import GatewayHarness

MAX_CLOCK_READS = 100_000  # per step; a few thousand are usual
SEEDS = (4, 9, 12, 60, 3035, 3053, 3121, 3196, 6065, 6154, 6290, 9066, 9112, 9163)


class EndlessLoopError(Exception):
    """A step read the clock more than ``MAX_CLOCK_READS`` times."""


def limit_clock_reads(clock):
    """Make a clock raise in an endless loop; the returned counter is reset before each step."""
    reads = [0]

    def time():
        reads[0] += 1
        if reads[0] > MAX_CLOCK_READS:
            raise EndlessLoopError
        return clock.now

    clock.time = time
    return reads


class FrozenProcessTest(unittest.TestCase):
    def play(self, seed, in_transactions=False):
        """Run reads at silent members while time jumps as in a suspended process."""
        rng = random.Random(seed)
        harness = GatewayHarness(slots=rng.choice([1, 2, 3, 5]))
        reads = limit_clock_reads(harness.clock)
        harness.configure(2, connections=rng.choice([3, 6, 9, 15, 30]))
        harness.clock.advance(1.0)
        harness.client("orders").run("WRITE a 1", 0.5)
        for member in harness.members:
            member.silent = rng.random() < 0.6
        databases = ["reports", "carts", "orders"]
        clients = [harness.client(rng.choice(databases)) for _ in range(rng.randint(1, 12))]
        for _ in range(rng.randint(1, 4)):
            for client in clients:
                is_free = len(client.answers) == client.asked
                if rng.random() < 0.7 and is_free:
                    if in_transactions:
                        client.run("ROLLBACK")
                        client.run("BEGIN READ")
                    client.ask("READ a")
            if rng.random() < 0.5:
                harness.clock.advance(rng.choice([0.0, 0.005, 0.02, 0.1, 0.3]))
            if rng.random() < 0.3:
                for member in harness.members:
                    member.silent = rng.random() < 0.6
            harness.clock.now += rng.choice([0.3, 0.9, 1.1, 2.0, 2.5])
            reads[0] = 0
            harness.clock.advance(0.0)
        reads[0] = 0
        harness.clock.advance(2.0)  # twice the time-out of a statement
        return clients

    def test_waiting_statements_are_answered_and_the_gateway_continues(self):
        for seed in SEEDS:
            with self.subTest(seed):
                for client in self.play(seed):
                    self.assertEqual(len(client.answers), client.asked)

    def test_other_seeds_end_as_well(self):
        for seed in range(100, 160):
            with self.subTest(seed):
                self.play(seed)

    def test_read_only_transactions_end_as_well(self):
        for seed in range(100, 200):
            with self.subTest(seed):
                for client in self.play(seed, in_transactions=True):
                    self.assertEqual(len(client.answers), client.asked)
