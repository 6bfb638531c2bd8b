"""Announcements and reports that reach a control node late, or before it leads."""

import unittest

import msgspec

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.coordination.messages import AnnounceRequest, HeartbeatNotice
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.rejected_announcements import (
    AnnouncementRejectedError,
    RejectionReason,
)
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import GatewayReport
from rowanrail.model.members import MemberRecord, PrimaryHealth


class RecordingNetwork:
    """Records the notices that are sent."""

    def __init__(self):
        self.notices = []

    def notify(self, address, notice):
        self.notices.append((address, notice))


class FollowingRaft:
    is_leader = False


class FollowingNode:
    raft = FollowingRaft()

    def leader_address(self):
        return "leader:1"


class NewLeaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_recent_direct_reports_are_forwarded_to_a_new_leader(self):
        # Otherwise a new leader would know of no failure until the gateways' next reports.
        state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        network = RecordingNetwork()
        service = CoordinationService(FollowingNode(), state, network)
        health = PrimaryHealth("db", "m1", proved_ago_ms=900, failing_for_ms=300)
        for hops in (0, 1):
            report = GatewayReport(f"g{hops}", "a", [health], hops=hops)
            await service.handle(report)
        network.notices.clear()
        service.forward_reports()
        told = [(address, notice.gateway, notice.hops) for address, notice in network.notices]
        self.assertEqual(told, [("leader:1", "g0", 1)])


class LeadingNode:
    """Applies proposed commands at once."""

    def __init__(self, state):
        self.state = state
        self.index = 0
        self.identity = None

    class raft:
        is_leader = True

    async def propose(self, data):
        self.index += 1
        return self.state.apply(Entry(1, self.index, EntryKind.COMMAND, data))


def record(instance, sequence, **changes):
    base = MemberRecord(instance, "db", f"{instance}:1", "a", False, False, 3, sequence)
    return msgspec.structs.replace(base, **changes)


class RejectedByTheLeaderTest(unittest.IsolatedAsyncioTestCase):
    """A follower forwards an announcement of another writer, as it is behind the leader."""

    async def test_its_caller_gets_the_leaders_reason(self):
        leading = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        leader = CoordinationService(LeadingNode(leading), leading, None)
        leader.configured_services = lambda: {"db"}
        await leader.handle(AnnounceRequest(record("m1", 1)))

        class Network:
            async def call(self, address, request, seconds):
                return await leader.handle(request)

        behind = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        follower = CoordinationService(FollowingNode(), behind, Network())
        with self.assertRaises(AnnouncementRejectedError) as caught:
            await follower.announce(record("m1", 9, service="made-up"))
        self.assertIs(caught.exception.reason, RejectionReason.OTHER_SERVICE)
        self.assertEqual(leading.members["m1"].service, "db")


class ReadmissionTest(unittest.IsolatedAsyncioTestCase):
    """A heartbeat delayed by a partition arrives after its sender's successor has registered.

    An unknown earlier instance must not displace the running one at its address for good.
    """

    def setUp(self):
        self.state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        self.time = 100.0
        test = self

        class TimedService(CoordinationService):
            def now(self):
                return test.time

        self.service = TimedService(LeadingNode(self.state), self.state, None)

    async def announce(self, instance, sequence, **changes):
        changes.setdefault("address", "10.0.0.1:1")
        await self.service.announce(record(instance, sequence, **changes))

    async def send_heartbeats(self, instance, sequences, seconds=0.5, **changes):
        for sequence in sequences:
            self.time += seconds
            await self.announce(instance, sequence, **changes)

    async def test_a_late_heartbeat_of_a_displaced_member_changes_nothing(self):
        await self.announce("first", 7)
        await self.announce("second", 1)
        await self.announce("first", 9, primary=True)
        self.assertEqual(list(self.state.members), ["second"])

    async def test_a_displaced_member_that_keeps_sending_heartbeats_is_readmitted(self):
        await self.announce("second", 4, primary=True)
        await self.announce("first", 2)  # delayed by a partition; its sender has ended
        self.assertEqual(list(self.state.members), ["first"])
        await self.send_heartbeats("second", range(5, 13), primary=True)
        self.assertEqual(list(self.state.members), ["second"])
        self.assertTrue(self.state.members["second"].primary)

    async def test_late_heartbeats_do_not_displace_a_running_member(self):
        await self.announce("first", 4)
        await self.announce("second", 1)
        for number in range(2, 12):
            await self.send_heartbeats("second", [number])
            await self.announce("first", 3 + number)
        self.assertEqual(list(self.state.members), ["second"])

    async def test_a_new_leader_does_not_take_missing_heartbeats_for_silence(self):
        await self.announce("first", 4)
        await self.announce("second", 1)
        await self.send_heartbeats("first", [5])
        self.assertEqual(list(self.state.members), ["second"])

    async def test_a_single_heartbeat_after_a_long_silence_does_not_readmit(self):
        await self.announce("first", 4)
        await self.announce("second", 1)
        await self.send_heartbeats("first", [5])
        self.time += 60.0
        await self.send_heartbeats("first", [6])
        self.assertEqual(list(self.state.members), ["second"])

    async def test_a_displaced_member_that_was_leaving_is_not_readmitted(self):
        await self.announce("first", 4, leaving=True)
        await self.announce("second", 1)
        await self.send_heartbeats("first", range(5, 13))
        self.assertEqual(list(self.state.members), ["second"])

    async def test_a_displaced_member_that_leaves_is_not_readmitted_by_an_earlier_heartbeat(self):
        await self.announce("first", 4)
        await self.announce("second", 1)
        await self.service.handle(AnnounceRequest(record("first", 20, leaving=True)))
        self.service.liveness.forget_member("first")  # like a new leader
        await self.send_heartbeats("first", range(5, 13))
        self.assertEqual(list(self.state.members), ["second"])

    async def test_a_displaced_member_that_ended_is_not_readmitted(self):
        await self.announce("first", 4)
        await self.announce("second", 1)
        await self.service.remove("first")
        await self.send_heartbeats("first", range(5, 13))
        self.assertEqual(list(self.state.members), ["second"])


class LateAnnouncementTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        self.service = CoordinationService(LeadingNode(self.state), self.state, None)

    async def announce(self, *arguments, **changes):
        await self.service.handle(AnnounceRequest(record(*arguments, **changes)))

    def primaries(self):
        return [m.instance for m in self.state.members.values() if m.primary]

    async def test_a_late_announcement_does_not_restore_a_former_primary(self):
        await self.announce("m1", 3, primary=True)
        await self.service.handle(HeartbeatNotice("m1", 8))  # not logged
        await self.announce("m2", 4, primary=True)
        await self.announce("m1", 5, primary=True)
        self.assertEqual(self.primaries(), ["m2"])

    async def test_a_newer_announcement_of_a_former_primary_counts(self):
        await self.announce("m1", 3, primary=True)
        await self.announce("m2", 4, primary=True)
        await self.announce("m1", 9, primary=True)
        self.assertEqual(self.primaries(), ["m1"])

    async def test_a_late_announcement_of_leaving_counts(self):
        await self.announce("m1", 3)
        await self.service.handle(HeartbeatNotice("m1", 8))
        await self.announce("m1", 6, leaving=True)
        self.assertTrue(self.state.members["m1"].leaving)

    async def test_a_late_announcement_does_not_undo_leaving(self):
        await self.announce("m1", 3)
        await self.announce("m1", 6, leaving=True)
        await self.announce("m1", 5)
        self.assertTrue(self.state.members["m1"].leaving)
