"""Choice of a member: what weighs against what, on plain data."""

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
    completion,
    effective_wait,
    expected_run_time,
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

    def test_a_near_member_is_taken_while_it_is_as_quick(self):
        # Bytes to other regions are paid by callers' links.
        self.assertEqual(self.shares(NEAR, FAR)["near"], 1.0)
        self.assertEqual(self.shares(NEAR, ZONE)["near"], 1.0)

    def test_a_near_but_full_member_passes_work_on_to_a_far_one(self):
        self.assertEqual(self.best(replace(NEAR, queue_delay=90, in_flight=5), FAR), "far")

    def test_a_wait_for_a_connection_counts_as_any_other_wait(self):
        self.assertEqual(self.best(replace(NEAR, wait=90), FAR), "far")

    def test_own_statements_count_at_once(self):
        self.assertEqual(self.best(replace(NEAR, in_flight=6), replace(NEAR, instance="b")), "b")

    def test_nearly_equal_members_share_the_work(self):
        shares = self.shares(NEAR, replace(NEAR, instance="b"), replace(NEAR, instance="c"))
        self.assertLess(max(shares.values()), 0.4)

    def test_a_busy_primary_is_spared_by_reads_and_an_idle_one_is_not(self):
        primary = replace(NEAR, is_primary=True)
        self.assertEqual(self.best(primary, FAR), "near")
        self.assertEqual(self.best(replace(primary, queue_delay=28, in_flight=3), FAR), "far")
        # A replica as busy as that keeps its reads.
        self.assertEqual(self.best(replace(NEAR, queue_delay=28, in_flight=1), FAR), "near")

    def test_a_replica_that_is_expected_to_be_behind_is_tried_later(self):
        primary = replace(ZONE, instance="primary", is_primary=True)
        self.assertEqual(self.best(replace(NEAR, catch_up_time=100), primary), "primary")
        self.assertEqual(self.best(NEAR, primary), "near")

    def test_with_all_replicas_behind_a_full_primary_still_comes_first(self):
        # A read that its replica turns back needs the primary all the same, a round trip later.
        primary = replace(ZONE, instance="primary", is_primary=True, queue_delay=40, in_flight=4)
        behind = [replace(NEAR, catch_up_time=900), replace(FAR, catch_up_time=900)]
        self.assertEqual(self.best(primary, *behind), "primary")

    def test_a_limping_member_is_avoided_though_it_is_the_nearest(self):
        self.assertEqual(self.best(replace(NEAR, error_share=0.45), FAR), "far")
        quick = replace(NEAR, run_time=0.5, service_time=0.5, error_share=0.45)
        self.assertEqual(self.best(quick, replace(FAR, run_time=40.5, service_time=0.5)), "far")

    def test_a_suspect_member_comes_last_but_is_tried(self):
        suspect = replace(NEAR, is_suspect=True)
        self.assertEqual(self.best(suspect, replace(FAR, queue_delay=900)), "far")
        self.assertEqual(self.best(suspect), "near")

    def test_a_slow_member_keeps_a_part_of_the_work(self):
        # With one statement under way here and none there, the slow one would be done later;
        # with the quick one's slots all taken it is the sooner one.
        slow = replace(NEAR, instance="slow", queue_delay=28)
        self.assertEqual(self.best(NEAR, slow), "near")
        self.assertEqual(self.best(replace(NEAR, queue_delay=10, in_flight=6), slow), "slow")

    def test_a_cold_member_gets_its_part_as_it_warms(self):
        warming = WarmUp(cold_ms=4000, heard_at=0)
        warm = replace(ZONE, queue_delay=10)

        def cold_at(now):
            return self.best(replace(NEAR, slowdown=warming.slowdown(now)), warm)

        self.assertEqual([cold_at(0), cold_at(2000), cold_at(4000)], ["zone", "zone", "near"])

    def test_coldness_that_shows_in_its_answers_counts_once(self):
        cold = replace(NEAR, slowdown=3.0)
        self.assertEqual(completion(replace(cold, queue_delay=56)), completion(cold))

    def test_nobody_to_choose_from(self):
        self.assertIsNone(choose_member([], random.Random(1)))


class RunTimesTest(unittest.TestCase):
    def setUp(self):
        self.times = RunTimes()

    def note(self, taken, count=1, member="m1", kind="k", since=0.0):
        for number in range(count):
            self.times.note(member, kind, taken, since + 10.0 * number)

    def test_a_queue_shows_within_two_answers(self):
        self.note(28, 20)
        self.note(128, 2, since=200)
        self.assertGreater(self.times.queue_delay("m1", 210), 70)

    def test_a_queue_does_not_become_the_usual_time_within_a_second(self):
        self.note(28, 20)
        self.note(128, 40, since=200)
        self.assertLess(self.times.baseline("m1", "k"), 45)

    def test_long_work_is_no_queue(self):
        self.note(10, 20)
        self.note(50, 20, kind="long", since=200)
        self.assertLess(self.times.queue_delay("m1", 400), 5)

    def test_a_first_answer_that_met_a_queue_is_soon_corrected(self):
        self.note(280)
        self.note(28, 60, since=10)
        self.assertLess(self.times.baseline("m1", "k"), 35)

    def test_a_member_that_turned_a_statement_away_is_full(self):
        self.note(28, 20)
        self.times.note_busy("m1", "k", 200)
        self.assertGreater(self.times.queue_delay("m1", 200), 28)

    def test_a_member_that_nobody_asks_is_forgotten_to_be_full(self):
        self.note(28)
        self.note(500, 5, since=10)
        self.assertLess(self.times.queue_delay("m1", 6000), 5)

    def test_members_that_left_are_forgotten(self):
        self.note(28)
        self.times.keep({"m2"})
        self.assertIsNone(self.times.baseline("m1", "k"))


class LagTest(unittest.TestCase):
    def test_a_lag_is_told_against_the_age_that_a_read_accepts(self):
        lag = LagEstimate()
        lag.note_missing(600, now=0)
        self.assertGreater(lag.expected_catch_up(50, now=100), 400)  # its own commit of just now
        self.assertEqual(lag.expected_catch_up(1500, now=100), 0)  # a sample from a while ago

    def test_a_replica_that_was_behind_is_tried_again(self):
        lag = LagEstimate()
        lag.note_missing(600, now=0)
        self.assertLess(lag.expected_catch_up(50, now=4000), 1)


class CandidateFiguresTest(unittest.TestCase):
    def test_an_opening_counts_by_half_where_its_connection_is_a_tenants(self):
        forecast = Forecast(wait=50.0, run_time=20.0, opening=30.0)
        self.assertEqual(effective_wait(forecast, is_of_tenant=True), 20.0 + OPENING_SHARE * 30.0)

    def test_an_opening_of_nobodys_connection_keeps_nobody_from_a_member(self):
        forecast = Forecast(wait=50.0, run_time=20.0, opening=30.0)
        self.assertEqual(effective_wait(forecast, is_of_tenant=False), 20.0)

    def test_what_a_member_was_seen_to_take_counts_wherever_it_is(self):
        self.assertEqual(expected_run_time(12.0, service_time=28.0, is_remote=True), 12.0)

    def test_a_remote_member_that_was_never_asked_takes_a_round_trip_more(self):
        self.assertEqual(expected_run_time(None, service_time=28.0, is_remote=False), 28.0)
        self.assertEqual(
            expected_run_time(None, service_time=28.0, is_remote=True), 28.0 + REMOTE_ROUND_TRIP_MS
        )
