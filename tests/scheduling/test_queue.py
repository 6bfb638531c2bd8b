"""Order in which statements that wait at one member run."""

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

    def add_many(self, number, name, *entry, **fields):
        for _ in range(number):
            self.add(name, *entry, **fields)

    def run_next(self, supply=ALL):
        pick = self.queue.next(supply)
        if pick is None:
            return None
        if not pick.needs_opening:
            self.queue.start(pick.item)
        return ("open " if pick.needs_opening else "") + pick.item.name

    def run_many(self, number, supply=ALL):
        return [self.run_next(supply) for _ in range(number)]


class OrderTest(QueueTest):
    def test_samples_then_urgency_then_deadline(self):
        self.add("late", 1, deadline=900.0)
        self.add("soon", 1, deadline=700.0)
        self.add("urgent", 0, deadline=5000.0)
        self.add("sample", -1, None)
        self.assertEqual(self.run_many(5), ["sample", "urgent", "soon", "late", None])

    def test_a_sample_uses_any_connection(self):
        self.add("sample", -1, None)
        self.assertEqual(self.run_next(ConnectionSupply({"b"})), "sample")

    def test_only_samples_run_without_room(self):
        self.add("urgent", 0)
        self.assertIsNone(self.queue.next(ALL, only_samples=True))
        self.add("sample", -1, None)
        self.assertEqual(self.queue.next(ALL, only_samples=True).item.name, "sample")

    def test_a_retrying_client_goes_before_new_arrivals(self):
        self.add("new", 1, "a", deadline=500.0)
        self.add("retrying", 1, "b", deadline=900.0, is_retrying=True)
        self.assertEqual(self.run_many(2), ["retrying", "new"])

    def test_a_retrying_client_stays_within_the_share_of_its_tenant(self):
        self.add_many(4, "retrying", 1, "large", is_retrying=True)
        self.add_many(2, "new", 1, "small")
        self.assertEqual(self.run_many(4).count("new"), 2)

    def test_a_removed_statement_does_not_run(self):
        self.add("a", 1)
        self.add("b", 1)
        first = next(iter(self.queue))
        self.assertTrue(self.queue.remove(first))
        self.assertFalse(self.queue.remove(first))
        self.assertEqual(self.run_many(2), ["b", None])
        self.assertEqual(len(self.queue), 0)


class TenantBurstTest(QueueTest):
    """A burst of one tenant fills the queue."""

    def test_a_small_tenant_waits_for_one_statement_of_the_other(self):
        self.add_many(60, "large", 1, "large")
        self.run_many(10)
        self.add("small", 1, "small")
        self.assertIn("small", self.run_many(2))

    def test_tenants_share_by_weight(self):
        self.add_many(60, "large", 1, "large", weight=tenant_weight(0))
        self.add_many(60, "small", 1, "small", weight=tenant_weight(1))
        runs = Counter(self.run_many(30))
        self.assertEqual(runs, {"large": 20, "small": 10})

    def test_an_idle_tenant_accumulates_no_credit(self):
        self.add_many(40, "large", 1, "large")
        self.run_many(20)
        self.add_many(20, "small", 1, "small")
        self.assertEqual(Counter(self.run_many(10)), {"large": 5, "small": 5})


class ClassBurstTest(QueueTest):
    """Urgent statements arrive without end."""

    def test_each_less_urgent_class_gets_one_start_in_ten(self):
        self.add_many(300, "urgent", 0)
        self.add_many(50, "middle", 1)
        self.add_many(50, "low", 2)
        runs = Counter(self.run_many(100))
        self.assertAlmostEqual(runs["middle"], 100 / (MAX_TIMES_PASSED_OVER + 1), delta=2)
        self.assertAlmostEqual(runs["low"], 100 / (MAX_TIMES_PASSED_OVER + 1), delta=2)

    def test_an_empty_class_accumulates_no_credit(self):
        self.add_many(100, "urgent", 0)
        self.run_many(50)
        self.add("low", 2)
        self.assertNotIn("low", self.run_many(MAX_TIMES_PASSED_OVER))
        self.assertEqual(self.run_next(), "low")


