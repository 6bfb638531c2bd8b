"""State of a service's primary, and the rules for sampling members."""

import unittest

from rowanrail.members.primary_state import (
    ALARM_SECONDS,
    FAILING_SEARCH_PAUSE_SECONDS,
    FAILOVER_OVERDUE_SECONDS,
    SEARCH_INTERVAL_SECONDS,
    PrimaryState,
)
from rowanrail.members.sampling_rules import (
    DEDICATED_CONNECTION_SECONDS,
    LEASE_WAIT_SECONDS,
    OPEN_TIMEOUT_SECONDS,
    RETRY_CONNECTION_LIMIT_SECONDS,
    RETRY_FAILED_SECONDS,
    SAMPLE_TIMEOUT_SECONDS,
    SampleTimeoutAction,
    is_sample_due,
    may_close_dedicated,
    retry_at,
    sample_timeout_action,
    should_use_pool,
)

EPSILON = 0.001  # seconds on either side of a bound


class PrimaryStateTest(unittest.TestCase):
    def setUp(self):
        self.state = PrimaryState("m1", proved_at=10.0)

    def test_a_claim_counts_only_while_no_primary_is_known_or_it_fails(self):
        self.assertFalse(self.state.note_members(["m1", "m2"], claims=["m2"]))
        self.state.note_failure("m1", 11.0)
        self.assertTrue(self.state.note_members(["m1", "m2"], claims=["m2"]))
        self.assertEqual(self.state.presumed_primary, "m2")

    def test_a_claim_counts_if_it_is_newer_than_the_last_proof(self):
        self.assertTrue(self.state.note_members(["m1", "m2"], claims=["m2"], is_outdated=True))
        self.assertEqual(self.state.presumed_primary, "m2")

    def test_a_member_that_still_claims_is_not_outdated(self):
        self.assertFalse(
            self.state.note_members(["m1", "m2"], claims=["m2", "m1"], is_outdated=True)
        )
        self.assertEqual(self.state.presumed_primary, "m1")

    def test_the_presumed_primary_may_claim_beside_another_member(self):
        self.state.note_failure("m1", 11.0)
        self.assertFalse(self.state.note_members(["m1", "m2"], claims=["m2", "m1"]))
        self.assertEqual(self.state.presumed_primary, "m1")

    def test_a_member_that_left_is_no_longer_presumed_primary(self):
        self.assertFalse(self.state.note_members(["m2"], claims=[]))
        self.assertEqual(self.state.presumed_primary, "")

    def test_a_failure_of_another_member_does_not_count(self):
        self.state.note_failure("m2", 11.0)
        self.assertEqual(self.state.failing_since, 0.0)

    def test_any_failure_counts_while_no_primary_is_known(self):
        state = PrimaryState()
        state.note_failure("m2", 11.0)
        self.assertEqual(state.failing_since, 11.0)

    def test_a_failure_is_timed_from_its_first_report(self):
        self.state.note_failure("m1", 11.0)
        self.state.note_failure("m1", 12.0)
        self.assertEqual(self.state.failing_since, 11.0)

    def test_a_not_primary_refusal_clears_only_the_presumed_primary(self):
        self.assertFalse(self.state.note_not_primary("m2", 11.0))
        self.assertTrue(self.state.note_not_primary("m1", 11.0))
        self.assertEqual((self.state.presumed_primary, self.state.failing_since), ("", 11.0))

    def test_an_alarm_is_raised_once_and_cleared_once(self):
        self.assertFalse(self.state.raise_alarm(99.0))
        self.state.note_failure("m1", 11.0)
        self.assertFalse(self.state.raise_alarm(11.0 + ALARM_SECONDS - EPSILON))
        self.assertTrue(self.state.raise_alarm(11.0 + ALARM_SECONDS + EPSILON))
        self.assertFalse(self.state.raise_alarm(12.0))
        self.assertTrue(self.state.clear_failure())
        self.assertTrue(self.state.clear_alarm())
        self.assertFalse(self.state.clear_alarm())

    def test_failover_is_overdue_after_the_usual_failover_time(self):
        self.state.note_failure("m1", 11.0)
        self.assertFalse(self.state.is_failover_overdue(11.0 + FAILOVER_OVERDUE_SECONDS - EPSILON))
        self.assertTrue(self.state.is_failover_overdue(11.0 + FAILOVER_OVERDUE_SECONDS + EPSILON))
        self.state.clear_failure()
        self.assertFalse(self.state.is_failover_overdue(99.0))

    def test_searches_have_a_minimum_interval(self):
        self.assertTrue(self.state.try_begin_search(11.0))
        self.assertFalse(self.state.try_begin_search(11.0 + SEARCH_INTERVAL_SECONDS - EPSILON))
        self.assertTrue(self.state.try_begin_search(11.0 + SEARCH_INTERVAL_SECONDS + EPSILON))

    def test_searches_for_a_failing_primary_are_less_frequent(self):
        self.assertFalse(self.state.is_search_due(11.0))
        self.state.note_failure("m1", 11.0)
        self.state.try_begin_search(11.0)
        spacing = SEARCH_INTERVAL_SECONDS + FAILING_SEARCH_PAUSE_SECONDS
        self.assertFalse(self.state.is_search_due(11.0 + spacing - EPSILON))
        self.assertTrue(self.state.is_search_due(11.0 + spacing + EPSILON))


