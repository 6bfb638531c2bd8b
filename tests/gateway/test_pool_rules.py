"""Rules for opening, keeping and reclaiming connections, and for backing off from a member."""

import math
import unittest

from rowanrail.gateway.pools import (
    error_rate,
    idle_rules,
    idle_transactions,
    leases,
    member_health,
    opening_rules,
)
from rowanrail.gateway.pools.idle_rules import (
    IDLE_TIMEOUT_MS,
    MIN_IDLE_CONNECTIONS,
    SURPLUS_IDLE_TIMEOUT_MS,
    TENANT_IDLE_TIMEOUT_MS,
    UNROUTED_IDLE_TIMEOUT_MS,
    idle_timeout,
    surplus_connections,
)
from rowanrail.gateway.pools.idle_transactions import (
    RECLAIM_IDLE_MS,
    RECLAIM_WAIT_MS,
    count_to_reclaim,
)
from rowanrail.gateway.pools.member_health import (
    BASE_BACKOFF_MS,
    MAXIMUM_BACKOFF_MS,
    MemberHealth,
    backoff_ms,
)
from rowanrail.gateway.pools.opening_rules import (
    CONNECTION_CAP_MS,
    INITIAL_OPENING_MS,
    MAX_CONCURRENT_OPENINGS,
    MAX_OPENING_MS,
    ConnectionCap,
    OpeningDecision,
    decide_opening,
    may_open_connection,
    smoothed_opening,
)
from rowanrail.scheduling.wait_forecast import expected_wait, max_in_flight

EPSILON = 1.0  # ms on either side of a bound


class OpeningRulesTest(unittest.TestCase):
    def test_concurrent_openings_are_limited(self):
        self.assertTrue(may_open_connection(MAX_CONCURRENT_OPENINGS - 1, 0, 3, 9))
        self.assertFalse(may_open_connection(MAX_CONCURRENT_OPENINGS, 0, 3, 9))

    def test_at_the_limit_a_connection_is_opened_only_in_place_of_an_idle_one(self):
        self.assertFalse(may_open_connection(0, idle=0, count=9, limit=9))
        self.assertTrue(may_open_connection(0, idle=1, count=9, limit=9))

    def test_a_connection_in_use_is_waited_for_as_long_as_an_opening_takes(self):
        for waited, expected in (
            (30.0 - EPSILON, OpeningDecision.WAIT),
            (30.0, OpeningDecision.NOW),
        ):
            self.assertIs(decide_opening(1, 0, True, waited, 30.0), expected)

    def test_without_a_connection_in_use_one_is_opened_at_once(self):
        self.assertIs(decide_opening(1, 0, False, 0.0, 30.0), OpeningDecision.NOW)

    def test_no_more_connections_are_opened_for_a_tenant_than_statements_wait(self):
        self.assertIs(decide_opening(2, 2, False, 9000.0, 30.0), OpeningDecision.ENOUGH)
        self.assertIs(decide_opening(3, 2, False, 9000.0, 30.0), OpeningDecision.NOW)

    def test_the_average_opening_time_is_bounded(self):
        average = INITIAL_OPENING_MS
        for _ in range(100):
            average = smoothed_opening(average, 1000.0)
        self.assertEqual(average, MAX_OPENING_MS)

    def test_a_member_at_its_limit_gets_no_new_connections_for_a_while(self):
        cap = ConnectionCap()
        cap.note_limit_reached(3, now=10_000.0)
        self.assertEqual(cap.effective_limit(14, 10_000.0 + CONNECTION_CAP_MS - EPSILON), 3)
        self.assertEqual(cap.effective_limit(14, 10_000.0 + CONNECTION_CAP_MS), 14)
        self.assertEqual(cap.effective_limit(2, 10_000.0), 2)

    def test_one_connection_may_be_tried_though_none_is_open(self):
        cap = ConnectionCap()
        cap.note_limit_reached(0, now=10_000.0)
        self.assertEqual(cap.effective_limit(14, 10_000.0), 1)


class IdleRulesTest(unittest.TestCase):
    def test_the_most_recently_used_connection_has_no_timeout(self):
        last = MIN_IDLE_CONNECTIONS + 2
        limits = [idle_timeout(place, last + 1, 0, True, True) for place in range(last + 1)]
        self.assertEqual(
            limits, [TENANT_IDLE_TIMEOUT_MS] * last + [math.inf] * MIN_IDLE_CONNECTIONS
        )

    def test_a_tenant_bound_connection_has_a_longer_timeout(self):
        self.assertEqual(idle_timeout(0, 5, 0, True, True), TENANT_IDLE_TIMEOUT_MS)
        self.assertEqual(idle_timeout(0, 5, 0, True, False), IDLE_TIMEOUT_MS)

    def test_surplus_connections_have_a_shorter_timeout(self):
        self.assertEqual(idle_timeout(0, 5, 1, True, True), SURPLUS_IDLE_TIMEOUT_MS)
        self.assertEqual(idle_timeout(1, 5, 1, True, True), TENANT_IDLE_TIMEOUT_MS)
        self.assertEqual(idle_timeout(0, 5, 1, True, False), IDLE_TIMEOUT_MS)

    def test_connections_of_unrouted_tenants_all_have_the_shortest_timeout(self):
        for place in range(3):
            self.assertEqual(idle_timeout(place, 3, 0, False, True), UNROUTED_IDLE_TIMEOUT_MS)

    def test_connections_beyond_half_of_the_limit_are_surplus(self):
        self.assertEqual(surplus_connections(14, 14), 7)
        self.assertEqual(surplus_connections(7, 13), 0)


