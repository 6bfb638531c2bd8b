"""Tests that a gateway finds an up-to-date control node and then polls the nearest one."""

import asyncio
import unittest
import zlib

from returns.result import Success

from rowanrail.directory.messages import (
    DirectoryReply,
    Evacuations,
    GatewayReport,
    LoggedDirectoryReply,
    LoggedDirectoryRequest,
    control_nodes_checksum,
)
from rowanrail.gateway.discovery.control_plane_client import ControlPlaneClient
from rowanrail.gateway.discovery.provisional import latest_log_of_majority
from rowanrail.gateway.services.locality import Locality
from rowanrail.kernel.errors import TransportError
from rowanrail.model.routing import RoutingConfiguration

LOCALITY = Locality("a1", {"a1": "a", "b1": "b", "c1": "c"})


class SimulatedControls:
    """Control nodes by address with their replies, which record the polled addresses."""

    def __init__(self, logged=None, **nodes):
        self.nodes = nodes
        self.logged = logged or {}
        self.polled = []

    async def call(self, address, request, timeout_seconds):
        if isinstance(request, LoggedDirectoryRequest):
            if address not in self.logged:
                raise TransportError("not listening yet", peer=address)
            return self.logged[address]
        self.polled.append(address)
        try:
            async with asyncio.timeout(timeout_seconds):
                reply = await self.nodes[address](request)
        except TimeoutError as error:
            raise TransportError("no answer in time", peer=address) from error
        return reply


VOTERS = ["v1", "v2", "v3"]


def logged_reply(
    node, term, index, version, document=b"document", evacuations=None, known_term=None
):
    """Return a control node's reply with the directory in its log.

    The log's last entry is of ``term``, which is also the newest one that the node knows unless
    ``known_term`` says otherwise.
    """
    directory = DirectoryReply(
        False,
        version,
        zlib.compress(document),
        index,
        [],
        1,
        1,
        [],
        [],
        evacuations=evacuations,
    )
    return LoggedDirectoryReply(node, term, index, VOTERS, directory, known_term or term)


def node(zone, current=True, version=7, after=0.0):
    """Return a control node that answers after some seconds, or at the end of the hold time."""

    async def answer(request):
        await asyncio.sleep(after)
        if request.known_version >= version:
            await asyncio.sleep(request.wait_seconds)
        return DirectoryReply(
            current, version, zlib.compress(b"document"), 3, [], 1, 1, [], ["n1", "n2", "n3"], zone
        )

    return answer


async def unresponsive(request):
    await asyncio.sleep(60)


class FakeFormat:
    def parse(self, document):
        version = 8 if document == b"eight" else 7
        return Success(RoutingConfiguration(version, {}, {}))


class RecordingGateway:
    """Records the updates that the client applies."""

    def __init__(self):
        self.access = self
        self.up_to_date = []
        self.versions = []
        self.revisions = []
        self.evacuations = []

    def apply(self, configuration):
        if configuration.version not in self.versions:
            self.versions.append(configuration.version)

    def set_directory(self, directory):
        self.revisions.append(directory.revision)

    def set_evacuations(self, evacuations):
        self.evacuations.append(evacuations.revision)

    def note_confirmed(self, asked_at_ms):
        pass

    def note_control_up_to_date(self, peer):
        self.up_to_date.append(peer)


class NullLog:
    def note(self, event, **fields):
        pass