class SamplingRulesTest(unittest.TestCase):
    def test_a_pooled_connection_is_waited_for_only_briefly(self):
        early, late = LEASE_WAIT_SECONDS - EPSILON, LEASE_WAIT_SECONDS + EPSILON
        self.assertIs(sample_timeout_action(early, True, False), SampleTimeoutAction.WAIT)
        self.assertIs(sample_timeout_action(late, True, False), SampleTimeoutAction.OPEN_DEDICATED)
        self.assertIs(sample_timeout_action(late, False, False), SampleTimeoutAction.WAIT)

    def test_a_late_answer_closes_the_connection(self):
        self.assertIs(
            sample_timeout_action(SAMPLE_TIMEOUT_SECONDS, False, True), SampleTimeoutAction.WAIT
        )
        self.assertIs(
            sample_timeout_action(SAMPLE_TIMEOUT_SECONDS + EPSILON, False, True),
            SampleTimeoutAction.GIVE_UP,
        )

    def test_a_slow_open_is_reported_early_and_abandoned_late(self):
        self.assertIs(
            sample_timeout_action(SAMPLE_TIMEOUT_SECONDS + EPSILON, False, False),
            SampleTimeoutAction.SUSPECT,
        )
        self.assertIs(
            sample_timeout_action(OPEN_TIMEOUT_SECONDS, False, False), SampleTimeoutAction.SUSPECT
        )
        self.assertIs(
            sample_timeout_action(OPEN_TIMEOUT_SECONDS + EPSILON, False, False),
            SampleTimeoutAction.GIVE_UP,
        )

    def test_a_sample_is_due_when_a_read_waits_or_the_last_proof_is_old(self):
        self.assertTrue(is_sample_due(True, False, 0.0, 0.3))
        self.assertTrue(is_sample_due(False, True, 0.4, 0.3))
        self.assertFalse(is_sample_due(False, True, 0.2, 0.3))
        self.assertFalse(is_sample_due(False, False, 9.0, 0.3))

    def test_the_pool_is_used_only_for_a_primary_that_answers(self):
        self.assertTrue(should_use_pool(True, False, False, can_lease=True))
        self.assertTrue(should_use_pool(True, False, True, can_lease=False))
        self.assertFalse(should_use_pool(True, False, False, can_lease=False))
        self.assertFalse(should_use_pool(False, False, True, can_lease=True))
        self.assertFalse(should_use_pool(True, True, True, can_lease=True))

    def test_a_dedicated_connection_is_kept_while_needed(self):
        old = DEDICATED_CONNECTION_SECONDS + EPSILON
        self.assertTrue(may_close_dedicated(False, False, True, 0.0, pool_available=False))
        self.assertTrue(may_close_dedicated(False, True, True, old, pool_available=True))
        self.assertFalse(may_close_dedicated(False, True, True, old, pool_available=False))
        self.assertFalse(
            may_close_dedicated(
                False, True, True, DEDICATED_CONNECTION_SECONDS, pool_available=True
            )
        )
        self.assertFalse(may_close_dedicated(True, False, True, old, pool_available=True))

    def test_a_member_at_its_connection_limit_is_retried_sooner_than_a_failed_one(self):
        self.assertEqual(
            retry_at(10.0, is_at_connection_limit=True), 10.0 + RETRY_CONNECTION_LIMIT_SECONDS
        )
        self.assertEqual(retry_at(10.0, is_at_connection_limit=False), 10.0 + RETRY_FAILED_SECONDS)
