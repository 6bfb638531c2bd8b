"""Incremental updates lead to the same directory as a full update, and never to an older one."""

import asyncio
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.coordination import history
from rowanrail.coordination.commands import Announce, Remove, SetGateways
from rowanrail.coordination.directory_updates import full_update, incremental_update
from rowanrail.coordination.service import CoordinationService
from rowanrail.directory.messages import (
    NO_REVISION,
    DirectoryReply,
    DirectoryRequest,
    GatewayRecord,
    GatewayReport,
    LoggedDirectoryRequest,
)
from rowanrail.directory.update_encoding import decode_update, encode_update
from rowanrail.gateway.discovery.control_plane_client import ControlPlaneClient
from rowanrail.gateway.discovery.directory_copy import DirectoryCopy
from rowanrail.gateway.services.locality import Locality
from rowanrail.kernel.errors import TransportError
from rowanrail.model.members import MemberRecord
from tests.coordination.test_directory import FakeNode
from tests.coordination.test_holders import commands, new_state
from tests.support.control_cost import FakeGateway, JsonFormat, document

GROUPS = ("a", "b", "east")
GATEWAY = GatewayReport("g1", "a", [])


def entry(index, command):
    return Entry(1, index, EntryKind.COMMAND, msgspec.msgpack.encode(command))


def member(instance="m1", sequence=1, **changes):
    record = MemberRecord(instance, "db", f"{instance}:1", "a", False, False, 3, sequence)
    return msgspec.structs.replace(record, **changes)


class ReplayingNode:
    """A control node that has applied a log up to a given index."""

    def __init__(self):
        self.state = new_state()
        self.service = CoordinationService(FakeNode(), self.state, None, "a")
        self.applied = 0

    def apply(self, log, until):
        for index in range(self.applied + 1, until + 1):
            self.state.apply(entry(index, log[index - 1]))
        self.applied = max(self.applied, until)
        return self

    def install(self, other):
        """Restore another node's snapshot."""
        self.state.restore(other.state.snapshot())
        self.applied = other.applied


class Follower:
    """A gateway's copy of the directory, updated by polls."""

    def __init__(self, group):
        self.group = group
        self.copy = DirectoryCopy(is_regional=False)
        self.directory = None

    async def poll(self, node):
        """Poll a node; return the update in its reply, None if there was none."""
        report = GatewayReport("g1", "zone", [], group=self.group)
        request = DirectoryRequest(
            report,
            0,
            self.copy.revision,
            0.0,
            accepts_updates=True,
            wants_full=self.copy.is_inconsistent,
        )
        reply = await node.service.handle(request)
        directory = self.copy.apply(reply)
        if directory is not None:
            self.directory = directory
        return decode_update(reply.update) if reply.update else None


def expected_view(state, group):
    """Return the view that a group should have of a state, sorted."""
    whole = full_update(state, group)
    others = {}
    for gateway in whole.remote_holders:
        if gateway.relay_address:
            others.setdefault(gateway.sharing_group, []).append(gateway.name)
    return (
        sorted(whole.members, key=lambda known: known.instance),
        sorted(gateway.name for gateway in whole.neighbours if gateway.relay_address),
        {zone: sorted(names) for zone, names in others.items()},
        (len(state.gateways), state.groups),
    )


def view_of(directory):
    return (
        sorted(directory.members, key=lambda one: one.instance),
        sorted(gateway.name for gateway in directory.neighbours),
        {
            zone: sorted(one.name for one in listed)
            for zone, listed in directory.remote_gateways.items()
        },
        (directory.population.gateways, directory.population.zones),
    )


steps = st.one_of(
    st.tuples(st.just("advance"), st.integers(0, 2), st.integers(1, 6)),
    st.tuples(st.just("poll"), st.integers(0, 2), st.sampled_from(GROUPS)),
    st.tuples(st.just("install"), st.integers(0, 2), st.integers(0, 2)),
    st.tuples(st.just("restart"), st.integers(0, 2), st.integers(0, 30)),
)