class PollingTest(unittest.IsolatedAsyncioTestCase):
    async def run_client(self, controls, seconds):
        self.gateway = RecordingGateway()
        client = ControlPlaneClient(
            self.gateway,
            controls,
            ["n1", "n2", "n3"],
            FakeFormat(),
            lambda: GatewayReport("g1", "a1", []),
            NullLog(),
            LOCALITY,
        )
        client.start()
        await asyncio.sleep(seconds)
        client.stop()

    async def test_the_start_does_not_wait_for_an_unresponsive_node(self):
        await self.run_client(
            SimulatedControls(n1=unresponsive, n2=unresponsive, n3=node("c1")), 0.1
        )
        self.assertEqual(self.gateway.versions, [7])

    async def test_the_start_applies_the_first_up_to_date_reply(self):
        stale = node("a1", current=False, version=6)
        await self.run_client(
            SimulatedControls(n1=stale, n2=stale, n3=node("c1", after=0.02)), 0.15
        )
        self.assertEqual(self.gateway.versions, [7])

    async def test_the_nearest_control_node_is_polled(self):
        # Polls of a remote node cost traffic between regions.
        far, near = node("c1"), node("a1", after=0.02)
        controls = SimulatedControls(n1=far, n2=near, n3=far)
        await self.run_client(controls, 1.4)
        self.assertEqual(controls.polled[-1], "n2")

    async def test_a_near_unresponsive_node_is_polled_rarely(self):
        controls = SimulatedControls(n1=unresponsive, n2=node("b1"), n3=node("c1"))
        await self.run_client(controls, 2.6)
        self.assertLessEqual(controls.polled.count("n1"), 3)
        self.assertGreaterEqual(controls.polled.count("n2") + controls.polled.count("n3"), 4)


class ReportedControlsTest(unittest.IsolatedAsyncioTestCase):
    """Control nodes report their addresses only when these changed."""

    def setUp(self):
        self.network = SimulatedControls()
        self.client = ControlPlaneClient(
            RecordingGateway(),
            self.network,
            ["n1"],
            FakeFormat(),
            lambda: GatewayReport("g1", "a1", []),
            NullLog(),
            LOCALITY,
        )

    def set_reported(self, reported):
        """Have all nodes report these addresses to clients with another checksum."""
        self.checksums = []

        async def answer(request):
            self.checksums.append(request.known_controls_checksum)
            controls = (
                []
                if request.known_controls_checksum == control_nodes_checksum(reported)
                else reported
            )
            return DirectoryReply(True, 7, b"", 3, None, 1, 1, [], controls, "a1")

        self.network.nodes = {"n1": answer, "n2": answer, "n3": answer}

    async def poll(self):
        self.assertTrue(await self.client._poll("n1", 0.0))
        return list(self.client.controls)

    async def test_known_addresses_are_kept_and_not_sent_again(self):
        self.set_reported(["n1", "n2", "n3"])
        self.assertEqual(await self.poll(), ["n1", "n2", "n3"])
        self.assertEqual(await self.poll(), ["n1", "n2", "n3"])
        self.assertEqual(self.checksums, [0, control_nodes_checksum(["n1", "n2", "n3"])])

    async def test_a_changed_list_is_sent_again(self):
        self.set_reported(["n1", "n2"])
        await self.poll()
        self.set_reported(["n1", "n3"])
        self.assertEqual(await self.poll(), ["n1", "n3"])

    async def test_changed_seeds_are_merged_with_the_reported_addresses(self):
        self.set_reported(["n1", "n2"])
        await self.poll()
        self.client.set_seeds(["n3"])
        await self.poll()
        self.assertCountEqual(self.client.controls, ["n1", "n2", "n3"])
        self.assertEqual(self.checksums[-1], 0)


class ProvisionalStartTest(unittest.IsolatedAsyncioTestCase):
    """The start while the control nodes have no leader."""

    run_client = PollingTest.run_client

    async def test_the_latest_log_of_a_majority_is_applied_before_a_leader_is_known(self):
        late = node("a1", after=0.2)
        controls = SimulatedControls({"n1": logged_reply("v1", 2, 9, 7)}, n1=late, n2=late, n3=late)
        controls.logged["n3"] = logged_reply("v3", 2, 8, 7)
        await self.run_client(controls, 0.1)
        self.assertEqual((self.gateway.versions, self.gateway.revisions), ([7], [0]))

    async def test_the_same_log_of_several_nodes_is_applied_once(self):
        late = node("a1", after=0.2)
        same = {f"n{n}": logged_reply(f"v{n}", 2, 9, 7) for n in (1, 2, 3)}
        await self.run_client(SimulatedControls(same, n1=late, n2=late, n3=late), 0.1)
        self.assertEqual(self.gateway.revisions, [0])

    async def test_the_log_of_one_node_is_not_applied(self):
        late = node("a1", after=0.2)
        controls = SimulatedControls({"n1": logged_reply("v1", 2, 9, 7)}, n1=late, n2=late, n3=late)
        await self.run_client(controls, 0.1)
        self.assertEqual(self.gateway.versions, [])

    async def test_a_leaders_reply_with_the_same_document_replaces_nothing(self):
        late = node("a1", after=0.1)
        controls = SimulatedControls(
            {"n1": logged_reply("v1", 2, 9, 7), "n2": logged_reply("v2", 2, 9, 7)},
            n1=late,
            n2=late,
            n3=late,
        )
        await self.run_client(controls, 0.3)
        self.assertEqual((self.gateway.versions, self.gateway.revisions), ([7], [0, 3]))


