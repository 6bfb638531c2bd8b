"""The rules for planned moves of a primary: when, to whom, and what follows a demotion."""

import unittest

import msgspec

from rowanrail.coordination.failover import Action, AttemptView, MemberView, ServiceView
from rowanrail.coordination.moves import (
    Demotion,
    Placement,
    choose_successor,
    decide_after_demotion,
    required_regions,
)
from rowanrail.members.eligibility import Eligibility
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.routing import Consistency, Route, RoutingConfiguration, ServiceSpec
from rowanrail.tenants.model import Tenant, Tenants

LAST = Position(1, 9)  # of the primary's log
EARLIER = Position(1, 7)
REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def member(instance, received=LAST, *, zone="a1", leaving=False, primary=False, **status):
    record = MemberRecord(instance, "db", f"{instance}:1", zone, primary, leaving, 3, 1)
    status = {"leads": False, "term": 1, **status}
    return MemberView(record, 0.1, received=received, **status)


def silent(instance, **fields):
    return member(instance, received=None, leads=None, term=0, **fields)


def frozen(regions):
    return None if regions is None else frozenset(regions)


class PlacementTest(unittest.TestCase):
    def setUp(self):
        rule = Eligibility(REGIONS, frozenset({"a2"}))
        self.placement = Placement(rule, {"db": frozenset({"a"})}, {"db": 5.0}, {"a1": 10_000})

    def reason(self, **fields):
        return self.placement.reason_to_move(member("m1", **fields).record)

    def test_a_primary_that_may_stay_is_not_moved(self):
        self.assertEqual(self.reason(zone="a1"), "")

    def test_each_reason_to_move(self):
        self.assertIn("leaving", self.reason(leaving=True))
        self.assertIn("evacuated", self.reason(zone="a2"))
        self.assertIn("regions", self.reason(zone="b1"))

    def test_a_member_is_warming_up_after_the_end_of_its_zones_evacuation(self):
        record = member("m1").record
        self.assertTrue(self.placement.is_warming(record, 14_000))
        self.assertFalse(self.placement.is_warming(record, 16_000))


class RequiredRegionsTest(unittest.TestCase):
    def required(self, *routes, tenants=()):
        by_database = {
            f"d{n}": Route(
                f"r{n}", f"d{n}", "db", Consistency.PRIMARY, 1, 1, regions=frozen(regions)
            )
            for n, regions in enumerate(routes)
        }
        named = {
            f"t{n}": Tenant(f"t{n}", regions=frozen(regions)) for n, regions in enumerate(tenants)
        }
        configuration = RoutingConfiguration(
            1, by_database, {"db": ServiceSpec("db", 9)}, tenants=Tenants(named)
        )
        return required_regions(configuration, "db")

    def test_the_common_regions_of_the_routes_are_required(self):
        self.assertIsNone(self.required(None, None))
        self.assertEqual(self.required({"a", "b"}, None, {"b", "c"}), {"b"})

    def test_routes_without_a_common_region_require_none(self):
        self.assertIsNone(self.required({"a"}, {"b"}))

    def test_tenants_narrow_the_regions_unless_none_would_be_left(self):
        self.assertEqual(self.required({"a", "b"}, tenants=[{"b", "c"}, None]), {"b"})
        self.assertEqual(self.required({"a", "b"}, tenants=[{"b"}, {"a"}]), {"a", "b"})
        self.assertIsNone(self.required(None, tenants=[{"b"}, {"a"}]))