class OpeningTest(QueueTest):
    """More tenants than connections, so that an opening is needed to serve another tenant."""

    def setUp(self):
        super().setUp()
        self.supply = ConnectionSupply({"large"}, may_open=lambda tenant, since: True)

    def test_statements_without_an_opening_go_first_up_to_a_bound(self):
        self.add("small", 1, "small", deadline=100.0)
        self.add_many(60, "large", 1, "large")
        self.run_next(self.supply)
        runs = self.run_many(REUSES_PER_OPENING, self.supply)
        self.assertEqual(runs[-1], "open small")
        self.assertEqual(set(runs[:-1]), {"large"})

    def test_less_urgent_work_delays_an_urgent_opening_less(self):
        self.add_many(60, "large", 2, "large")
        self.run_next(self.supply)
        self.add("urgent", 0, "small")
        runs = self.run_many(URGENT_REUSES_PER_OPENING, self.supply)
        self.assertEqual(runs[-1], "open urgent")

    def test_an_opening_is_not_delayed_without_idle_connections(self):
        self.add("small", 1, "small")
        self.assertEqual(self.run_next(ConnectionSupply(set(), self.supply.may_open)), "open small")

    def test_an_opening_is_delayed_longer_for_a_tenant_with_connections_in_use(self):
        supply = ConnectionSupply({"large"}, self.supply.may_open, has_in_use=lambda tenant: True)
        self.add("small", 1, "small")
        self.add_many(100, "large", 1, "large")
        self.run_next(supply)
        runs = self.run_many(IN_USE_FACTOR * REUSES_PER_OPENING, supply)
        self.assertEqual(runs[-1], "open small")
        self.assertEqual(set(runs[:-1]), {"large"})


class PastDeadlineTest(QueueTest):
    def test_statements_past_their_deadline_are_returned(self):
        self.add("late", 1, deadline=200.0)
        self.add("good", 1, deadline=800.0)
        late = self.queue.past_deadline(now=180.0, run_time=30.0)
        self.assertEqual([statement.name for statement in late], ["late"])

    def test_a_new_arrival_is_never_past_its_deadline(self):
        # Otherwise a slow member would get no statements, and its recovery would go unnoticed.
        self.assertFalse(is_past_deadline(QueueEntry(1, "", 0.0, 800.0), now=0.0, run_time=5000.0))


class AheadTest(QueueTest):
    """The estimated number of statements ahead agrees with the order in which they run."""

    def runs_before(self, urgency, tenant, **fields):
        estimate = self.queue.ahead_of(QueueEntry(urgency, tenant, 0.0, 800.0, **fields))
        self.add("it", urgency, tenant, **fields)
        before = 0
        while self.run_next() != "it":
            before += 1
        return estimate, before

    def test_a_burst_of_the_same_tenant_counts_entirely(self):
        self.add_many(30, "large", 1, "large")
        self.assertEqual(self.runs_before(1, "large"), (30.0, 30))

    def test_a_burst_of_another_tenant_counts_little(self):
        self.add_many(30, "large", 1, "large")
        estimate, before = self.runs_before(1, "small")
        self.assertLessEqual(abs(estimate - before), 1)
        self.assertLess(estimate, 3)

    def test_more_urgent_statements_and_starts_of_less_urgent_ones_count(self):
        self.add_many(20, "urgent", 0)
        self.add_many(20, "low", 2)
        estimate, before = self.runs_before(1, "")
        self.assertLessEqual(abs(estimate - before), 1)

    def test_more_urgent_statements_that_arrive_later_count(self):
        self.add_many(5, "urgent", 0)
        self.add_many(15, "low", 2)
        for _ in range(60):
            self.add("urgent", 0)
            self.run_next()
        estimate = self.queue.ahead_of(QueueEntry(2, "", 0.0, 800.0))
        self.assertGreater(estimate, 2 * len(self.queue))
        self.add("it", 2)
        before = 0
        while self.run_next() != "it":
            self.add("urgent", 0)
            before += 1
        self.assertAlmostEqual(estimate, before, delta=2 * MAX_TIMES_PASSED_OVER)
