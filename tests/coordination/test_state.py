"""The replicated state of the control nodes, and the choice of voters."""

import unittest

import msgspec

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.messages import Entry, EntryKind, Membership
from rowanrail.coordination.commands import (
    Announce,
    ForgetLogs,
    IntendPromotion,
    PutDocument,
    RaiseFeatureLevel,
    Readmit,
    Remove,
    SetGateways,
)
from rowanrail.coordination.feature_level import ORPHANED_LOGS_LEVEL
from rowanrail.coordination.messages import PutOutcome
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.state import CoordinationState
from rowanrail.coordination.voters import ReplicationProgress, next_membership
from rowanrail.directory.messages import GatewayRecord
from rowanrail.model.members import MemberRecord


def record(instance="m1", sequence=1, address="10.0.0.1:1", **changes):
    base = MemberRecord(instance, "db", address, "a", False, False, 3, sequence)
    return msgspec.structs.replace(base, **changes)


def gateway(name, zone="a", address="10.0.1.1:7440"):
    return GatewayRecord(name, zone, address)


class StateTest(unittest.TestCase):
    def setUp(self):
        self.state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        self.index = 0

    def apply(self, command):
        self.index += 1
        data = msgspec.msgpack.encode(command)
        return self.state.apply(Entry(1, self.index, EntryKind.COMMAND, data))

    def test_the_highest_version_wins(self):
        self.assertIs(self.apply(PutDocument(7, b"seven")).verdict, PutOutcome.ACCEPTED)
        self.assertIs(self.apply(PutDocument(5, b"five")).verdict, PutOutcome.NOT_NEWER)
        self.assertEqual((self.state.version, self.state.document), (7, b"seven"))

    def test_other_content_under_the_same_version_changes_nothing(self):
        self.apply(PutDocument(7, b"first"))
        self.assertIs(self.apply(PutDocument(7, b"second")).verdict, PutOutcome.NOT_NEWER)
        self.assertEqual(self.state.document, b"first")

    def test_a_heartbeat_without_changes_needs_no_entry(self):
        self.apply(Announce(record(sequence=1)))
        self.assertFalse(self.state.needs_announcement(record(sequence=2)))
        self.assertTrue(self.state.needs_announcement(record(sequence=2, leaving=True)))

    def test_starts_are_recorded_without_a_walk_over_all_members(self):
        # All members announce theirs within a heartbeat once the feature level is raised.
        class Members(dict):
            def values(self):
                raise AssertionError("walked")

        for number in range(3):
            self.apply(Announce(record(f"m{number}", 1, f"10.0.0.{number}:1", primary=number == 0)))
        self.state.members = Members(self.state.members)
        for number in range(3):
            started = record(f"m{number}", 2, f"10.0.0.{number}:1", primary=number == 0)
            self.apply(Announce(msgspec.structs.replace(started, start_ms=500)))
        self.assertEqual([known.sequence for known in dict.values(self.state.members)], [2] * 3)

    def test_a_member_that_moved_to_another_address_is_not_displaced_at_the_old_one(self):
        self.apply(Announce(record("m1", 1, "10.0.0.1:1")))
        self.apply(Announce(record("m1", 2, "10.0.0.2:1")))
        self.apply(Announce(record("m2", 1, "10.0.0.1:1")))
        self.assertEqual(sorted(self.state.members), ["m1", "m2"])
        self.apply(Announce(record("m3", 1, "10.0.0.2:1")))
        self.assertEqual(sorted(self.state.members), ["m2", "m3"])

    def test_a_member_that_warms_up_needs_no_entry_for_each_heartbeat(self):
        self.apply(Announce(record(sequence=1, cold_ms=4000)))
        self.assertFalse(self.state.needs_announcement(record(sequence=2, cold_ms=2800)))
        self.assertEqual(self.state.members["m1"].cold_ms, 4000)
        self.apply(Announce(record(sequence=3, cold_ms=1600, primary=True)))
        self.assertEqual(self.state.members["m1"].cold_ms, 1600)

    def test_members_that_an_earlier_version_saved_are_warm(self):
        earlier = msgspec.to_builtins(record())
        del earlier["cold_ms"]
        data = msgspec.msgpack.encode(earlier)
        self.assertEqual(msgspec.msgpack.decode(data, type=MemberRecord), record())

    def test_a_late_heartbeat_does_not_bring_a_leaving_member_back(self):
        self.apply(Announce(record(sequence=5, leaving=True)))
        self.apply(Announce(record(sequence=4)))
        self.assertTrue(self.state.members["m1"].leaving)

    def test_a_late_heartbeat_does_not_bring_a_removed_member_back(self):
        self.apply(Announce(record(sequence=5)))
        self.apply(Remove("m1"))
        self.apply(Announce(record(sequence=4)))
        self.assertEqual(self.state.members, {})

    def test_a_removal_before_the_first_heartbeat_holds(self):
        self.apply(Remove("m1"))
        self.apply(Announce(record()))
        self.assertEqual(self.state.members, {})

    def test_a_new_instance_displaces_the_one_at_its_address(self):
        self.apply(Announce(record("old")))
        self.apply(Announce(record("new")))
        self.assertEqual(list(self.state.members), ["new"])
        self.assertFalse(self.state.needs_announcement(record("old", sequence=9)))

    def test_a_service_has_one_primary(self):
        self.apply(Announce(record("m1", primary=True)))
        self.apply(Announce(record("m2", address="10.0.0.2:1", primary=True)))
        leading = [m.instance for m in self.state.members.values() if m.primary]
        self.assertEqual(leading, ["m2"])

    def test_fencing_tokens_only_grow(self):
        first = self.apply(IntendPromotion("db", "m1", "lost"))
        self.apply(SetGateways([gateway("g1")], []))
        second = self.apply(IntendPromotion("db", "m1", "lost"))
        self.assertGreater(second.token, first.token)

    def test_gateways_are_added_updated_and_removed(self):
        self.apply(SetGateways([gateway("g1"), gateway("g2", zone="b")], []))
        self.assertEqual((len(self.state.gateways), self.state.groups), (2, 2))
        self.apply(SetGateways([gateway("g1")], []))
        self.assertEqual(self.state.revision, 1)
        self.apply(SetGateways([gateway("g1", address="10.0.1.9:7440")], ["g2"]))
        self.assertEqual(self.state.gateways["g1"].relay_address, "10.0.1.9:7440")
        self.assertEqual(
            (len(self.state.gateways), self.state.groups, self.state.revision), (1, 1, 3)
        )

    def test_a_snapshot_holds_everything(self):
        self.apply(PutDocument(7, b"seven"))
        self.apply(Announce(record()))
        self.apply(Remove("m9"))
        self.apply(SetGateways([gateway("g1"), gateway("g2", zone="b")], []))
        self.apply(IntendPromotion("db", "m1", "lost"))
        other = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        other.restore(self.state.snapshot())
        self.assertEqual(other.snapshot(), self.state.snapshot())
        self.assertFalse(other.needs_announcement(record("m9")))

    def test_the_empty_snapshot_of_a_new_system_is_an_empty_state(self):
        # A node with an empty disk gets it; failing to restore it would stop the node.
        self.apply(PutDocument(7, b"seven"))
        self.state.restore(b"")
        self.assertEqual(self.state.version, 0)

    def test_revision_is_the_index_of_the_last_change_of_members(self):
        self.apply(Announce(record()))
        self.apply(PutDocument(1, b""))
        self.apply(Announce(record(sequence=2)))
        self.assertEqual(self.state.revision, 1)


