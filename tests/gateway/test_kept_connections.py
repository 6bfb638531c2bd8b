"""A pool without demand must leave connections free at the member for restarted gateways.

Members count the connections of crashed gateways for 3 s more, so full pools would block a restart.
"""

import unittest

from rowanrail.gateway.pools.idle_rules import (
    RETAINED_SHARE,
    SURPLUS_IDLE_TIMEOUT_MS,
    TENANT_IDLE_TIMEOUT_MS,
)
from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.kernel.clock import Clock
from rowanrail.scheduling.queue import QueueEntry
from tests.scheduling.member import SlottedMember
from tests.support.gateway import ManualClock

LIMIT = 14
TENANTS = [f"t{number}" for number in range(LIMIT)]
RETAINED = round(RETAINED_SHARE * LIMIT)


class KeptConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.member = SlottedMember(self.clock)
        self.pool = MemberPool(self.member.record(), LIMIT, self.member, Clock(self.clock))

    def use(self, tenant):
        """Run a statement of a tenant that takes 10 ms."""

        def respond(channel, answer):
            self.clock.call_later(0.01, self.pool.release, channel)

        self.pool.acquire(Waiter(QueueEntry(0, tenant, self.clock.now * 1000), {}, respond))

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.pool.trim()

    def test_a_burst_of_many_tenants_may_use_the_whole_limit(self):
        for tenant in TENANTS:
            self.use(tenant)
            self.pass_time(0.1)
        self.assertEqual(self.pool.connections.count, LIMIT)

    def test_half_of_the_connections_are_kept_after_a_burst(self):
        self.test_a_burst_of_many_tenants_may_use_the_whole_limit()
        self.pass_time(SURPLUS_IDLE_TIMEOUT_MS / 1000 + 0.1)
        self.assertEqual(self.pool.connections.count, RETAINED)
        self.pass_time(TENANT_IDLE_TIMEOUT_MS / 2000)
        self.assertEqual(self.pool.connections.count, RETAINED)

    def test_the_most_recently_used_connections_are_kept(self):
        self.test_half_of_the_connections_are_kept_after_a_burst()
        opened = self.member.opened
        for tenant in TENANTS[-RETAINED:]:
            self.use(tenant)
            self.pass_time(0.1)
        self.assertEqual(self.member.opened, opened)

    def test_connections_within_the_retained_share_are_all_kept(self):
        for tenant in TENANTS[:RETAINED]:
            self.use(tenant)
            self.pass_time(0.1)
        self.pass_time(TENANT_IDLE_TIMEOUT_MS / 2000)
        self.assertEqual(self.pool.connections.count, RETAINED)
