"""Rules of the SQL proxy and its control nodes: selection, outcomes, queues, changes, limits."""

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
from rowanrail.sql_proxy import group_polling, limits, member_selection, outcomes, queueing
from rowanrail.sql_proxy.backend import MemberRole, MemberStatus
from rowanrail.sql_proxy.config_watch import newest_confirmed
from rowanrail.sql_proxy.member_selection import FloorSource, ReadAction
from rowanrail.sql_proxy.member_state import MemberState
from rowanrail.sql_proxy.outcomes import LostCommitAction


class FloorTest(unittest.TestCase):
    def test_strict_reads_query_a_majority_and_bounded_reads_may_use_a_recent_floor(self):
        for has_position in (False, True):
            self.assertIs(
                member_selection.floor_source(GroupConsistency.STRICT, has_position),
                FloorSource.QUORUM,
            )
            self.assertIs(
                member_selection.floor_source(GroupConsistency.BOUNDED, has_position),
                FloorSource.RECENT,
            )

    def test_a_session_queries_a_majority_only_without_a_position(self):
        sources = [
            member_selection.floor_source(GroupConsistency.SESSION, seen) for seen in (False, True)
        ]
        self.assertEqual(sources, [FloorSource.QUORUM, FloorSource.SESSION])

    def test_a_recent_floor_is_as_old_as_the_group_allows(self):
        self.assertTrue(member_selection.is_recent_floor(0.5, 0.5))
        self.assertFalse(member_selection.is_recent_floor(0.51, 0.5))
        self.assertFalse(member_selection.is_recent_floor(float("inf"), 0.5))


class PrimaryTest(unittest.TestCase):
    def test_the_claim_in_the_highest_term_wins(self):
        self.assertEqual(member_selection.current_primary([3, 4, 4], [True, True, False]), 1)

    def test_of_two_claims_in_one_term_the_first_is_taken(self):
        self.assertEqual(member_selection.current_primary([4, 4, 4], [False, True, True]), 1)

    def test_a_superseded_primary_gets_no_work(self):
        self.assertIsNone(member_selection.current_primary([3, 4, 4], [True, False, False]))

    def test_one_member_in_a_later_term_is_no_majority(self):
        self.assertEqual(member_selection.current_primary([3, 4, 3], [True, False, False]), 0)

    def test_no_member_claims_to_be_primary(self):
        self.assertIsNone(member_selection.current_primary([0, 0, 0], [False, False, False]))


class ReadServerTest(unittest.TestCase):
    def test_the_primary_serves_a_read_without_a_fresh_replica(self):
        self.assertIs(member_selection.action_without_replica(True, 9.0, 9.0), ReadAction.PRIMARY)

    def test_without_a_fresh_primary_a_read_waits_until_its_deadline(self):
        self.assertIs(member_selection.action_without_replica(False, 8.0, 9.0), ReadAction.WAIT)
        self.assertIs(member_selection.action_without_replica(False, 8.999, 9.0), ReadAction.REFUSE)

    def test_a_member_with_free_slots_costs_its_latency(self):
        self.assertEqual(member_selection.expected_completion_seconds(0.01, 3, 8, 4), 0.01)
        self.assertEqual(member_selection.expected_completion_seconds(0.01, 11, 8, 4), 0.03)


class OutcomeTest(unittest.TestCase):
    def test_a_lost_commit_with_a_record_is_resolved(self):
        for has_written in (False, True):
            self.assertIs(outcomes.lost_commit_action(True, has_written), LostCommitAction.RESOLVE)

    def test_a_lost_commit_without_a_record_is_unknown_only_after_a_write(self):
        self.assertIs(outcomes.lost_commit_action(False, True), LostCommitAction.UNKNOWN)
        self.assertIs(outcomes.lost_commit_action(False, False), LostCommitAction.ROLLED_BACK)

    def test_a_read_only_error_means_that_nothing_ran(self):
        for code in (1290, 1792, 1836, 3100):
            self.assertTrue(outcomes.is_read_only_error(code))
        self.assertFalse(outcomes.is_read_only_error(1062))

    def test_a_duplicate_key_of_another_table_is_no_request_in_progress(self):
        self.assertTrue(outcomes.is_in_progress(1062, "key 'rowanrail_requests.PRIMARY'"))
        self.assertFalse(outcomes.is_in_progress(1062, "key 'cues.PRIMARY'"))
        self.assertFalse(outcomes.is_in_progress(1205, "key 'rowanrail_requests.PRIMARY'"))

    def test_a_write_waits_for_a_primary_no_longer_than_its_deadline(self):
        self.assertEqual(outcomes.primary_wait_deadline(1.0, 9.0, 3.0), 4.0)
        self.assertEqual(outcomes.primary_wait_deadline(1.0, 2.0, 3.0), 2.0)

    def test_the_backoff_doubles_up_to_its_maximum(self):
        pauses = [outcomes.INITIAL_BACKOFF_SECONDS]
        for _ in range(5):
            pauses.append(outcomes.next_backoff(pauses[-1]))
        self.assertEqual(pauses, [0.005, 0.01, 0.02, 0.04, 0.05, 0.05])


