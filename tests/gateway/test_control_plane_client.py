"""How a gateway finds a control node that is sure, and stays with the nearest one."""

import asyncio
import unittest
import zlib

from returns.result import Success

from rowanrail.directory.messages import (
    DirectoryReply,
    GatewayReport,
    LoggedDirectoryReply,
    LoggedDirectoryRequest,
    controls_checksum,
)
from rowanrail.gateway.discovery.control_plane_client import ControlPlaneClient
from rowanrail.gateway.discovery.provisional import latest_log_of_majority
from rowanrail.gateway.services.locality import Locality
from rowanrail.kernel.errors import TransportError
from rowanrail.model.routing import RoutingConfiguration

LOCALITY = Locality("a1", {"a1": "a", "b1": "b", "c1": "c"})


class PlayedControls:
    """Control nodes by address: how each answers, and what each was asked."""

    def __init__(self, held=None, **nodes):
        self.nodes = nodes
        self.held = held or {}
        self.asked = []

    async def call(self, address, request, timeout_seconds):
        if isinstance(request, LoggedDirectoryRequest):
            if address not in self.held:
                raise TransportError("not listening yet", peer=address)
            return self.held[address]
        self.asked.append(address)
        try:
            async with asyncio.timeout(timeout_seconds):
                reply = await self.nodes[address](request)
        except TimeoutError as error:
            raise TransportError("no answer in time", peer=address) from error
        return reply


VOTERS = ["v1", "v2", "v3"]


def held(node, term, index, version, document=b"document"):
    """Return what a control node says that its log holds."""
    directory = DirectoryReply(False, version, zlib.compress(document), index, [], 1, 1, [], [])
    return LoggedDirectoryReply(node, term, index, VOTERS, directory)


def node(zone, current=True, version=7, after=0.0):
    """Return a control node of a zone that answers ``after`` some seconds, or at the hold."""

    async def answer(request):
        await asyncio.sleep(after)
        if request.known_version >= version:
            await asyncio.sleep(request.wait_seconds)
        return DirectoryReply(
            current, version, zlib.compress(b"document"), 3, [], 1, 1, [], ["n1", "n2", "n3"], zone
        )

    return answer


async def silent(request):
    await asyncio.sleep(60)


class PlainFormat:
    def parse(self, document):
        version = 8 if document == b"eight" else 7
        return Success(RoutingConfiguration(version, {}, {}))


class TakenGateway:
    """Keeps what the watch puts in force."""

    def __init__(self):
        self.access = self
        self.heard = []
        self.versions = []
        self.corrected = []
        self.revisions = []

    def apply(self, configuration, replaces_provisional=False):
        if replaces_provisional:
            self.corrected.append(configuration.version)
        if configuration.version not in self.versions:
            self.versions.append(configuration.version)

    def set_directory(self, directory):
        self.revisions.append(directory.revision)

    def note_control_up_to_date(self, peer):
        self.heard.append(peer)


class QuietLog:
    def note(self, event, **fields):
        pass


class FollowTest(unittest.IsolatedAsyncioTestCase):
    async def follow(self, controls, seconds):
        self.gateway = TakenGateway()
        watch = ControlPlaneClient(
            self.gateway,
            controls,
            ["n1", "n2", "n3"],
            PlainFormat(),
            lambda: GatewayReport("g1", "a1", []),
            QuietLog(),
            LOCALITY,
        )
        watch.start()
        await asyncio.sleep(seconds)
        watch.stop()

    async def test_a_start_does_not_wait_for_a_control_node_that_says_nothing(self):
        # Found on a day that ended with a loss of all power: 0.8 s lost on the first of the list.
        await self.follow(PlayedControls(n1=silent, n2=silent, n3=node("c1")), 0.1)
        self.assertEqual(self.gateway.versions, [7])

    async def test_a_start_takes_the_word_of_the_first_node_that_is_sure(self):
        unsure = node("a1", current=False, version=6)
        await self.follow(PlayedControls(n1=unsure, n2=unsure, n3=node("c1", after=0.02)), 0.15)
        self.assertEqual(self.gateway.versions, [7])

    async def test_the_nearest_control_node_is_followed(self):
        # The calls of a gateway that follows a far node cost bytes between regions.
        far, near = node("c1"), node("a1", after=0.02)
        controls = PlayedControls(n1=far, n2=near, n3=far)
        await self.follow(controls, 1.4)
        self.assertEqual(controls.asked[-1], "n2")

    async def test_a_near_control_node_that_says_nothing_is_left_alone(self):
        controls = PlayedControls(n1=silent, n2=node("b1"), n3=node("c1"))
        await self.follow(controls, 2.6)
        self.assertLessEqual(controls.asked.count("n1"), 3)
        self.assertGreaterEqual(controls.asked.count("n2") + controls.asked.count("n3"), 4)


