"""Selection of a member and the estimates behind it, on plain data."""

import random
import unittest
from collections import Counter
from dataclasses import replace

from rowanrail.scheduling.admission import Forecast
from rowanrail.scheduling.choice import (
    OPENING_SHARE,
    REMOTE_ROUND_TRIP_MS,
    Candidate,
    choose_member,
    effective_wait,
    expected_run_time,
    selection_cost,
)
from rowanrail.scheduling.lag import LagEstimate
from rowanrail.scheduling.run_times import RunTimes
from rowanrail.scheduling.warming import WarmUp

NEAR = Candidate("near", 0, 28, service_time=28, slots=6)
ZONE = Candidate("zone", 0, 30, service_time=28, slots=6, distance=1)
FAR = Candidate("far", 0, 68, service_time=28, slots=6, distance=2)


class ChoiceTest(unittest.TestCase):
    def shares(self, *candidates):
        draw = random.Random(1)
        counts = Counter(choose_member(candidates, draw) for _ in range(1000))
        return {candidate.instance: counts[candidate.instance] / 1000 for candidate in candidates}

    def best(self, *candidates):
        return choose_member(candidates, random.Random(1))

    def test_a_near_member_is_preferred_while_it_is_as_fast(self):
        # Traffic between regions uses the clients' links.
        self.assertEqual(self.shares(NEAR, FAR)["near"], 1.0)
        self.assertEqual(self.shares(NEAR, ZONE)["near"], 1.0)

    def test_a_far_member_is_preferred_to_a_full_near_one(self):
        self.assertEqual(self.best(replace(NEAR, queue_delay=90, in_flight=5), FAR), "far")

    def test_a_wait_for_a_connection_counts(self):
        self.assertEqual(self.best(replace(NEAR, wait=90), FAR), "far")

    def test_own_statements_in_flight_count(self):
        self.assertEqual(self.best(replace(NEAR, in_flight=6), replace(NEAR, instance="b")), "b")

    def test_nearly_equal_members_share_the_load(self):
        shares = self.shares(NEAR, replace(NEAR, instance="b"), replace(NEAR, instance="c"))
        self.assertLess(max(shares.values()), 0.4)

    def test_reads_avoid_a_busy_primary_but_not_an_idle_one(self):
        primary = replace(NEAR, is_primary=True)
        self.assertEqual(self.best(primary, FAR), "near")
        self.assertEqual(self.best(replace(primary, queue_delay=28, in_flight=3), FAR), "far")
        # A replica as busy as that keeps its reads.
        self.assertEqual(self.best(replace(NEAR, queue_delay=28, in_flight=1), FAR), "near")

    def test_a_replica_that_is_expected_to_be_behind_is_avoided(self):
        primary = replace(ZONE, instance="primary", is_primary=True)
        self.assertEqual(self.best(replace(NEAR, catch_up_time=100), primary), "primary")
        self.assertEqual(self.best(NEAR, primary), "near")

    def test_a_full_primary_is_preferred_to_replicas_that_are_behind(self):
        # A read that a replica refuses goes to the primary in any case, a round trip later.
        primary = replace(ZONE, instance="primary", is_primary=True, queue_delay=40, in_flight=4)
        behind = [replace(NEAR, catch_up_time=900), replace(FAR, catch_up_time=900)]
        self.assertEqual(self.best(primary, *behind), "primary")

    def test_a_near_member_with_errors_is_avoided(self):
        self.assertEqual(self.best(replace(NEAR, error_share=0.45), FAR), "far")
        fast = replace(NEAR, run_time=0.5, service_time=0.5, error_share=0.45)
        self.assertEqual(self.best(fast, replace(FAR, run_time=40.5, service_time=0.5)), "far")

    def test_a_suspect_member_is_the_last_resort(self):
        suspect = replace(NEAR, is_suspect=True)
        self.assertEqual(self.best(suspect, replace(FAR, queue_delay=900)), "far")
        self.assertEqual(self.best(suspect), "near")

    def test_a_slow_member_keeps_a_share_of_the_load(self):
        # The slow member is chosen only when all slots of the fast one are in use.
        slow = replace(NEAR, instance="slow", queue_delay=28)
        self.assertEqual(self.best(NEAR, slow), "near")
        self.assertEqual(self.best(replace(NEAR, queue_delay=10, in_flight=6), slow), "slow")

    def test_a_cold_member_gets_its_share_as_it_warms_up(self):
        warm_up = WarmUp(cold_ms=4000, heard_at=0)
        warm = replace(ZONE, queue_delay=10)

        def cold_at(now):
            return self.best(replace(NEAR, slowdown=warm_up.slowdown(now)), warm)

        self.assertEqual([cold_at(0), cold_at(2000), cold_at(4000)], ["zone", "zone", "near"])

    def test_a_slowdown_that_shows_in_answer_times_counts_once(self):
        cold = replace(NEAR, slowdown=3.0)
        self.assertEqual(selection_cost(replace(cold, queue_delay=56)), selection_cost(cold))

    def test_without_candidates_there_is_no_choice(self):
        self.assertIsNone(choose_member([], random.Random(1)))


