"""Members that start again under their instance id, and late news of their earlier lives."""

import json
import unittest

import msgspec
from msgspec import UNSET

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.coordination.commands import Announce, RaiseFeatureLevel, Remove, ReplaceLife
from rowanrail.coordination.feature_level import LIVES_LEVEL
from rowanrail.coordination.messages import (
    AnnouncementRejected,
    AnnounceRequest,
    HeartbeatNotice,
    RemoveRequest,
)
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.model.members import MemberRecord
from tests.support.gateway import RecordingLog

FIRST, SECOND, THIRD = 1000, 2000, 3000  # start times in Unix milliseconds
HEARTBEAT_SECONDS = 1.2


def record(instance="m1", sequence=1, start=UNSET, **changes):
    base = MemberRecord(instance, "db", "10.0.0.1:1", "a", False, False, 3, sequence)
    return msgspec.structs.replace(base, start_ms=start, **changes)


def new_state():
    return CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())


class LeadingNode:
    """Applies proposed commands at once, and keeps them."""

    class raft:
        is_leader = True

    def __init__(self, state):
        self.state = state
        self.commands = []

    async def propose(self, data):
        self.commands.append(data)
        return self.state.apply(Entry(1, len(self.commands), EntryKind.COMMAND, data))


class LivesTestCase(unittest.IsolatedAsyncioTestCase):
    level = LIVES_LEVEL

    def setUp(self):
        self.time = 100.0
        self.state = new_state()
        self.node = LeadingNode(self.state)
        if self.level:
            data = msgspec.msgpack.encode(RaiseFeatureLevel(self.level))
            self.state.apply(Entry(1, 1, EntryKind.COMMAND, data))
            self.node.commands.append(data)
        self.start_service()

    def start_service(self):
        test = self

        class TimedService(CoordinationService):
            def now(self):
                return test.time

        self.log = RecordingLog("control", wall_clock=lambda: self.time)
        self.service = TimedService(self.node, self.state, None, decisions=self.log)

    def change_leader(self):
        """Continue with a node that has a snapshot of the state and no memory of heartbeats."""
        restored = new_state()
        restored.restore(self.state.snapshot())
        self.assertEqual(restored.snapshot(), self.state.snapshot())
        self.state = self.node.state = restored
        self.start_service()

    async def announce(self, sequence, start=UNSET, instance="m1", **changes):
        await self.service.announce(record(instance, sequence, start, **changes))

    async def heartbeats(self, sequences, start=UNSET, **changes):
        for sequence in sequences:
            self.time += HEARTBEAT_SECONDS
            await self.announce(sequence, start, **changes)

    async def remove(self, start=UNSET, instance="m1"):
        await self.service.handle(RemoveRequest(instance, start))

    def start_of(self, instance="m1"):
        known = self.state.members.get(instance)
        return None if known is None else known.started_ms


class NewLifeTest(LivesTestCase):
    async def test_a_member_that_starts_again_replaces_its_earlier_life(self):
        for address in ("10.0.0.1:1", "10.0.0.9:1"):
            for primary in (False, True):
                with self.subTest(address=address, primary=primary):
                    self.setUp()
                    await self.announce(50, FIRST, primary=True)
                    await self.announce(1, SECOND, address=address, primary=primary)
                    known = self.state.members["m1"]
                    self.assertEqual(
                        (known.sequence, known.started_ms, known.address, known.primary),
                        (1, SECOND, address, primary),
                    )

    async def test_the_heartbeats_of_a_new_life_count(self):
        await self.announce(50, FIRST)
        await self.announce(1, SECOND)
        await self.heartbeats([2, 3], SECOND)
        self.assertEqual(self.service.liveness.heartbeat_ago("m1", SECOND), 0.0)
        await self.service.handle(HeartbeatNotice("m1", 51, FIRST))
        self.time += 1.0
        self.assertEqual(self.service.liveness.heartbeat_ago("m1", SECOND), 1.0)

    async def test_a_member_returns_after_its_earlier_life_was_removed(self):
        for start in (UNSET, FIRST):
            with self.subTest(start=start):
                self.setUp()
                await self.announce(50, FIRST)
                await self.remove(start)
                self.assertIsNone(self.start_of())
                await self.announce(1, SECOND)
                self.assertEqual(self.start_of(), SECOND)

    async def test_a_displaced_member_returns_with_a_new_life_at_another_address(self):
        await self.announce(50, FIRST)
        await self.announce(1, FIRST, "m2")
        self.assertIsNone(self.start_of())
        await self.announce(1, SECOND, address="10.0.0.9:1")
        self.assertEqual((self.start_of(), self.start_of("m2")), (SECOND, FIRST))
        self.assertEqual(list(self.state.displaced), [])

    async def test_an_ended_life_does_not_return(self):
        await self.announce(50, FIRST)
        await self.remove(FIRST)
        await self.heartbeats(range(51, 60), FIRST)
        self.assertIsNone(self.start_of())

    async def test_a_life_that_ended_before_its_first_announcement_does_not_begin(self):
        await self.remove(SECOND)
        await self.heartbeats(range(1, 9), SECOND)
        self.assertIsNone(self.start_of())
        await self.announce(1, THIRD)
        self.assertEqual(self.start_of(), THIRD)

    async def test_it_holds_across_a_change_of_leader(self):
        await self.announce(50, FIRST)
        self.change_leader()
        await self.announce(1, SECOND)
        self.change_leader()
        await self.heartbeats([51, 52], FIRST)
        self.assertEqual(self.start_of(), SECOND)
        await self.remove()
        self.change_leader()
        await self.announce(1, THIRD)
        self.assertEqual(self.start_of(), THIRD)


