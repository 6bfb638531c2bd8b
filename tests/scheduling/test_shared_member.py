"""Holders that share a member whose queue is first come first served, then turns away."""

import unittest

from rowanrail.gateway.pool import MemberPool
from tests.scheduling.member import Kind, SlottedMember, play
from tests.support.gateway import ManualClock

WORK = 0.009  # s, on average
CAPACITY = 4 / WORK  # statements a second of four slots


def percentile(times: list[float], part: float) -> float:
    return sorted(times)[int(part * (len(times) - 1))]


class SharedMember:
    """Three holders of one member with four slots, each for three tenants."""

    def __init__(self, way: float = 0.001, slots_told: int | None = None) -> None:
        self.clock = ManualClock()
        self.member = SlottedMember(self.clock, way=way)
        self.pools = [self.pool(slots_told) for _ in range(3)]
        self.kinds: list[Kind] = []

    def pool(self, slots_told: int | None) -> MemberPool:
        record = self.member.record(slots_told)
        return MemberPool(record, 17, self.member, self.clock, holders=3)

    def load(self, urgency: int, part: float, work: float = WORK, tenants: int = 9) -> list[Kind]:
        """Add a class that asks for a part of the member's capacity."""
        rate = part * CAPACITY * WORK / work / tenants
        kinds = [Kind(urgency, f"t{number}", rate, work) for number in range(tenants)]
        self.kinds += kinds
        return kinds

    def play(self, seconds: float, seed: int = 1) -> None:
        play(self.clock, self.pools, self.kinds, seconds, seed)

    def served(self, kinds: list[Kind]) -> float:
        ended = sum(len(kind.times) for kind in kinds)
        failed = sum(kind.expired + kind.refused for kind in kinds)
        return ended / max(1, ended + failed)


class OverloadTest(unittest.TestCase):
    """Pattern: the least urgent class comes at 2.5 times what it usually asks for."""

    def setUp(self):
        self.shared = SharedMember()
        self.urgent = self.shared.load(0, 0.1, work=0.003)
        self.middle = self.shared.load(1, 0.2, work=0.015)
        self.rush = self.shared.load(2, 2.5 * 0.5)
        self.shared.play(8.0)

    def test_the_queue_stands_at_the_holders(self):
        # Without limits 17 connections of each holder fill the member's queue of 32.
        self.assertLess(self.shared.member.turned_away_share, 0.01)
        self.assertLess(self.shared.member.longest_queue, 24)

    def test_the_most_urgent_are_all_served_soon(self):
        self.assertGreater(self.shared.served(self.urgent), 0.999)
        times = [time for kind in self.urgent for time in kind.times]
        self.assertLess(percentile(times, 0.99), 0.25)  # half of 500 ms that they aim at

    def test_the_member_is_kept_busy(self):
        ended = sum(len(kind.times) * kind.work for kind in self.shared.kinds)
        self.assertGreater(ended / (8.0 * 4), 0.9)

    def test_the_less_urgent_are_not_shut_out(self):
        self.assertGreater(self.shared.served(self.rush), 0.4)


class CalmTest(unittest.TestCase):
    """Pattern: half of the capacity is asked for."""

    def test_nobody_waits_for_long(self):
        shared = SharedMember()
        shared.load(1, 0.5)
        shared.play(5.0)
        times = [time for kind in shared.kinds for time in kind.times]
        self.assertEqual(shared.served(shared.kinds), 1.0)
        self.assertLess(percentile(times, 0.99), 0.06)
