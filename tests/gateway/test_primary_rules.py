"""What is believed of a primary, and when members are sampled."""

import unittest

from rowanrail.members.primary_state import (
    ALARM_SECONDS,
    FAILING_SEARCH_PAUSE_SECONDS,
    FAILOVER_OVERDUE_SECONDS,
    SEARCH_INTERVAL_SECONDS,
    PrimaryState,
)
from rowanrail.members.sampling_rules import (
    LOAN_WAIT_SECONDS,
    OPEN_TIMEOUT_SECONDS,
    OWN_CONNECTION_SECONDS,
    RETRY_CROWDED_SECONDS,
    RETRY_OPEN_SECONDS,
    SAMPLE_TIMEOUT_SECONDS,
    LateSample,
    is_needless,
    is_sample_due,
    judge_late,
    may_borrow,
    retry_at,
)

JUST = 0.001  # seconds more or less than a bound


class PrimaryBeliefTest(unittest.TestCase):
    def setUp(self):
        self.belief = PrimaryState("m1", proved_at=10.0)

    def test_a_claim_counts_only_while_none_is_known_or_the_believed_one_fails(self):
        self.assertFalse(self.belief.note_members(["m1", "m2"], claims=["m2"]))
        self.belief.note_failure("m1", 11.0)
        self.assertTrue(self.belief.note_members(["m1", "m2"], claims=["m2"]))
        self.assertEqual(self.belief.presumed_primary, "m2")

    def test_the_believed_one_may_call_itself_primary_beside_another(self):
        self.belief.note_failure("m1", 11.0)
        self.assertFalse(self.belief.note_members(["m1", "m2"], claims=["m2", "m1"]))
        self.assertEqual(self.belief.presumed_primary, "m1")

    def test_one_that_left_is_believed_no_more(self):
        self.assertFalse(self.belief.note_members(["m2"], claims=[]))
        self.assertEqual(self.belief.presumed_primary, "")

    def test_silence_of_another_member_is_no_failure_of_the_primary(self):
        self.belief.note_failure("m2", 11.0)
        self.assertEqual(self.belief.failing_since, 0.0)

    def test_any_silence_is_a_failure_while_no_primary_is_known(self):
        belief = PrimaryState()
        belief.note_failure("m2", 11.0)
        self.assertEqual(belief.failing_since, 11.0)

    def test_a_failure_counts_from_its_first_sign(self):
        self.belief.note_failure("m1", 11.0)
        self.belief.note_failure("m1", 12.0)
        self.assertEqual(self.belief.failing_since, 11.0)

    def test_a_refusal_as_replica_ends_the_belief_in_that_member_only(self):
        self.assertFalse(self.belief.note_not_primary("m2", 11.0))
        self.assertTrue(self.belief.note_not_primary("m1", 11.0))
        self.assertEqual((self.belief.presumed_primary, self.belief.failing_since), ("", 11.0))

    def test_an_alarm_is_raised_once_and_ended_once(self):
        self.assertFalse(self.belief.raise_alarm(99.0))
        self.belief.note_failure("m1", 11.0)
        self.assertFalse(self.belief.raise_alarm(11.0 + ALARM_SECONDS - JUST))
        self.assertTrue(self.belief.raise_alarm(11.0 + ALARM_SECONDS + JUST))
        self.assertFalse(self.belief.raise_alarm(12.0))
        self.assertTrue(self.belief.end_failure())
        self.assertTrue(self.belief.end_alarm())
        self.assertFalse(self.belief.end_alarm())

    def test_it_is_long_lost_after_the_time_for_a_successor(self):
        self.belief.note_failure("m1", 11.0)
        self.assertFalse(self.belief.is_failover_overdue(11.0 + FAILOVER_OVERDUE_SECONDS - JUST))
        self.assertTrue(self.belief.is_failover_overdue(11.0 + FAILOVER_OVERDUE_SECONDS + JUST))
        self.belief.end_failure()
        self.assertFalse(self.belief.is_failover_overdue(99.0))

    def test_searches_are_spaced(self):
        self.assertTrue(self.belief.begin_search(11.0))
        self.assertFalse(self.belief.begin_search(11.0 + SEARCH_INTERVAL_SECONDS - JUST))
        self.assertTrue(self.belief.begin_search(11.0 + SEARCH_INTERVAL_SECONDS + JUST))

    def test_a_primary_that_fails_is_searched_for_less_often(self):
        self.assertFalse(self.belief.is_search_due(11.0))
        self.belief.note_failure("m1", 11.0)
        self.belief.begin_search(11.0)
        spacing = SEARCH_INTERVAL_SECONDS + FAILING_SEARCH_PAUSE_SECONDS
        self.assertFalse(self.belief.is_search_due(11.0 + spacing - JUST))
        self.assertTrue(self.belief.is_search_due(11.0 + spacing + JUST))