class QueueTest(unittest.TestCase):
    def test_the_expected_wait_is_the_queue_ahead_divided_by_the_slots(self):
        self.assertEqual(queueing.expected_wait_seconds(0, 4, 8, 4, 0.02), 0.0)
        self.assertEqual(queueing.expected_wait_seconds(0, 6, 8, 4, 0.02), 0.01)
        self.assertEqual(queueing.expected_wait_seconds(6, 4, 8, 4, 0.02), 0.03)

    def test_a_request_that_would_miss_its_deadline_is_refused(self):
        self.assertFalse(queueing.would_miss_deadline(1.0, 0.5, 1.5))
        self.assertTrue(queueing.would_miss_deadline(1.0, 0.6, 1.5))

    def test_only_a_request_of_higher_priority_displaces_another(self):
        verdicts = [queueing.displaces_last(1, priority) for priority in (0, 1, 2)]
        self.assertEqual(verdicts, [True, False, False])

    def test_the_wait_queue_is_bounded(self):
        self.assertTrue(queueing.has_queue_room(0, 1))
        self.assertFalse(queueing.has_queue_room(1, 1))
        self.assertFalse(queueing.has_queue_room(0, 0))

    def test_retry_times_are_spread_over_one_to_two_times_the_minimum(self):
        times = [queueing.retry_after_seconds(refusal, 0.5) for refusal in range(16)]
        self.assertEqual(len(set(times)), 16)
        self.assertEqual((min(times), max(times)), (1.0, 1.9375))

    def test_the_latest_statement_has_a_weight_of_one_tenth(self):
        self.assertAlmostEqual(queueing.smoothed_latency(0.01, 0.11), 0.02)


class GroupPollingTest(unittest.TestCase):
    def test_all_members_share_the_rate_of_status_queries(self):
        self.assertEqual(group_polling.background_interval_seconds(48), 7.875)
        self.assertEqual(group_polling.background_interval_seconds(0), 0.0)

    def test_a_busy_group_is_always_polled(self):
        self.assertTrue(group_polling.is_poll_due(True, 1.0, 0.9, 7.0))
        self.assertFalse(group_polling.is_poll_due(False, 7.8, 0.9, 7.0))
        self.assertTrue(group_polling.is_poll_due(False, 8.0, 1.0, 7.0))

    def test_a_group_is_shared_by_many_below_four_connections_per_proxy(self):
        self.assertFalse(group_polling.is_shared_by_many(25, 100))
        self.assertTrue(group_polling.is_shared_by_many(26, 100))

    def test_a_group_is_unused_after_five_minutes(self):
        self.assertFalse(group_polling.is_unused(300.0, 0.0))
        self.assertTrue(group_polling.is_unused(300.1, 0.0))


class MemberStateTest(unittest.TestCase):
    def setUp(self):
        self.state = MemberState()

    def answer(self, role=MemberRole.REPLICA, leaving=False):
        position = Position(3, 7)
        self.state.update(MemberStatus(role, 3, position, position, leaving, "first"), now=1.0)

    def test_a_member_that_has_not_answered_serves_nothing(self):
        self.assertFalse(self.state.is_primary or self.state.is_replica)
        self.assertFalse(self.state.is_leaving or self.state.matches_incarnation(""))
        self.assertEqual((self.state.term, self.state.committed), (0, ORIGIN))

    def test_one_unanswered_query_makes_it_unreachable(self):
        self.answer()
        self.assertTrue(self.state.is_replica)
        self.state.update(None, now=2.0)
        self.assertFalse(self.state.is_replica)
        self.assertEqual((self.state.term, self.state.last_status_at), (3, 1.0))

    def test_a_lost_connection_makes_it_unreachable_until_the_next_answer(self):
        self.answer(MemberRole.PRIMARY)
        self.state.mark_unreachable()
        self.assertFalse(self.state.is_primary)
        self.answer(MemberRole.PRIMARY)
        self.assertTrue(self.state.is_primary)

    def test_the_state_holds_for_one_incarnation(self):
        self.answer(leaving=True)
        self.assertTrue(self.state.is_leaving)
        self.assertTrue(self.state.matches_incarnation("first"))
        self.assertFalse(self.state.matches_incarnation("second"))


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
        self.assertEqual(limits.statement_timeout_seconds(5.0, None), 5.0)
        self.assertEqual(limits.statement_timeout_seconds(5.0, 250), 0.25)
        self.assertEqual(limits.statement_timeout_seconds(5.0, 60_000), 5.0)
        self.assertEqual(limits.statement_timeout_seconds(5.0, 0), 0.0)

    def test_transactions_are_limited(self):
        self.assertTrue(limits.may_begin_transaction(9, 10))
        self.assertFalse(limits.may_begin_transaction(10, 10))

    def test_an_idle_or_long_transaction_is_rolled_back(self):
        self.assertEqual(limits.rollback_reason(10.0, 10.0, 60.0, 60.0), "")
        self.assertEqual(limits.rollback_reason(10.1, 10.0, 61.0, 60.0), "idle for more than 10 s")
        self.assertEqual(limits.rollback_reason(0.0, 10.0, 61.0, 60.0), "open for more than 60 s")


class StartTest(unittest.TestCase):
    @staticmethod
    def reply(version, confirmed):
        return WatchReply(version, "digest", confirmed, True, None)

    def test_a_proxy_starts_with_the_newest_confirmed_version(self):
        replies = [self.reply(3, True), self.reply(4, True), self.reply(9, False)]
        self.assertIs(newest_confirmed(replies), replies[1])

    def test_unconfirmed_replies_are_not_used(self):
        self.assertIsNone(newest_confirmed([self.reply(9, False)]))
        self.assertIsNone(newest_confirmed([]))
