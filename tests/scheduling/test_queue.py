"""Who runs next of those who wait at one member."""

import unittest
from collections import Counter

from rowanrail.scheduling.queue import (
    IN_USE_FACTOR,
    MAX_TIMES_PASSED_OVER,
    REUSES_PER_OPENING,
    URGENT_REUSES_PER_OPENING,
    ConnectionSupply,
    QueueEntry,
    WorkQueue,
    is_past_deadline,
    tenant_weight,
)

ALL = ConnectionSupply({"", "a", "b", "c", "large", "small"})


class Statement:
    def __init__(self, name: str, entry: QueueEntry) -> None:
        self.name, self.entry = name, entry


class QueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = WorkQueue()

    def add(self, name, urgency, tenant="", deadline=800.0, **fields):
        self.queue.add(Statement(name, QueueEntry(urgency, tenant, 0.0, deadline, **fields)), 0.0)

    def add_each(self, number, name, *entry, **fields):
        for _ in range(number):
            self.add(name, *entry, **fields)

    def run_next(self, supply=ALL):
        pick = self.queue.next(supply)
        if pick is None:
            return None
        if not pick.needs_opening:
            self.queue.start(pick.item)
        return ("open " if pick.needs_opening else "") + pick.item.name

    def run_each(self, number, supply=ALL):
        return [self.run_next(supply) for _ in range(number)]


class OrderTest(QueueTest):
    def test_samples_then_urgency_then_deadline(self):
        self.add("late", 1, deadline=900.0)
        self.add("soon", 1, deadline=700.0)
        self.add("urgent", 0, deadline=5000.0)
        self.add("sample", -1, None)
        self.assertEqual(self.run_each(5), ["sample", "urgent", "soon", "late", None])

    def test_a_sample_takes_anybodys_connection(self):
        self.add("sample", -1, None)
        self.assertEqual(self.run_next(ConnectionSupply({"b"})), "sample")

    def test_without_room_only_samples_run(self):
        self.add("urgent", 0)
        self.assertIsNone(self.queue.next(ALL, only_samples=True))
        self.add("sample", -1, None)
        self.assertEqual(self.queue.next(ALL, only_samples=True).item.name, "sample")

    def test_a_client_that_retries_when_told_to_goes_before_new_arrivals(self):
        self.add("new", 1, "a", deadline=500.0)
        self.add("retrying", 1, "b", deadline=900.0, is_retrying=True)
        self.assertEqual(self.run_each(2), ["retrying", "new"])

    def test_who_retries_takes_no_more_than_the_share_of_its_tenant(self):
        self.add_each(4, "retrying", 1, "large", is_retrying=True)
        self.add_each(2, "new", 1, "small")
        self.assertEqual(self.run_each(4).count("new"), 2)

    def test_who_left_runs_no_more(self):
        self.add("a", 1)
        self.add("b", 1)
        first = next(iter(self.queue))
        self.assertTrue(self.queue.remove(first))
        self.assertFalse(self.queue.remove(first))
        self.assertEqual(self.run_each(2), ["b", None])
        self.assertEqual(len(self.queue), 0)


class BurstOfATenantTest(QueueTest):
    """Pattern: one tenant sends six times its usual, and all of it stands in the queue."""

    def test_a_small_tenant_waits_for_one_turn_of_the_others(self):
        self.add_each(60, "large", 1, "large")
        self.run_each(10)
        self.add("small", 1, "small")
        self.assertIn("small", self.run_each(2))

    def test_tenants_share_by_their_weights(self):
        self.add_each(60, "large", 1, "large", weight=tenant_weight(0))
        self.add_each(60, "small", 1, "small", weight=tenant_weight(1))
        runs = Counter(self.run_each(30))
        self.assertEqual(runs, {"large": 20, "small": 10})

    def test_nobody_saves_up_while_it_sends_nothing(self):
        self.add_each(40, "large", 1, "large")
        self.run_each(20)
        self.add_each(20, "small", 1, "small")
        self.assertEqual(Counter(self.run_each(10)), {"large": 5, "small": 5})


