"""A gateway whose process stood still while statements waited goes on at once.

Found by the fault soak (one run of seed 507): a gateway that had been frozen while members were
silent answered nobody any more.
"""

import random
import unittest

from tests.support.gateway import PlayedGateway

MOST_READINGS = 100_000  # of the clock in one step; without an endless loop a few thousand
SEEDS = (4, 9, 12, 60, 3035, 3053, 3121, 3196, 6065, 6154, 6290, 9066, 9112, 9163)


class EndlessError(Exception):
    """A step reads the clock again and again."""


def count_readings(clock):
    """Have a clock fail in a step that doesn't end."""
    readings = [0]

    def time():
        readings[0] += 1
        if readings[0] > MOST_READINGS:
            raise EndlessError
        return clock.now

    clock.time = time
    return readings


class FrozenProcessTest(unittest.TestCase):
    def play(self, seed):
        """Have reads wait at silent members, and let time jump as it does in a frozen process."""
        drawn = random.Random(seed)
        played = PlayedGateway(slots=drawn.choice([1, 2, 3, 5]))
        readings = count_readings(played.clock)
        played.configure(2, connections=drawn.choice([3, 6, 9, 15, 30]))
        played.clock.advance(1.0)
        played.client("orders").run("WRITE a 1", 0.5)
        for member in played.members:
            member.silent = drawn.random() < 0.6
        databases = ["reports", "carts", "orders"]
        clients = [played.client(drawn.choice(databases)) for _ in range(drawn.randint(1, 12))]
        for _ in range(drawn.randint(1, 4)):
            for client in clients:
                is_free = len(client.answers) == client.asked
                if drawn.random() < 0.7 and is_free:
                    client.ask("READ a")
            if drawn.random() < 0.5:
                played.clock.advance(drawn.choice([0.0, 0.005, 0.02, 0.1, 0.3]))
            if drawn.random() < 0.3:
                for member in played.members:
                    member.silent = drawn.random() < 0.6
            played.clock.now += drawn.choice([0.3, 0.9, 1.1, 2.0, 2.5])
            readings[0] = 0
            played.clock.advance(0.0)
        readings[0] = 0
        played.clock.advance(2.0)  # twice the time that a statement is given
        return clients

    def test_what_waited_is_answered_and_the_gateway_goes_on(self):
        for seed in SEEDS:
            with self.subTest(seed):
                for client in self.play(seed):
                    self.assertEqual(len(client.answers), client.asked)

    def test_many_other_draws_end_as_well(self):
        for seed in range(100, 160):
            with self.subTest(seed):
                self.play(seed)