class LateAnnouncementTest(LivesTestCase):
    """Announcements of an earlier life that arrive after those of the present one."""

    async def test_a_late_heartbeat_changes_nothing(self):
        await self.announce(50, FIRST, primary=True)
        await self.announce(1, SECOND)
        await self.announce(51, FIRST, primary=True)
        await self.announce(52, FIRST, leaving=True)
        known = self.state.members["m1"]
        self.assertEqual((known.started_ms, known.primary, known.leaving), (SECOND, False, False))

    async def test_late_heartbeats_beside_a_running_life_change_nothing(self):
        await self.announce(50, FIRST)
        await self.announce(1, SECOND)
        for number in range(8):
            await self.heartbeats([2 + number], SECOND)
            await self.announce(51 + number, FIRST)
            self.assertEqual(self.start_of(), SECOND)

    async def test_a_late_removal_of_the_earlier_life_changes_nothing(self):
        await self.announce(50, FIRST)
        await self.announce(1, SECOND)
        await self.remove(FIRST)
        self.assertEqual(self.start_of(), SECOND)

    async def test_a_removal_without_a_start_is_obeyed_until_the_new_life_is_heard_twice(self):
        await self.announce(50, FIRST)
        await self.announce(1, SECOND)
        await self.remove()  # may be the earlier life's
        self.assertIsNone(self.start_of())
        await self.heartbeats([2], SECOND)
        self.assertIsNone(self.start_of())
        await self.heartbeats([3], SECOND)
        self.assertEqual(self.start_of(), SECOND)

    async def test_delayed_announcements_do_not_undo_a_removal(self):
        await self.announce(50, FIRST)
        await self.announce(1, SECOND)
        await self.heartbeats([5], SECOND)
        await self.remove()
        await self.heartbeats([3, 4], SECOND)  # sent before one that arrived
        await self.announce(6, SECOND)
        await self.announce(7, SECOND)  # both arrive at once, after a partition
        self.assertIsNone(self.start_of())

    async def test_a_removal_without_a_start_holds_for_a_member_that_never_returned(self):
        # Some members announce no leaving: they send a DELETE, and end after a while.
        await self.announce(50, FIRST)
        await self.remove()
        await self.heartbeats(range(51, 60), FIRST)
        self.assertIsNone(self.start_of())

    async def test_a_removal_of_a_leaving_life_holds(self):
        await self.announce(50, FIRST)
        await self.announce(1, SECOND)
        await self.announce(2, SECOND, leaving=True)
        await self.remove()
        await self.heartbeats(range(3, 9), SECOND)
        self.assertIsNone(self.start_of())