class MemberHealthTest(unittest.TestCase):
    def test_the_backoff_doubles_with_each_consecutive_failure_up_to_a_bound(self):
        times = [backoff_ms(failures) for failures in range(1, 8)]
        self.assertEqual(times[0], 2 * BASE_BACKOFF_MS)
        self.assertEqual(times[1], 2 * times[0])
        self.assertEqual(times[-1], MAXIMUM_BACKOFF_MS)

    def test_a_success_resets_the_failure_count(self):
        health = MemberHealth()
        health.note_failure(10_000.0)
        health.note_failure(10_500.0)
        health.note_success()
        self.assertFalse(health.is_suspect(20_000.0, load=5))
        self.assertEqual(health.note_failure(20_000.0), backoff_ms(1))

    def test_a_reachable_member_ends_the_backoff(self):
        health = MemberHealth()
        health.note_failure(10_000.0)
        self.assertTrue(health.is_failing(10_100.0))
        health.note_reachable()
        self.assertFalse(health.is_failing(10_100.0))

    def test_an_error_answer_does_not_reset_the_failure_count(self):
        health = MemberHealth()
        health.note_failure(10_000.0)
        health.note_answer(is_error=True, now=11_000.0)
        self.assertTrue(health.is_suspect(11_000.0, load=1))
        self.assertGreater(health.error_rate(11_000.0), 0)
        health.note_answer(is_error=False, now=11_000.0)
        self.assertFalse(health.is_suspect(11_000.0, load=1))


class WaitForecastTest(unittest.TestCase):
    def test_there_is_no_wait_while_a_place_is_free(self):
        self.assertEqual(expected_wait(2, limit=4, in_flight=1, lease=500.0), 0.0)
        self.assertGreater(expected_wait(3, limit=4, in_flight=1, lease=500.0), 0.0)

    def test_the_queue_advances_by_all_places_in_one_lease_duration(self):
        self.assertEqual(expected_wait(7, limit=4, in_flight=4, lease=500.0), 1000.0)

    def test_idle_transactions_leave_at_least_one_place(self):
        self.assertEqual(max_in_flight(8, usable=0), 1)


class IdleTransactionsTest(unittest.TestCase):
    def test_one_transaction_is_reclaimed_for_each_long_wait(self):
        self.assertEqual(count_to_reclaim([RECLAIM_WAIT_MS] * 2, [9000.0] * 5), 2)
        self.assertEqual(count_to_reclaim([RECLAIM_WAIT_MS - EPSILON] * 2, [9000.0] * 5), 0)

    def test_a_transaction_that_became_idle_recently_is_spared(self):
        idle = [9000.0, RECLAIM_IDLE_MS, RECLAIM_IDLE_MS - EPSILON]
        self.assertEqual(count_to_reclaim([9000.0] * 5, idle), 2)


# Each constant in milliseconds with its value in seconds.
SECONDS = (
    (error_rate.ERROR_DECAY_MS, 2.0),
    (idle_rules.IDLE_TIMEOUT_MS, 0.6),
    (idle_rules.TENANT_IDLE_TIMEOUT_MS, 30.0),
    (idle_rules.UNROUTED_IDLE_TIMEOUT_MS, 0.1),
    (idle_rules.SURPLUS_IDLE_TIMEOUT_MS, 2.0),
    (idle_transactions.RECLAIM_WAIT_MS, 0.04),
    (idle_transactions.RECLAIM_IDLE_MS, 0.5),
    (leases.INITIAL_LATENCY_MS, 0.02),
    (member_health.BASE_BACKOFF_MS, 0.1),
    (member_health.MAXIMUM_BACKOFF_MS, 2.0),
    (opening_rules.CONNECTION_CAP_MS, 0.5),
    (opening_rules.INITIAL_OPENING_MS, 0.03),
    (opening_rules.MAX_OPENING_MS, 0.1),
)


class MillisecondsTest(unittest.TestCase):
    def test_each_constant_in_milliseconds_matches_its_value_in_seconds(self):
        for milliseconds, seconds in SECONDS:
            self.assertEqual(milliseconds, 1000 * seconds)
            self.assertEqual(milliseconds / 1000, seconds, "as timers get it")