class OrphanedLogsTest(unittest.TestCase):
    """Logs of members that are gone, until a member has taken them over."""

    apply = StateTest.apply

    def setUp(self):
        StateTest.setUp(self)
        self.apply(RaiseFeatureLevel(ORPHANED_LOGS_LEVEL))
        self.apply(Announce(record("m1", 1)))

    def orphaned(self):
        return self.state.orphaned_logs.of_service("db")

    def test_the_next_member_at_the_address_has_the_log_of_one_that_ended(self):
        self.apply(Remove("m1"))
        self.assertEqual(self.orphaned(), ["m1"])
        self.apply(Announce(record("m2", 1, "10.0.0.2:1")))
        self.apply(Announce(record("other", 1, service="other")))
        self.apply(Remove("other"))
        self.assertEqual(self.orphaned(), ["m1"])
        successor = record("m3", 1)
        self.apply(Announce(successor))
        self.assertEqual(self.orphaned(), [])
        self.assertTrue(self.state.has_taken_over_log(successor))
        self.assertFalse(self.state.has_taken_over_log(record("m2")))
        self.assertFalse(self.state.has_taken_over_log(record("m3", start_ms=900)))

    def test_a_member_that_displaces_a_leaving_one_has_its_log(self):
        self.apply(Announce(record("m1", 2, leaving=True)))
        self.apply(Announce(record("m2", 1)))
        self.assertEqual(self.orphaned(), [])
        self.assertTrue(self.state.has_taken_over_log(record("m2")))

    def test_a_member_that_displaces_a_crashed_one_does_not_have_its_log(self):
        self.apply(Announce(record("m2", 1)))
        self.assertEqual(self.orphaned(), ["m1"])
        self.assertFalse(self.state.has_taken_over_log(record("m2")))
        self.apply(Announce(record("m2", 2, "10.0.0.2:1")))
        self.apply(Readmit(record("m1", 2)))
        self.assertEqual(self.orphaned(), [])

    def test_a_member_that_moves_to_the_address_keeps_its_own_log(self):
        self.apply(Announce(record("m2", 1, "10.0.0.2:1")))
        self.apply(Remove("m1"))
        self.apply(Announce(record("m2", 2)))
        self.assertEqual(self.orphaned(), ["m1"])

    def test_a_snapshot_keeps_them(self):
        self.apply(Remove("m1"))
        restored = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        restored.restore(self.state.snapshot())
        self.assertEqual(restored.orphaned_logs.logs, self.state.orphaned_logs.logs)
        self.assertEqual(restored.snapshot(), self.state.snapshot())

    def test_they_are_forgotten_by_a_command(self):
        self.apply(Remove("m1"))
        self.apply(ForgetLogs(self.state.orphaned_logs.logs))
        self.assertEqual(self.orphaned(), [])

    # A replica that ended within seconds of the first start was not waited for.
    def test_a_snapshot_has_none_while_a_control_node_may_be_of_an_earlier_version(self):
        StateTest.setUp(self)
        self.apply(Announce(record("m1", 1)))
        self.apply(Remove("m1"))
        self.assertEqual(self.orphaned(), ["m1"])
        saved = msgspec.msgpack.decode(self.state.snapshot())
        self.assertNotIn("orphaned_logs", saved)


