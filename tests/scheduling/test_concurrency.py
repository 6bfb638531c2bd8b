"""Adaptation of a holder's concurrency limit to a member's answer times."""

import random
import unittest

from rowanrail.scheduling.concurrency import (
    CEILING_FACTOR,
    MAX_ROUND_TRIP_FACTOR,
    MIN_LATENCY_WINDOW_MS,
    ConcurrencyLimit,
)

SLOTS = 4
MAX_LENGTH_RATIO = 5.0  # of the longest to the shortest statement


class SimulatedHolder:
    """A holder that uses its entire limit, and the answers that it receives."""

    def __init__(self, holders: int = 3, slots: int = SLOTS) -> None:
        self.limit = ConcurrencyLimit(slots, holders)
        self.now = 0.0
        self.random = random.Random(1)

    def run(
        self,
        seconds: float,
        round_trip: float = 2.0,
        service_time: float = 9.0,
        wait: float = 0.0,
        used: int = 99,
    ) -> None:
        """Simulate answers for a while; service times vary 1:5 around their average."""
        until = self.now + 1000 * seconds
        while self.now < until:
            answer_time = (
                round_trip + wait + service_time * self.random.uniform(1, MAX_LENGTH_RATIO) / 3
            )
            in_flight = min(used, self.limit.value)
            self.limit.note_answer(self.now, answer_time, in_flight)
            self.now += answer_time / in_flight


class IncreaseTest(unittest.TestCase):
    def test_the_initial_limit_is_an_even_share_of_twice_the_slots(self):
        self.assertEqual([ConcurrencyLimit(4, n).value for n in (1, 2, 3, 9)], [8, 4, 3, 2])

    def test_a_used_limit_rises_while_no_statement_queues_at_the_member(self):
        holder = SimulatedHolder()
        holder.run(1.0)
        self.assertEqual(holder.limit.value, CEILING_FACTOR * SLOTS)

    def test_an_unused_limit_does_not_rise(self):
        # Capacity that is not needed is left to the other holders.
        holder = SimulatedHolder()
        holder.run(1.0, used=1)
        self.assertEqual(holder.limit.value, 3)

    def test_a_low_limit_rises_as_fast_as_a_high_one(self):
        # Otherwise a holder with more answers takes all capacity, and statements of the other wait.
        low, high = SimulatedHolder(holders=9, slots=8), SimulatedHolder(holders=2, slots=8)
        initial = low.limit.value, high.limit.value
        low.run(0.3)
        high.run(0.3)
        gained = low.limit.value - initial[0], high.limit.value - initial[1]
        self.assertLessEqual(abs(gained[0] - gained[1]), 2)


class MisleadingAnswersTest(unittest.TestCase):
    """Answers that are slow for reasons other than a queue."""

    def test_a_distant_member_is_not_taken_for_a_full_one(self):
        holder = SimulatedHolder()
        holder.run(2.0, round_trip=40.0)
        self.assertGreater(holder.limit.value, CEILING_FACTOR * SLOTS)  # some are in transit
        self.assertLessEqual(holder.limit.value, (CEILING_FACTOR + MAX_ROUND_TRIP_FACTOR) * SLOTS)

    def test_a_queue_at_a_distant_member_is_detected(self):
        holder = SimulatedHolder()
        holder.run(2.0, round_trip=40.0)
        holder.run(2.0, round_trip=40.0, wait=15.0)
        self.assertEqual(holder.limit.value, 2)

    def test_a_member_that_becomes_slow_is_not_taken_for_a_full_one(self):
        holder = SimulatedHolder()
        holder.run(1.0)
        holder.run(2.0, service_time=45.0)
        self.assertGreaterEqual(holder.limit.value, SLOTS)

    def test_heavier_statements_are_not_taken_for_a_queue(self):
        holder = SimulatedHolder()
        holder.run(1.0, service_time=3.0)
        holder.run(1.0, service_time=15.0)
        self.assertGreaterEqual(holder.limit.value, SLOTS)

    def test_a_longer_round_trip_is_eventually_accepted(self):
        # After a change of the network path it looks like a queue until the minimum is forgotten.
        holder = SimulatedHolder()
        holder.run(1.0)
        holder.run(2 * MIN_LATENCY_WINDOW_MS / 1000 + 2.0, round_trip=12.0)
        self.assertGreaterEqual(holder.limit.value, CEILING_FACTOR * SLOTS)


class DecreaseTest(unittest.TestCase):
    def test_a_standing_queue_lowers_the_limit_to_an_even_share(self):
        holder = SimulatedHolder()
        holder.run(1.0)
        holder.run(1.0, wait=9.0)
        self.assertEqual(holder.limit.value, 2)

    def test_the_limit_rises_again_when_the_queue_is_gone(self):
        holder = SimulatedHolder()
        holder.run(1.0)
        holder.run(1.0, wait=9.0)
        holder.run(1.0)
        self.assertEqual(holder.limit.value, CEILING_FACTOR * SLOTS)

    def test_a_single_holder_keeps_more_than_the_slots(self):
        holder = SimulatedHolder(holders=1)
        holder.run(1.0)
        holder.run(2.0, wait=20.0)
        self.assertEqual(holder.limit.value, 5)

    def test_statements_sent_before_a_decrease_cause_no_other(self):
        holder = SimulatedHolder()
        holder.run(1.0)
        for _ in range(8):  # all statements in flight meet the same full queue
            holder.limit.note_busy(holder.now, in_flight=8)
        self.assertEqual(holder.limit.value, 6)

    def test_a_member_that_refuses_everything_is_still_tried(self):
        holder = SimulatedHolder(holders=9, slots=3)
        for _ in range(1000):
            holder.limit.note_busy(holder.now, in_flight=1)
        self.assertEqual(holder.limit.value, 1)


class SharingTest(unittest.TestCase):
    def test_the_learned_limit_is_clamped_to_the_new_bounds(self):
        limit = ConcurrencyLimit(8, 1)
        limit.set_sharing(3, 9)
        self.assertEqual(limit.value, 6)
        limit.set_sharing(12, 1)
        self.assertEqual(limit.value, 15)

    def test_the_limit_exceeds_slots_that_are_announced_too_low(self):
        holder = SimulatedHolder(slots=1)
        holder.run(1.0)
        self.assertEqual(holder.limit.value, SLOTS)
