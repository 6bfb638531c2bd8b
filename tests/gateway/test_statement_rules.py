"""The rules of attempts and refusals, on plain values."""

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
    def test_a_read_accepts_a_sample_as_old_as_its_route_says(self):
        self.assertEqual(freshness.oldest_sample(route(Consistency.BOUNDED), 10.0), 9.6)

    def test_a_read_of_the_primary_needs_one_asked_for_after_it_came(self):
        self.assertEqual(freshness.oldest_sample(route(Consistency.PRIMARY), 10.0), 10.0)
        self.assertFalse(freshness.wants_next_sample(route(Consistency.PRIMARY), 9.0))

    def test_the_next_one_is_asked_for_at_half_of_the_staleness(self):
        ages = (0.2, 0.201)
        wanted = [freshness.wants_next_sample(route(Consistency.BOUNDED), age) for age in ages]
        self.assertEqual(wanted, [False, True])


class AttemptTimeTest(unittest.TestCase):
    def test_a_member_that_is_usually_fast_still_gets_the_minimum(self):
        for usual in (0.0, 0.001, 0.05):
            self.assertEqual(attempts.answer_limit_seconds(1.0, usual), 0.4)

    def test_a_slow_member_gets_eight_of_its_usual_latencies(self):
        self.assertEqual(attempts.answer_limit_seconds(2.0, 0.1), 0.8)

    def test_no_member_gets_more_than_its_share_of_the_objective(self):
        self.assertAlmostEqual(attempts.answer_limit_seconds(0.25, 0.0), 0.15)
        self.assertAlmostEqual(attempts.answer_limit_seconds(1.0, 5.0), 0.6)


class PromptTest(unittest.TestCase):
    def test_half_of_the_objective_may_pass_in_the_queue(self):
        for wait, is_prompt in ((200.0, True), (200.1, False)):
            self.assertIs(attempts.is_prompt(Forecast(wait, 10), 0.4, 0.0), is_prompt)

    def test_time_that_passed_already_counts(self):
        self.assertTrue(attempts.is_prompt(Forecast(100.0, 10), 0.4, 100.0))
        self.assertFalse(attempts.is_prompt(Forecast(100.1, 10), 0.4, 100.0))

    def test_a_member_with_room_is_prompt_however_late_it_is(self):
        self.assertTrue(attempts.is_prompt(Forecast(900.0, 10, has_room=True), 0.4, 300.0))


class StepAfterReadTest(unittest.TestCase):
    def test_a_read_goes_on_elsewhere_whatever_became_of_it_at_one_member(self):
        elsewhere = set(Refusal) - {Refusal.TIMEOUT, Refusal.INVALID, Refusal.BEHIND}
        for refusal in elsewhere:
            for from_primary in (True, False):
                step = attempts.step_after_read(refusal, 0, from_primary)
                self.assertIs(step, ReadStep.NEXT_MEMBER, refusal)

    def test_what_would_be_the_same_anywhere_is_answered(self):
        for refusal in (Refusal.TIMEOUT, Refusal.INVALID):
            self.assertIs(attempts.step_after_read(refusal, 0, False), ReadStep.ANSWER)

    def test_the_third_member_that_fails_it_gives_the_answer(self):
        steps = [attempts.step_after_read(Refusal.FAILED, failures, True) for failures in (1, 2, 3)]
        self.assertEqual(steps, [ReadStep.NEXT_MEMBER, ReadStep.NEXT_MEMBER, ReadStep.ANSWER])

    def test_failures_before_do_not_hinder_another_refusal(self):
        self.assertIs(attempts.step_after_read(Refusal.LOST, 3, False), ReadStep.NEXT_MEMBER)

    def test_a_replica_that_lacks_the_floor_sends_it_to_the_primary(self):
        self.assertIs(attempts.step_after_read(Refusal.BEHIND, 0, False), ReadStep.PRIMARY)

    def test_a_primary_that_lacks_the_floor_makes_its_sample_void(self):
        self.assertIs(attempts.step_after_read(Refusal.BEHIND, 0, True), ReadStep.NEW_SAMPLE)

    def test_six_members_are_tried_before_it_begins_anew(self):
        self.assertEqual([attempts.has_attempts_left(n) for n in (1, 6, 7)], [True, True, False])


class StepAfterWriteTest(unittest.TestCase):
    def test_only_what_did_not_run_is_sent_again(self):
        again = [r for r in Refusal if attempts.step_after_write(r) is WriteStep.RETRY]
        self.assertEqual(set(again), {Refusal.NOT_PRIMARY, Refusal.BUSY, Refusal.UNKNOWN_NAME})
        self.assertLessEqual(set(again), NO_EFFECT_REFUSALS)

    def test_a_lost_connection_leaves_it_unknown(self):
        self.assertIs(attempts.step_after_write(Refusal.LOST), WriteStep.UNKNOWN)

    def test_all_else_is_the_clients_answer(self):
        for refusal in (Refusal.FAILED, Refusal.INVALID, Refusal.TOO_LARGE, Refusal.TIMEOUT):
            self.assertIs(attempts.step_after_write(refusal), WriteStep.ANSWER)