class SuccessorTest(unittest.TestCase):
    def choose(self, *others, leaving=False):
        former = member("m1", leads=True, primary=True, leaving=leaving)
        chosen = choose_successor([former, *others], former, LAST)
        return chosen and chosen.record.instance

    def test_a_replica_that_lags_or_is_silent_is_none(self):
        self.assertIsNone(self.choose(member("m2", EARLIER), silent("m3")))
        self.assertEqual(self.choose(member("m2", EARLIER), member("m3")), "m3")

    def test_a_replica_that_knows_a_newer_term_may_succeed(self):
        # It was paused with that term by a failover that was given up, and receives again.
        self.assertEqual(self.choose(member("m2", term=2)), "m2")

    def test_a_replica_that_leaves_or_may_not_serve_is_none(self):
        self.assertIsNone(self.choose(member("m2", leaving=True), member("m3", may_serve=False)))

    def test_a_leaving_primary_moves_even_to_a_member_that_may_not_serve(self):
        # The service is left without a primary otherwise.
        others = member("m2", leaving=True), member("m3", may_serve=False)
        self.assertEqual(self.choose(*others, leaving=True), "m3")

    def test_a_member_that_is_warming_up_is_the_last_choice(self):
        warming = member("m3", Position(1, 10), is_warming=True)
        self.assertEqual(self.choose(member("m2"), warming), "m2")
        self.assertEqual(self.choose(member("m2", EARLIER), warming), "m3")


