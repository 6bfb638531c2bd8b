"""The table of causes: each has its condition, its place in the order, and a rule that exists."""

import unittest

from rowanrail.explain.causes import CAUSES, cause_of
from rowanrail.explain.lines import LogLine
from rowanrail.explain.rejections import REJECTIONS
from rowanrail.gateway.events import OVER_QUOTA, PRIMARY_LOST, REFUSED
from rowanrail.scheduling.admission import RejectionCause
from tests.unit.test_decisions import resolve

NO_ADMISSION = {
    RejectionCause.NO_PRIMARY,
    RejectionCause.NO_PLACE,
    RejectionCause.TENANT_LIMIT,
}  # said by other causes


def line(event, time=10.0, **fields):
    return LogLine(time, event.number, "warning", "g1", fields)


def answer(**fields):
    return line(REFUSED, service="db", milliseconds=50, **fields)


LOST = line(PRIMARY_LOST, time=9.9, service="db", instance="m1")


class CausesTest(unittest.TestCase):
    def test_each_rule_exists(self):
        rules = [cause.rule for cause in CAUSES] + [known.rule for known in REJECTIONS.values()]
        for rule in filter(None, rules):
            with self.subTest(rule):
                resolve(rule)

    def test_each_rejection_by_admission_has_its_words(self):
        self.assertEqual(
            {cause.value for cause in set(RejectionCause) - NO_ADMISSION}, set(REJECTIONS)
        )

    def test_the_last_cause_holds_of_all_that_no_other_explains(self):
        text = cause_of(answer(outcome="invalid", reason="no", stage="accepted"), [])
        self.assertEqual(text, "no (stage accepted, at no member)")

    def test_a_holder_that_rejected_it_goes_before_the_lack_of_a_holder(self):
        fields = {"outcome": "busy", "stage": "waits-for-holder", "reason": "crowded"}
        lack = cause_of(answer(**fields), [])
        self.assertEqual(lack, "no gateway of its zone held connections to db in time (crowded)")
        said = cause_of(answer(**fields, cause="holder-crowded", wait=700, return_in=200), [])
        self.assertEqual(
            said,
            "crowded: its holder had told of a line of 700 ms or more, so that it was not sent "
            "there; told to return in 0.20 s",
        )

    def test_a_lost_link_is_told_only_if_no_member_is_known(self):
        fields = {"outcome": "aborted", "stage": "sent", "via": "g2", "reason": "cut"}
        text = cause_of(answer(**fields), [])
        self.assertEqual(text, "it was sent to gateway g2, whose link was lost (cut)")
        text = cause_of(answer(**fields, member="m1"), [])
        self.assertEqual(text, "cut (stage sent, at m1 through g2)")

    def test_a_limit_goes_before_a_lost_primary(self):
        over = line(OVER_QUOTA, tenant="t", limit=9, fleet=8, asked=7, age_ms=5)
        text = cause_of(answer(outcome="busy", stage="accepted"), [LOST, over])
        self.assertEqual(
            text,
            "tenant t may begin 9 operations in a window; 8 had begun at all gateways and 7 were "
            "asked for in a second, as known 5 ms before",
        )

    def over_limit(self, seconds_before, milliseconds):
        over = line(
            OVER_QUOTA, time=10.0 - seconds_before, tenant="t", limit=9, fleet=8, asked=7, age_ms=5
        )
        refused = line(REFUSED, outcome="busy", reason="at its limit", milliseconds=milliseconds)
        return cause_of(refused, [over])

    def test_a_limit_is_told_though_its_line_came_a_millisecond_before(self):
        self.assertIn("tenant t may begin 9 operations", self.over_limit(0.001, 0.2))

    def test_a_limit_that_an_earlier_statement_of_the_session_met_is_not_told(self):
        self.assertNotIn("tenant t may begin", self.over_limit(0.030, 0.2))

    def test_a_lost_primary_goes_before_a_want_of_connections(self):
        fields = {"outcome": "busy", "stage": "waits-for-connection", "reason": "r", "member": "m1"}
        short = cause_of(answer(**fields), [])
        self.assertEqual(short, "m1 of db had no connection free in time (r)")
        self.assertEqual(
            cause_of(answer(**fields), [LOST]),
            "it could not run: the primary of db was lost; no order to replace it is in these logs",
        )

    def test_what_admission_decided_goes_before_a_busy_member_and_a_lost_primary(self):
        fields = {"outcome": "busy", "stage": "sent", "reason": "r", "member": "m1"}
        busy = cause_of(answer(**fields), [])
        self.assertEqual(busy, "m1 of db had too much to do and refused it")
        rejected = {"cause": "crowded", "wait": 900, "left": 50, "return_in": 500}
        text = cause_of(answer(**fields, **rejected), [LOST])
        self.assertTrue(text.startswith("r: when it came about 900 ms of waiting lay before it"))
        self.assertTrue(text.endswith("; no order to replace it is in these logs"))
