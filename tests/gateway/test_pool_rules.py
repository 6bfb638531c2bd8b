"""When connections are opened, kept and given up, and when a member is left alone."""

import math
import unittest

from rowanrail.gateway.pools.idle_rules import (
    GIVEN_UP_IDLE_SECONDS,
    IDLE_SECONDS,
    KEPT_IDLE,
    SPARE_IDLE_SECONDS,
    TENANT_IDLE_SECONDS,
    idle_limit_seconds,
    spare_connections,
)
from rowanrail.gateway.pools.idle_transactions import (
    LONG_IDLE_SECONDS,
    PRESSURE_SECONDS,
    count_to_end,
)
from rowanrail.gateway.pools.member_health import (
    MAXIMUM_BACKOFF_SECONDS,
    MINIMUM_BACKOFF_SECONDS,
    MemberHealth,
    backoff_seconds,
)
from rowanrail.gateway.pools.opening_rules import (
    CROWDED_SECONDS,
    INITIAL_OPENING_SECONDS,
    LONGEST_OPENING_SECONDS,
    OPENINGS_AT_ONCE,
    ConnectionCap,
    Opening,
    has_room_for_opening,
    judge_opening,
    smoothed_opening,
)
from rowanrail.scheduling.wait_forecast import places, wait_seconds

JUST = 0.001  # seconds more or less than a bound


class OpeningRulesTest(unittest.TestCase):
    def test_few_are_opened_at_once(self):
        self.assertTrue(has_room_for_opening(OPENINGS_AT_ONCE - 1, 0, 3, 9))
        self.assertFalse(has_room_for_opening(OPENINGS_AT_ONCE, 0, 3, 9))

    def test_at_the_limit_one_is_opened_only_in_place_of_an_idle_one(self):
        self.assertFalse(has_room_for_opening(0, idle=0, count=9, allowed=9))
        self.assertTrue(has_room_for_opening(0, idle=1, count=9, allowed=9))

    def test_a_connection_that_may_come_back_is_waited_for_as_long_as_an_opening_takes(self):
        for waited, expected in ((0.03 - JUST, Opening.WAIT), (0.03, Opening.NOW)):
            self.assertIs(judge_opening(1, 0, True, waited, 0.03), expected)

    def test_none_is_waited_for_that_can_not_come_back(self):
        self.assertIs(judge_opening(1, 0, False, 0.0, 0.03), Opening.NOW)

    def test_no_more_are_opened_for_a_tenant_than_wait(self):
        self.assertIs(judge_opening(2, 2, False, 9.0, 0.03), Opening.ENOUGH)
        self.assertIs(judge_opening(3, 2, False, 9.0, 0.03), Opening.NOW)

    def test_a_slow_opening_does_not_make_everybody_wait(self):
        average = INITIAL_OPENING_SECONDS
        for _ in range(100):
            average = smoothed_opening(average, 1.0)
        self.assertEqual(average, LONGEST_OPENING_SECONDS)

    def test_a_full_member_is_asked_for_no_more_for_a_while(self):
        cap = ConnectionCap()
        cap.note_crowded(3, now=10.0)
        self.assertEqual(cap.allowed(14, 10.0 + CROWDED_SECONDS - JUST), 3)
        self.assertEqual(cap.allowed(14, 10.0 + CROWDED_SECONDS), 14)
        self.assertEqual(cap.allowed(2, 10.0), 2)

    def test_one_may_be_tried_at_a_full_member_though_none_is_open(self):
        cap = ConnectionCap()
        cap.note_crowded(0, now=10.0)
        self.assertEqual(cap.allowed(14, 10.0), 1)


