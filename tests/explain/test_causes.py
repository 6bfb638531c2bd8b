"""Order and conditions of the causes of a diagnosis, and existence of the rules they name."""

import unittest

from rowanrail.explain.causes import CAUSES, describe_cause
from rowanrail.explain.lines import LogLine
from rowanrail.explain.rejections import REJECTIONS
from rowanrail.gateway.events import OVER_QUOTA, PRIMARY_LOST, REFUSED
from rowanrail.scheduling.admission import RejectionCause
from tests.unit.test_decisions import resolve

COVERED_BY_OTHER_CAUSES = {
    RejectionCause.NO_PRIMARY,
    RejectionCause.NO_PLACE,
    RejectionCause.TENANT_LIMIT,
}


def line(event, time=10.0, **fields):
    return LogLine(time, event.number, "warning", "g1", fields)


def answer(**fields):
    return line(REFUSED, service="db", milliseconds=50, **fields)


LOST_PRIMARY = line(PRIMARY_LOST, time=9.9, service="db", instance="m1")


class CausesTest(unittest.TestCase):
    def test_each_rule_exists(self):
        rules = [cause.rule for cause in CAUSES] + [
            rejection.rule for rejection in REJECTIONS.values()
        ]
        for rule in filter(None, rules):
            with self.subTest(rule):
                resolve(rule)

    def test_each_rejection_by_admission_has_a_message(self):
        self.assertEqual(
            {cause.value for cause in set(RejectionCause) - COVERED_BY_OTHER_CAUSES},
            set(REJECTIONS),
        )

    def test_the_last_cause_matches_what_no_other_explains(self):
        text = describe_cause(answer(outcome="invalid", reason="no", stage="accepted"), [])
        self.assertEqual(text, "no (stage accepted, at no member)")

    # The commit was said to have had no answer.
    def test_an_unconfirmed_commit_names_the_member_that_reported_it(self):
        stage = "waits-for-confirmation"
        text = describe_cause(
            answer(outcome="outcome-unknown", stage=stage, reason="not primary", member="m1"), []
        )
        self.assertEqual(
            text,
            "m1 reported that it was committed, and it isn't known whether that member still led "
            "(not primary); a successor may have rolled the commit back",
        )

    def test_a_rejection_by_the_holder_precedes_the_lack_of_a_holder(self):
        fields = {"outcome": "busy", "stage": "waits-for-holder", "reason": "crowded"}
        without_holder = describe_cause(answer(**fields), [])
        self.assertEqual(
            without_holder, "no gateway in its zone held connections to db in time (crowded)"
        )
        by_holder = describe_cause(
            answer(**fields, cause="holder-crowded", wait=700, return_in=200), []
        )
        self.assertEqual(
            by_holder,
            "crowded: the load that its holder reported implied a wait of at least 700 ms, so it "
            "was not forwarded; the client was told to retry after 0.20 s",
        )

    def test_a_lost_link_is_reported_only_if_no_member_is_known(self):
        fields = {"outcome": "aborted", "stage": "sent", "via": "g2", "reason": "cut"}
        text = describe_cause(answer(**fields), [])
        self.assertEqual(
            text, "it was forwarded to gateway g2 and the connection to that gateway was lost (cut)"
        )
        text = describe_cause(answer(**fields, member="m1"), [])
        self.assertEqual(text, "cut (stage sent, at m1 through g2)")

    def test_an_exceeded_limit_precedes_a_lost_primary(self):
        exceeded = line(OVER_QUOTA, tenant="t", limit=9, fleet=8, asked=7, age_ms=5)
        text = describe_cause(answer(outcome="busy", stage="accepted"), [LOST_PRIMARY, exceeded])
        self.assertEqual(
            text,
            "tenant t is limited to 9 operations per window; the reporting gateways admitted 8 in "
            "the last window and received 7 in the last second, according to totals that were "
            "5 ms old",
        )

    def over_limit(self, seconds_before, milliseconds):
        exceeded = line(
            OVER_QUOTA, time=10.0 - seconds_before, tenant="t", limit=9, fleet=8, asked=7, age_ms=5
        )
        refused = line(REFUSED, outcome="busy", reason="at its limit", milliseconds=milliseconds)
        return describe_cause(refused, [exceeded])

    def test_an_exceeded_limit_is_reported_despite_rounded_times(self):
        self.assertIn("tenant t is limited to 9 operations", self.over_limit(0.001, 0.2))

    def test_an_exceeded_limit_of_an_earlier_statement_is_not_reported(self):
        self.assertNotIn("tenant t is limited to", self.over_limit(0.030, 0.2))

    def test_a_lost_primary_precedes_a_lack_of_connections(self):
        fields = {"outcome": "busy", "stage": "waits-for-connection", "reason": "r", "member": "m1"}
        no_connection = describe_cause(answer(**fields), [])
        self.assertEqual(no_connection, "m1 of db had no free connection in time (r)")
        self.assertEqual(
            describe_cause(answer(**fields), [LOST_PRIMARY]),
            "it could not run: the primary of db was lost; these logs contain no decision to "
            "replace it",
        )

    def test_a_rejection_by_admission_precedes_a_busy_member_and_a_lost_primary(self):
        fields = {"outcome": "busy", "stage": "sent", "reason": "r", "member": "m1"}
        busy = describe_cause(answer(**fields), [])
        self.assertEqual(busy, "m1 of db was overloaded and refused it")
        rejected = {"cause": "crowded", "wait": 900, "left": 50, "return_in": 500}
        text = describe_cause(answer(**fields, **rejected), [LOST_PRIMARY])
        self.assertTrue(text.startswith("r: on arrival its estimated wait was 900 ms and 50 ms"))
        self.assertTrue(text.endswith("; these logs contain no decision to replace it"))
