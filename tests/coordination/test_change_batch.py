"""Which changes gateways are told at once, and which wait for more of their kind."""

import asyncio
import unittest

import msgspec

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.coordination.change_batch import BATCH_DELAY_MS, ChangeBatch
from rowanrail.coordination.commands import Announce, PutDocument, Remove, SetGateways
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import DirectoryRequest, GatewayRecord, GatewayReport
from rowanrail.kernel.clock import Clock
from rowanrail.model.members import MemberRecord
from tests.coordination.test_directory import PlayedNode
from tests.support.gateway import ManualClock

HOLD_SECONDS = 1.0
AT_ONCE_SECONDS = 0.1


class ChangeBatchTest(unittest.TestCase):
    def setUp(self):
        self.time = ManualClock()
        self.released = []
        self.batch = ChangeBatch(Clock(self.time), self._note)

    def _note(self):
        self.released.append((round(self.time.now * 1000), self.batch.released))

    def test_changes_that_may_wait_are_told_together_after_the_bound(self):
        begun = self.time.now
        for revision in range(1, 11):
            self.batch.update(revision, 0)
            self.time.advance(0.02)
        self.assertEqual(self.batch.released, 0)
        self.time.advance(1.0)
        self.assertEqual(self.released, [(round(begun * 1000 + BATCH_DELAY_MS), 10)])

    def test_an_urgent_change_takes_along_what_waits(self):
        self.batch.update(1, 0)
        self.batch.update(2, 2)
        self.assertEqual(self.batch.released, 2)
        self.time.advance(1.0)
        self.assertEqual(self.released, [])

    def test_a_state_that_was_read_again_from_the_disk_is_told_as_far_as_it_goes(self):
        self.batch.update(9, 9)
        self.batch.update(4, 4)
        self.assertEqual(self.batch.released, 4)


def member(instance, sequence=1, **changes):
    record = MemberRecord(instance, "db", f"{instance}:1", "a", False, False, 3, sequence)
    return msgspec.structs.replace(record, **changes)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        self.service = CoordinationService(PlayedNode(), self.state, None, "a")
        self.index = 0
        self.version = 0
        for name in ("m2", "m1"):
            self.apply(Announce(member(name, primary=name == "m1")))
        self.known = (await self.ask(0.0)).revision

    def apply(self, command):
        self.index += 1
        data = msgspec.msgpack.encode(command)
        self.state.apply(Entry(1, self.index, EntryKind.COMMAND, data))
        self.service.notice_change()

    async def ask(self, hold, known=-1):
        request = DirectoryRequest(GatewayReport("a0", "a", []), self.version, known, hold)
        return await self.service.handle(request)

    async def answered_after(self, *commands):
        """Return the reply to a poll that waits while commands are applied, and its time."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        poll = asyncio.ensure_future(self.ask(HOLD_SECONDS, self.known))
        await asyncio.sleep(0)
        for command in commands:
            self.apply(command)
            await asyncio.sleep(0.01)
        reply = await poll
        return reply, loop.time() - begun

    async def test_members_and_gateways_that_come_are_told_together(self):
        gateway = GatewayRecord("g1", "a", "g1:1")
        news = [Announce(member("m3")), Announce(member("m4")), SetGateways([gateway], [])]
        reply, seconds = await self.answered_after(*news)
        self.assertEqual((len(reply.members), reply.gateways), (4, 1))
        self.assertGreaterEqual(seconds, BATCH_DELAY_MS / 1000 - 0.01)
        self.assertLess(seconds, HOLD_SECONDS - 0.2)

    async def test_what_binds_is_told_at_once(self):
        for what, command in {
            "leaving": Announce(member("m2", 2, leaving=True)),
            "a changed primary": Announce(member("m2", 3, primary=True)),
            "gone": Remove("m2"),
            "a configuration": PutDocument(7, b"seven"),
            "another life at an address": Announce(member("m9", address="m1:1")),
        }.items():
            with self.subTest(what):
                reply, seconds = await self.answered_after(command)
                self.assertLess(seconds, AT_ONCE_SECONDS)
                self.known, self.version = reply.revision, reply.version

    async def test_a_gateway_that_starts_does_not_wait(self):
        self.apply(Announce(member("m3")))
        reply = await asyncio.wait_for(self.ask(HOLD_SECONDS), AT_ONCE_SECONDS)
        self.assertEqual(len(reply.members), 3)


if __name__ == "__main__":
    unittest.main()
