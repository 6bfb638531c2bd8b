"""Coming back: many who are refused at one moment return spread, and before newcomers.

Grounds for the figures: clients come back when they are told; a member of 4 slots that runs
statements of 9 ms goes on by one each 2.25 ms, and can take no more of them than that.
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

INTERVAL = 2.25
TENTH_MS = 100.0


def most_in_a_tenth(moments: list[float]) -> int:
    """Return how many of some moments fall into the fullest tenth of a second."""
    return max(sum(at <= other < at + TENTH_MS for other in moments) for at in moments)


class RetryTimesTest(unittest.TestCase):
    def setUp(self):
        self.manual = ManualClock()
        self.times = RetryTimes(Clock(self.manual))

    def test_many_refused_at_one_moment_return_as_the_line_goes_on(self):
        told = [self.times.next_delay(200.0, INTERVAL) for _ in range(500)]
        self.assertLessEqual(most_in_a_tenth(told), 1.2 * TENTH_MS / INTERVAL)
        self.assertGreaterEqual(min(told), 200.0)

    def test_more_than_there_are_places_fill_the_time_evenly(self):
        told = [self.times.next_delay(200.0, INTERVAL) for _ in range(20_000)]
        self.assertLessEqual(max(told), LONGEST_RETRY_AFTER_MS)
        beyond = told[2000:]
        share = len(beyond) * TENTH_MS / (LONGEST_RETRY_AFTER_MS - 200.0)
        self.assertLessEqual(most_in_a_tenth(beyond[:2000]), 1.2 * share / 9)

    def test_after_the_places_are_over_the_next_one_returns_soon_again(self):
        for _ in range(500):
            self.times.next_delay(100.0, INTERVAL)
        self.manual.advance(2.0)
        self.assertLess(self.times.next_delay(100.0, INTERVAL), 120.0)

    def test_urgent_ones_do_not_stand_behind_the_places_of_others(self):
        for _ in range(500):
            self.times.next_delay(1500.0, INTERVAL, "less urgent")
        self.assertLess(self.times.next_delay(100.0, INTERVAL, "urgent"), 120.0)

    def test_lines_whose_places_have_passed_are_forgotten(self):
        for number in range(1000):
            self.times.next_delay(100.0, INTERVAL, number)
            self.manual.advance(0.01)
        self.assertLess(len(self.times._next_at), 100)

    def test_an_endless_backlog_is_told_a_time_within_the_clients_patience(self):
        self.assertEqual(retry_after_base(60_000.0, 800.0), LONGEST_RETRY_AFTER_MS)
        for _ in range(100):
            told = self.times.next_delay(LONGEST_RETRY_AFTER_MS, INTERVAL)
            self.assertLessEqual(SHORTEST_RETRY_AFTER_MS, told)
            self.assertLessEqual(told, LONGEST_RETRY_AFTER_MS)


class RetryingClientsTest(unittest.TestCase):
    def setUp(self):
        self.manual = ManualClock()
        self.retrying_clients = RetryingClients(Clock(self.manual), capacity=10)
        self.label = client_label("anna", "orders", b"digest", "s1")

    def test_a_client_that_comes_back_in_its_time_is_known_once(self):
        self.retrying_clients.note(self.label, 300.0)
        self.manual.advance(0.3)
        self.assertEqual(self.retrying_clients.claim(self.label), 1)
        self.assertEqual(self.retrying_clients.claim(self.label), 0)

    def test_it_is_known_how_many_times_running_it_was_turned_away(self):
        self.retrying_clients.note(self.label, 0.0, times=2)
        self.assertEqual(self.retrying_clients.claim(self.label), 2)

    def test_on_another_session_of_the_same_key_it_is_known(self):
        self.retrying_clients.note(self.label, 300.0)
        self.manual.advance(0.5)
        self.assertTrue(
            self.retrying_clients.claim(client_label("anna", "orders", b"digest", "s2"))
        )

    def test_another_tenant_database_or_session_without_a_key_is_not(self):
        self.retrying_clients.note(client_label("anna", "orders", b"", "s1"), 0.0)
        for label in (
            client_label("bob", "orders", b"", "s1"),
            client_label("anna", "carts", b"", "s1"),
            client_label("anna", "orders", b"", "s2"),
        ):
            self.assertFalse(self.retrying_clients.claim(label))

    def test_who_comes_too_early_gains_nothing_and_loses_nothing(self):
        self.retrying_clients.note(self.label, 300.0)
        self.manual.advance(0.1)
        self.assertFalse(self.retrying_clients.claim(self.label))
        self.manual.advance(0.2)
        self.assertTrue(self.retrying_clients.claim(self.label))

    def test_who_comes_much_later_is_a_newcomer(self):
        self.retrying_clients.note(self.label, 300.0)
        self.manual.advance((300.0 + REMEMBERED_MS + 1) / 1000)
        self.assertFalse(self.retrying_clients.claim(self.label))
        self.assertEqual(len(self.retrying_clients), 0)

    def test_memory_is_bounded_and_forgets_the_oldest(self):
        labels = [client_label("anna", "orders", b"", f"s{number}") for number in range(20)]
        for label in labels:
            self.retrying_clients.note(label, 0.0)
        self.assertEqual(len(self.retrying_clients), 10)
        self.assertFalse(self.retrying_clients.claim(labels[0]))
        self.assertTrue(self.retrying_clients.claim(labels[-1]))

    def test_a_label_of_many_clients_is_bounded_as_well(self):
        for _ in range(50):
            self.retrying_clients.note(self.label, 0.0)
        self.assertLessEqual(len(self.retrying_clients), 10)

    def test_labels_that_nobody_claims_are_forgotten_in_time(self):
        for number in range(5):
            self.retrying_clients.note(client_label("", "orders", b"", f"s{number}"), 0.0)
        self.manual.advance(REMEMBERED_MS / 1000 + 0.1)
        self.retrying_clients.note(self.label, 0.0)
        self.assertEqual(len(self.retrying_clients), 1)
