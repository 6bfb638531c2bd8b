"""Admission and returning with clients who come back: all send more, or one tenant alone does.

Grounds for the figures: clients try three times within about 10 s, 800 ms each; one member of 4
slots, 9 ms a statement on average, three holders. What is asked for is beyond the member for
some seconds, so that it could all be done in the time that clients have, if nobody wasted any.
"""

import unittest

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.kernel.clock import Clock
from tests.scheduling.clients import Burst, Crowd, Holder, play
from tests.scheduling.member import SlottedMember
from tests.support.gateway import ManualClock

CAPACITY = 4 / 0.009  # statements a second
TENANTS = 9


def holders() -> list[Holder]:
    clock = ManualClock()
    member = SlottedMember(clock)
    pools = [MemberPool(member.record(), 17, member, Clock(clock), holders=3) for _ in range(3)]
    return [Holder(pool, clock) for pool in pools]


def crowds(urgency: int, part: float, work: float) -> list[Crowd]:
    """Return a class that asks for a part of the member, spread over tenants."""
    rate = part * CAPACITY * 0.009 / work / TENANTS
    return [Crowd(urgency, f"t{number}", rate, work) for number in range(TENANTS)]


def refused(listed: list[Crowd]) -> int:
    return sum(crowd.refused.total() for crowd in listed)


def done_share(listed: list[Crowd]) -> float:
    operations = sum(crowd.operations for crowd in listed)
    return sum(len(crowd.done) for crowd in listed) / operations


class EverybodysBurstTest(unittest.TestCase):
    """Pattern: all classes at 2.5 times their usual for 8 s, 1.6 times what the member can do."""

    @classmethod
    def setUpClass(cls):
        cls.urgent = crowds(0, 0.08, 0.003)
        cls.middle = crowds(1, 0.2, 0.015)
        cls.least = crowds(2, 0.35, 0.009)
        cls.all = cls.urgent + cls.middle + cls.least
        burst = Burst(4.0, 12.0, 2.5)
        play(holders(), [(crowd, burst) for crowd in cls.all], 20.0)

    def test_nobody_waits_until_its_time_is_over(self):
        # A day of 20,000 statements is allowed ten of them.
        expired = sum(crowd.refused["expired"] for crowd in self.all)
        self.assertLessEqual(expired, 1)

    def test_nothing_is_left_in_doubt(self):
        self.assertEqual(sum(crowd.in_doubt for crowd in self.all), 0)

    def test_more_urgent_ones_lose_no_try(self):
        self.assertEqual(refused(self.urgent), 0)
        self.assertLessEqual(refused(self.middle), 0.01 * sum(c.operations for c in self.middle))

    def test_the_least_urgent_are_served_within_their_tries(self):
        # With times told that are all 0.5 s, and waits to the end, 0.66 of them were.
        self.assertGreater(done_share(self.least), 0.9)

    def test_most_of_what_is_too_late_is_told_before_half_of_its_time(self):
        arriving = sum(crowd.refused["arriving"] for crowd in self.least)
        self.assertGreater(arriving, 0.25 * refused(self.least))

    def test_returns_are_spread(self):
        told = sorted(moment for crowd in self.least for moment in crowd.told)
        most = max(sum(at <= other < at + 0.1 for other in told) for at in told[::20])
        # At three holders, each at its own pace of the line, and at most all that they can do.
        self.assertLess(most, 2.5 * 0.1 * CAPACITY)


class CalmTest(unittest.TestCase):
    """Pattern: the usual, two thirds of what the member can do."""

    def test_nothing_is_refused(self):
        listed = crowds(0, 0.08, 0.003) + crowds(1, 0.2, 0.015) + crowds(2, 0.35, 0.009)
        play(holders(), [(crowd, None) for crowd in listed], 10.0)
        self.assertEqual(refused(listed), 0)
        self.assertEqual(done_share(listed), 1.0)


class TenantsBurstTest(unittest.TestCase):
    """Pattern: one tenant sends 25 times its usual, twice what the member can do."""

    @classmethod
    def setUpClass(cls):
        cls.listed = crowds(1, 0.6, 0.009)
        cls.bursting, *cls.others = cls.listed
        burst = Burst(2.0, 8.0, 25.0)
        bursts = [(cls.bursting, burst), *((crowd, None) for crowd in cls.others)]
        play(holders(), bursts, 12.0)

    def test_the_other_tenants_are_served(self):
        self.assertGreater(done_share(self.others), 0.999)
        self.assertLess(refused(self.others), 0.02 * sum(c.operations for c in self.others))

    def test_the_tenant_that_bursts_is_told_at_once(self):
        counts = self.bursting.refused
        self.assertGreater(counts["arriving"], counts["waiting"] + counts["expired"])
        self.assertLessEqual(counts["expired"], 1)
