"""Choice of the gateways to ask for a sample of a primary, and of the detour."""

import unittest

from rowanrail.gateway.relay.detour_rules import (
    OWN_ZONE_QUERIES,
    QUERY_INTERVAL_MS,
    REACHABLE_TTL_MS,
    ReachabilityCache,
    gateways_to_query,
)


class AskTest(unittest.TestCase):
    def test_one_gateway_of_each_other_zone_is_asked(self):
        asked = gateways_to_query("db", [["b2", "b1"], ["c1"], []], ["a1"], with_own_zone=False)
        self.assertEqual(asked, ["b2", "c1"])

    def test_a_large_zone_asks_few_of_its_own(self):
        own = [f"a{number}" for number in range(40)]
        asked = gateways_to_query("db", [["b1"]], own, with_own_zone=True)
        self.assertEqual(len(asked), 1 + OWN_ZONE_QUERIES)

    def test_a_service_is_asked_about_at_intervals_and_each_by_itself(self):
        book = ReachabilityCache()
        self.assertTrue(book.try_begin_query("db", 0.0))
        self.assertFalse(book.try_begin_query("db", QUERY_INTERVAL_MS - 1))
        self.assertTrue(book.try_begin_query("carts", QUERY_INTERVAL_MS - 1))
        self.assertTrue(book.try_begin_query("db", QUERY_INTERVAL_MS))


class ReachedTest(unittest.TestCase):
    def setUp(self):
        self.book = ReachabilityCache()
        self.assertTrue(self.book.note_reachable("db", "b1", 0.0))

    def test_the_first_one_that_answers_stays_the_detour(self):
        self.assertFalse(self.book.note_reachable("db", "c1", 10.0))
        self.assertFalse(self.book.note_reachable("db", "b1", 500.0))
        self.assertEqual(self.book.gateway("db", 500.0 + REACHABLE_TTL_MS), "b1")

    def test_an_old_answer_counts_no_more(self):
        self.assertIsNone(self.book.gateway("db", REACHABLE_TTL_MS + 1))
        self.assertTrue(self.book.note_reachable("db", "c1", REACHABLE_TTL_MS + 1))

    def test_only_the_detour_itself_ends_it(self):
        self.book.note_unreachable("db", "c1")
        self.assertEqual(self.book.gateway("db", 1.0), "b1")
        self.book.note_unreachable("db", "b1")
        self.assertIsNone(self.book.gateway("db", 1.0))