class RunTimesTest(unittest.TestCase):
    def setUp(self):
        self.times = RunTimes()

    def note(self, taken, count=1, member="m1", kind="k", since=0.0):
        for number in range(count):
            self.times.note(member, kind, taken, since + 10.0 * number)

    def test_a_queue_is_noticed_within_two_answers(self):
        self.note(28, 20)
        self.note(128, 2, since=200)
        self.assertGreater(self.times.queue_delay("m1", 210), 70)

    def test_a_queue_hardly_raises_the_baseline_within_a_second(self):
        self.note(28, 20)
        self.note(128, 40, since=200)
        self.assertLess(self.times.baseline("m1", "k"), 45)

    def test_longer_work_is_not_taken_for_a_queue(self):
        self.note(10, 20)
        self.note(50, 20, kind="long", since=200)
        self.assertLess(self.times.queue_delay("m1", 400), 5)

    def test_a_baseline_from_a_delayed_first_answer_falls_soon(self):
        self.note(280)
        self.note(28, 60, since=10)
        self.assertLess(self.times.baseline("m1", "k"), 35)

    def test_a_refusal_as_busy_implies_a_queue(self):
        self.note(28, 20)
        self.times.note_busy("m1", "k", 200)
        self.assertGreater(self.times.queue_delay("m1", 200), 28)

    def test_a_queue_delay_without_new_answers_decays(self):
        self.note(28)
        self.note(500, 5, since=10)
        self.assertLess(self.times.queue_delay("m1", 6000), 5)

    def test_members_that_left_are_dropped(self):
        self.note(28)
        self.times.retain_only({"m2"})
        self.assertIsNone(self.times.baseline("m1", "k"))


class LagTest(unittest.TestCase):
    def test_the_catch_up_time_depends_on_the_age_of_the_position(self):
        lag = LagEstimate()
        lag.note_missing(600, now=0)
        self.assertGreater(lag.expected_catch_up(50, now=100), 400)  # a position of a recent commit
        self.assertEqual(lag.expected_catch_up(1500, now=100), 0)  # a position of an older sample

    def test_a_lag_without_new_answers_decays(self):
        lag = LagEstimate()
        lag.note_missing(600, now=0)
        self.assertLess(lag.expected_catch_up(50, now=4000), 1)


class CandidateEstimatesTest(unittest.TestCase):
    def test_half_of_an_opening_counts_if_the_connection_belongs_to_a_tenant(self):
        forecast = Forecast(wait=50.0, run_time=20.0, opening=30.0)
        self.assertEqual(effective_wait(forecast, is_of_tenant=True), 20.0 + OPENING_SHARE * 30.0)

    def test_an_opening_does_not_count_if_the_connection_has_no_tenant(self):
        forecast = Forecast(wait=50.0, run_time=20.0, opening=30.0)
        self.assertEqual(effective_wait(forecast, is_of_tenant=False), 20.0)

    def test_an_observed_run_time_is_used_wherever_the_member_is(self):
        self.assertEqual(expected_run_time(12.0, service_time=28.0, is_remote=True), 12.0)

    def test_a_round_trip_is_added_for_a_remote_member_without_observations(self):
        self.assertEqual(expected_run_time(None, service_time=28.0, is_remote=False), 28.0)
        self.assertEqual(
            expected_run_time(None, service_time=28.0, is_remote=True), 28.0 + REMOTE_ROUND_TRIP_MS
        )
