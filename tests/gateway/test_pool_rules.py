"""When connections are opened, kept and given up, and when a member is left alone."""

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
    GIVEN_UP_IDLE_MS,
    IDLE_MS,
    KEPT_IDLE,
    SPARE_IDLE_MS,
    TENANT_IDLE_MS,
    idle_limit,
    spare_connections,
)
from rowanrail.gateway.pools.idle_transactions import (
    LONG_IDLE_MS,
    PRESSURE_MS,
    count_to_end,
)
from rowanrail.gateway.pools.member_health import (
    MAXIMUM_BACKOFF_MS,
    MINIMUM_BACKOFF_MS,
    MemberHealth,
    backoff_ms,
)
from rowanrail.gateway.pools.opening_rules import (
    CROWDED_MS,
    INITIAL_OPENING_MS,
    LONGEST_OPENING_MS,
    OPENINGS_AT_ONCE,
    ConnectionCap,
    Opening,
    has_room_for_opening,
    judge_opening,
    smoothed_opening,
)
from rowanrail.scheduling.wait_forecast import expected_wait, max_in_flight

JUST = 1.0  # ms more or less than a bound


class OpeningRulesTest(unittest.TestCase):
    def test_few_are_opened_at_once(self):
        self.assertTrue(has_room_for_opening(OPENINGS_AT_ONCE - 1, 0, 3, 9))
        self.assertFalse(has_room_for_opening(OPENINGS_AT_ONCE, 0, 3, 9))

    def test_at_the_limit_one_is_opened_only_in_place_of_an_idle_one(self):
        self.assertFalse(has_room_for_opening(0, idle=0, count=9, allowed=9))
        self.assertTrue(has_room_for_opening(0, idle=1, count=9, allowed=9))

    def test_a_connection_that_may_come_back_is_waited_for_as_long_as_an_opening_takes(self):
        for waited, expected in ((30.0 - JUST, Opening.WAIT), (30.0, Opening.NOW)):
            self.assertIs(judge_opening(1, 0, True, waited, 30.0), expected)

    def test_none_is_waited_for_that_can_not_come_back(self):
        self.assertIs(judge_opening(1, 0, False, 0.0, 30.0), Opening.NOW)

    def test_no_more_are_opened_for_a_tenant_than_wait(self):
        self.assertIs(judge_opening(2, 2, False, 9000.0, 30.0), Opening.ENOUGH)
        self.assertIs(judge_opening(3, 2, False, 9000.0, 30.0), Opening.NOW)

    def test_a_slow_opening_does_not_make_everybody_wait(self):
        average = INITIAL_OPENING_MS
        for _ in range(100):
            average = smoothed_opening(average, 1000.0)
        self.assertEqual(average, LONGEST_OPENING_MS)

    def test_a_full_member_is_asked_for_no_more_for_a_while(self):
        cap = ConnectionCap()
        cap.note_crowded(3, now=10_000.0)
        self.assertEqual(cap.allowed(14, 10_000.0 + CROWDED_MS - JUST), 3)
        self.assertEqual(cap.allowed(14, 10_000.0 + CROWDED_MS), 14)
        self.assertEqual(cap.allowed(2, 10_000.0), 2)

    def test_one_may_be_tried_at_a_full_member_though_none_is_open(self):
        cap = ConnectionCap()
        cap.note_crowded(0, now=10_000.0)
        self.assertEqual(cap.allowed(14, 10_000.0), 1)


class IdleRulesTest(unittest.TestCase):
    def test_the_last_one_is_kept_however_long_it_is_idle(self):
        last = KEPT_IDLE + 2
        limits = [idle_limit(place, last + 1, 0, True, True) for place in range(last + 1)]
        self.assertEqual(limits, [TENANT_IDLE_MS] * last + [math.inf] * KEPT_IDLE)

    def test_one_of_a_tenant_is_kept_longer_than_one_of_nobody(self):
        self.assertEqual(idle_limit(0, 5, 0, True, True), TENANT_IDLE_MS)
        self.assertEqual(idle_limit(0, 5, 0, True, False), IDLE_MS)

    def test_those_beyond_what_is_to_be_left_free_go_sooner(self):
        self.assertEqual(idle_limit(0, 5, 1, True, True), SPARE_IDLE_MS)
        self.assertEqual(idle_limit(1, 5, 1, True, True), TENANT_IDLE_MS)
        self.assertEqual(idle_limit(0, 5, 1, True, False), IDLE_MS)

    def test_what_another_gateway_is_to_hold_goes_at_once_and_to_the_last(self):
        for place in range(3):
            self.assertEqual(idle_limit(place, 3, 0, False, True), GIVEN_UP_IDLE_MS)

    def test_half_of_the_limit_is_left_free_for_successors(self):
        self.assertEqual(spare_connections(14, 14), 7)
        self.assertEqual(spare_connections(7, 13), 0)