class VotersTest(unittest.TestCase):
    def setUp(self):
        self.silent = {}
        self.held = {}

    def state(self, node):
        return ReplicationProgress(self.held.get(node, 20), 0, self.silent.get(node, 0.0))

    def next(self, voters, learners, target=3):
        membership = Membership(dict.fromkeys(voters, "x"), dict.fromkeys(learners, "x"))
        changed = next_membership(membership, target, self.state)
        return changed and (sorted(changed.voters), sorted(changed.learners))

    def test_voters_are_added_up_to_the_target(self):
        self.assertEqual(self.next(["a@1"], ["b@1"]), (["a@1", "b@1"], []))
        self.assertIsNone(self.next(["a@1", "b@1", "c@1"], ["d@1"]))

    def test_a_silent_voter_is_removed_when_a_learner_is_caught_up(self):
        self.silent = {"b@1": 2.5}
        self.assertEqual(self.next(["a@1", "b@1", "c@1"], ["d@1"]), (["a@1", "c@1"], ["d@1"]))
        self.assertIsNone(self.next(["a@1", "b@1", "c@1"], []))

    def test_a_voter_that_lost_its_disk_is_removed_before_it_rejoins(self):
        self.assertEqual(self.next(["a@1", "b@1", "c@1"], ["b@2"]), (["a@1", "c@1"], ["b@2"]))
        self.assertEqual(self.next(["a@1", "c@1"], ["b@2"]), (["a@1", "b@2", "c@1"], []))

    def test_a_learner_that_has_confirmed_nothing_gets_no_vote(self):
        # In a short log, a learner without any entry would count as caught up.
        self.held = {"b@2": 0}
        self.assertIsNone(self.next(["a@1", "c@1"], ["b@2"]))

    def test_a_silent_learner_gets_no_vote(self):
        self.silent = {"b@2": 3.0}
        self.assertIsNone(self.next(["a@1", "c@1"], ["b@2"]))