class DemotionTest(unittest.TestCase):
    """What follows a demotion, also at a leader that takes over after it."""

    def setUp(self):
        self.former = member("m1", term=2)
        self.members = [self.former, member("m2", EARLIER), member("m3", EARLIER)]

    def decide(self, ago=0.1, attempt=None, position=LAST, fresh=True, **changes):
        view = ServiceView(
            "db", self.members, [], attempt, 60.0, vantage_points=4, statuses_fresh=fresh
        )
        view = msgspec.structs.replace(view, **changes)
        return decide_after_demotion(view, Demotion("m1", "m2", ago, position))

    def check_promoted(self, instance, **case):
        decision = self.decide(**case)
        self.assertIs(decision.action, Action.PROMOTE, decision.reason)
        self.assertEqual(decision.instance, instance)

    def check_waits(self, **case):
        self.assertIs(self.decide(**case).action, Action.WAIT)

    def test_statuses_are_asked_for_first(self):
        self.assertIs(self.decide(fresh=False).action, Action.ASK_STATUSES)

    def test_nobody_is_promoted_while_commits_are_missing(self):
        self.check_waits(ago=0.5)

    def test_the_former_primary_is_promoted_if_no_member_catches_up(self):
        # Writes rest where it may not serve, but nothing acknowledged is lost.
        for changes in ({}, {"leaving": True}, {"may_serve": False}):
            with self.subTest(**changes):
                self.members[0] = member("m1", term=2, **changes)
                self.check_promoted("m1", ago=1.1)

    def test_a_new_leader_finds_the_member_that_has_everything(self):
        # It learns the last position from the demoted member, which knows a newer term.
        self.members[2] = member("m3")
        self.check_promoted("m3", ago=0.0, position=None, holding_for=0.1)

    def test_a_new_leader_waits_for_the_demoted_primary(self):
        self.members[0] = silent("m1")
        self.check_waits(ago=1.5, position=None)

    def test_a_demoted_primary_that_stays_silent_is_replaced_by_the_longest_log(self):
        self.members = [silent("m1"), member("m2", EARLIER), member("m3", Position(1, 8))]
        for position in (LAST, None):
            with self.subTest(position=position):
                self.check_waits(ago=1.9, position=position)
                self.check_promoted("m3", ago=2.1, position=position)

    def test_a_demoted_primary_that_started_again_without_its_log_is_one_that_does_not_answer(self):
        self.members[0] = member("m1", Position(1, 0), is_incomplete=True)
        for position in (LAST, None):
            with self.subTest(position=position):
                self.check_waits(ago=1.5, position=position)
                self.check_promoted("m3", ago=2.1, position=position)

    def test_a_known_last_position_needs_no_answer_of_the_demoted_primary(self):
        self.members = [silent("m1"), member("m2"), member("m3", EARLIER)]
        self.check_promoted("m2")

    def test_a_successor_that_is_gone_is_replaced_by_another_with_everything(self):
        self.members[1:] = [silent("m2"), member("m3")]
        self.check_promoted("m3")

    def test_without_the_demoted_primary_and_its_position_the_failovers_rule_decides(self):
        self.members = self.members[1:]
        self.check_promoted("m3", position=None)
        self.check_waits(position=None, holding_for=0.5)

    def test_the_intended_member_is_preferred(self):
        # An order for it may be carried out late; what it acknowledged until the next promotion
        # takes effect would be lost.
        self.members[1:] = [member("m2", may_serve=False), member("m3")]
        self.check_promoted("m2")

    def test_a_longer_log_goes_before_the_intended_member(self):
        self.members[1:] = [member("m2"), member("m3", Position(2, 10), term=2)]
        self.check_promoted("m3")

    def test_a_member_that_the_platform_refused_is_not_tried_again(self):
        self.members[1:] = [member("m2"), member("m3")]
        self.check_promoted("m3", ago=0.5, attempt=AttemptView("m2", 0.2, False))
        self.members[2] = member("m3", EARLIER)
        self.check_promoted("m1", ago=1.2, attempt=AttemptView("m2", 0.2, False))

    def test_a_return_without_effect_is_followed_by_a_member_that_has_caught_up(self):
        # The platform may hold the former primary for the present one, and do nothing.
        self.members[1] = member("m2")
        view = ServiceView("db", self.members, [], AttemptView("m1", 2.6, True), 60.0, 4, 0, True)
        decision = decide_after_demotion(view, Demotion("m1", "m1", 4.0, LAST))
        self.assertEqual((decision.action, decision.instance), (Action.PROMOTE, "m2"))

    def test_an_order_that_may_be_carried_out_is_waited_for(self):
        self.members[1] = member("m2")
        for accepted, limit in ((True, 2.5), (None, 1.6)):
            with self.subTest(accepted=accepted):
                attempt = AttemptView("m2", limit - 0.1, accepted)
                self.check_waits(ago=3.0, attempt=attempt)
                attempt = AttemptView("m2", limit + 0.1, accepted)
                self.check_promoted("m2", ago=3.0, attempt=attempt)

    def test_an_order_for_the_former_primary_is_waited_for_despite_its_old_record(self):
        self.members[0] = member("m1", term=2, primary=True)
        self.check_waits(ago=1.5, attempt=AttemptView("m1", 0.3, True))

    def test_an_order_from_before_the_demotion_does_not_count(self):
        self.members[1] = member("m2")
        self.check_promoted("m2", attempt=AttemptView("m1", 1.0, True))

    def test_a_member_that_leads_is_kept(self):
        self.members[1] = member("m2", leads=True)
        self.check_waits(ago=3.0)

    def test_replicas_that_may_have_acknowledged_must_answer_without_the_former_primary(self):
        self.members = [silent("m1"), member("m2", EARLIER), silent("m3")]
        self.check_waits(ago=3.0, position=None, acknowledging_replicas=1)

    # The rule of the failover left out the leaving replica, whatever it had received.
    def test_without_the_former_primary_a_leaving_replica_that_has_received_more_is_promoted(self):
        former = silent("m1", primary=True, leaving=True)
        self.members = [former, member("m2", leaving=True), member("m3", EARLIER)]
        case = {"position": None, "unanswered_for": 1.5, "acknowledging_replicas": 1}
        self.check_promoted("m2", ago=3.0, **case)

    def test_a_silent_former_primary_does_not_keep_known_commits_waiting(self):
        self.members = [silent("m1"), member("m2", EARLIER), member("m3", Position(1, 8))]
        self.check_promoted("m3", ago=3.0, position=None, acknowledging_replicas=1)

    def test_a_demoted_primary_that_lost_its_log_does_not_count_as_one_that_has_it(self):
        self.members = [member("m1", EARLIER), member("m2", EARLIER), silent("m3")]
        self.check_waits(ago=3.0, position=LAST, acknowledging_replicas=1)