class EvacuationsTest(unittest.IsolatedAsyncioTestCase):
    """Replies of several control nodes, some of which have not applied the newest order."""

    def setUp(self):
        self.gateway = RecordingGateway()
        self.client = ControlPlaneClient(
            self.gateway,
            SimulatedControls(),
            ["n1"],
            FakeFormat(),
            lambda: GatewayReport("g1", "a1", []),
            NullLog(),
            LOCALITY,
        )

    def reply(self, revision, current=True):
        evacuations = Evacuations(revision, {"a1": 1} if revision else {})
        self.client._apply(
            "n1", DirectoryReply(current, 7, b"", 3, None, 1, 1, [], [], evacuations=evacuations)
        )

    def start_provisionally(self, revision):
        for name in ("v1", "v2"):
            evacuations = Evacuations(revision, {"a1": 1})
            self.client._apply_logged(logged_reply(name, 2, 9, 7, evacuations=evacuations))

    async def test_an_older_reply_that_arrives_later_is_ignored(self):
        self.reply(9)
        self.reply(5)
        self.assertEqual(self.gateway.evacuations, [9])

    async def test_the_provisional_directory_has_them(self):
        self.start_provisionally(9)
        self.assertEqual(self.gateway.evacuations[-1], 9)

    async def test_an_evacuation_that_one_node_has_logged_is_not_obeyed(self):
        # It may be lost with the next election.
        for name, revision in (("v1", 9), ("v2", 0)):
            evacuations = Evacuations(revision, {"a1": 1} if revision else {})
            self.client._apply_logged(logged_reply(name, 2, 9, 7, evacuations=evacuations))
        self.assertEqual(self.gateway.evacuations, [])
        self.reply(0)
        self.assertEqual(self.gateway.evacuations, [0])

    async def test_a_node_that_has_not_caught_up_after_a_restart_opens_no_zone(self):
        self.start_provisionally(9)
        self.reply(0, current=False)
        self.assertEqual(self.gateway.evacuations[-1], 9)


class LatestLogOfMajorityTest(unittest.TestCase):
    def test_the_latest_log_by_term_then_index_is_returned(self):
        replies = [
            logged_reply("v1", 2, 9, 7),
            logged_reply("v2", 3, 4, 5),
            logged_reply("v3", 3, 5, 6),
        ]
        self.assertEqual(latest_log_of_majority(replies).node, "v3")

    def test_a_node_with_an_empty_disk_does_not_count(self):
        empty = LoggedDirectoryReply("v3@new", 0, 0, [], logged_reply("", 0, 0, 0).directory)
        self.assertIsNone(latest_log_of_majority([logged_reply("v1", 2, 9, 7), empty]))

    def test_nodes_that_no_longer_vote_do_not_count(self):
        newest = LoggedDirectoryReply(
            "v1", 4, 9, ["v1", "v4", "v5"], logged_reply("v1", 4, 9, 7).directory
        )
        self.assertIsNone(latest_log_of_majority([newest, logged_reply("v2", 2, 9, 7)]))
        fourth = LoggedDirectoryReply(
            "v4", 4, 8, ["v1", "v4", "v5"], logged_reply("v4", 4, 8, 7).directory
        )
        self.assertEqual(latest_log_of_majority([newest, fourth]).node, "v1")


if __name__ == "__main__":
    unittest.main()
