"""How a gateway finds a control node that is sure, and stays with the nearest one."""

import asyncio
import unittest
import zlib

from returns.result import Success

from rowanrail.coordination.messages import DirectoryReply, GatewayReport
from rowanrail.gateway.directory_watch import DirectoryWatch
from rowanrail.gateway.locality import Locality
from rowanrail.gateway.model import RoutingConfiguration
from rowanrail.kernel.errors import TransportError

LOCALITY = Locality("a1", {"a1": "a", "b1": "b", "c1": "c"})


class PlayedControls:
    """Control nodes by address: how each answers, and what each was asked."""

    def __init__(self, **nodes):
        self.nodes = nodes
        self.asked = []

    async def call(self, address, request, timeout_seconds):
        self.asked.append(address)
        try:
            async with asyncio.timeout(timeout_seconds):
                reply = await self.nodes[address](request)
        except TimeoutError as error:
            raise TransportError("no answer in time", peer=address) from error
        return reply


def node(zone, current=True, version=7, after=0.0):
    """Return a control node of a zone that answers ``after`` some seconds, or at the hold."""

    async def answer(request):
        await asyncio.sleep(after)
        if request.known_version >= version:
            await asyncio.sleep(request.hold_seconds)
        return DirectoryReply(
            current, version, zlib.compress(b"document"), 3, [], 1, 1, [], ["n1", "n2", "n3"], zone
        )

    return answer


async def silent(request):
    await asyncio.sleep(60)


class PlainFormat:
    def parse(self, document):
        return Success(RoutingConfiguration(7, {}, {}))


class TakenGateway:
    """Keeps what the watch puts in force."""

    def __init__(self):
        self.versions = []

    def apply(self, configuration):
        self.versions.append(configuration.version)

    def set_directory(self, directory):
        self.directory = directory


class QuietLog:
    def note(self, event, **fields):
        pass


class DirectoryWatchTest(unittest.IsolatedAsyncioTestCase):
    async def follow(self, controls, seconds):
        self.gateway = TakenGateway()
        watch = DirectoryWatch(
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


if __name__ == "__main__":
    unittest.main()
