"""Which reports reach the leader."""

import unittest

import msgspec

from rowanrail.coordination.forwarding import KEEPALIVE_SECONDS, ReportForwarding
from rowanrail.coordination.liveness import GATEWAY_EXPIRY_SECONDS
from rowanrail.coordination.service import CoordinationService
from rowanrail.directory.messages import DirectoryRequest, GatewayReport
from rowanrail.model.members import PrimaryHealth
from rowanrail.scheduling.load_report import LoadReport
from tests.coordination.test_directory import PlayedNode
from tests.coordination.test_holders import new_state
from tests.coordination.test_service import NotedNetwork

QUIET = GatewayReport("g1", "a", [], relay_address="g1:1")
FAILING = msgspec.structs.replace(QUIET, services=[PrimaryHealth("db", "m1", 900, 300)])


class ReportForwardingTest(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        self.forwarding = ReportForwarding(lambda: self.time)

    def sent(self, *reports, leader="c1:1"):
        """Return which of the reports are sent, one each second."""
        due = []
        for report in reports:
            due.append(self.forwarding.is_due(report, leader))
            self.time += 1.0
        return due

    def test_a_gateway_that_tells_nothing_is_told_of_often_enough_to_be_known(self):
        due = self.sent(*[QUIET] * 9)
        self.assertEqual(due, [True, False, False, False] * 2 + [True])
        self.assertLess(2 * KEEPALIVE_SECONDS, GATEWAY_EXPIRY_SECONDS)

    def test_what_a_gateway_sees_is_told_each_time(self):
        self.assertEqual(self.sent(QUIET, FAILING, FAILING, FAILING), [True] * 4)

    def test_what_came_to_a_gateway_is_told_each_time(self):
        # It says so once for each span of time.
        loaded = msgspec.structs.replace(QUIET, load=LoadReport(4000, 12, False, []))
        self.assertEqual(self.sent(QUIET, loaded, QUIET, QUIET, loaded)[:2], [True, True])
        self.assertEqual(self.sent(QUIET, QUIET, loaded, loaded)[2:], [True, True])

    def test_that_it_sees_nothing_any_more_is_told_at_once(self):
        self.assertEqual(self.sent(FAILING, QUIET, QUIET), [True, True, False])

    def test_a_new_leader_is_told(self):
        self.sent(QUIET)
        self.assertEqual(self.sent(QUIET, leader="c2:1"), [True])

    def test_a_gateway_that_moved_is_told_of_at_once(self):
        self.sent(QUIET)
        moved = msgspec.structs.replace(QUIET, relay_address="g1:2")
        self.assertEqual(self.sent(moved, moved), [True, False])


class FollowingNode(PlayedNode):
    def leader_address(self):
        return "c2:1"


class ForwardedPollsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_follower_sends_on_what_a_poll_brought(self):
        network = NotedNetwork()
        service = CoordinationService(FollowingNode(leads=False), new_state(), network)
        for report in (QUIET, QUIET, FAILING, QUIET):
            await service.handle(DirectoryRequest(report, 1, 0, 0.0))
        told = [(address, len(notice.services)) for address, notice in network.notices]
        self.assertEqual(told, [("c2:1", 0), ("c2:1", 1), ("c2:1", 0)])


if __name__ == "__main__":
    unittest.main()
