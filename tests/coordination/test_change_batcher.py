"""Batching of directory changes: urgent ones are sent at once, others together after a delay."""

import asyncio
import unittest

import msgspec

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.coordination.change_batcher import BATCH_DELAY_MS, ChangeBatcher
from rowanrail.coordination.commands import Announce, PutDocument, Remove, SetGateways
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import DirectoryRequest, GatewayRecord, GatewayReport
from rowanrail.kernel.clock import Clock
from rowanrail.model.members import MemberRecord
from tests.coordination.test_directory import FakeNode
from tests.support.gateway import ManualClock

WAIT_SECONDS = 1.0
IMMEDIATE_SECONDS = 0.1


class ChangeBatcherTest(unittest.TestCase):
    def setUp(self):
        self.time = ManualClock()
        self.released = []
        self.batcher = ChangeBatcher(Clock(self.time), self._record_release)

    def _record_release(self):
        self.released.append((round(self.time.now * 1000), self.batcher.notified_revision))

    def test_changes_that_can_wait_are_released_together_after_the_delay(self):
        started = self.time.now
        for revision in range(1, 11):
            self.batcher.update(revision, 0)
            self.time.advance(0.02)
        self.assertEqual(self.batcher.notified_revision, 0)
        self.time.advance(1.0)
        self.assertEqual(self.released, [(round(started * 1000 + BATCH_DELAY_MS), 10)])

    def test_an_urgent_change_releases_all_waiting_changes(self):
        self.batcher.update(1, 0)
        self.batcher.update(2, 2)
        self.assertEqual(self.batcher.notified_revision, 2)
        self.time.advance(1.0)
        self.assertEqual(self.released, [])

    def test_the_released_revision_never_exceeds_that_of_a_restored_state(self):
        self.batcher.update(9, 9)
        self.batcher.update(4, 4)
        self.assertEqual(self.batcher.notified_revision, 4)


def member(instance, sequence=1, **changes):
    record = MemberRecord(instance, "db", f"{instance}:1", "a", False, False, 3, sequence)
    return msgspec.structs.replace(record, **changes)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        self.service = CoordinationService(FakeNode(), self.state, None, "a")
        self.index = 0
        self.version = 0
        for name in ("m2", "m1"):
            self.apply(Announce(member(name, primary=name == "m1")))
        self.known = (await self.poll(0.0)).revision

    def apply(self, command):
        self.index += 1
        data = msgspec.msgpack.encode(command)
        self.state.apply(Entry(1, self.index, EntryKind.COMMAND, data))
        self.service.notice_change()

    async def poll(self, wait_seconds, known=-1):
        request = DirectoryRequest(GatewayReport("a0", "a", []), self.version, known, wait_seconds)
        return await self.service.handle(request)

    async def answered_after(self, *commands):
        """Return the reply to a poll during which commands are applied, and its duration."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        poll = asyncio.ensure_future(self.poll(WAIT_SECONDS, self.known))
        await asyncio.sleep(0)
        for command in commands:
            self.apply(command)
            await asyncio.sleep(0.01)
        reply = await poll
        return reply, loop.time() - started

    async def test_new_members_and_gateways_are_sent_together(self):
        gateway = GatewayRecord("g1", "a", "g1:1")
        news = [Announce(member("m3")), Announce(member("m4")), SetGateways([gateway], [])]
        reply, seconds = await self.answered_after(*news)
        self.assertEqual((len(reply.members), reply.gateways), (4, 1))
        self.assertGreaterEqual(seconds, BATCH_DELAY_MS / 1000 - 0.01)
        self.assertLess(seconds, WAIT_SECONDS - 0.2)

    async def test_urgent_changes_are_sent_at_once(self):
        for what, command in {
            "leaving": Announce(member("m2", 2, leaving=True)),
            "a changed primary": Announce(member("m2", 3, primary=True)),
            "gone": Remove("m2"),
            "a configuration": PutDocument(7, b"seven"),
            "another life at an address": Announce(member("m9", address="m1:1")),
        }.items():
            with self.subTest(what):
                reply, seconds = await self.answered_after(command)
                self.assertLess(seconds, IMMEDIATE_SECONDS)
                self.known, self.version = reply.revision, reply.version

    async def test_a_gateway_that_starts_does_not_wait(self):
        self.apply(Announce(member("m3")))
        reply = await asyncio.wait_for(self.poll(WAIT_SECONDS), IMMEDIATE_SECONDS)
        self.assertEqual(len(reply.members), 3)


if __name__ == "__main__":
    unittest.main()
