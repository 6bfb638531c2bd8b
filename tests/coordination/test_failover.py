"""The decision to replace a primary."""

import unittest

import msgspec

from rowanrail.coordination.failover import (
    Action,
    AttemptView,
    MemberView,
    ReportView,
    ServiceView,
    decide,
)
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position

QUIET = 5.0  # seconds since the last heartbeat of a silent member


def record(instance, primary=False, leaving=False):
    return MemberRecord(instance, "db", f"{instance}:1", "a", primary, leaving, 3, 1)


def member(instance, *, primary=False, leaving=False, ago=QUIET, **status):
    return MemberView(record(instance, primary, leaving), ago, **status)


def serving(source, age=0.2):
    return ReportView(source, "m1", proved_ago=0.3, failing_for=0.0, age=age)


def failing(source, seconds=1.0, age=0.1, instance="m1"):
    return ReportView(source, instance, proved_ago=2.0, failing_for=seconds, age=age)


def silent_primary_and_replicas():
    return [
        member("m1", primary=True),
        member("m2", leads=False, term=1, received=Position(1, 9)),
        member("m3", leads=False, term=1, received=Position(1, 8)),
    ]


class FailoverTest(unittest.TestCase):
    def setUp(self):
        self.members = silent_primary_and_replicas()

    def decide(
        self,
        reports,
        attempt=None,
        holding=60.0,
        fresh=True,
        points=4,
        members=None,
        unanswered=0.0,
        leaving=0.0,
    ):
        return decide(
            ServiceView(
                "db",
                members or self.members,
                reports,
                attempt,
                holding,
                points,
                statuses_fresh=fresh,
                unanswered_for=unanswered,
                leaving_for=leaving,
            )
        )

    def test_a_primary_that_all_observers_lost_is_replaced_by_the_replica_with_the_longest_log(
        self,
    ):
        decision = self.decide([failing("g1"), failing("g2"), failing("leader")])
        self.assertIs(decision.action, Action.PROMOTE)
        self.assertEqual(decision.instance, "m2")

    def test_statuses_are_requested_before_a_promotion(self):
        decision = self.decide([failing("g1"), failing("leader")], fresh=False)
        self.assertIs(decision.action, Action.ASK_STATUSES)

    def test_a_leader_that_alone_is_cut_off_from_the_primary_waits(self):
        decision = self.decide([failing("leader"), serving("g1"), serving("g2", age=1.0)])
        self.assertIs(decision.action, Action.WAIT)

    def test_one_observer_is_not_enough_where_others_are_silent(self):
        self.assertIs(self.decide([failing("leader")]).action, Action.WAIT)

    def test_one_observer_decides_where_there_is_no_other(self):
        self.assertIs(self.decide([failing("leader")], points=1).action, Action.PROMOTE)

    def test_a_gateway_that_reports_now_and_then_still_counts_as_served(self):
        reports = [failing("leader"), failing("g1"), serving("g2", age=1.3)]
        self.assertIs(self.decide(reports).action, Action.WAIT)

    def test_most_gateways_cut_off_for_a_while_is_a_reason(self):
        reports = [failing(f"g{number}") for number in range(5)] + [serving("g9"), serving("g8")]
        self.assertIs(self.decide(reports).action, Action.PROMOTE)
        reports = [failing(f"g{number}", 0.4) for number in range(5)] + [serving("g9")]
        self.assertIs(self.decide(reports).action, Action.WAIT)

    def test_a_proof_from_before_the_failure_does_not_delay_the_failover(self):
        # A gateway cut off right after a successful sample must not delay the failover.
        reports = [failing(f"g{number}", 0.4, age=1.5) for number in range(4)]
        self.assertIs(self.decide([*reports, serving("g9", age=1.7)]).action, Action.PROMOTE)

    def test_a_recent_heartbeat_prevents_a_failover(self):
        self.members[0] = member("m1", primary=True, ago=0.1)
        self.assertIs(self.decide([failing("g1"), failing("leader")]).action, Action.WAIT)

    def test_a_new_leader_waits_for_reports(self):
        decision = self.decide([failing("g1"), failing("leader")], holding=0.2)
        self.assertIs(decision.action, Action.WAIT)

    def test_a_new_leader_decides_once_reports_were_forwarded(self):
        reports = [failing("g1"), failing("g2"), failing("leader")]
        self.assertIs(self.decide(reports, holding=0.5).action, Action.WAIT)
        self.assertIs(self.decide(reports, holding=0.7).action, Action.PROMOTE)

    def test_a_new_leader_waits_longer_before_it_concludes_that_there_is_no_primary(self):
        members = [member("m2", leads=False, term=1, received=Position(1, 9))]
        self.assertIs(self.decide([], holding=0.8, members=members).action, Action.WAIT)
        self.assertIs(self.decide([], holding=1.1, members=members).action, Action.PROMOTE)

    def test_a_primary_whose_status_says_that_it_leads_is_kept(self):
        self.members[0] = member("m1", primary=True, leads=True, term=1, received=Position(1, 9))
        self.assertIs(self.decide([failing("g1"), failing("leader")]).action, Action.WAIT)

    def test_a_leaving_primary_that_answers_is_left_to_the_planned_move(self):
        # A promotion at once loses the commits that the replicas have not received.
        self.members[0] = member(
            "m1", primary=True, leaving=True, ago=0.1, leads=True, term=1, received=Position(1, 11)
        )
        self.assertIs(self.decide([serving("g1")]).action, Action.WAIT)
        self.assertIs(self.decide([serving("g1")], unanswered=1.5).action, Action.WAIT)

    def test_a_leaving_primary_that_does_not_answer_is_replaced(self):
        self.members[0] = member("m1", primary=True, leaving=True, ago=0.1)
        self.assertIs(self.decide([], unanswered=0.4).action, Action.WAIT)
        decision = self.decide([serving("g1")], holding=0.1, unanswered=1.1)
        self.assertIs(decision.action, Action.PROMOTE)
        self.assertEqual(decision.instance, "m2")

    def test_a_leaving_primary_is_replaced_in_time_even_if_no_replica_has_its_log(self):
        # Members must get nothing some seconds after they said that they leave.
        self.members[0] = member(
            "m1", primary=True, leaving=True, ago=0.1, leads=True, term=1, received=Position(1, 99)
        )
        self.assertIs(self.decide([serving("g1")], leaving=4.9).action, Action.WAIT)
        decision = self.decide([serving("g1")], leaving=5.0)
        self.assertIs(decision.action, Action.PROMOTE)
        self.assertEqual(decision.instance, "m2")

    def test_of_equal_logs_that_of_a_member_that_may_serve_is_preferred(self):
        reports = [failing("g1"), failing("leader")]
        longest = {"leads": False, "term": 1, "received": Position(1, 9)}
        self.members[1] = member("m2", **longest)
        self.members[2] = member("m3", **longest, may_serve=False)
        self.assertEqual(self.decide(reports).instance, "m2")
        self.members[2] = member(
            "m3", leads=False, term=1, received=Position(1, 10), may_serve=False
        )
        self.assertEqual(self.decide(reports).instance, "m3")

    def test_a_silent_primary_in_a_closed_zone_is_replaced_by_a_member_that_may_serve(self):
        # Nothing is sent to it, so that no gateway can detect whether it has crashed.
        closed = {"primary": True, "may_serve": False, "is_closed": True}
        self.members[0] = member("m1", ago=3.1, **closed)
        decision = self.decide([])
        self.assertIs(decision.action, Action.PROMOTE)
        self.assertEqual(decision.instance, "m2")
        self.assertIs(self.decide([], holding=2.0).action, Action.WAIT)
        self.members[0] = member("m1", ago=1.3, **closed)
        self.assertIs(self.decide([]).action, Action.WAIT)

    def test_a_primary_in_a_closed_zone_stays_if_no_member_may_serve(self):
        self.members = [
            member(name, primary=name == "m1", may_serve=False, is_closed=name == "m1", ago=9.0)
            for name in ("m1", "m2")
        ]
        self.assertIs(self.decide([], fresh=False).action, Action.WAIT)

    def test_a_leaving_replica_is_no_candidate(self):
        self.members[1] = member("m2", leaving=True, leads=False, term=1, received=Position(1, 9))
        decision = self.decide([failing("g1"), failing("leader")])
        self.assertEqual(decision.instance, "m3")

    def test_a_replica_in_an_older_term_is_no_candidate(self):
        # A partitioned former primary may have a longer log; promoting it loses commits.
        members = [
            member("m1", leads=False, term=1, received=Position(1, 112)),
            member("m2", primary=True),
            member("m3", leads=False, term=2, received=Position(1, 95)),
        ]
        reports = [failing("g1", instance="m2"), failing("leader", instance="")]
        decision = self.decide(reports, members=members)
        self.assertEqual(decision.instance, "m3")

    def test_a_promotion_under_way_is_waited_for(self):
        reports = [failing("g1"), failing("leader")]
        for accepted in (True, None):
            attempt = AttemptView("m2", started_ago=0.5, accepted=accepted)
            self.assertIs(self.decide(reports, attempt).action, Action.WAIT)

    def test_a_refused_or_lost_order_is_followed_by_another(self):
        reports = [failing("g1"), failing("leader")]
        for attempt in (AttemptView("m2", 0.5, False), AttemptView("m2", 4.0, None)):
            self.assertIs(self.decide(reports, attempt).action, Action.PROMOTE)

    def test_a_promotion_needs_answers_that_cover_all_acknowledged_commits(self):
        reports = [failing("g1"), failing("leader")]
        view = ServiceView(
            "db",
            self.members,
            reports,
            None,
            60.0,
            4,
            acknowledging_replicas=1,
            statuses_fresh=True,
        )
        self.assertEqual(decide(view).instance, "m2")
        silent = [self.members[0], self.members[1], member("m3")]
        view = msgspec.structs.replace(view, members=silent)
        self.assertIs(decide(view).action, Action.WAIT)

    def test_an_empty_log_of_a_member_that_started_again_covers_no_commit(self):
        # It may have acknowledged commits in its earlier life that no other replica has.
        empty = member("m3", leads=False, term=1, received=Position(1, 0), is_incomplete=True)
        view = ServiceView(
            "db",
            [self.members[0], self.members[1], empty],
            [failing("g1"), failing("leader")],
            None,
            60.0,
            4,
            acknowledging_replicas=1,
            statuses_fresh=True,
        )
        self.assertIs(decide(view).action, Action.WAIT)

    def test_a_member_that_started_again_is_not_promoted_over_one_that_received_more(self):
        # It may know of the newest term without having received the log before it.
        members = [
            member("m1", primary=True),
            member("m2", leads=False, term=2, received=Position(0, 0), is_incomplete=True),
            member("m3", leads=False, term=1, received=Position(1, 95)),
        ]
        decision = self.decide([failing("g1"), failing("leader")], members=members)
        self.assertEqual(decision.instance, "m3")

    def test_a_silent_member_that_may_have_received_more_is_waited_for_until_it_is_gone(self):
        reports = [failing("g1"), failing("leader")]
        empty = member("m2", leads=False, term=1, received=Position(1, 0), is_incomplete=True)
        for ago, holding, action in (
            (19.0, 60.0, Action.WAIT),
            (21.0, 60.0, Action.PROMOTE),
            (1e9, 19.0, Action.WAIT),  # a new leader has no reports of the others yet
        ):
            members = [member("m1", primary=True, ago=ago), empty, member("m3", ago=ago)]
            decision = self.decide(reports, holding=holding, members=members)
            self.assertIs(decision.action, action, (ago, holding))

    def test_a_primary_that_started_again_without_its_log_is_replaced(self):
        members = [
            member(
                "m1", primary=True, leads=True, term=1, received=Position(1, 2), is_incomplete=True
            ),
            member("m2", leads=False, term=1, received=Position(1, 90)),
        ]
        decision = self.decide([failing("g1"), failing("leader")], members=members)
        self.assertEqual((decision.action, decision.instance), (Action.PROMOTE, "m2"))

    def test_no_candidate_answers(self):
        self.members = [member("m1", primary=True), member("m2"), member("m3")]
        self.assertIs(self.decide([failing("g1"), failing("leader")]).action, Action.WAIT)

    def test_a_service_without_a_primary_gets_one(self):
        members = [
            msgspec.structs.replace(view, record=record(view.record.instance))
            for view in self.members
        ]
        self.assertIs(self.decide([], members=members).action, Action.PROMOTE)