class MemberHealthTest(unittest.TestCase):
    def test_each_failure_running_doubles_the_time_up_to_a_bound(self):
        times = [backoff_ms(failures) for failures in range(1, 8)]
        self.assertEqual(times[0], 2 * MINIMUM_BACKOFF_MS)
        self.assertEqual(times[1], 2 * times[0])
        self.assertEqual(times[-1], MAXIMUM_BACKOFF_MS)

    def test_a_success_ends_the_suspicion_and_the_next_failure_counts_as_the_first(self):
        health = MemberHealth()
        health.note_failure(10_000.0)
        health.note_failure(10_500.0)
        health.note_success()
        self.assertFalse(health.is_suspect(20_000.0, load=5))
        self.assertEqual(health.note_failure(20_000.0), backoff_ms(1))

    def test_one_that_answers_elsewhere_is_left_alone_no_longer(self):
        health = MemberHealth()
        health.note_failure(10_000.0)
        self.assertTrue(health.is_failing(10_100.0))
        health.note_reachable()
        self.assertFalse(health.is_failing(10_100.0))

    def test_an_error_is_an_answer_that_ends_no_suspicion(self):
        health = MemberHealth()
        health.note_failure(10_000.0)
        health.note_answer(is_error=True, now=11_000.0)
        self.assertTrue(health.is_suspect(11_000.0, load=1))
        self.assertGreater(health.error_share(11_000.0), 0)
        health.note_answer(is_error=False, now=11_000.0)
        self.assertFalse(health.is_suspect(11_000.0, load=1))


class WaitForecastTest(unittest.TestCase):
    def test_there_is_no_wait_while_a_place_is_free(self):
        self.assertEqual(expected_wait(2, limit=4, in_flight=1, lease=500.0), 0.0)
        self.assertGreater(expected_wait(3, limit=4, in_flight=1, lease=500.0), 0.0)

    def test_the_queue_goes_on_by_all_places_in_the_length_of_a_use(self):
        self.assertEqual(expected_wait(7, limit=4, in_flight=4, lease=500.0), 1000.0)

    def test_idle_transactions_leave_at_least_one_place(self):
        self.assertEqual(max_in_flight(8, usable=0), 1)


class IdleTransactionsTest(unittest.TestCase):
    def test_one_is_ended_for_each_that_has_waited_long(self):
        self.assertEqual(count_to_end([PRESSURE_MS] * 2, [9000.0] * 5), 2)
        self.assertEqual(count_to_end([PRESSURE_MS - JUST] * 2, [9000.0] * 5), 0)

    def test_one_that_has_just_become_idle_is_left_to_its_client(self):
        idle = [9000.0, LONG_IDLE_MS, LONG_IDLE_MS - JUST]
        self.assertEqual(count_to_end([9000.0] * 5, idle), 2)


# What each constant was in seconds, before times here were counted in milliseconds.
SECONDS = (
    (error_rate.ERROR_DECAY_MS, 2.0),
    (idle_rules.IDLE_MS, 0.6),
    (idle_rules.TENANT_IDLE_MS, 30.0),
    (idle_rules.GIVEN_UP_IDLE_MS, 0.1),
    (idle_rules.SPARE_IDLE_MS, 2.0),
    (idle_transactions.PRESSURE_MS, 0.04),
    (idle_transactions.LONG_IDLE_MS, 0.5),
    (leases.INITIAL_ANSWER_MS, 0.02),
    (member_health.MINIMUM_BACKOFF_MS, 0.1),
    (member_health.MAXIMUM_BACKOFF_MS, 2.0),
    (opening_rules.CROWDED_MS, 0.5),
    (opening_rules.INITIAL_OPENING_MS, 0.03),
    (opening_rules.LONGEST_OPENING_MS, 0.1),
)


class MillisecondsTest(unittest.TestCase):
    def test_each_figure_is_a_thousand_times_what_it_was_in_seconds(self):
        for milliseconds, seconds in SECONDS:
            self.assertEqual(milliseconds, 1000 * seconds)
            self.assertEqual(milliseconds / 1000, seconds, "as timers get it")
