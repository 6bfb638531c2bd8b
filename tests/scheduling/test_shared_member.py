"""Pools of several holders that share a member with a bounded first-in-first-out queue."""

import unittest

from rowanrail.gateway.gauges import gauges
from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel
from rowanrail.model.statements import Refusal
from rowanrail.scheduling.queue import QueueEntry
from tests.scheduling.member import Request, SlottedMember, Workload, simulate
from tests.support.gateway import GatewayHarness, ManualClock

SERVICE_TIME = 0.009  # s, on average
OBJECTIVE = 0.5  # s, of the most urgent clients
MAX_REFUSED_SHARE = 0.01  # of the arrivals at the member


def percentile(times: list[float], share: float) -> float:
    return sorted(times)[int(share * (len(times) - 1))]


def served(workloads: list[Workload]) -> float:
    ended = sum(len(workload.times) for workload in workloads)
    failed = sum(workload.expired + workload.refused for workload in workloads)
    return ended / max(1, ended + failed)


def times(workloads: list[Workload]) -> list[float]:
    return [time for workload in workloads for time in workload.times]


class SharedMember:
    """Holders that share one member, each for some of the tenants."""

    def __init__(
        self,
        holders: int = 3,
        slots: int = 4,
        connections: int = 17,
        tenants: int = 9,
        latency: float = 0.001,
        announced_slots: int | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.member = SlottedMember(self.clock, slots, latency=latency)
        self.tenants = tenants
        self.workloads: list[Workload] = []
        self._record = self.member.record(announced_slots)
        self._holders, self._connections = holders, connections
        self.start_holders()

    def start_holders(self) -> None:
        """Replace all holders by new ones without observations."""
        self.pools = [
            MemberPool(
                self._record, self._connections, self.member, Clock(self.clock), self._holders
            )
            for _ in range(self._holders)
        ]

    def add_load(
        self, urgency: int, load: float, service_time: float = SERVICE_TIME, burst: float = 1.0
    ) -> list[Workload]:
        """Add a class with a load as a share of the slots.

        The rate of the first of its tenants is multiplied by ``burst``.
        """
        rate = load * self.member.slots / service_time / self.tenants
        workloads = [
            Workload(urgency, f"t{number}", rate, service_time) for number in range(self.tenants)
        ]
        workloads[0].rate *= burst
        self.workloads += workloads
        return workloads

    def simulate(self, seconds: float) -> None:
        simulate(self.clock, self.pools, self.workloads, seconds)

    @property
    def utilization(self) -> float:
        """Share of the slots' time in 8 s that answered statements used."""
        return sum(len(workload.times) * workload.service_time for workload in self.workloads) / (
            8.0 * self.member.slots
        )


class ClassBurstTest(unittest.TestCase):
    """The least urgent class at 2.5 times its usual load."""

    def setUp(self):
        self.shared = SharedMember()
        self.urgent = self.shared.add_load(0, 0.1, service_time=0.003)
        self.middle = self.shared.add_load(1, 0.2, service_time=0.015)
        self.burst = self.shared.add_load(2, 2.5 * 0.5)
        self.shared.simulate(8.0)

    def test_the_queue_is_at_the_holders(self):
        # Without limits the 17 connections of each holder would fill the member's queue of 32.
        self.assertLess(self.shared.member.refused_share, MAX_REFUSED_SHARE)
        self.assertLess(self.shared.member.longest_queue, 24)

    def test_more_urgent_statements_are_served_soon(self):
        self.assertGreater(served(self.urgent), 0.999)
        self.assertGreater(served(self.middle), 0.99)
        self.assertLess(percentile(times(self.urgent), 0.99), OBJECTIVE / 2)

    def test_the_member_is_fully_used(self):
        self.assertGreater(self.shared.utilization, 0.9)

    def test_the_least_urgent_statements_are_not_starved(self):
        self.assertGreater(served(self.burst), 0.4)


class TenantBurstTest(unittest.TestCase):
    """One tenant sends six times its usual load, at one of three holders or the only one."""

    def simulate(self, holders: int) -> list[Workload]:
        self.shared = SharedMember(holders)
        self.shared.add_load(0, 0.05, service_time=0.003)
        workloads = self.shared.add_load(1, 0.7, burst=6.0)
        self.shared.simulate(8.0)
        return workloads

    def test_a_burst_mainly_delays_its_own_tenant(self):
        for holders in (1, 3):
            with self.subTest(holders=holders):
                bursting, *others = self.simulate(holders)
                self.assertGreater(served(others), 0.99)
                self.assertLess(percentile(times(others), 0.99), OBJECTIVE)
                self.assertGreater(served([bursting]), 0.3)

    def test_a_burst_does_not_take_the_connections_of_others(self):
        self.simulate(holders=1)
        self.assertLess(self.shared.member.opened, 60)


class ManyTenantsTest(unittest.TestCase):
    """90 tenants on 51 connections, with a load above the capacity."""

    def test_urgent_statements_get_a_connection_in_time(self):
        shared = SharedMember(tenants=90)
        urgent = shared.add_load(0, 0.1, service_time=0.003)
        burst = shared.add_load(2, 1.1)
        shared.simulate(8.0)
        self.assertGreater(served(urgent), 0.99)
        self.assertLess(percentile(times(urgent), 0.99), OBJECTIVE)
        self.assertGreater(served(burst), 0.4)
        self.assertLess(shared.member.refused_share, MAX_REFUSED_SHARE)


class ModerateLoadTest(unittest.TestCase):
    """Moderate loads, and members that are distant, slow or shared by many holders."""

    def test_statements_hardly_wait(self):
        shared = SharedMember()
        workloads = shared.add_load(1, 0.5)
        shared.simulate(8.0)
        self.assertEqual(served(workloads), 1.0)
        self.assertLess(percentile(times(workloads), 0.99), 0.06)

    def test_a_distant_member_is_used(self):
        shared = SharedMember(latency=0.02)
        workloads = shared.add_load(1, 0.8)
        shared.simulate(8.0)
        self.assertGreater(served(workloads), 0.99)

    def test_urgent_statements_get_connections_to_a_distant_member(self):
        # A statement uses a connection for 48 ms; a tenant that keeps its own delays the others.
        shared = SharedMember(latency=0.02)
        urgent = shared.add_load(0, 0.1, service_time=0.003) + shared.add_load(
            1, 0.3, service_time=0.015
        )
        shared.add_load(2, 1.1)
        shared.simulate(8.0)
        self.assertGreater(served(urgent), 0.99)
        self.assertGreater(shared.utilization, 0.8)

    def test_a_slow_member_is_used(self):
        shared = SharedMember()
        shared.member.slowdown = 5.0
        workloads = shared.add_load(1, 0.8 / 5)
        shared.simulate(8.0)
        self.assertGreater(served(workloads), 0.99)

    def test_many_holders_with_few_connections_use_all_slots(self):
        # Nine gateways with four connections each, without tenants.
        shared = SharedMember(holders=9, slots=3, connections=4)
        for workload in shared.add_load(1, 0.85):
            workload.tenant = ""
        shared.simulate(8.0)
        self.assertGreater(served(shared.workloads), 0.99)


class AnnouncedSlotsTest(unittest.TestCase):
    """The member announces more or fewer slots than it has."""

    def test_a_member_with_fewer_slots_refuses_few_statements(self):
        shared = SharedMember(announced_slots=16)
        shared.add_load(1, 1.5)
        shared.simulate(8.0)
        self.assertLess(shared.member.refused_share, MAX_REFUSED_SHARE)

    def test_a_member_with_more_slots_is_fully_used(self):
        shared = SharedMember(announced_slots=1)
        shared.add_load(1, 1.5)
        shared.simulate(8.0)
        self.assertGreater(shared.utilization, 0.85)


class LostHolderTest(unittest.TestCase):
    """One or all of the holders are lost without notice."""

    def test_the_others_use_the_capacity_of_a_lost_holder(self):
        shared = SharedMember()
        workloads = shared.add_load(1, 1.5)
        shared.simulate(3.0)
        shared.pools = shared.pools[1:]
        before = len(times(workloads))
        shared.simulate(4.0)
        used_time = (len(times(workloads)) - before) * SERVICE_TIME
        self.assertGreater(used_time / (4.0 * shared.member.slots), 0.85)
        self.assertLess(shared.member.refused_share, MAX_REFUSED_SHARE)

    def test_few_statements_are_refused_when_all_holders_restart(self):
        # The statements that the lost holders had sent are still queued at the member.
        shared = SharedMember()
        workloads = shared.add_load(1, 1.5)
        shared.simulate(3.0)
        for _ in range(20):
            shared.member.take(SERVICE_TIME, lambda: None, lambda: None)
        shared.start_holders()
        before = len(times(workloads))
        shared.simulate(3.0)
        self.assertGreater(
            len(times(workloads)) - before, 0.8 * 3.0 * shared.member.slots / SERVICE_TIME
        )
        self.assertLess(shared.member.refused_share, MAX_REFUSED_SHARE)


class FailingMemberTest(unittest.TestCase):
    def setUp(self):
        self.shared = SharedMember(holders=1)
        self.pool = self.shared.pools[0]
        self.clock = self.shared.clock
        self.workload = Workload(1, "a", 0.0, SERVICE_TIME)

    def send(self, number: int, workload: Workload | None = None) -> None:
        for _ in range(number):
            Request(self.pool, self.clock, workload or self.workload, SERVICE_TIME)

    def test_refusals_for_other_reasons_do_not_lower_the_limit(self):
        # A replica that is behind, a former primary, a failed statement, a lost connection.
        before = self.pool.concurrency.value
        for refusal in (Refusal.BEHIND, Refusal.NOT_PRIMARY, Refusal.FAILED, Refusal.LOST):
            for _ in range(50):
                self.pool.note_answered(refusal, 500.0)
        self.assertEqual(self.pool.concurrency.value, before)

    def test_a_member_with_a_full_queue_is_not_taken_for_a_failing_one(self):
        self.shared.member.queue = 0
        self.shared.member.running = self.shared.member.slots  # statements of others
        self.send(1)
        self.clock.advance(0.1)
        self.assertEqual(self.workload.refused, 1)
        self.assertFalse(self.pool.is_failing)

    def test_statements_at_a_frozen_member_expire_and_the_pool_recovers(self):
        member = self.shared.member
        self.send(4)
        self.clock.advance(0.2)
        member.slowdown = 200.0
        self.send(30)
        for _ in range(40):
            self.clock.advance(0.025)
            self.pool.trim()
        self.assertEqual(len(self.pool.queue), 0)
        self.assertGreater(self.workload.expired, 15)
        member.slowdown = 1.0
        self.clock.advance(3.0)
        self.assertEqual(self.pool.connections.in_flight, 0)
        ended = len(self.workload.times)
        self.send(4)
        self.clock.advance(0.5)
        self.assertEqual(len(self.workload.times), ended + 4)

    def test_statements_that_would_be_late_expire_before_their_deadline(self):
        self.shared.member.slowdown = 8.0
        self.send(300)
        began = self.clock.time()
        while not self.workload.expired and self.clock.time() < began + self.workload.timeout:
            self.clock.advance(0.01)
            self.pool.trim()
        self.assertGreater(self.workload.expired, 0)
        self.assertLess(self.clock.time() - began, self.workload.timeout - 0.04)


class IdleTransactionTest(unittest.TestCase):
    """An idle transaction holds a connection, but does not count as in flight."""

    def setUp(self):
        self.shared = SharedMember(holders=1)
        self.pool = self.shared.pools[0]
        self.workload = Workload(1, "a", 0.0, SERVICE_TIME)

    def test_other_statements_run_meanwhile(self):
        idle = [Transaction() for _ in range(self.pool.concurrency.value)]
        for transaction in idle:
            self.pool.connections.leases.begin(transaction.channel)
            self.pool.note_idle_transaction(transaction)
        self.assertEqual(self.pool.connections.in_flight, 0)
        Request(self.pool, self.shared.clock, self.workload, SERVICE_TIME)
        self.shared.clock.advance(0.1)
        self.assertEqual(len(self.workload.times), 1)

    def test_idle_time_does_not_count_as_lease_time(self):
        transaction = Transaction()
        leases = self.pool.connections.leases
        leases.begin(transaction.channel)
        before = leases.average
        self.pool.note_idle_transaction(transaction)
        self.shared.clock.advance(3.0)
        self.pool.connections.idle_transactions.remove(transaction)
        leases.end(transaction.channel)
        self.assertLess(leases.average, before)


class Transaction:
    tenant = "a"

    def __init__(self) -> None:
        self.channel = Channel("m1:1", "m1", lambda channel, answer: None, "a")

    def reclaim(self, reason: str) -> None:
        raise AssertionError(reason)


class ForecastTest(unittest.TestCase):
    """Forecasts during a burst of the least urgent class agree with the actual waits."""

    def test_forecasts_differ_by_urgency_and_tenant(self):
        shared = SharedMember(holders=1)
        pool, clock = shared.pools[0], shared.clock
        burst = Workload(2, "a", 0.0, SERVICE_TIME)
        for _ in range(4):
            Request(pool, clock, burst, SERVICE_TIME)
        clock.advance(0.5)
        for _ in range(100):
            Request(pool, clock, burst, SERVICE_TIME)
        now = clock.time() * 1000
        urgent = pool.forecasts.for_entry(QueueEntry(0, "a", now))
        same = pool.forecasts.for_entry(QueueEntry(2, "a", now))
        stranger = pool.forecasts.for_entry(QueueEntry(2, "b", now))
        self.assertLess(urgent.wait, 20.0)
        self.assertLess(stranger.wait, same.wait / 3)
        self.assertFalse(same.has_room)
        actual = Workload(2, "a", 0.0, SERVICE_TIME)
        Request(pool, clock, actual, SERVICE_TIME)
        clock.advance(1.0)
        self.assertAlmostEqual(1000 * actual.waits[0], same.wait, delta=0.4 * same.wait)

    def test_an_idle_member_has_room(self):
        pool = SharedMember().pools[0]
        forecast = pool.forecasts.for_entry(QueueEntry(1, "a", 0.0))
        self.assertTrue(forecast.has_room)
        self.assertGreater(forecast.wait, 10.0)  # a connection has to be opened


class GaugesTest(unittest.TestCase):
    """Metrics of a queue."""

    def test_limit_statements_in_flight_and_queue_by_member_and_urgency(self):
        played = GatewayHarness()
        played.primary.script = [None] * 10
        for _ in range(5):
            played.client("orders").ask("WRITE a 1")
        played.clock.advance(0.1)
        values = {}
        for name, labels, value in gauges(played.gateway):
            if labels.get("member") == "m1":
                values[name, labels.get("urgency")] = value
        self.assertEqual(values["concurrency_limit", None], 2)
        self.assertEqual(values["under_way", None], 2)
        self.assertEqual(values["queue_length", "1"], 3)
        self.assertAlmostEqual(values["queue_longest_wait_seconds", None], 0.1, delta=0.01)
