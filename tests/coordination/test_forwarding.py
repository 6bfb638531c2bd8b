"""Forwarding of gateways' reports to the leader."""

import unittest

import msgspec

from rowanrail.coordination.forwarding import KEEPALIVE_SECONDS, ReportForwarding
from rowanrail.coordination.liveness import GATEWAY_EXPIRY_SECONDS
from rowanrail.coordination.service import CoordinationService
from rowanrail.directory.messages import DirectoryRequest, GatewayReport
from rowanrail.model.members import PrimaryHealth
from rowanrail.scheduling.load_report import LoadReport
from tests.coordination.test_directory import FakeNode
from tests.coordination.test_holders import new_state
from tests.coordination.test_service import RecordingNetwork

QUIET = GatewayReport("g1", "a", [], relay_address="g1:1")
FAILING = msgspec.structs.replace(QUIET, services=[PrimaryHealth("db", "m1", 900, 300)])


class ReportForwardingTest(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        self.forwarding = ReportForwarding(lambda: self.time)

    def forwarded(self, *reports, leader="c1:1"):
        """Return for each report, one per second, whether it is forwarded."""
        due = []
        for report in reports:
            due.append(self.forwarding.is_due(report, leader))
            self.time += 1.0
        return due

    def test_reports_without_content_are_forwarded_as_keepalives(self):
        due = self.forwarded(*[QUIET] * 9)
        self.assertEqual(due, [True, False, False, False] * 2 + [True])
        self.assertLess(2 * KEEPALIVE_SECONDS, GATEWAY_EXPIRY_SECONDS)

    def test_reports_with_failures_are_always_forwarded(self):
        self.assertEqual(self.forwarded(QUIET, FAILING, FAILING, FAILING), [True] * 4)

    def test_reports_with_load_are_always_forwarded(self):
        # Each span's load is reported once.
        loaded = msgspec.structs.replace(QUIET, load=LoadReport(4000, 12, False, []))
        self.assertEqual(self.forwarded(QUIET, loaded, QUIET, QUIET, loaded)[:2], [True, True])
        self.assertEqual(self.forwarded(QUIET, QUIET, loaded, loaded)[2:], [True, True])

    def test_the_first_report_without_content_is_forwarded_at_once(self):
        self.assertEqual(self.forwarded(FAILING, QUIET, QUIET), [True, True, False])

    def test_a_report_is_forwarded_to_a_new_leader(self):
        self.forwarded(QUIET)
        self.assertEqual(self.forwarded(QUIET, leader="c2:1"), [True])

    def test_a_changed_address_is_forwarded_at_once(self):
        self.forwarded(QUIET)
        moved = msgspec.structs.replace(QUIET, relay_address="g1:2")
        self.assertEqual(self.forwarded(moved, moved), [True, False])


class FollowingNode(FakeNode):
    def leader_address(self):
        return "c2:1"


class ForwardedPollsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_follower_forwards_the_reports_in_polls(self):
        network = RecordingNetwork()
        service = CoordinationService(FollowingNode(leads=False), new_state(), network)
        for report in (QUIET, QUIET, FAILING, QUIET):
            await service.handle(DirectoryRequest(report, 1, 0, 0.0))
        forwarded = [(address, len(notice.services)) for address, notice in network.notices]
        self.assertEqual(forwarded, [("c2:1", 0), ("c2:1", 1), ("c2:1", 0)])


if __name__ == "__main__":
    unittest.main()
