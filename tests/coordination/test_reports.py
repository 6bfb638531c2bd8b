"""Filtering and indexing gateways' reports must not change a failover decision."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rowanrail.coordination.failover import (
    MAX_REPORT_AGE_SECONDS,
    Action,
    MemberView,
    ServiceView,
    decide,
    report_view,
)
from rowanrail.coordination.failover_controller import FailoverController
from rowanrail.coordination.liveness import GATEWAY_EXPIRY_SECONDS, Liveness
from rowanrail.coordination.reports import ReportIndex
from rowanrail.directory.health_filter import MAX_PROOF_AGE_MS, reportable_health
from rowanrail.directory.messages import GatewayReport
from rowanrail.model.members import MemberRecord, PrimaryHealth
from rowanrail.model.position import Position

SERVICES = ("db1", "db2")
LEADING_SECONDS = 60.0
# A filtered proof can't contradict shorter failures; longer ones don't occur before a decision.
MAX_FAILING_MS = MAX_PROOF_AGE_MS - round(1000 * MAX_REPORT_AGE_SECONDS) - 1

health = st.builds(
    PrimaryHealth,
    st.sampled_from(SERVICES),
    st.sampled_from(["", "m1", "m2"]),
    st.one_of(st.just(-1), st.integers(0, 4 * MAX_PROOF_AGE_MS)),
    st.one_of(st.just(0), st.integers(1, MAX_FAILING_MS)),
)
reports = st.builds(
    GatewayReport,
    st.sampled_from([f"g{n}" for n in range(5)]),
    st.just("a"),
    st.lists(health, max_size=2, unique_by=lambda one: one.service),
    st.just(1),
)
heard = st.lists(st.tuples(reports, st.floats(0.0, 1.0)), max_size=20)


def member(instance, primary, leaving=False):
    return MemberRecord(instance, "db1", f"{instance}:1", "a", primary, leaving, 3, 1)


def view(members, told, gateways):
    """Return the view of a leader whose own samples give no evidence."""
    own = report_view("leader", PrimaryHealth("db1", "", -1, 0), 0.0)
    views = [
        MemberView(record, 5.0, False, 1, Position(1, number))
        for number, record in enumerate(members)
    ]
    return ServiceView(
        "db1", views, [own, *told], None, LEADING_SECONDS, 1 + gateways, statuses_fresh=True
    )


class ReportIndexTest(unittest.TestCase):
    @settings(max_examples=400, deadline=None)
    @given(heard, st.booleans(), st.booleans())
    def test_filtered_views_do_not_change_the_decision(self, listed, leads, leaving):
        """Decisions from the index equal those from each gateway's latest full report."""
        index, latest = ReportIndex(), {}
        now = 0.0
        for report, pause in listed:
            now += pause
            index.put(report, now)
            latest[report.gateway] = (report, now)
        whole = [
            report_view(name, one, now - at)
            for name, (report, at) in latest.items()
            for one in report.services
            if one.service == "db1"
        ]
        members = [member("m1", leads, leaving), member("m2", False)]
        told = index.report_views("db1", now)
        self.assertEqual(
            decide(view(members, told, len(index))), decide(view(members, whole, len(latest)))
        )

    def test_a_report_of_many_services_that_are_not_used_is_empty(self):
        seen = [PrimaryHealth(f"db{n}", "m1", -1, 0) for n in range(40)]
        self.assertEqual(reportable_health(seen), [])

    def test_a_report_replaces_the_earlier_one(self):
        index = ReportIndex()
        failing = PrimaryHealth("db1", "m1", 900, 300)
        index.put(GatewayReport("g1", "a", [failing]), 1.0)
        self.assertTrue(index.has_failure_report("db1"))
        index.put(GatewayReport("g1", "a", []), 2.0)
        self.assertFalse(index.has_failure_report("db1"))
        self.assertEqual(index.report_views("db1", 2.0), [])

    def test_reports_of_a_silent_gateway_expire(self):
        time = [0.0]
        liveness = Liveness(lambda: time[0])
        liveness.record_report(GatewayReport("g1", "a", [PrimaryHealth("db1", "m1", -1, 300)], 1))
        time[0] = GATEWAY_EXPIRY_SECONDS + 1
        self.assertEqual(liveness.gateways(), {})
        self.assertEqual((liveness.gateway_count, liveness.has_failure_report("db1")), (0, False))


class FakeState:
    def __init__(self, members):
        self.revision = 1
        self.members = {record.instance: record for record in members}


class FakeService:
    propose = None  # the tests propose nothing

    def __init__(self, members, liveness):
        self.state, self.liveness = FakeState(members), liveness


class LeadingNode:
    class raft:
        is_established_leader = True


class ServingTracker:
    failing_since = 0.0


class HealthyServiceTest(unittest.IsolatedAsyncioTestCase):
    """Skipping a healthy service must be equivalent to a decision to wait."""

    def controller(self, members, liveness):
        return FailoverController(
            LeadingNode(), FakeService(members, liveness), None, None, None, None, None
        )

    @settings(max_examples=400, deadline=None)
    @given(heard, st.booleans(), st.booleans(), st.booleans())
    def test_a_healthy_service_needs_no_decision(self, listed, first, second, leaving):
        liveness = Liveness(lambda: 1.0)
        for report, _ in listed:
            liveness.record_report(report)
        members = [member("m1", first, leaving), member("m2", second)]
        controller = self.controller(members, liveness)
        controller._trackers["db1"] = ServingTracker()
        seen = view(members, liveness.report_views("db1"), liveness.gateway_count)
        if controller._is_healthy("db1"):
            self.assertIs(decide(seen).action, Action.WAIT)
        elif any(one.primary and not one.leaving for one in members):
            self.assertTrue(liveness.has_failure_report("db1"))

    async def test_members_are_those_of_the_newest_revision(self):
        controller = self.controller([member("m1", True)], Liveness(lambda: 1.0))
        self.assertEqual(len(controller._members("db1")), 1)
        state = controller._service.state
        state.members["m2"] = member("m2", False)
        state.revision = 2
        self.assertEqual(len(controller._members("db1")), 2)


if __name__ == "__main__":
    unittest.main()