class SteppedClockTest(LivesTestCase):
    """The clock of a member is stepped back between two lives."""

    async def test_a_life_with_a_lower_start_serves_once_it_has_been_heard_for_a_while(self):
        for is_removed in (False, True):
            with self.subTest(is_removed=is_removed):
                self.setUp()
                await self.announce(50, THIRD)
                if is_removed:
                    await self.remove(THIRD)
                await self.heartbeats([1, 2], SECOND)
                self.assertNotEqual(self.start_of(), SECOND)
                await self.heartbeats([3], SECOND)
                self.assertEqual(self.start_of(), SECOND)

    async def test_the_lives_before_it_no_longer_count(self):
        await self.announce(50, THIRD)
        await self.heartbeats([1, 2, 3], SECOND)
        await self.announce(51, THIRD)
        await self.announce(52, THIRD, leaving=True)
        await self.remove(THIRD)
        self.change_leader()
        await self.remove(THIRD)
        self.assertEqual(self.start_of(), SECOND)

    async def test_it_gets_nothing_once_it_leaves_or_ends_before_it_is_known(self):
        # Statements for the earlier life may reach it at the same address.
        for end in ("draining", "removal"):
            with self.subTest(end):
                self.setUp()
                await self.announce(50, THIRD)
                await self.heartbeats([1], SECOND)
                if end == "draining":
                    await self.announce(2, SECOND, leaving=True)
                else:
                    await self.remove(SECOND)
                self.assertIsNone(self.start_of())
                await self.heartbeats(range(3, 9), SECOND, leaving=end == "draining")
                self.assertIsNone(self.start_of())

    async def test_it_gets_nothing_once_it_leaves_or_ends_after_the_known_life_was_removed(self):
        for end in ("draining", "removal"):
            with self.subTest(end):
                self.setUp()
                await self.announce(50, THIRD)
                await self.remove(THIRD)
                await self.heartbeats([1, 2], SECOND)
                if end == "draining":
                    await self.announce(20, SECOND, leaving=True)
                else:
                    await self.remove(SECOND)
                await self.heartbeats(range(3, 9), SECOND)  # late
                self.assertIsNone(self.start_of())

    async def test_an_ended_life_with_a_higher_start_does_not_return(self):
        await self.announce(50, THIRD)
        await self.remove(SECOND)  # it never sent a heartbeat
        await self.heartbeats([1, 2, 3], FIRST)
        self.assertEqual(self.start_of(), FIRST)
        self.change_leader()
        await self.heartbeats([1, 2, 3, 4, 5], SECOND)  # late
        self.assertEqual(self.start_of(), FIRST)

    async def test_the_known_life_returns_if_the_one_that_left_was_an_earlier_one(self):
        await self.announce(50, THIRD)
        await self.remove(SECOND)
        await self.heartbeats([51, 52], THIRD)
        self.assertEqual(self.start_of(), THIRD)

    async def test_a_late_heartbeat_of_the_known_life_delays_the_proof_only(self):
        await self.announce(50, THIRD)
        await self.heartbeats([1, 2], SECOND)
        await self.announce(51, THIRD)
        await self.heartbeats([3, 4], SECOND)
        self.assertEqual(self.start_of(), THIRD)
        await self.heartbeats([5], SECOND)
        self.assertEqual(self.start_of(), SECOND)

    async def test_a_life_that_ended_does_not_replace_a_silent_later_one(self):
        for end in ("draining", "removal"):
            with self.subTest(end):
                self.setUp()
                await self.announce(50, FIRST)
                if end == "draining":
                    await self.announce(59, FIRST, leaving=True)
                else:
                    await self.remove(FIRST)
                await self.announce(1, SECOND)
                self.change_leader()
                await self.heartbeats(range(51, 59), FIRST)  # late
                await self.remove(FIRST)
                self.assertEqual(self.start_of(), SECOND)

    async def test_a_new_leader_hears_it_anew(self):
        await self.announce(50, THIRD)
        await self.heartbeats([1, 2], SECOND)
        self.change_leader()
        await self.heartbeats([3, 4], SECOND)
        self.assertEqual(self.start_of(), THIRD)
        await self.heartbeats([5], SECOND)
        self.assertEqual(self.start_of(), SECOND)