class RandomOrderTest(unittest.TestCase):
    """Gateways of three groups poll three nodes that have applied different parts of a log."""

    def run_steps(self, log, listed, max_changes):
        async def run():
            nodes = [ReplayingNode() for _ in range(3)]
            followers = {group: Follower(group) for group in GROUPS}
            for what, number, value in listed:
                node = nodes[number]
                match what:
                    case "advance":
                        node.apply(log, min(len(log), node.applied + value))
                    case "install" if nodes[value].applied >= node.applied:
                        node.install(nodes[value])
                    case "restart":
                        again = ReplayingNode()
                        again.apply(log, min(value, node.applied))
                        nodes[number] = again.apply(log, node.applied)
                    case "poll":
                        await self.check_poll(followers[value], node)
            for follower in followers.values():
                last = ReplayingNode().apply(log, len(log))
                await self.check_poll(follower, last)
                self.assertEqual(follower.copy.revision, last.state.revision)

        kept, history.MAX_CHANGES = history.MAX_CHANGES, max_changes
        try:
            asyncio.run(run())
        finally:
            history.MAX_CHANGES = kept

    async def check_poll(self, follower, node):
        before = follower.copy.revision
        await follower.poll(node)
        self.assertFalse(follower.copy.is_inconsistent)
        self.assertGreaterEqual(follower.copy.revision, before)
        self.assertEqual(follower.copy.revision, max(before, node.state.revision))
        if follower.copy.revision == node.state.revision:
            self.assertEqual(view_of(follower.directory), expected_view(node.state, follower.group))

    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(commands, max_size=30), st.lists(steps, max_size=40), st.sampled_from([1, 4, 500])
    )
    def test_polls_of_any_nodes_in_any_order_give_the_full_directory(
        self, log, listed, max_changes
    ):
        self.run_steps(log, listed, max_changes)


class IncrementalUpdateTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = [Announce(member(f"m{n}")) for n in range(1, 9)]
        self.log.append(SetGateways([GatewayRecord("g1", "a", "g1:1")], []))
        self.node = ReplayingNode().apply(self.log, len(self.log))
        self.follower = Follower("a")

    def lose_member(self, instance):
        """Remove a member from the copy, which no node has sent."""
        self.follower.copy._members.change([], [instance])

    async def test_a_gateway_that_holds_a_revision_gets_what_changed_since(self):
        self.assertEqual((await self.follower.poll(self.node)).base_revision, NO_REVISION)
        self.log += [Announce(member("m2", 2, leaving=True)), Remove("m3")]
        self.node.apply(self.log, len(self.log))
        update = await self.follower.poll(self.node)
        self.assertEqual(update.base_revision, 9)
        self.assertEqual([known.instance for known in update.members], ["m2"])
        self.assertEqual(
            (update.removed_members, update.neighbours, update.remote_holders), (["m3"], [], [])
        )

    async def test_a_gap_beyond_the_history_gets_a_full_update(self):
        await self.follower.poll(self.node)
        for sequence in range(2, history.MAX_CHANGES + 3):
            self.log.append(Announce(member("m1", sequence, slots=sequence)))
        self.node.apply(self.log, len(self.log))
        self.assertEqual((await self.follower.poll(self.node)).base_revision, NO_REVISION)

    async def test_a_node_that_is_behind_does_not_revert_the_directory(self):
        await self.follower.poll(self.node)
        behind = ReplayingNode().apply(self.log, 4)
        self.assertIsNone(await self.follower.poll(behind))
        self.assertEqual(
            (self.follower.copy.revision, len(self.follower.directory.members)), (9, 8)
        )

    async def test_a_node_restored_from_a_snapshot_sends_a_full_update(self):
        await self.follower.poll(self.node)
        self.log += [Remove("m3"), Remove("m4")]
        ahead = ReplayingNode().apply(self.log, len(self.log))
        self.node.install(ahead)
        self.assertEqual((await self.follower.poll(self.node)).base_revision, NO_REVISION)
        self.assertEqual(len(self.follower.directory.members), 6)

    async def test_a_copy_with_another_digest_is_replaced_by_a_full_update(self):
        await self.follower.poll(self.node)
        self.lose_member("m5")
        before = self.follower.directory
        self.log.append(Remove("m3"))
        self.node.apply(self.log, len(self.log))
        await self.follower.poll(self.node)
        self.assertTrue(self.follower.copy.is_inconsistent)
        self.assertIs(self.follower.directory, before)
        self.assertEqual((await self.follower.poll(self.node)).base_revision, NO_REVISION)
        self.assertEqual(view_of(self.follower.directory), expected_view(self.node.state, "a"))
        self.assertEqual(self.follower.copy.counts, {"whole": 2, "difference": 1, "mismatch": 1})

    async def test_a_broken_copy_does_not_take_an_older_full_update(self):
        await self.follower.poll(self.node)
        self.lose_member("m5")
        self.log.append(Remove("m3"))
        await self.follower.poll(self.node.apply(self.log, len(self.log)))
        behind = ReplayingNode().apply(self.log, 4)
        self.assertIsNone(await self.follower.poll(behind))
        self.assertIsNone(self.follower.copy.apply(self.plain_reply(behind)))
        self.assertTrue(self.follower.copy.is_inconsistent)

    async def test_replies_out_of_order_do_not_revert_the_directory(self):
        behind = ReplayingNode().apply(self.log, 4)
        await self.follower.poll(self.node)
        self.assertIsNone(self.follower.copy.apply(self.plain_reply(behind)))
        self.assertEqual(self.follower.copy.revision, 9)

    @staticmethod
    def plain_reply(node):
        """Return the reply of a node of an earlier version, which always sends all members."""
        members = list(node.state.members.values())
        return DirectoryReply(True, 0, b"", node.state.revision, members, 1, 1, [], [])

    async def test_a_gateway_of_an_earlier_version_gets_plain_records(self):
        reply = await self.node.service.handle(DirectoryRequest(GATEWAY, 0, 3, 0.0))
        self.assertEqual((len(reply.members), reply.update), (8, b""))
        self.assertEqual([gateway.name for gateway in reply.neighbours], ["g1"])

    async def test_the_logged_directory_is_encoded_for_gateways_that_accept_updates(self):
        service = CoordinationService(FakeNode(self.log, leads=False), new_state(), None, "a")
        held = await service.handle(LoggedDirectoryRequest("a", accepts_updates=True))
        self.assertIsNone(held.directory.members)
        self.assertEqual(len(decode_update(held.directory.update).members), 8)

    def test_a_damaged_update_raises_a_transport_error(self):
        encoded = encode_update(full_update(self.node.state, "a"))
        for damaged in (encoded[:-9], b"no part", encode_update(b"other")):
            with self.assertRaises(TransportError):
                decode_update(damaged)

    def test_there_is_no_incremental_update_from_before_the_history(self):
        self.node.install(ReplayingNode().apply(self.log, len(self.log)))
        self.assertIsNone(incremental_update(self.node.state, "a", 8))
        self.assertEqual(incremental_update(self.node.state, "a", 9).members, [])