class BurstOfAClassTest(QueueTest):
    """Pattern: urgent statements come without end."""

    def test_each_less_urgent_class_keeps_one_start_in_ten(self):
        self.add_each(300, "urgent", 0)
        self.add_each(50, "middle", 1)
        self.add_each(50, "low", 2)
        runs = Counter(self.run_each(100))
        self.assertAlmostEqual(runs["middle"], 100 / (MAX_TIMES_PASSED_OVER + 1), delta=2)
        self.assertAlmostEqual(runs["low"], 100 / (MAX_TIMES_PASSED_OVER + 1), delta=2)

    def test_no_turn_is_saved_up_while_a_class_is_empty(self):
        self.add_each(100, "urgent", 0)
        self.run_each(50)
        self.add("low", 2)
        self.assertNotIn("low", self.run_each(MAX_TIMES_PASSED_OVER))
        self.assertEqual(self.run_next(), "low")


class OpeningTest(QueueTest):
    """Pattern: more tenants than connections; each switch takes a slot for 12 ms."""

    def setUp(self):
        super().setUp()
        self.supply = ConnectionSupply({"large"}, may_open=lambda tenant, since: True)

    def test_work_that_needs_no_opening_goes_first_up_to_a_bound(self):
        self.add("small", 1, "small", deadline=100.0)
        self.add_each(60, "large", 1, "large")
        self.run_next(self.supply)
        runs = self.run_each(REUSES_PER_OPENING, self.supply)
        self.assertEqual(runs[-1], "open small")
        self.assertEqual(set(runs[:-1]), {"large"})

    def test_an_urgent_one_is_put_off_by_less_urgent_work_for_less(self):
        self.add_each(60, "large", 2, "large")
        self.run_next(self.supply)
        self.add("urgent", 0, "small")
        runs = self.run_each(URGENT_REUSES_PER_OPENING, self.supply)
        self.assertEqual(runs[-1], "open urgent")

    def test_nobody_is_put_off_where_no_connection_is_idle(self):
        self.add("small", 1, "small")
        self.assertEqual(self.run_next(ConnectionSupply(set(), self.supply.may_open)), "open small")

    def test_a_tenant_whose_connections_come_back_is_put_off_for_longer(self):
        supply = ConnectionSupply({"large"}, self.supply.may_open, has_in_use=lambda tenant: True)
        self.add("small", 1, "small")
        self.add_each(100, "large", 1, "large")
        self.run_next(supply)
        runs = self.run_each(IN_USE_FACTOR * REUSES_PER_OPENING, supply)
        self.assertEqual(runs[-1], "open small")
        self.assertEqual(set(runs[:-1]), {"large"})


class PastDeadlineTest(QueueTest):
    def test_those_whose_answer_would_be_late_are_listed(self):
        self.add("late", 1, deadline=200.0)
        self.add("good", 1, deadline=800.0)
        late = self.queue.past_deadline(now=180.0, run_time=30.0)
        self.assertEqual([statement.name for statement in late], ["late"])

    def test_a_slow_member_does_not_make_a_new_arrival_too_late(self):
        # Else nothing were sent there any more, and nobody learned that it is fast again.
        self.assertFalse(is_past_deadline(QueueEntry(1, "", 0.0, 800.0), now=0.0, run_time=5000.0))


class AheadTest(QueueTest):
    """What a new arrival is told must be the order in which the queue runs."""

    def runs_before(self, urgency, tenant, **fields):
        told = self.queue.ahead_of(QueueEntry(urgency, tenant, 0.0, 800.0, **fields))
        self.add("it", urgency, tenant, **fields)
        before = 0
        while self.run_next() != "it":
            before += 1
        return told, before

    def test_all_of_a_tenants_own_burst(self):
        self.add_each(30, "large", 1, "large")
        self.assertEqual(self.runs_before(1, "large"), (30.0, 30))

    def test_little_of_another_tenants_burst(self):
        self.add_each(30, "large", 1, "large")
        told, before = self.runs_before(1, "small")
        self.assertLessEqual(abs(told - before), 1)
        self.assertLess(told, 3)

    def test_all_that_are_more_urgent_and_the_turns_of_the_others(self):
        self.add_each(20, "urgent", 0)
        self.add_each(20, "low", 2)
        told, before = self.runs_before(1, "")
        self.assertLessEqual(abs(told - before), 1)

    def test_more_urgent_ones_that_come_meanwhile(self):
        self.add_each(5, "urgent", 0)
        self.add_each(15, "low", 2)
        for _ in range(60):
            self.add("urgent", 0)
            self.run_next()
        told = self.queue.ahead_of(QueueEntry(2, "", 0.0, 800.0))
        self.assertGreater(told, 2 * len(self.queue))
        self.add("it", 2)
        before = 0
        while self.run_next() != "it":
            self.add("urgent", 0)
            before += 1
        self.assertAlmostEqual(told, before, delta=2 * MAX_TIMES_PASSED_OVER)
