"""Retry times of clients that are rejected at the same time, and their priority when they retry.

The queue of a member with 4 slots and statements of 9 ms advances by one every 2.25 ms.
"""

import unittest

from rowanrail.kernel.clock import Clock
from rowanrail.scheduling.retrying import (
    LONGEST_RETRY_AFTER_MS,
    REMEMBERED_MS,
    SHORTEST_RETRY_AFTER_MS,
    RetryingClients,
    RetryTimes,
    client_label,
    retry_after_base,
)
from tests.support.gateway import ManualClock

INTERVAL = 2.25  # ms
WINDOW_MS = 100.0


def max_per_window(times: list[float]) -> int:
    """Return the maximum number of times in any 100 ms."""
    return max(sum(at <= other < at + WINDOW_MS for other in times) for at in times)


class RetryTimesTest(unittest.TestCase):
    def setUp(self):
        self.manual = ManualClock()
        self.times = RetryTimes(Clock(self.manual))

    def test_clients_rejected_together_retry_at_the_drain_rate(self):
        delays = [self.times.next_delay(200.0, INTERVAL) for _ in range(500)]
        self.assertLessEqual(max_per_window(delays), 1.2 * WINDOW_MS / INTERVAL)
        self.assertGreaterEqual(min(delays), 200.0)

    def test_retries_beyond_the_available_times_are_spread_evenly(self):
        delays = [self.times.next_delay(200.0, INTERVAL) for _ in range(20_000)]
        self.assertLessEqual(max(delays), LONGEST_RETRY_AFTER_MS)
        beyond = delays[2000:]
        share = len(beyond) * WINDOW_MS / (LONGEST_RETRY_AFTER_MS - 200.0)
        self.assertLessEqual(max_per_window(beyond[:2000]), 1.2 * share / 9)

    def test_delays_are_short_again_when_all_times_have_passed(self):
        for _ in range(500):
            self.times.next_delay(100.0, INTERVAL)
        self.manual.advance(2.0)
        self.assertLess(self.times.next_delay(100.0, INTERVAL), 120.0)

    def test_retry_times_of_other_queues_do_not_matter(self):
        for _ in range(500):
            self.times.next_delay(1500.0, INTERVAL, "less urgent")
        self.assertLess(self.times.next_delay(100.0, INTERVAL, "urgent"), 120.0)

    def test_queues_whose_times_have_passed_are_dropped(self):
        for number in range(1000):
            self.times.next_delay(100.0, INTERVAL, number)
            self.manual.advance(0.01)
        self.assertLess(len(self.times._next_at), 100)

    def test_the_delay_for_any_queue_is_bounded(self):
        self.assertEqual(retry_after_base(60_000.0, 800.0), LONGEST_RETRY_AFTER_MS)
        for _ in range(100):
            delay = self.times.next_delay(LONGEST_RETRY_AFTER_MS, INTERVAL)
            self.assertLessEqual(SHORTEST_RETRY_AFTER_MS, delay)
            self.assertLessEqual(delay, LONGEST_RETRY_AFTER_MS)


class RetryingClientsTest(unittest.TestCase):
    def setUp(self):
        self.manual = ManualClock()
        self.retrying_clients = RetryingClients(Clock(self.manual), capacity=10)
        self.label = client_label("anna", "orders", b"digest", "s1")

    def test_a_client_that_retries_at_its_time_is_recognized_once(self):
        self.retrying_clients.note(self.label, 300.0)
        self.manual.advance(0.3)
        self.assertEqual(self.retrying_clients.claim(self.label), 1)
        self.assertEqual(self.retrying_clients.claim(self.label), 0)

    def test_the_number_of_consecutive_rejections_is_remembered(self):
        self.retrying_clients.note(self.label, 0.0, times=2)
        self.assertEqual(self.retrying_clients.claim(self.label), 2)

    def test_a_client_with_a_key_is_recognized_on_another_session(self):
        self.retrying_clients.note(self.label, 300.0)
        self.manual.advance(0.5)
        self.assertTrue(
            self.retrying_clients.claim(client_label("anna", "orders", b"digest", "s2"))
        )

    def test_another_tenant_database_or_session_without_a_key_is_not_recognized(self):
        self.retrying_clients.note(client_label("anna", "orders", b"", "s1"), 0.0)
        for label in (
            client_label("bob", "orders", b"", "s1"),
            client_label("anna", "carts", b"", "s1"),
            client_label("anna", "orders", b"", "s2"),
        ):
            self.assertFalse(self.retrying_clients.claim(label))

    def test_an_early_retry_is_not_recognized_but_a_later_one_is(self):
        self.retrying_clients.note(self.label, 300.0)
        self.manual.advance(0.1)
        self.assertFalse(self.retrying_clients.claim(self.label))
        self.manual.advance(0.2)
        self.assertTrue(self.retrying_clients.claim(self.label))

    def test_a_late_retry_is_not_recognized(self):
        self.retrying_clients.note(self.label, 300.0)
        self.manual.advance((300.0 + REMEMBERED_MS + 1) / 1000)
        self.assertFalse(self.retrying_clients.claim(self.label))
        self.assertEqual(len(self.retrying_clients), 0)

    def test_memory_is_bounded_by_evicting_the_oldest(self):
        labels = [client_label("anna", "orders", b"", f"s{number}") for number in range(20)]
        for label in labels:
            self.retrying_clients.note(label, 0.0)
        self.assertEqual(len(self.retrying_clients), 10)
        self.assertFalse(self.retrying_clients.claim(labels[0]))
        self.assertTrue(self.retrying_clients.claim(labels[-1]))

    def test_memory_for_a_single_label_is_bounded(self):
        for _ in range(50):
            self.retrying_clients.note(self.label, 0.0)
        self.assertLessEqual(len(self.retrying_clients), 10)

    def test_unclaimed_labels_are_evicted(self):
        for number in range(5):
            self.retrying_clients.note(client_label("", "orders", b"", f"s{number}"), 0.0)
        self.manual.advance(REMEMBERED_MS / 1000 + 0.1)
        self.retrying_clients.note(self.label, 0.0)
        self.assertEqual(len(self.retrying_clients), 1)
