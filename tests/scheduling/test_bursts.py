"""Admission and retries under bursts of all clients or of one tenant.

A member of 4 slots, 9 ms per statement, is shared by three holders. The demand exceeds its capacity
for some seconds, but could be served within the three attempts of 800 ms that clients make in 10 s.
"""

import unittest

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.kernel.clock import Clock
from tests.scheduling.clients import Burst, ClientGroup, Holder, simulate
from tests.scheduling.member import SlottedMember
from tests.support.gateway import ManualClock

CAPACITY = 4 / 0.009  # statements per second
TENANTS = 9


def holders() -> list[Holder]:
    clock = ManualClock()
    member = SlottedMember(clock)
    pools = [MemberPool(member.record(), 17, member, Clock(clock), holders=3) for _ in range(3)]
    return [Holder(pool, clock) for pool in pools]


def client_groups(urgency: int, load: float, service_time: float) -> list[ClientGroup]:
    """Return a class with a load as a share of the member's capacity, spread over tenants."""
    rate = load * CAPACITY * 0.009 / service_time / TENANTS
    return [ClientGroup(urgency, f"t{number}", rate, service_time) for number in range(TENANTS)]


def refused(groups: list[ClientGroup]) -> int:
    return sum(group.refused.total() for group in groups)


def done_share(groups: list[ClientGroup]) -> float:
    operations = sum(group.operations for group in groups)
    return sum(len(group.done) for group in groups) / operations


class EverybodysBurstTest(unittest.TestCase):
    """All classes at 2.5 times their usual rate for 8 s, 1.6 times the capacity."""

    @classmethod
    def setUpClass(cls):
        cls.urgent = client_groups(0, 0.08, 0.003)
        cls.middle = client_groups(1, 0.2, 0.015)
        cls.least = client_groups(2, 0.35, 0.009)
        cls.all = cls.urgent + cls.middle + cls.least
        burst = Burst(4.0, 12.0, 2.5)
        simulate(holders(), [(group, burst) for group in cls.all], 20.0)

    def test_hardly_any_statement_expires_in_the_queue(self):
        # The target is ten in 20,000 statements.
        expired = sum(group.refused["expired"] for group in self.all)
        self.assertLessEqual(expired, 1)

    def test_no_outcome_is_unknown(self):
        self.assertEqual(sum(group.in_doubt for group in self.all), 0)

    def test_more_urgent_statements_are_hardly_rejected(self):
        self.assertEqual(refused(self.urgent), 0)
        self.assertLessEqual(refused(self.middle), 0.01 * sum(c.operations for c in self.middle))

    def test_the_least_urgent_are_served_within_their_attempts(self):
        self.assertGreater(done_share(self.least), 0.9)

    def test_many_rejections_happen_on_arrival(self):
        arriving = sum(group.refused["arriving"] for group in self.least)
        self.assertGreater(arriving, 0.25 * refused(self.least))

    def test_retries_are_spread(self):
        times = sorted(time for group in self.least for time in group.retry_at)
        most = max(sum(at <= other < at + 0.1 for other in times) for at in times[::20])
        # Each of three holders spreads them over its own drain rate, at most the whole capacity.
        self.assertLess(most, 2.5 * 0.1 * CAPACITY)


class CalmTest(unittest.TestCase):
    """The usual load, two thirds of the capacity."""

    def test_nothing_is_rejected(self):
        groups = (
            client_groups(0, 0.08, 0.003)
            + client_groups(1, 0.2, 0.015)
            + client_groups(2, 0.35, 0.009)
        )
        simulate(holders(), [(group, None) for group in groups], 10.0)
        self.assertEqual(refused(groups), 0)
        self.assertEqual(done_share(groups), 1.0)


class TenantsBurstTest(unittest.TestCase):
    """One tenant sends 25 times its usual rate, twice the capacity."""

    @classmethod
    def setUpClass(cls):
        cls.groups = client_groups(1, 0.6, 0.009)
        cls.bursting, *cls.others = cls.groups
        burst = Burst(2.0, 8.0, 25.0)
        bursts = [(cls.bursting, burst), *((group, None) for group in cls.others)]
        simulate(holders(), bursts, 12.0)

    def test_the_other_tenants_are_served(self):
        self.assertGreater(done_share(self.others), 0.999)
        self.assertLess(refused(self.others), 0.02 * sum(c.operations for c in self.others))

    def test_the_bursting_tenant_is_rejected_on_arrival(self):
        counts = self.bursting.refused
        self.assertGreater(counts["arriving"], counts["waiting"] + counts["expired"])
        self.assertLessEqual(counts["expired"], 1)