class IdleRulesTest(unittest.TestCase):
    def test_the_last_one_is_kept_however_long_it_is_idle(self):
        last = KEPT_IDLE + 2
        limits = [idle_limit_seconds(place, last + 1, 0, True, True) for place in range(last + 1)]
        self.assertEqual(limits, [TENANT_IDLE_SECONDS] * last + [math.inf] * KEPT_IDLE)

    def test_one_of_a_tenant_is_kept_longer_than_one_of_nobody(self):
        self.assertEqual(idle_limit_seconds(0, 5, 0, True, True), TENANT_IDLE_SECONDS)
        self.assertEqual(idle_limit_seconds(0, 5, 0, True, False), IDLE_SECONDS)

    def test_those_beyond_what_is_to_be_left_free_go_sooner(self):
        self.assertEqual(idle_limit_seconds(0, 5, 1, True, True), SPARE_IDLE_SECONDS)
        self.assertEqual(idle_limit_seconds(1, 5, 1, True, True), TENANT_IDLE_SECONDS)
        self.assertEqual(idle_limit_seconds(0, 5, 1, True, False), IDLE_SECONDS)

    def test_what_another_gateway_is_to_hold_goes_at_once_and_to_the_last(self):
        for place in range(3):
            self.assertEqual(idle_limit_seconds(place, 3, 0, False, True), GIVEN_UP_IDLE_SECONDS)

    def test_half_of_the_limit_is_left_free_for_successors(self):
        self.assertEqual(spare_connections(14, 14), 7)
        self.assertEqual(spare_connections(7, 13), 0)


class MemberHealthTest(unittest.TestCase):
    def test_each_failure_running_doubles_the_time_up_to_a_bound(self):
        times = [backoff_seconds(failures) for failures in range(1, 8)]
        self.assertEqual(times[0], 2 * MINIMUM_BACKOFF_SECONDS)
        self.assertEqual(times[1], 2 * times[0])
        self.assertEqual(times[-1], MAXIMUM_BACKOFF_SECONDS)

    def test_a_success_ends_the_suspicion_and_the_next_failure_counts_as_the_first(self):
        health = MemberHealth()
        health.note_failure(10.0)
        health.note_failure(10.5)
        health.note_success()
        self.assertFalse(health.is_suspect(20.0, load=5))
        self.assertEqual(health.note_failure(20.0), backoff_seconds(1))

    def test_one_that_answers_elsewhere_is_left_alone_no_longer(self):
        health = MemberHealth()
        health.note_failure(10.0)
        self.assertTrue(health.is_failing(10.1))
        health.note_reachable()
        self.assertFalse(health.is_failing(10.1))

    def test_an_error_is_an_answer_that_ends_no_suspicion(self):
        health = MemberHealth()
        health.note_failure(10.0)
        health.note_answer(is_error=True, now=11.0)
        self.assertTrue(health.is_suspect(11.0, load=1))
        self.assertGreater(health.error_share(11.0), 0)
        health.note_answer(is_error=False, now=11.0)
        self.assertFalse(health.is_suspect(11.0, load=1))


class WaitForecastTest(unittest.TestCase):
    def test_there_is_no_wait_while_a_place_is_free(self):
        self.assertEqual(wait_seconds(2, places=4, under_way=1, lease_seconds=0.5), 0.0)
        self.assertGreater(wait_seconds(3, places=4, under_way=1, lease_seconds=0.5), 0.0)

    def test_the_queue_goes_on_by_all_places_in_the_length_of_a_use(self):
        self.assertEqual(wait_seconds(7, places=4, under_way=4, lease_seconds=0.5), 1.0)

    def test_idle_transactions_leave_at_least_one_place(self):
        self.assertEqual(places(8, usable=0), 1)


class IdleTransactionsTest(unittest.TestCase):
    def test_one_is_ended_for_each_that_has_waited_long(self):
        self.assertEqual(count_to_end([PRESSURE_SECONDS] * 2, [9.0] * 5), 2)
        self.assertEqual(count_to_end([PRESSURE_SECONDS - JUST] * 2, [9.0] * 5), 0)

    def test_one_that_has_just_become_idle_is_left_to_its_client(self):
        idle = [9.0, LONG_IDLE_SECONDS, LONG_IDLE_SECONDS - JUST]
        self.assertEqual(count_to_end([9.0] * 5, idle), 2)
