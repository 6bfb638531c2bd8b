"""How many statements a holder keeps under way, by what the member's answers show."""

import random
import unittest

from rowanrail.scheduling.concurrency import (
    CEILING_FACTOR,
    MAX_ROUND_TRIP_FACTOR,
    MIN_LATENCY_WINDOW_MS,
    ConcurrencyLimit,
)

SLOTS = 4
HEAVIEST = 5.0  # times the lightest statement


class Answers:
    """A holder that uses all of its limit, and the answers that it gets."""

    def __init__(self, holders: int = 3, slots: int = SLOTS) -> None:
        self.limit = ConcurrencyLimit(slots, holders)
        self.now = 0.0
        self.random = random.Random(1)

    def take(
        self, seconds: float, way: float = 2.0, work: float = 9.0, wait: float = 0.0, used: int = 99
    ) -> None:
        """Take answers for a while; work differs 1 : 5 around its average."""
        until = self.now + 1000 * seconds
        while self.now < until:
            time = way + wait + work * self.random.uniform(1, HEAVIEST) / 3
            under_way = min(used, self.limit.value)
            self.limit.note_answer(self.now, time, under_way)
            self.now += time / under_way


class UsedLimitTest(unittest.TestCase):
    def test_it_begins_with_an_even_part_of_twice_the_slots(self):
        self.assertEqual([ConcurrencyLimit(4, n).value for n in (1, 2, 3, 9)], [8, 4, 3, 2])

    def test_it_rises_while_all_of_it_is_used_and_nothing_waits_at_the_member(self):
        answers = Answers()
        answers.take(1.0)
        self.assertEqual(answers.limit.value, CEILING_FACTOR * SLOTS)

    def test_it_stays_while_it_is_not_used(self):
        # Demand that comes and goes: a part that nobody needs is left to the other holders.
        answers = Answers()
        answers.take(1.0, used=1)
        self.assertEqual(answers.limit.value, 3)

    def test_a_low_limit_rises_as_fast_as_a_high_one(self):
        # Else the holder with more answers takes all, and the other's urgent statements wait.
        low, high = Answers(holders=9, slots=8), Answers(holders=2, slots=8)
        began = low.limit.value, high.limit.value
        low.take(0.3)
        high.take(0.3)
        gained = low.limit.value - began[0], high.limit.value - began[1]
        self.assertLessEqual(abs(gained[0] - gained[1]), 2)


class MisleadingAnswersTest(unittest.TestCase):
    """Answers that are slow for other reasons than a queue."""

    def test_a_distant_member_is_not_read_as_a_full_one(self):
        answers = Answers()
        answers.take(2.0, way=40.0)
        self.assertGreater(answers.limit.value, CEILING_FACTOR * SLOTS)  # some are on their way
        self.assertLessEqual(answers.limit.value, (CEILING_FACTOR + MAX_ROUND_TRIP_FACTOR) * SLOTS)

    def test_a_queue_at_a_distant_member_is_seen_as_well(self):
        answers = Answers()
        answers.take(2.0, way=40.0)
        answers.take(2.0, way=40.0, wait=15.0)
        self.assertEqual(answers.limit.value, 2)

    def test_a_member_that_turns_slow_is_not_read_as_a_full_one(self):
        answers = Answers()
        answers.take(1.0)
        answers.take(2.0, work=45.0)
        self.assertGreaterEqual(answers.limit.value, SLOTS)

    def test_heavier_statements_are_not_read_as_a_queue(self):
        answers = Answers()
        answers.take(1.0, work=3.0)
        answers.take(1.0, work=15.0)
        self.assertGreaterEqual(answers.limit.value, SLOTS)

    def test_a_longer_way_is_forgotten_in_time(self):
        # As after a path through another zone: it looks like a queue until it is the usual way.
        answers = Answers()
        answers.take(1.0)
        answers.take(2 * MIN_LATENCY_WINDOW_MS / 1000 + 2.0, way=12.0)
        self.assertGreaterEqual(answers.limit.value, CEILING_FACTOR * SLOTS)


class QueueAtTheMemberTest(unittest.TestCase):
    def test_a_standing_queue_lowers_it_to_the_even_part(self):
        answers = Answers()
        answers.take(1.0)
        answers.take(1.0, wait=9.0)
        self.assertEqual(answers.limit.value, 2)

    def test_it_rises_again_when_the_queue_is_gone(self):
        answers = Answers()
        answers.take(1.0)
        answers.take(1.0, wait=9.0)
        answers.take(1.0)
        self.assertEqual(answers.limit.value, CEILING_FACTOR * SLOTS)

    def test_a_lone_holder_keeps_more_than_the_slots(self):
        answers = Answers(holders=1)
        answers.take(1.0)
        answers.take(2.0, wait=20.0)
        self.assertEqual(answers.limit.value, 5)

    def test_what_was_sent_before_lowers_it_once(self):
        answers = Answers()
        answers.take(1.0)
        for _ in range(8):  # all that were under way meet the same full queue
            answers.limit.note_busy(answers.now, in_flight=8)
        self.assertEqual(answers.limit.value, 6)

    def test_a_member_that_turns_all_away_is_still_tried(self):
        answers = Answers(holders=9, slots=3)
        for _ in range(1000):
            answers.limit.note_busy(answers.now, in_flight=1)
        self.assertEqual(answers.limit.value, 1)


class SharingTest(unittest.TestCase):
    def test_what_was_learned_stays_within_the_new_bounds(self):
        limit = ConcurrencyLimit(8, 1)
        limit.set_sharing(3, 9)
        self.assertEqual(limit.value, 6)
        limit.set_sharing(12, 1)
        self.assertEqual(limit.value, 15)

    def test_slots_that_are_announced_too_low_leave_room_to_learn(self):
        answers = Answers(slots=1)
        answers.take(1.0)
        self.assertEqual(answers.limit.value, SLOTS)