class SamplingRulesTest(unittest.TestCase):
    def test_a_connection_of_the_pool_is_waited_for_a_short_while(self):
        early, late = LOAN_WAIT_SECONDS - JUST, LOAN_WAIT_SECONDS + JUST
        self.assertIs(judge_late(early, True, False), LateSample.WAIT)
        self.assertIs(judge_late(late, True, False), LateSample.OPEN_OWN)
        self.assertIs(judge_late(late, False, False), LateSample.WAIT)

    def test_an_answer_that_is_late_ends_the_connection(self):
        self.assertIs(judge_late(SAMPLE_TIMEOUT_SECONDS, False, True), LateSample.WAIT)
        self.assertIs(judge_late(SAMPLE_TIMEOUT_SECONDS + JUST, False, True), LateSample.GIVE_UP)

    def test_an_opening_that_is_late_counts_early_and_ends_late(self):
        self.assertIs(judge_late(SAMPLE_TIMEOUT_SECONDS + JUST, False, False), LateSample.SUSPECT)
        self.assertIs(judge_late(OPEN_TIMEOUT_SECONDS, False, False), LateSample.SUSPECT)
        self.assertIs(judge_late(OPEN_TIMEOUT_SECONDS + JUST, False, False), LateSample.GIVE_UP)

    def test_a_sample_is_asked_for_where_somebody_waits_or_the_last_proof_is_old(self):
        self.assertTrue(is_sample_due(True, False, 0.0, 0.3))
        self.assertTrue(is_sample_due(False, True, 0.4, 0.3))
        self.assertFalse(is_sample_due(False, True, 0.2, 0.3))
        self.assertFalse(is_sample_due(False, False, 9.0, 0.3))

    def test_a_connection_is_borrowed_only_at_a_primary_that_answers(self):
        self.assertTrue(may_borrow(True, False, False, can_lend=True))
        self.assertTrue(may_borrow(True, False, True, can_lend=False))
        self.assertFalse(may_borrow(True, False, False, can_lend=False))
        self.assertFalse(may_borrow(False, False, True, can_lend=True))
        self.assertFalse(may_borrow(True, True, True, can_lend=True))

    def test_a_connection_of_its_own_is_kept_while_it_is_of_use(self):
        old = OWN_CONNECTION_SECONDS + JUST
        self.assertTrue(is_needless(False, False, True, 0.0, can_borrow=False))
        self.assertTrue(is_needless(False, True, True, old, can_borrow=True))
        self.assertFalse(is_needless(False, True, True, old, can_borrow=False))
        self.assertFalse(is_needless(False, True, True, OWN_CONNECTION_SECONDS, can_borrow=True))
        self.assertFalse(is_needless(True, False, True, old, can_borrow=True))

    def test_a_member_that_is_full_is_asked_again_sooner_than_one_that_fails(self):
        self.assertEqual(retry_at(10.0, is_crowded=True), 10.0 + RETRY_CROWDED_SECONDS)
        self.assertEqual(retry_at(10.0, is_crowded=False), 10.0 + RETRY_OPEN_SECONDS)
