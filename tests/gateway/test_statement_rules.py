"""Rules for attempts, refusals and the freshness of samples."""

import unittest

from rowanrail.gateway.work import attempts, freshness, refusals
from rowanrail.gateway.work.attempts import ReadStep, SentRequest, WriteStep
from rowanrail.model.routing import Consistency, Route
from rowanrail.model.statements import NO_EFFECT_REFUSALS, Refusal, SessionState
from rowanrail.scheduling.admission import Forecast, RejectionCause
from rowanrail.scheduling.retrying import SHORTEST_RETRY_AFTER_MS

OPEN = SessionState.TRANSACTION


def route(consistency):
    return Route("r", "db", "s", consistency, 1.0, 0.5, staleness_seconds=0.4)


class FreshnessTest(unittest.TestCase):
    def test_a_read_accepts_a_sample_as_old_as_its_staleness(self):
        self.assertEqual(freshness.earliest_sample_time(route(Consistency.BOUNDED), 10.0), 9.6)

    def test_a_primary_read_needs_a_sample_requested_after_its_arrival(self):
        self.assertEqual(freshness.earliest_sample_time(route(Consistency.PRIMARY), 10.0), 10.0)
        self.assertFalse(freshness.should_prefetch(route(Consistency.PRIMARY), 9.0))

    def test_the_next_sample_is_requested_at_half_of_the_staleness(self):
        ages = (0.2, 0.201)
        wanted = [freshness.should_prefetch(route(Consistency.BOUNDED), age) for age in ages]
        self.assertEqual(wanted, [False, True])


class AttemptTimeTest(unittest.TestCase):
    def test_a_member_that_is_usually_fast_still_gets_the_minimum(self):
        for usual in (0.0, 0.001, 0.05):
            self.assertEqual(attempts.read_attempt_timeout_seconds(1.0, usual), 0.4)

    def test_a_slow_member_gets_eight_of_its_usual_latencies(self):
        self.assertEqual(attempts.read_attempt_timeout_seconds(2.0, 0.1), 0.8)

    def test_no_member_gets_more_than_a_fraction_of_the_objective(self):
        self.assertAlmostEqual(attempts.read_attempt_timeout_seconds(0.25, 0.0), 0.15)
        self.assertAlmostEqual(attempts.read_attempt_timeout_seconds(1.0, 5.0), 0.6)


class ObjectiveTest(unittest.TestCase):
    def test_half_of_the_objective_may_be_spent_in_the_queue(self):
        for wait, expected in ((200.0, True), (200.1, False)):
            self.assertIs(attempts.can_meet_objective(Forecast(wait, 10), 0.4, 0.0), expected)

    def test_time_that_passed_already_counts(self):
        self.assertTrue(attempts.can_meet_objective(Forecast(100.0, 10), 0.4, 100.0))
        self.assertFalse(attempts.can_meet_objective(Forecast(100.1, 10), 0.4, 100.0))

    def test_a_member_with_capacity_always_qualifies(self):
        self.assertTrue(attempts.can_meet_objective(Forecast(900.0, 10, has_room=True), 0.4, 300.0))


class StepAfterReadTest(unittest.TestCase):
    def test_a_refused_read_is_retried_at_another_member(self):
        elsewhere = set(Refusal) - {Refusal.TIMEOUT, Refusal.INVALID, Refusal.BEHIND}
        for refusal in elsewhere:
            for from_primary in (True, False):
                step = attempts.step_after_read(refusal, 0, from_primary)
                self.assertIs(step, ReadStep.NEXT_MEMBER, refusal)

    def test_refusals_that_every_member_would_give_are_answered(self):
        for refusal in (Refusal.TIMEOUT, Refusal.INVALID):
            self.assertIs(attempts.step_after_read(refusal, 0, False), ReadStep.ANSWER)

    def test_the_third_failure_is_answered(self):
        steps = [attempts.step_after_read(Refusal.FAILED, failures, True) for failures in (1, 2, 3)]
        self.assertEqual(steps, [ReadStep.NEXT_MEMBER, ReadStep.NEXT_MEMBER, ReadStep.ANSWER])

    def test_earlier_failures_do_not_affect_other_refusals(self):
        self.assertIs(attempts.step_after_read(Refusal.LOST, 3, False), ReadStep.NEXT_MEMBER)

    def test_a_replica_behind_the_floor_sends_the_read_to_the_primary(self):
        self.assertIs(attempts.step_after_read(Refusal.BEHIND, 0, False), ReadStep.PRIMARY)

    def test_a_primary_behind_the_floor_invalidates_its_sample(self):
        self.assertIs(attempts.step_after_read(Refusal.BEHIND, 0, True), ReadStep.NEW_SAMPLE)

    def test_a_read_restarts_after_six_attempts(self):
        self.assertEqual([attempts.has_attempts_left(n) for n in (1, 6, 7)], [True, True, False])


