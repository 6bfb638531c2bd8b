"""Admission decisions, and their effect under overload and with short queues.

Statements have a time limit of 800 ms; the member has 4 slots and runs 444 statements of 9 ms per
second.
"""

import itertools
import unittest

from rowanrail.scheduling.admission import (
    Admit,
    Forecast,
    Reject,
    RejectionCause,
    decide_forwarding,
    decide_on_arrival,
    decide_while_waiting,
    next_check,
)
from rowanrail.scheduling.queue import QueueEntry
from tests.scheduling.line import MemberQueue

TIME_LIMIT = 800.0
SLOTS = 4
RUN_TIME = 9.0
CAPACITY = SLOTS / RUN_TIME  # statements per millisecond
# Mean RUN_TIME, and a standard deviation of about the same.
UNEVEN_RUN_TIMES = (1.0, 3.0, 5.0, 9.0, 27.0)


def simulate(queue: MemberQueue, rates: dict[int, float], until: float) -> None:
    """Simulate evenly spaced arrivals, with rates by urgency in statements per millisecond."""
    counts = dict.fromkeys(rates, 0)
    for now in map(float, range(int(until))):
        for urgency, rate in rates.items():
            while counts[urgency] < rate * now:
                counts[urgency] += 1
                queue.arrive(
                    QueueEntry(urgency, "", now + counts[urgency] / 1e6, now + TIME_LIMIT), now
                )
        queue.step(now)


class BurstTest(unittest.TestCase):
    """A class at 2.5 times its usual load, and a more urgent class."""

    @classmethod
    def setUpClass(cls):
        cls.queue = MemberQueue(SLOTS, itertools.cycle(UNEVEN_RUN_TIMES), RUN_TIME)
        usual = 0.7 * CAPACITY
        simulate(cls.queue, {0: 0.1 * CAPACITY, 2: 2.5 * usual}, 5000)
        cls.outcomes = cls.queue.outcomes

    def test_no_statement_expires_in_the_queue(self):
        self.assertEqual(self.outcomes["expired", 2], 0)

    def test_the_member_is_fully_used(self):
        served = self.outcomes["served", 0] + self.outcomes["served", 2]
        self.assertGreater(served, 0.95 * CAPACITY * 5000)
        self.assertEqual(self.queue.idle_steps_with_queue, 0)

    def test_the_more_urgent_class_is_served_entirely(self):
        refused = self.outcomes["refused-arriving", 0] + self.outcomes["refused-waiting", 0]
        self.assertEqual((refused, self.outcomes["late", 0]), (0, 0))

    def test_hardly_any_answer_is_late(self):
        self.assertLess(self.outcomes["late", 2], 0.02 * self.outcomes["served", 2])


class ShortQueueTest(unittest.TestCase):
    """Short queues cause no rejections."""

    def test_a_burst_that_fits_into_the_time_limit_is_served_entirely(self):
        queue = MemberQueue(SLOTS, itertools.cycle(UNEVEN_RUN_TIMES), RUN_TIME)
        fits = int(0.8 * CAPACITY * TIME_LIMIT)
        for number in range(fits):
            queue.arrive(QueueEntry(1, "", number / 1e6, TIME_LIMIT), 0.0)
        for now in range(int(TIME_LIMIT)):
            queue.step(float(now))
        self.assertEqual(queue.outcomes["served", 1], fits)

    def test_a_forecast_that_is_too_high_by_half_rejects_nothing_that_would_be_served(self):
        queue = MemberQueue(SLOTS, itertools.repeat(RUN_TIME * 2 / 3), RUN_TIME)
        fits = int(1.5 * CAPACITY * TIME_LIMIT * 0.95)
        for number in range(fits):
            self.assertIsNone(queue.arrive(QueueEntry(1, "", number / 1e6, TIME_LIMIT), 0.0))
        for now in range(int(TIME_LIMIT)):
            queue.step(float(now))
        self.assertEqual(queue.outcomes["refused-waiting", 1], 0)
        self.assertEqual(queue.outcomes["served", 1], fits)


class DecisionTest(unittest.TestCase):
    def test_nothing_is_rejected_while_there_is_room(self):
        for remaining, run_time in itertools.product((1.0, 50.0, 800.0), (1.0, 900.0, 60_000.0)):
            forecast = Forecast(0.0, run_time, has_room=True)
            self.assertEqual(decide_on_arrival(forecast, remaining, TIME_LIMIT), Admit())

    def test_a_slow_answer_within_the_time_limit_is_no_reason(self):
        # An objective of 500 ms is missed, the time limit of 800 ms is not.
        self.assertEqual(decide_on_arrival(Forecast(780.0, 10.0), TIME_LIMIT, TIME_LIMIT), Admit())

    def test_a_statement_that_becomes_too_late_is_rejected_while_waiting(self):
        forecast = Forecast(900.0, RUN_TIME)
        self.assertEqual(decide_while_waiting(forecast, 600.0, TIME_LIMIT), Admit())
        decision = decide_while_waiting(forecast, 500.0, TIME_LIMIT)
        self.assertIsInstance(decision, Reject)
        self.assertIs(decision.cause, RejectionCause.PAST_DEADLINE)

    def test_a_slow_member_is_no_reason_while_much_time_remains(self):
        slow = Forecast(0.0, 900.0, has_room=True)
        self.assertEqual(decide_while_waiting(slow, 700.0, TIME_LIMIT), Admit())
        self.assertIsInstance(decide_while_waiting(slow, 75.0, TIME_LIMIT), Reject)

    def test_checks_end_before_the_deadline_and_never_follow_at_once(self):
        remaining, checks = TIME_LIMIT, 0
        while isinstance(decide_while_waiting(Forecast(0.0, 20.0), remaining, TIME_LIMIT), Admit):
            step = next_check(remaining, 20.0, TIME_LIMIT)
            self.assertGreaterEqual(step, 1.0)
            remaining -= step
            checks += 1
        self.assertGreater(remaining, 0)
        self.assertLess(checks, 12)

    def test_a_statement_without_time_for_the_round_trip_is_not_forwarded(self):
        decision = decide_forwarding(
            reported_wait=0.0, round_trip=80.0, remaining=79.0, time_limit=TIME_LIMIT
        )
        self.assertIsInstance(decision, Reject)
        self.assertIs(decision.cause, RejectionCause.ROUND_TRIP_TOO_LONG)