class AcknowledgedCommitsTest(unittest.TestCase):
    """With acknowledging replicas, the promoted member has all commits that they acknowledged."""

    def setUp(self):
        self.members = silent_primary_and_replicas()

    def decide(self, **changes):
        view = ServiceView(
            "db",
            self.members,
            [failing("g1"), failing("leader")],
            None,
            holding_for=60.0,
            vantage_points=4,
            acknowledging_replicas=1,
            statuses_fresh=True,
        )
        return decide(msgspec.structs.replace(view, **changes))

    def check_promoted(self, instance, **changes):
        decision = self.decide(**changes)
        self.assertIs(decision.action, Action.PROMOTE, decision.reason)
        self.assertEqual(decision.instance, instance)

    # The commits that only the leaving replica had acknowledged were rolled back.
    def test_a_leaving_replica_that_has_received_more_is_promoted(self):
        self.members[1] = member("m2", leaving=True, leads=False, term=1, received=Position(1, 9))
        self.check_promoted("m2")

    def test_of_equal_logs_that_of_a_member_that_stays_is_preferred(self):
        for number in (1, 2):
            self.members[number] = member(
                f"m{number + 1}", leaving=number == 2, leads=False, term=1, received=Position(1, 9)
            )
        self.check_promoted("m2")

    def test_of_equal_logs_that_of_a_member_that_may_serve_is_preferred_even_if_it_leaves(self):
        equal = {"leads": False, "term": 1, "received": Position(1, 9)}
        self.members[1:] = [
            member("m2", leaving=True, **equal),
            member("m3", may_serve=False, **equal),
        ]
        self.check_promoted("m2")

    # Only the returned primary had what was acknowledged before the promotion of the lost one.
    def test_a_log_that_ends_in_an_older_term_is_promoted_if_no_other_ends_later(self):
        self.members = [
            member("m1", leads=False, term=1, received=Position(1, 112)),
            member("m2", primary=True),
            member("m3", leads=False, term=2, received=Position(1, 95)),
        ]
        reports = [failing("g1", instance="m2"), failing("leader", instance="")]
        self.check_promoted("m1", reports=reports)
        self.members[2] = member("m3", leads=False, term=2, received=Position(2, 96))
        self.check_promoted("m3", reports=reports)

    # The log of a member that had ended was not waited for: the one that was behind was promoted.
    def test_a_log_that_a_member_left_may_have_acknowledged_commits(self):
        self.members.pop()
        self.check_promoted("m2")
        self.assertIs(self.decide(orphaned_logs=("m3",)).action, Action.WAIT)

    def test_a_primary_that_never_announced_itself_is_one_more_log_that_is_not_known(self):
        self.members = [
            member(f"m{number}", leads=False, term=1, received=Position(1, number))
            for number in (2, 3)
        ]
        self.check_promoted("m3", is_primary_known=False)
        self.members.append(member("m4"))
        self.check_promoted("m3")
        self.assertIs(self.decide(is_primary_known=False).action, Action.WAIT)

    # The service stayed without a primary until the former one returned.
    def test_a_former_primary_that_is_silent_is_one_of_the_logs_not_one_of_the_replicas(self):
        self.members[0] = member("m1")
        self.check_promoted("m2")
        self.members[2] = member("m3")
        self.assertIs(self.decide().action, Action.WAIT)

    def test_commits_that_only_the_leaving_primary_and_a_silent_member_have_are_waited_for(self):
        self.members[0] = member(
            "m1", primary=True, leaving=True, ago=0.1, leads=True, term=1, received=Position(1, 99)
        )
        self.members[1] = member("m2")
        case = {"leaving_for": 6.0, "reports": [serving("g1")]}
        self.assertIs(self.decide(**case).action, Action.WAIT)
        self.members.pop(1)
        self.check_promoted("m3", **case)
        self.assertIs(self.decide(**case, orphaned_logs=("m2",)).action, Action.WAIT)

    def test_a_leaving_primary_in_time_is_replaced_by_the_log_that_ends_last(self):
        self.members[0] = member(
            "m1", primary=True, leaving=True, ago=0.1, leads=True, term=1, received=Position(1, 99)
        )
        self.members[1] = member("m2", leaving=True, leads=False, term=1, received=Position(1, 9))
        self.check_promoted("m2", leaving_for=5.0, reports=[serving("g1")])