class StepAfterWriteTest(unittest.TestCase):
    def test_only_a_write_that_did_not_run_is_retried(self):
        again = [r for r in Refusal if attempts.step_after_write(r) is WriteStep.RETRY]
        self.assertEqual(set(again), {Refusal.NOT_PRIMARY, Refusal.BUSY, Refusal.UNKNOWN_NAME})
        self.assertLessEqual(set(again), NO_EFFECT_REFUSALS)

    def test_the_outcome_is_unknown_after_a_lost_connection(self):
        self.assertIs(attempts.step_after_write(Refusal.LOST), WriteStep.UNKNOWN)

    def test_other_refusals_are_answered(self):
        for refusal in (Refusal.FAILED, Refusal.INVALID, Refusal.TOO_LARGE, Refusal.TIMEOUT):
            self.assertIs(attempts.step_after_write(refusal), WriteStep.ANSWER)


class TransactionRetryTest(unittest.TestCase):
    def test_a_busy_statement_is_retried_three_times(self):
        found = [attempts.may_retry_in_transaction(Refusal.BUSY, OPEN, n) for n in range(4)]
        self.assertEqual(found, [True, True, True, False])

    def test_not_if_the_member_ended_the_transaction_or_is_lost(self):
        for state in (SessionState.IDLE, SessionState.FAILED, None):
            self.assertFalse(attempts.may_retry_in_transaction(Refusal.BUSY, state, 0))

    def test_not_for_another_refusal(self):
        for refusal in (*(set(Refusal) - {Refusal.BUSY}), None):
            self.assertFalse(attempts.may_retry_in_transaction(refusal, OPEN, 0))

    def test_pauses_grow_by_a_round_trip(self):
        pauses = [round(attempts.busy_retry_delay_seconds(n), 3) for n in (1, 2, 3)]
        self.assertEqual(pauses, [0.02, 0.04, 0.06])


class MissingAnswerTest(unittest.TestCase):
    def test_only_requests_without_effect_are_reported_as_not_run(self):
        refusals_by_request = {sent: attempts.refusal_without_answer(sent) for sent in SentRequest}
        self.assertEqual(
            refusals_by_request,
            {
                SentRequest.READ: Refusal.TIMEOUT,
                SentRequest.WRITE: Refusal.OUTCOME_UNKNOWN,
                SentRequest.IN_TRANSACTION: Refusal.ABORTED,
                SentRequest.COMMIT: Refusal.OUTCOME_UNKNOWN,
            },
        )
        for sent in (SentRequest.WRITE, SentRequest.COMMIT):
            self.assertNotIn(refusals_by_request[sent], NO_EFFECT_REFUSALS)

    def test_a_lost_connection_is_reported_as_a_missing_answer(self):
        for sent in SentRequest:
            self.assertIs(
                attempts.client_refusal(Refusal.LOST, sent),
                attempts.refusal_without_answer(sent),
                sent,
            )

    def test_other_refusals_are_passed_on(self):
        for refusal in set(Refusal) - {Refusal.LOST}:
            for sent in SentRequest:
                self.assertIs(attempts.client_refusal(refusal, sent), refusal)


class DeferTest(unittest.TestCase):
    def test_the_deferral_is_seven_tenths_of_the_objective(self):
        self.assertAlmostEqual(refusals.deferral_seconds(0.5), 0.35)

    def test_the_last_retry_falls_within_the_deferral(self):
        self.assertTrue(refusals.has_time_to_retry(0.0, 0.02))
        self.assertFalse(refusals.has_time_to_retry(0.001, 0.02))

    def test_only_a_lost_or_full_primary_ends_the_deferral(self):
        self.assertEqual(refusals.primary_unavailable_reason(0.0, False), "")
        self.assertEqual(refusals.primary_unavailable_reason(12.5, True), "the primary is lost")
        full = "the primary has no connection left"
        self.assertEqual(refusals.primary_unavailable_reason(0.0, True), full)

    def test_a_forwarded_statement_always_has_some_time(self):
        self.assertEqual(refusals.remaining_seconds(0.5, 0.25), 0.25)
        self.assertEqual(refusals.remaining_seconds(0.5, 0.7), 0.001)


class DeferredRefusalTest(unittest.TestCase):
    def test_without_a_primary_clients_retry_after_the_failover(self):
        verdict = refusals.rejection_of_deferred(Refusal.BUSY, has_primary=False)
        self.assertEqual(
            (verdict.cause, verdict.retry_after_ms), (RejectionCause.NO_PRIMARY, 1000.0)
        )

    def test_with_a_primary_clients_retry_as_soon_as_allowed(self):
        verdict = refusals.rejection_of_deferred(Refusal.BUSY, has_primary=True)
        self.assertEqual((verdict.cause, verdict.retry_after_ms), (RejectionCause.NO_PLACE, 0.0))
        shortest = refusals.base_retry_after_ms(verdict.retry_after_ms)
        self.assertEqual(shortest, SHORTEST_RETRY_AFTER_MS)

    def test_a_more_specific_refusal_is_passed_on(self):
        for refusal in set(Refusal) - {Refusal.BUSY}:
            for has_primary in (True, False):
                self.assertIsNone(refusals.rejection_of_deferred(refusal, has_primary))


class LimitTest(unittest.TestCase):
    def test_retries_over_a_limit_are_spread_up_to_twice_the_wait(self):
        for wait, soonest in ((0.0, 200.0), (150.0, 200.0), (900.0, 900.0)):
            retry_after = [refusals.quota_retry_after_ms(number, wait) for number in range(100)]
            self.assertEqual(min(retry_after), soonest)
            self.assertLess(max(retry_after), 2 * soonest)
            self.assertEqual(len(set(retry_after)), len(retry_after))