class RecordingEvents:
    def __init__(self):
        self.events = []

    def note(self, event, **fields):
        self.events.append(event.number)


class RoutingNetwork:
    """Routes calls to nodes by address; others are unreachable."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.requests = []

    async def call(self, address, request, timeout_seconds):
        if isinstance(request, LoggedDirectoryRequest):
            raise TransportError("not listening yet", peer=address)
        self.requests.append((address, request))
        if address not in self.nodes:
            raise TransportError("not listening yet", peer=address)
        return await self.nodes[address].handle(request)


class DamagedNode:
    """A node whose updates can't be decoded."""

    def __init__(self, node):
        self.node = node

    async def handle(self, request):
        reply = await self.node.handle(request)
        return msgspec.structs.replace(reply, update=b"damaged" if reply.update else b"")


class ControlFollowerTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that follows nodes with damaged or differing directories."""

    def watch(self, network):
        self.gateway = FakeGateway()
        self.log = RecordingEvents()
        return ControlPlaneClient(
            self.gateway,
            network,
            list(network.nodes),
            JsonFormat(),
            lambda: GATEWAY,
            self.log,
            Locality("a"),
        )

    def node(self, *listed):
        node = ReplayingNode()
        node.state.version, node.state.document = 7, document(7)
        return node.apply([Announce(member(name)) for name in listed], len(listed))

    async def test_a_gateway_that_gets_a_damaged_update_polls_the_next_node(self):
        node = self.node("m1", "m2")
        network = RoutingNetwork({"c1:1": DamagedNode(node.service), "c2:1": node.service})
        watch = self.watch(network)
        watch.start()
        await asyncio.sleep(0.4)
        watch.stop()
        self.assertEqual(len(self.gateway.directory.members), 2)
        self.assertEqual(network.requests[-1][0], "c2:1")

    async def test_a_copy_that_differs_is_replaced_within_the_same_second(self):
        node = self.node("m1", "m2", "m3")
        watch = self.watch(RoutingNetwork({"c1:1": node.service}))
        watch.start()
        await asyncio.sleep(0.05)
        watch._copy._members.change([], ["m2"])  # no node has sent this change
        node.state.apply(entry(9, Remove("m3")))
        node.service.notice_change()
        await asyncio.sleep(0.1)
        watch.stop()
        self.assertIn(360, self.log.events)
        instances = [known.instance for known in self.gateway.directory.members]
        self.assertEqual((instances, self.gateway.directory.revision), (["m1", "m2"], 9))


if __name__ == "__main__":
    unittest.main()
