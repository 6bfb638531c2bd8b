"""What a leading control node makes of members' words."""

import unittest

import msgspec

from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.control.policies import VersionMonotonic
from rowanrail.coordination.messages import AnnounceRequest, GatewayReport, HeartbeatNotice
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.gateway.model import MemberRecord, PrimaryHealth


class NotedNetwork:
    """Keeps the notices that were sent."""

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
    async def test_it_is_told_what_gateways_said_to_another_node_a_moment_ago(self):
        # Found in an incident: a new leader knew of no gateway's failing for up to 1 s.
        state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        network = NotedNetwork()
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
    """Applies at once what is proposed."""

    def __init__(self, state):
        self.state = state
        self.index = 0
        self.identity = None

    async def propose(self, data):
        self.index += 1
        return self.state.apply(Entry(1, self.index, EntryKind.COMMAND, data))


def record(instance, sequence, **changes):
    base = MemberRecord(instance, "db", f"{instance}:1", "a", False, False, 3, sequence)
    return msgspec.structs.replace(base, **changes)


class LateWordsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        self.service = CoordinationService(LeadingNode(self.state), self.state, None)

    async def announce(self, *arguments, **changes):
        await self.service.handle(AnnounceRequest(record(*arguments, **changes)))

    def primaries(self):
        return [m.instance for m in self.state.members.values() if m.primary]

    async def test_a_heartbeat_that_is_seconds_late_does_not_take_the_lead_back(self):
        await self.announce("m1", 3, primary=True)
        await self.service.handle(HeartbeatNotice("m1", 8))  # plain: not in the log
        await self.announce("m2", 4, primary=True)
        await self.announce("m1", 5, primary=True)
        self.assertEqual(self.primaries(), ["m2"])

    async def test_its_next_word_counts_again(self):
        await self.announce("m1", 3, primary=True)
        await self.announce("m2", 4, primary=True)
        await self.announce("m1", 9, primary=True)
        self.assertEqual(self.primaries(), ["m1"])

    async def test_leaving_counts_however_late_it_comes(self):
        await self.announce("m1", 3)
        await self.service.handle(HeartbeatNotice("m1", 8))
        await self.announce("m1", 6, leaving=True)
        self.assertTrue(self.state.members["m1"].leaving)

    async def test_nothing_late_makes_a_leaving_member_ready(self):
        await self.announce("m1", 3)
        await self.announce("m1", 6, leaving=True)
        await self.announce("m1", 5)
        self.assertTrue(self.state.members["m1"].leaving)
