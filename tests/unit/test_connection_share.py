"""A proxy's share of a member's connections: it shrinks at once and grows with a delay."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rowanrail.sql_proxy.connection_share import (
    GROW_DELAY_SECONDS,
    SHARE_SETTLE_SECONDS,
    STARTING_CONNECTIONS,
    ConnectionShare,
)


class TestConnectionShare(unittest.TestCase):
    def settled(self, proxies):
        share = ConnectionShare()
        share.observe(proxies, 0.0)
        return share

    def test_starts_small_until_the_count_has_settled(self):
        share = ConnectionShare()
        self.assertEqual(share.connections(40, 0.0), STARTING_CONNECTIONS)
        share.observe(3, 1.0)
        self.assertEqual(share.connections(40, 1.0), STARTING_CONNECTIONS)
        self.assertEqual(share.connections(40, 1.0 + SHARE_SETTLE_SECONDS), 10)

    def test_shrinks_at_once_and_grows_late(self):
        share = self.settled(3)
        share.observe(7, 20.0)
        self.assertEqual(share.connections(40, 20.0), 5)
        share.observe(3, 21.0)
        share.observe(4, 30.0)
        share.observe(3, 21.0 + GROW_DELAY_SECONDS)
        self.assertEqual(share.connections(40, 60.0), 5)
        share.observe(3, 30.0 + GROW_DELAY_SECONDS)
        self.assertEqual(share.connections(40, 60.0), 8)

    def test_unknown_numbers_change_nothing(self):
        share = self.settled(3)
        share.observe(0, 100.0)
        self.assertEqual(share.connections(40, 200.0), 10)

    @settings(derandomize=True, database=None)
    @given(st.integers(1, 12), st.integers(5, 100))
    def test_shares_and_one_starting_proxy_fit(self, proxies, limit):
        total = proxies * self.settled(proxies).connections(limit, 100.0)
        if limit // (proxies + 1) >= STARTING_CONNECTIONS:
            self.assertLessEqual(total + STARTING_CONNECTIONS, limit)