class ControlsTest(unittest.IsolatedAsyncioTestCase):
    """Addresses of control nodes are told when they are news."""

    def setUp(self):
        self.network = PlayedControls()
        self.watch = ControlPlaneClient(
            TakenGateway(),
            self.network,
            ["n1"],
            PlainFormat(),
            lambda: GatewayReport("g1", "a1", []),
            QuietLog(),
            LOCALITY,
        )

    def follow(self, told):
        """Have ``n1`` tell these control nodes to whoever does not know them."""
        self.known = []

        async def answer(request):
            self.known.append(request.known_controls_checksum)
            controls = [] if request.known_controls_checksum == controls_checksum(told) else told
            return DirectoryReply(True, 7, b"", 3, None, 1, 1, [], controls, "a1")

        self.network.nodes = {"n1": answer, "n2": answer, "n3": answer}

    async def poll(self):
        self.assertTrue(await self.watch._poll("n1", 0.0))
        return list(self.watch.controls)

    async def test_who_was_told_of_them_is_not_told_again_and_keeps_them(self):
        self.follow(["n1", "n2", "n3"])
        self.assertEqual(await self.poll(), ["n1", "n2", "n3"])
        self.assertEqual(await self.poll(), ["n1", "n2", "n3"])
        self.assertEqual(self.known, [0, controls_checksum(["n1", "n2", "n3"])])

    async def test_another_list_is_told_again(self):
        self.follow(["n1", "n2"])
        await self.poll()
        self.follow(["n1", "n3"])
        self.assertEqual(await self.poll(), ["n1", "n3"])

    async def test_a_changed_list_in_the_settings_is_joined_with_what_is_told(self):
        self.follow(["n1", "n2"])
        await self.poll()
        self.watch.set_seeds(["n3"])
        await self.poll()
        self.assertCountEqual(self.watch.controls, ["n1", "n2", "n3"])
        self.assertEqual(self.known[-1], 0)


class HeldTest(unittest.IsolatedAsyncioTestCase):
    """A start before a leader is known."""

    follow = FollowTest.follow

    async def test_what_a_majority_holds_is_gone_by_until_a_leader_is_known(self):
        # Found on days that end with a loss of all power: 0.13 to 0.23 s went on an election.
        late = node("a1", after=0.2)
        controls = PlayedControls({"n1": held("v1", 2, 9, 7)}, n1=late, n2=late, n3=late)
        controls.held["n3"] = held("v3", 1, 11, 6)
        await self.follow(controls, 0.1)
        self.assertEqual((self.gateway.versions, self.gateway.revisions), ([7], [0]))

    async def test_what_another_node_holds_as_well_is_taken_once(self):
        late = node("a1", after=0.2)
        same = {f"n{n}": held(f"v{n}", 2, 9, 7) for n in (1, 2, 3)}
        await self.follow(PlayedControls(same, n1=late, n2=late, n3=late), 0.1)
        self.assertEqual(self.gateway.revisions, [0])

    async def test_the_word_of_one_node_is_not_enough(self):
        late = node("a1", after=0.2)
        controls = PlayedControls({"n1": held("v1", 2, 9, 7)}, n1=late, n2=late, n3=late)
        await self.follow(controls, 0.1)
        self.assertEqual(self.gateway.versions, [])

    async def test_a_leaders_word_replaces_another_document_of_the_same_version(self):
        late = node("a1", after=0.1)
        controls = PlayedControls(
            {"n1": held("v1", 2, 9, 7, b"lost"), "n2": held("v2", 1, 9, 6)},
            n1=late,
            n2=late,
            n3=late,
        )
        await self.follow(controls, 0.3)
        self.assertEqual(self.gateway.corrected, [7])
        self.assertEqual(self.gateway.revisions, [0, 3])

    async def test_a_leaders_word_that_says_the_same_corrects_nothing(self):
        late = node("a1", after=0.1)
        controls = PlayedControls(
            {"n1": held("v1", 2, 9, 7), "n2": held("v2", 2, 9, 7)}, n1=late, n2=late, n3=late
        )
        await self.follow(controls, 0.3)
        self.assertEqual((self.gateway.versions, self.gateway.corrected), ([7], []))


class LongestOfMajorityTest(unittest.TestCase):
    def test_the_longest_log_by_term_then_index_is_taken(self):
        replies = [held("v1", 2, 9, 7), held("v2", 3, 4, 5), held("v3", 3, 5, 6)]
        self.assertEqual(latest_log_of_majority(replies).node, "v3")

    def test_a_node_with_an_empty_disk_does_not_count(self):
        empty = LoggedDirectoryReply("v3@new", 0, 0, [], held("", 0, 0, 0).directory)
        self.assertIsNone(latest_log_of_majority([held("v1", 2, 9, 7), empty]))

    def test_nodes_that_no_longer_vote_do_not_count(self):
        newest = LoggedDirectoryReply("v1", 4, 9, ["v1", "v4", "v5"], held("v1", 4, 9, 7).directory)
        self.assertIsNone(latest_log_of_majority([newest, held("v2", 2, 9, 7)]))
        fourth = LoggedDirectoryReply("v4", 4, 8, ["v1", "v4", "v5"], held("v4", 4, 8, 7).directory)
        self.assertEqual(latest_log_of_majority([newest, fourth]).node, "v1")


if __name__ == "__main__":
    unittest.main()
