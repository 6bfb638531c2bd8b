"""The SQL side's rules on plain values: serving, outcomes, queues, changes, admission."""

import unittest

from rowanrail.cluster.data_folder import NodeConfig, StartupMode, check_owner, startup_mode
from rowanrail.cluster.membership import with_learner, without_name
from rowanrail.config.model import GroupConsistency
from rowanrail.consensus.messages import Membership
from rowanrail.consensus.storage import Identity
from rowanrail.kernel.errors import StorageError
from rowanrail.model.position import ORIGIN, Position
from rowanrail.sql_control import changes
from rowanrail.sql_control.messages import Outcome, Verdict, WatchReply
from rowanrail.sql_proxy import limits, outcomes, queueing, serving, watching
from rowanrail.sql_proxy.backend import MemberRole, MemberStatus
from rowanrail.sql_proxy.config_watch import newest_confirmed
from rowanrail.sql_proxy.known_status import KnownStatus
from rowanrail.sql_proxy.outcomes import LostCommit
from rowanrail.sql_proxy.serving import FloorSource, ReadServer


class FloorTest(unittest.TestCase):
    def test_strict_always_asks_and_bounded_takes_a_recent_one(self):
        for has_position in (False, True):
            self.assertIs(
                serving.floor_source(GroupConsistency.STRICT, has_position), FloorSource.ASKED
            )
            self.assertIs(
                serving.floor_source(GroupConsistency.BOUNDED, has_position), FloorSource.RECENT
            )

    def test_a_session_asks_only_before_it_has_seen_anything(self):
        sources = [serving.floor_source(GroupConsistency.SESSION, seen) for seen in (False, True)]
        self.assertEqual(sources, [FloorSource.ASKED, FloorSource.OWN])

    def test_a_recent_floor_is_as_old_as_the_group_allows(self):
        self.assertTrue(serving.is_recent_floor(0.5, 0.5))
        self.assertFalse(serving.is_recent_floor(0.51, 0.5))
        self.assertFalse(serving.is_recent_floor(float("inf"), 0.5))


class PrimaryTest(unittest.TestCase):
    def test_the_claim_in_the_highest_term_wins(self):
        self.assertEqual(serving.current_primary([3, 4, 4], [True, True, False]), 1)

    def test_of_two_claims_in_one_term_the_first_is_taken(self):
        self.assertEqual(serving.current_primary([4, 4, 4], [False, True, True]), 1)

    def test_a_primary_that_a_majority_has_left_gets_no_work(self):
        self.assertIsNone(serving.current_primary([3, 4, 4], [True, False, False]))

    def test_one_member_in_a_later_term_is_no_majority(self):
        self.assertEqual(serving.current_primary([3, 4, 3], [True, False, False]), 0)

    def test_nobody_claims(self):
        self.assertIsNone(serving.current_primary([0, 0, 0], [False, False, False]))


class ReadServerTest(unittest.TestCase):
    def test_the_primary_serves_what_no_replica_has(self):
        self.assertIs(serving.server_without_replica(True, 9.0, 9.0), ReadServer.PRIMARY)

    def test_without_it_a_read_waits_until_its_deadline(self):
        self.assertIs(serving.server_without_replica(False, 8.0, 9.0), ReadServer.WAIT)
        self.assertIs(serving.server_without_replica(False, 8.999, 9.0), ReadServer.REFUSE)

    def test_a_member_with_free_slots_costs_its_latency(self):
        self.assertEqual(serving.expected_seconds(0.01, 3, 8, 4), 0.01)
        self.assertEqual(serving.expected_seconds(0.01, 11, 8, 4), 0.03)


class OutcomeTest(unittest.TestCase):
    def test_a_lost_commit_with_a_record_is_settled(self):
        for has_written in (False, True):
            self.assertIs(outcomes.lost_commit(True, has_written), LostCommit.SETTLE)

    def test_without_one_it_is_unknown_only_if_something_was_written(self):
        self.assertIs(outcomes.lost_commit(False, True), LostCommit.UNKNOWN)
        self.assertIs(outcomes.lost_commit(False, False), LostCommit.ROLLED_BACK)

    def test_a_member_that_is_no_primary_has_run_nothing(self):
        for code in (1290, 1792, 1836, 3100):
            self.assertTrue(outcomes.is_refused_by_replica(code))
        self.assertFalse(outcomes.is_refused_by_replica(1062))

    def test_a_duplicate_of_the_callers_own_table_is_answered(self):
        self.assertTrue(outcomes.is_under_way(1062, "key 'rowanrail_requests.PRIMARY'"))
        self.assertFalse(outcomes.is_under_way(1062, "key 'cues.PRIMARY'"))
        self.assertFalse(outcomes.is_under_way(1205, "key 'rowanrail_requests.PRIMARY'"))

    def test_a_write_waits_for_a_primary_no_longer_than_its_deadline(self):
        self.assertEqual(outcomes.primary_wait_end(1.0, 9.0, 3.0), 4.0)
        self.assertEqual(outcomes.primary_wait_end(1.0, 2.0, 3.0), 2.0)

    def test_pauses_between_rounds_double_up_to_the_longest(self):
        pauses = [outcomes.ROUND_RETRY_SECONDS]
        for _ in range(5):
            pauses.append(outcomes.next_round_pause(pauses[-1]))
        self.assertEqual(pauses, [0.005, 0.01, 0.02, 0.04, 0.05, 0.05])


