"""What a leading control node makes of members' words."""

import unittest

import msgspec

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.coordination.messages import AnnounceRequest, HeartbeatNotice
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import GatewayReport
from rowanrail.model.members import MemberRecord, PrimaryHealth


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

    class raft:
        is_leader = True

    async def propose(self, data):
        self.index += 1
        return self.state.apply(Entry(1, self.index, EntryKind.COMMAND, data))


def record(instance, sequence, **changes):
    base = MemberRecord(instance, "db", f"{instance}:1", "a", False, False, 3, sequence)
    return msgspec.structs.replace(base, **changes)


class SecondLifeTest(unittest.IsolatedAsyncioTestCase):
    """A heartbeat that a cut held up comes after its sender crashed and another one registered.

    The next life of a member has its address. A word of the earlier life that was never heard
    before looks like a third one, and took the place of the one that runs, for good.
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

    async def beat(self, instance, sequences, seconds=0.5, **changes):
        for sequence in sequences:
            self.time += seconds
            await self.announce(instance, sequence, **changes)

    async def test_a_late_word_of_a_life_that_was_known_changes_nothing(self):
        await self.announce("first", 7)
        await self.announce("second", 1)
        await self.announce("first", 9, primary=True)
        self.assertEqual(list(self.state.members), ["second"])

    async def test_who_goes_on_to_beat_gets_its_place_back(self):
        await self.announce("second", 4, primary=True)
        await self.announce("first", 2)  # held up by the cut; its sender is gone
        self.assertEqual(list(self.state.members), ["first"])
        await self.beat("second", range(5, 13), primary=True)
        self.assertEqual(list(self.state.members), ["second"])
        self.assertTrue(self.state.members["second"].primary)

    async def test_late_words_do_not_displace_a_member_that_beats(self):
        await self.announce("first", 4)
        await self.announce("second", 1)
        for number in range(2, 12):
            await self.beat("second", [number])
            await self.announce("first", 3 + number)
        self.assertEqual(list(self.state.members), ["second"])

    async def test_a_new_leader_does_not_take_what_it_has_not_heard_for_silence(self):
        await self.announce("first", 4)
        await self.announce("second", 1)
        await self.beat("first", [5])
        self.assertEqual(list(self.state.members), ["second"])

    async def test_one_word_after_a_long_silence_is_no_proof_of_life(self):
        await self.announce("first", 4)
        await self.announce("second", 1)
        await self.beat("first", [5])
        self.time += 60.0
        await self.beat("first", [6])
        self.assertEqual(list(self.state.members), ["second"])

    async def test_a_displaced_member_that_was_leaving_does_not_come_back(self):
        await self.announce("first", 4, leaving=True)
        await self.announce("second", 1)
        await self.beat("first", range(5, 13))
        self.assertEqual(list(self.state.members), ["second"])

    async def test_a_displaced_member_that_leaves_is_not_brought_back_by_an_earlier_word(self):
        await self.announce("first", 4)
        await self.announce("second", 1)
        await self.service.handle(AnnounceRequest(record("first", 20, leaving=True)))
        self.service.liveness.forget_member("first")  # as at the next leader
        await self.beat("first", range(5, 13))
        self.assertEqual(list(self.state.members), ["second"])

    async def test_a_displaced_member_that_ended_does_not_come_back(self):
        await self.announce("first", 4)
        await self.announce("second", 1)
        await self.service.remove("first")
        await self.beat("first", range(5, 13))
        self.assertEqual(list(self.state.members), ["second"])


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