class TransactionRetryTest(unittest.TestCase):
    def test_a_busy_statement_is_sent_again_three_times(self):
        found = [attempts.may_retry_in_transaction(Refusal.BUSY, OPEN, n) for n in range(4)]
        self.assertEqual(found, [True, True, True, False])

    def test_not_if_the_member_ended_the_transaction_or_is_lost(self):
        for state in (SessionState.IDLE, SessionState.FAILED, None):
            self.assertFalse(attempts.may_retry_in_transaction(Refusal.BUSY, state, 0))

    def test_not_for_another_refusal(self):
        for refusal in (*(set(Refusal) - {Refusal.BUSY}), None):
            self.assertFalse(attempts.may_retry_in_transaction(refusal, OPEN, 0))

    def test_pauses_grow_by_a_round_trip(self):
        pauses = [round(attempts.busy_pause_seconds(n), 3) for n in (1, 2, 3)]
        self.assertEqual(pauses, [0.02, 0.04, 0.06])


class UnansweredTest(unittest.TestCase):
    def test_only_what_can_not_be_kept_is_called_not_run(self):
        told = {sent: attempts.refusal_without_answer(sent) for sent in SentRequest}
        self.assertEqual(
            told,
            {
                SentRequest.READ: Refusal.TIMEOUT,
                SentRequest.WRITE: Refusal.OUTCOME_UNKNOWN,
                SentRequest.IN_TRANSACTION: Refusal.ABORTED,
                SentRequest.COMMIT: Refusal.OUTCOME_UNKNOWN,
            },
        )
        for sent in (SentRequest.WRITE, SentRequest.COMMIT):
            self.assertNotIn(told[sent], NO_EFFECT_REFUSALS)

    def test_a_lost_connection_is_told_as_no_answer(self):
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
    def test_it_is_deferred_for_seven_tenths_of_the_objective(self):
        self.assertAlmostEqual(refusals.defer_seconds(0.5), 0.35)

    def test_the_last_try_lies_within_that_time(self):
        self.assertTrue(refusals.may_defer(0.0, 0.02))
        self.assertFalse(refusals.may_defer(0.001, 0.02))

    def test_only_a_lost_or_full_primary_ends_it(self):
        self.assertEqual(refusals.primary_unavailable_reason(0.0, False), "")
        self.assertEqual(refusals.primary_unavailable_reason(12.5, True), "the primary is lost")
        full = "the primary has no connection left"
        self.assertEqual(refusals.primary_unavailable_reason(0.0, True), full)

    def test_whoever_it_is_handed_on_to_has_some_time(self):
        self.assertEqual(refusals.left_seconds(0.5, 0.25), 0.25)
        self.assertEqual(refusals.left_seconds(0.5, 0.7), 0.001)


class UnplacedTest(unittest.TestCase):
    def test_without_a_primary_clients_retry_when_a_successor_can_be_there(self):
        verdict = refusals.rejection_of_deferred(Refusal.BUSY, has_primary=False)
        self.assertEqual(
            (verdict.cause, verdict.retry_after_ms), (RejectionCause.NO_PRIMARY, 1000.0)
        )

    def test_with_a_primary_they_retry_as_soon_as_may_be(self):
        verdict = refusals.rejection_of_deferred(Refusal.BUSY, has_primary=True)
        self.assertEqual((verdict.cause, verdict.retry_after_ms), (RejectionCause.NO_PLACE, 0.0))
        shortest = refusals.shortest_retry_after_ms(verdict.retry_after_ms)
        self.assertEqual(shortest, SHORTEST_RETRY_AFTER_MS)

    def test_a_refusal_that_says_more_is_passed_on(self):
        for refusal in set(Refusal) - {Refusal.BUSY}:
            for has_primary in (True, False):
                self.assertIsNone(refusals.rejection_of_deferred(refusal, has_primary))


class LimitTest(unittest.TestCase):
    def test_clients_over_a_limit_are_spread_from_its_next_room_to_twice_that(self):
        for wait, soonest in ((0.0, 200.0), (150.0, 200.0), (900.0, 900.0)):
            told = [refusals.limit_retry_after_ms(number, wait) for number in range(100)]
            self.assertEqual(min(told), soonest)
            self.assertLess(max(told), 2 * soonest)
            self.assertEqual(len(set(told)), len(told))