class MembersWithoutStartTest(LivesTestCase):
    async def test_an_announcement_without_a_start_is_of_another_writer(self):
        await self.announce(50, FIRST)
        before = self.state.snapshot()
        for other in (
            record(sequence=51, leaving=True),
            record(sequence=1, address="10.0.0.9:1"),
        ):
            # An acknowledgement would be wrong if a node that lags left the start out.
            answer = await self.service.handle(AnnounceRequest(other))
            self.assertIsInstance(answer, AnnouncementRejected)
        self.assertEqual(self.state.snapshot(), before)

    async def test_a_member_that_goes_on_and_tells_its_start_is_of_the_same_life(self):
        await self.announce(50)
        await self.announce(51, FIRST)
        self.assertEqual(self.start_of(), FIRST)
        self.assertEqual(self.state.earlier_starts, {})

    async def test_a_late_announcement_that_tells_the_start_first_changes_nothing(self):
        await self.announce(50, primary=True)
        await self.service.handle(HeartbeatNotice("m1", 58))  # not logged
        await self.announce(1, FIRST, "m2", primary=True, address="10.0.0.2:1")
        await self.announce(55, FIRST, primary=True)
        self.assertEqual((self.state.members["m1"].primary, self.start_of()), (False, 0))
        await self.announce(59, FIRST)
        self.assertEqual(self.start_of(), FIRST)

    async def test_a_life_with_a_start_after_one_without_has_to_be_heard_for_a_while(self):
        await self.announce(50)
        await self.announce(60, leaving=True)
        await self.announce(55, FIRST)  # late, of the same life
        self.assertEqual(self.start_of(), 0)
        await self.heartbeats([1, 2, 3], SECOND)
        self.assertEqual(self.start_of(), SECOND)
        self.assertFalse(self.state.members["m1"].leaving)

    async def test_members_without_a_start_are_served_as_before(self):
        await self.announce(50)
        await self.heartbeats(range(1, 6))
        self.assertEqual(self.state.members["m1"].sequence, 50)
        await self.remove()
        await self.heartbeats(range(51, 60))
        self.assertIsNone(self.start_of())


class LoggedTest(LivesTestCase):
    """Operators see why a member was removed, added again or replaced."""

    def events(self):
        self.log.flush()
        return [json.loads(line) for line in self.log.written.splitlines()]

    async def test_lives_and_doubtful_removals_are_logged(self):
        await self.announce(50, FIRST)
        await self.announce(51, FIRST, leaving=True)
        await self.announce(1, SECOND)
        await self.remove()
        await self.heartbeats([2, 3], SECOND)
        lines = [(line["event"], line["instance"], line["service"]) for line in self.events()]
        self.assertEqual(lines, [(number, "m1", "db") for number in (472, 473, 474)])
        started = self.events()[0]
        self.assertEqual((started["earlier_ms"], started["start_ms"]), (FIRST, SECOND))


class LevelTest(LivesTestCase):
    """Not all control nodes know of lives yet."""

    level = 0

    async def test_nothing_is_logged_that_an_earlier_version_would_apply_differently(self):
        await self.announce(50, FIRST)
        await self.announce(1, SECOND, primary=True)
        await self.heartbeats([1, 2, 3, 4], FIRST)
        await self.remove(SECOND)
        commands = [msgspec.msgpack.decode(data) for data in self.node.commands]
        self.assertEqual([command["type"] for command in commands], ["announce", "remove"])
        self.assertNotIn("start_ms", commands[0]["record"])
        self.assertNotIn("start_ms", commands[1])
        saved = msgspec.msgpack.decode(self.state.snapshot())
        self.assertEqual(list(saved)[-1], "plan")


class AppliedTest(unittest.TestCase):
    """Commands that were proposed before others were applied."""

    def setUp(self):
        self.state = new_state()
        self.index = 0

    def apply(self, command):
        self.index += 1
        data = msgspec.msgpack.encode(command)
        return self.state.apply(Entry(1, self.index, EntryKind.COMMAND, data))

    def test_a_life_whose_end_was_acknowledged_does_not_replace_another(self):
        self.apply(Announce(record(sequence=9, start=SECOND)))
        self.apply(Remove("m1", SECOND))
        self.apply(ReplaceLife(record(sequence=9, start=SECOND)))
        self.assertEqual(self.state.members, {})

    def test_an_announcement_of_the_life_before_does_not_replace_a_proven_one(self):
        self.apply(Announce(record(sequence=9, start=THIRD)))
        self.apply(ReplaceLife(record(sequence=3, start=SECOND)))
        self.apply(Announce(record(sequence=10, start=THIRD)))
        self.assertEqual(self.state.members["m1"].started_ms, SECOND)

    def test_the_same_entries_give_the_same_snapshot(self):
        self.apply(Announce(record(sequence=9, start=FIRST)))
        self.apply(Announce(record(sequence=1, start=SECOND)))
        self.apply(Remove("m1"))
        other = new_state()
        other.restore(self.state.snapshot())
        self.assertEqual(other.snapshot(), self.state.snapshot())
        self.assertEqual((other.removed, other.displaced), ({"m1": SECOND}, self.state.displaced))


if __name__ == "__main__":
    unittest.main()