class QueueTest(unittest.TestCase):
    def test_the_wait_counts_who_is_ahead_by_what_the_member_runs_at_once(self):
        self.assertEqual(queueing.expected_wait_seconds(0, 4, 8, 4, 0.02), 0.0)
        self.assertEqual(queueing.expected_wait_seconds(0, 6, 8, 4, 0.02), 0.01)
        self.assertEqual(queueing.expected_wait_seconds(6, 4, 8, 4, 0.02), 0.03)

    def test_what_would_be_late_is_refused_at_once(self):
        self.assertFalse(queueing.would_be_late(1.0, 0.5, 1.5))
        self.assertTrue(queueing.would_be_late(1.0, 0.6, 1.5))

    def test_only_a_more_urgent_request_displaces_another(self):
        verdicts = [queueing.displaces_last(1, priority) for priority in (0, 1, 2)]
        self.assertEqual(verdicts, [True, False, False])

    def test_the_wait_queue_is_bounded(self):
        self.assertTrue(queueing.has_room(0, 1))
        self.assertFalse(queueing.has_room(1, 1))
        self.assertFalse(queueing.has_room(0, 0))

    def test_retry_times_are_spread_over_once_to_twice_the_soonest(self):
        times = [queueing.retry_after_seconds(refusal, 0.5) for refusal in range(16)]
        self.assertEqual(len(set(times)), 16)
        self.assertEqual((min(times), max(times)), (1.0, 1.9375))

    def test_the_latest_statement_counts_a_tenth(self):
        self.assertAlmostEqual(queueing.smoothed_latency(0.01, 0.11), 0.02)


class WatchTest(unittest.TestCase):
    def test_the_budget_of_questions_is_shared_by_all_members(self):
        self.assertEqual(watching.background_interval_seconds(48), 7.875)
        self.assertEqual(watching.background_interval_seconds(0), 0.0)

    def test_a_busy_group_is_always_asked(self):
        self.assertTrue(watching.is_due(True, 1.0, 0.9, 7.0))
        self.assertFalse(watching.is_due(False, 7.8, 0.9, 7.0))
        self.assertTrue(watching.is_due(False, 8.0, 1.0, 7.0))

    def test_many_proxies_share_a_group_at_four_connections_each(self):
        self.assertFalse(watching.is_shared_by_many(25, 100))
        self.assertTrue(watching.is_shared_by_many(26, 100))

    def test_a_group_is_unused_after_five_minutes(self):
        self.assertFalse(watching.is_unused(300.0, 0.0))
        self.assertTrue(watching.is_unused(300.1, 0.0))


class KnownStatusTest(unittest.TestCase):
    def setUp(self):
        self.known = KnownStatus()

    def answer(self, role=MemberRole.REPLICA, leaving=False):
        position = Position(3, 7)
        self.known.note(MemberStatus(role, 3, position, position, leaving, "first"), now=1.0)

    def test_a_member_that_has_not_answered_serves_nothing(self):
        self.assertFalse(self.known.is_primary or self.known.is_replica)
        self.assertFalse(self.known.is_leaving or self.known.is_of_start(""))
        self.assertEqual((self.known.term, self.known.committed), (0, ORIGIN))

    def test_one_question_without_an_answer_makes_it_failing(self):
        self.answer()
        self.assertTrue(self.known.is_replica)
        self.known.note(None, now=2.0)
        self.assertFalse(self.known.is_replica)
        self.assertEqual((self.known.term, self.known.latest_at), (3, 1.0))

    def test_a_broken_connection_does_too_until_the_next_answer(self):
        self.answer(MemberRole.PRIMARY)
        self.known.suspect()
        self.assertFalse(self.known.is_primary)
        self.answer(MemberRole.PRIMARY)
        self.assertTrue(self.known.is_primary)

    def test_what_is_known_holds_for_one_start(self):
        self.answer(leaving=True)
        self.assertTrue(self.known.is_leaving)
        self.assertTrue(self.known.is_of_start("first"))
        self.assertFalse(self.known.is_of_start("second"))


