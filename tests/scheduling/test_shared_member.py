"""Holders that share a member whose queue is first come first served, then turns away."""

import unittest

from rowanrail.gateway.gauges import gauges
from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel
from rowanrail.model.statements import Refusal
from rowanrail.scheduling.queue import QueueEntry
from tests.scheduling.member import Caller, Kind, SlottedMember, play
from tests.support.gateway import ManualClock, PlayedGateway

WORK = 0.009  # s, on average
OBJECTIVE = 0.5  # s, of the most urgent callers
TURNED_AWAY = 0.01  # of arrivals; each is a try that its caller waited for in vain


def percentile(times: list[float], part: float) -> float:
    return sorted(times)[int(part * (len(times) - 1))]


def served(kinds: list[Kind]) -> float:
    ended = sum(len(kind.times) for kind in kinds)
    failed = sum(kind.expired + kind.refused for kind in kinds)
    return ended / max(1, ended + failed)


def times(kinds: list[Kind]) -> list[float]:
    return [time for kind in kinds for time in kind.times]


class SharedMember:
    """Holders of one member, each for some of the tenants."""

    def __init__(
        self,
        holders: int = 3,
        slots: int = 4,
        connections: int = 17,
        tenants: int = 9,
        way: float = 0.001,
        slots_told: int | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.member = SlottedMember(self.clock, slots, way=way)
        self.tenants = tenants
        self.kinds: list[Kind] = []
        self._record = self.member.record(slots_told)
        self._holders, self._connections = holders, connections
        self.start_holders()

    def start_holders(self) -> None:
        """Begin anew with holders that know nothing."""
        self.pools = [
            MemberPool(
                self._record, self._connections, self.member, Clock(self.clock), self._holders
            )
            for _ in range(self._holders)
        ]

    def load(self, urgency: int, part: float, work: float = WORK, burst: float = 1.0) -> list[Kind]:
        """Add a class that asks for a part of the member's slots; the first tenant, for more."""
        rate = part * self.member.slots / work / self.tenants
        kinds = [Kind(urgency, f"t{number}", rate, work) for number in range(self.tenants)]
        kinds[0].rate *= burst
        self.kinds += kinds
        return kinds

    def play(self, seconds: float) -> None:
        play(self.clock, self.pools, self.kinds, seconds)

    @property
    def work_share(self) -> float:
        """Shard of the slots' time that ended statements took, of 8 s."""
        return sum(len(kind.times) * kind.work for kind in self.kinds) / (8.0 * self.member.slots)


class BurstOfAClassTest(unittest.TestCase):
    """Pattern: the least urgent class comes at 2.5 times what it usually asks for."""

    def setUp(self):
        self.shared = SharedMember()
        self.urgent = self.shared.load(0, 0.1, work=0.003)
        self.middle = self.shared.load(1, 0.2, work=0.015)
        self.burst = self.shared.load(2, 2.5 * 0.5)
        self.shared.play(8.0)

    def test_the_queue_stands_at_the_holders(self):
        # Without limits 17 connections of each holder fill the member's queue of 32.
        self.assertLess(self.shared.member.turned_away_share, TURNED_AWAY)
        self.assertLess(self.shared.member.longest_queue, 24)

    def test_the_more_urgent_are_served_soon(self):
        self.assertGreater(served(self.urgent), 0.999)
        self.assertGreater(served(self.middle), 0.99)
        self.assertLess(percentile(times(self.urgent), 0.99), OBJECTIVE / 2)

    def test_the_member_is_kept_busy(self):
        self.assertGreater(self.shared.work_share, 0.9)

    def test_the_least_urgent_are_not_shut_out(self):
        self.assertGreater(served(self.burst), 0.4)


class BurstOfATenantTest(unittest.TestCase):
    """Pattern: one tenant sends six times its usual, at one of three holders or the only one."""

    def play(self, holders: int) -> list[Kind]:
        self.shared = SharedMember(holders)
        self.shared.load(0, 0.05, work=0.003)
        kinds = self.shared.load(1, 0.7, burst=6.0)
        self.shared.play(8.0)
        return kinds

    def test_its_burst_delays_itself_first(self):
        for holders in (1, 3):
            with self.subTest(holders=holders):
                bursting, *others = self.play(holders)
                self.assertGreater(served(others), 0.99)
                self.assertLess(percentile(times(others), 0.99), OBJECTIVE)
                self.assertGreater(served([bursting]), 0.3)

    def test_it_does_not_cost_the_others_their_connections(self):
        self.play(holders=1)
        self.assertLess(self.shared.member.opened, 60)


class ManyTenantsTest(unittest.TestCase):
    """Pattern: 90 tenants, 51 connections, and more work than the slots bear."""

    def test_urgent_statements_get_a_connection_in_time(self):
        shared = SharedMember(tenants=90)
        urgent = shared.load(0, 0.1, work=0.003)
        burst = shared.load(2, 1.1)
        shared.play(8.0)
        self.assertGreater(served(urgent), 0.99)
        self.assertLess(percentile(times(urgent), 0.99), OBJECTIVE)
        self.assertGreater(served(burst), 0.4)
        self.assertLess(shared.member.turned_away_share, TURNED_AWAY)


class CalmTest(unittest.TestCase):
    """Pattern: half of the capacity is asked for."""

    def test_nobody_waits_for_long(self):
        shared = SharedMember()
        kinds = shared.load(1, 0.5)
        shared.play(8.0)
        self.assertEqual(served(kinds), 1.0)
        self.assertLess(percentile(times(kinds), 0.99), 0.06)

    def test_a_distant_member_is_used_as_well(self):
        shared = SharedMember(way=0.02)
        kinds = shared.load(1, 0.8)
        shared.play(8.0)
        self.assertGreater(served(kinds), 0.99)

    def test_connections_far_away_are_not_kept_from_the_urgent(self):
        # Work of 48 ms on each connection: who passes his on to himself keeps the others waiting.
        shared = SharedMember(way=0.02)
        urgent = shared.load(0, 0.1, work=0.003) + shared.load(1, 0.3, work=0.015)
        shared.load(2, 1.1)
        shared.play(8.0)
        self.assertGreater(served(urgent), 0.99)
        self.assertGreater(shared.work_share, 0.8)

    def test_a_slow_member_is_used_as_well(self):
        shared = SharedMember()
        shared.member.slowness = 5.0
        kinds = shared.load(1, 0.8 / 5)
        shared.play(8.0)
        self.assertGreater(served(kinds), 0.99)

    def test_many_small_holders_serve_what_three_slots_bear(self):
        # Connections of their own: nine gateways, four connections each, nobody's tenants.
        shared = SharedMember(holders=9, slots=3, connections=4)
        for kind in shared.load(1, 0.85):
            kind.tenant = ""
        shared.play(8.0)
        self.assertGreater(served(shared.kinds), 0.99)


class AnnouncedSlotsTest(unittest.TestCase):
    """Pattern: a member bears more or less than it says."""

    def test_it_is_not_turned_away_though_it_bears_less(self):
        shared = SharedMember(slots_told=16)
        shared.load(1, 1.5)
        shared.play(8.0)
        self.assertLess(shared.member.turned_away_share, TURNED_AWAY)

    def test_it_is_kept_busy_though_it_bears_more(self):
        shared = SharedMember(slots_told=1)
        shared.load(1, 1.5)
        shared.play(8.0)
        self.assertGreater(shared.work_share, 0.85)


class LostHolderTest(unittest.TestCase):
    """Failure: one of three holders is lost, and says nothing."""

    def test_the_others_take_up_what_it_left(self):
        shared = SharedMember()
        kinds = shared.load(1, 1.5)
        shared.play(3.0)
        shared.pools = shared.pools[1:]
        known = len(times(kinds))
        shared.play(4.0)
        work = (len(times(kinds)) - known) * WORK
        self.assertGreater(work / (4.0 * shared.member.slots), 0.85)
        self.assertLess(shared.member.turned_away_share, TURNED_AWAY)

    def test_all_that_come_back_at_once_are_not_turned_away(self):
        # Failure: all holders are lost at the same moment; what they had sent still stands there.
        shared = SharedMember()
        kinds = shared.load(1, 1.5)
        shared.play(3.0)
        for _ in range(20):
            shared.member.take(WORK, lambda: None, lambda: None)
        shared.start_holders()
        known = len(times(kinds))
        shared.play(3.0)
        self.assertGreater(len(times(kinds)) - known, 0.8 * 3.0 * shared.member.slots / WORK)
        self.assertLess(shared.member.turned_away_share, TURNED_AWAY)


class FailingMemberTest(unittest.TestCase):
    def setUp(self):
        self.shared = SharedMember(holders=1)
        self.pool = self.shared.pools[0]
        self.clock = self.shared.clock
        self.kind = Kind(1, "a", 0.0, WORK)

    def call(self, number: int, kind: Kind | None = None) -> None:
        for _ in range(number):
            Caller(self.pool, self.clock, kind or self.kind, WORK)

    def test_refusals_for_other_reasons_do_not_lower_the_limit(self):
        # A replica that catches up, a member that has lost the lead, a lost connection.
        before = self.pool.concurrency.value
        for refusal in (Refusal.BEHIND, Refusal.NOT_PRIMARY, Refusal.FAILED, Refusal.LOST):
            for _ in range(50):
                self.pool.note_answered(refusal, 500.0)
        self.assertEqual(self.pool.concurrency.value, before)

    def test_a_member_whose_queue_is_full_is_not_taken_for_a_lost_one(self):
        self.shared.member.queue = 0
        self.shared.member.running = self.shared.member.slots  # by others
        self.call(1)
        self.clock.advance(0.1)
        self.assertEqual(self.kind.refused, 1)
        self.assertFalse(self.pool.is_failing)

    def test_those_who_wait_at_a_frozen_member_are_told_and_the_rest_goes_on(self):
        member = self.shared.member
        self.call(4)
        self.clock.advance(0.2)
        member.slowness = 200.0
        self.call(30)
        for _ in range(40):
            self.clock.advance(0.025)
            self.pool.trim()
        self.assertEqual(len(self.pool.queue), 0)
        self.assertGreater(self.kind.expired, 15)
        member.slowness = 1.0
        self.clock.advance(3.0)
        self.assertEqual(self.pool.connections.in_flight, 0)
        ended = len(self.kind.times)
        self.call(4)
        self.clock.advance(0.5)
        self.assertEqual(len(self.kind.times), ended + 4)

    def test_who_can_not_be_in_time_is_told_before_its_time_is_over(self):
        self.shared.member.slowness = 8.0
        self.call(300)
        began = self.clock.time()
        while not self.kind.expired and self.clock.time() < began + self.kind.timeout:
            self.clock.advance(0.01)
            self.pool.trim()
        self.assertGreater(self.kind.expired, 0)
        self.assertLess(self.clock.time() - began, self.kind.timeout - 0.04)


class IdleTransactionTest(unittest.TestCase):
    """An idle transaction holds a connection, and none of the places."""

    def setUp(self):
        self.shared = SharedMember(holders=1)
        self.pool = self.shared.pools[0]
        self.kind = Kind(1, "a", 0.0, WORK)

    def test_others_run_in_its_place(self):
        idle = [Transaction() for _ in range(self.pool.concurrency.value)]
        for transaction in idle:
            self.pool.connections.leases.begin(transaction.channel)
            self.pool.note_idle_transaction(transaction)
        self.assertEqual(self.pool.connections.in_flight, 0)
        Caller(self.pool, self.shared.clock, self.kind, WORK)
        self.shared.clock.advance(0.1)
        self.assertEqual(len(self.kind.times), 1)

    def test_its_rest_does_not_count_as_time_in_use(self):
        transaction = Transaction()
        leases = self.pool.connections.leases
        leases.begin(transaction.channel)
        usual = leases.average
        self.pool.note_idle_transaction(transaction)
        self.shared.clock.advance(3.0)
        self.pool.connections.idle_transactions.remove(transaction)
        leases.end(transaction.channel)
        self.assertLess(leases.average, usual)


class Transaction:
    tenant = "a"

    def __init__(self) -> None:
        self.channel = Channel("m1:1", "m1", lambda channel, answer: None, "a")

    def reclaim(self, reason: str) -> None:
        raise AssertionError(reason)


class ForecastTest(unittest.TestCase):
    """Pattern: a burst of the least urgent class; what a newcomer is told comes about."""

    def test_it_tells_urgencies_and_tenants_apart(self):
        shared = SharedMember(holders=1)
        pool, clock = shared.pools[0], shared.clock
        usual = Kind(2, "a", 0.0, WORK)
        for _ in range(4):
            Caller(pool, clock, usual, WORK)
        clock.advance(0.5)
        for _ in range(100):
            Caller(pool, clock, usual, WORK)
        now = clock.time() * 1000
        urgent = pool.forecasts.for_entry(QueueEntry(0, "a", now))
        same = pool.forecasts.for_entry(QueueEntry(2, "a", now))
        stranger = pool.forecasts.for_entry(QueueEntry(2, "b", now))
        self.assertLess(urgent.wait, 20.0)
        self.assertLess(stranger.wait, same.wait / 3)
        self.assertFalse(same.has_room)
        actual = Kind(2, "a", 0.0, WORK)
        Caller(pool, clock, actual, WORK)
        clock.advance(1.0)
        self.assertAlmostEqual(1000 * actual.waits[0], same.wait, delta=0.4 * same.wait)

    def test_an_idle_member_has_room(self):
        pool = SharedMember().pools[0]
        forecast = pool.forecasts.for_entry(QueueEntry(1, "a", 0.0))
        self.assertTrue(forecast.has_room)
        self.assertGreater(forecast.wait, 10.0)  # its connection has to be opened


class GaugesTest(unittest.TestCase):
    """What an operator sees of a queue."""

    def test_limit_places_and_queue_are_told_by_member_and_urgency(self):
        played = PlayedGateway()
        played.primary.script = [None] * 10
        for _ in range(5):
            played.client("orders").ask("WRITE a 1")
        played.clock.advance(0.1)
        told = {}
        for name, labels, value in gauges(played.gateway):
            if labels.get("member") == "m1":
                told[name, labels.get("urgency")] = value
        self.assertEqual(told["concurrency_limit", None], 2)
        self.assertEqual(told["under_way", None], 2)
        self.assertEqual(told["queue_length", "1"], 3)
        self.assertAlmostEqual(told["queue_longest_wait_seconds", None], 0.1, delta=0.01)
