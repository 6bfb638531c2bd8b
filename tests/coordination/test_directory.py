"""Directory replies of a control node: members, neighbours and holders in other zones."""

import unittest

import msgspec

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.log import Log
from rowanrail.consensus.messages import Entry, EntryKind, Membership, Snapshot
from rowanrail.coordination.commands import Announce, PutDocument, SetGateways
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import (
    DirectoryRequest,
    GatewayRecord,
    GatewayReport,
    LoggedDirectoryRequest,
)
from rowanrail.model.members import MemberRecord
from rowanrail.placement.hashed import rank

MEMBERSHIP = Membership({"v1": "c1:1", "v2": "c2:1", "v3": "c3:1"})
MEMBER = MemberRecord("m1", "db", "m1:1", "a", True, False, 3, 1)


def gateways(zone, count):
    return [GatewayRecord(f"{zone}{n}", zone, f"{zone}{n}:1") for n in range(count)]


class FakeRaft:
    """State of a node that leads, or that has just started and knows no leader."""

    node = "v1"
    term = 2
    membership = MEMBERSHIP

    def __init__(self, log, leads):
        self.log, self.is_leader = log, leads

    def seconds_since_up_to_date(self, now):
        return 0.0 if self.is_leader else 1e9


class FakeNode:
    def __init__(self, commands=(), leads=True):
        entries = [
            Entry(2, index, EntryKind.COMMAND, msgspec.msgpack.encode(command))
            for index, command in enumerate(commands, 1)
        ]
        self.raft = FakeRaft(Log(Snapshot(0, 0, MEMBERSHIP, b""), entries), leads)

    def leader_address(self):
        return ""

    async def wait_durable(self, step):
        pass


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        self.index = 0

    def apply(self, command):
        self.index += 1
        data = msgspec.msgpack.encode(command)
        self.state.apply(Entry(1, self.index, EntryKind.COMMAND, data))

    async def poll(self, service, zone):
        request = DirectoryRequest(GatewayReport(f"{zone}0", zone, []), 0, -1, 0.0)
        return await service.handle(request)

    async def test_a_reply_has_one_holder_of_a_service_in_each_other_zone(self):
        self.apply(Announce(MEMBER))
        self.apply(SetGateways([*gateways("a", 4), *gateways("b", 4), *gateways("c", 4)], []))
        service = CoordinationService(FakeNode(), self.state, None, "a")
        reply = await self.poll(service, "a")
        first = [rank("db", [f"{zone}{n}" for n in range(4)])[0] for zone in "bc"]
        self.assertEqual([gateway.name for gateway in reply.remote_holders], sorted(first))
        self.assertEqual([gateway.zone for gateway in reply.neighbours], ["a"] * 4)
        self.assertEqual(reply.zone, "a")

    async def test_a_removed_gateway_is_no_longer_a_holder(self):
        self.apply(Announce(MEMBER))
        self.apply(SetGateways([*gateways("a", 2), *gateways("b", 2)], []))
        service = CoordinationService(FakeNode(), self.state, None, "a")
        (before,) = (await self.poll(service, "a")).remote_holders
        self.apply(SetGateways([], [before.name]))
        (after,) = (await self.poll(service, "a")).remote_holders
        self.assertNotEqual(before.name, after.name)

    async def test_a_node_without_a_leader_answers_from_its_log(self):
        commands = [Announce(MEMBER), SetGateways(gateways("b", 1), []), PutDocument(9, b"nine")]
        service = CoordinationService(FakeNode(commands, leads=False), self.state, None, "a")
        held = await service.handle(LoggedDirectoryRequest("a"))
        self.assertEqual((held.node, held.last_term, held.last_index), ("v1", 2, 3))
        self.assertEqual(held.voters, ["v1", "v2", "v3"])
        self.assertEqual((held.directory.version, held.directory.document), (9, b"nine"))
        self.assertEqual([member.instance for member in held.directory.members], ["m1"])
        self.assertEqual([gateway.name for gateway in held.directory.remote_holders], ["b0"])
        self.assertEqual(self.state.version, 0, "what is not committed is not applied")