class ChangeTest(unittest.TestCase):
    def test_change_of_current_version_is_accepted_unless_empty(self):
        for is_explicit in (False, True):
            verdicts = [changes.change_verdict(True, is_explicit, empty) for empty in (False, True)]
            self.assertEqual(verdicts, [Verdict.ACCEPTED, Verdict.UNCHANGED])

    def test_change_of_older_version_conflicts_only_if_the_version_was_named(self):
        for is_empty in (False, True):
            self.assertIs(changes.change_verdict(False, True, is_empty), Verdict.CONFLICT)
            self.assertIs(changes.change_verdict(False, False, is_empty), Verdict.REBASE)

    def test_resend_gets_the_first_outcome(self):
        first = Outcome(Verdict.ACCEPTED, 7)
        self.assertIs(changes.outcome_of_resend("digest", first, "digest"), first)

    def test_reused_id_with_another_digest_is_rejected(self):
        outcome = changes.outcome_of_resend("digest", Outcome(Verdict.ACCEPTED, 7), "other")
        self.assertEqual(outcome, Outcome(Verdict.REUSED_ID, 7))

    def test_request_is_retried_only_before_its_deadline(self):
        self.assertTrue(changes.may_retry(7.8, 8.0))
        self.assertFalse(changes.may_retry(7.95, 8.0))


class AdmissionTest(unittest.TestCase):
    MEMBERSHIP = Membership({"a@1": "a:1", "b@1": "b:1"}, {"b@2": "b:1", "c@1": "c:1"})

    def test_a_learner_takes_the_place_of_another_of_its_name(self):
        changed = with_learner(self.MEMBERSHIP, "b", "b@3", "b:2")
        self.assertEqual(changed.learners, {"c@1": "c:1", "b@3": "b:2"})
        self.assertEqual(changed.voters, self.MEMBERSHIP.voters)

    def test_all_nodes_of_a_name_are_removed(self):
        changed = without_name(self.MEMBERSHIP, "b")
        self.assertEqual(changed, Membership({"a@1": "a:1"}, {"c@1": "c:1"}))
        self.assertEqual(without_name(self.MEMBERSHIP, "d"), self.MEMBERSHIP)

    def test_an_empty_folder_never_gets_an_old_identity(self):
        self.assertIs(startup_mode(False, may_bootstrap=False), StartupMode.JOIN)
        self.assertIs(startup_mode(False, may_bootstrap=True), StartupMode.BOOTSTRAP)
        for may_bootstrap in (False, True):
            self.assertIs(startup_mode(True, may_bootstrap), StartupMode.RESTART)

    def test_a_folder_of_another_node_or_system_is_refused(self):
        owner = NodeConfig("system", "a", [])
        check_owner(Identity("system", "a@5"), owner)
        for identity in (Identity("other", "a@5"), Identity("system", "b@5")):
            with self.assertRaises(StorageError):
                check_owner(identity, owner)


class LimitTest(unittest.TestCase):
    def test_a_caller_can_only_shorten_its_deadline(self):
        self.assertEqual(limits.statement_seconds(5.0, None), 5.0)
        self.assertEqual(limits.statement_seconds(5.0, 250), 0.25)
        self.assertEqual(limits.statement_seconds(5.0, 60_000), 5.0)
        self.assertEqual(limits.statement_seconds(5.0, 0), 0.0)

    def test_transactions_are_limited(self):
        self.assertTrue(limits.may_begin(9, 10))
        self.assertFalse(limits.may_begin(10, 10))

    def test_an_idle_or_long_transaction_is_overdue(self):
        self.assertEqual(limits.overdue_reason(10.0, 10.0, 60.0, 60.0), "")
        self.assertEqual(limits.overdue_reason(10.1, 10.0, 61.0, 60.0), "idle for more than 10 s")
        self.assertEqual(limits.overdue_reason(0.0, 10.0, 61.0, 60.0), "open for more than 60 s")


class StartTest(unittest.TestCase):
    @staticmethod
    def reply(version, confirmed):
        return WatchReply(version, "digest", confirmed, True, None)

    def test_a_proxy_starts_with_the_newest_confirmed_version(self):
        replies = [self.reply(3, True), self.reply(4, True), self.reply(9, False)]
        self.assertIs(newest_confirmed(replies), replies[1])

    def test_without_a_confirmed_one_it_has_to_ask_others(self):
        self.assertIsNone(newest_confirmed([self.reply(9, False)]))
        self.assertIsNone(newest_confirmed([]))
