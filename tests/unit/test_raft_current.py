"""Whether a Raft node may report that it holds all committed entries."""

import random
import unittest

from rowanrail.consensus.log import Log
from rowanrail.consensus.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    HardState,
    Membership,
    Snapshot,
    VoteReply,
)
from rowanrail.consensus.policies import QuorumCheck
from rowanrail.consensus.raft import Raft
from rowanrail.consensus.raft_types import RaftConfig

VOTERS = Membership({"a": "a:1", "b": "b:1", "c": "c:1"})


def follower(entries):
    """Return a follower whose log is the initial snapshot and ``entries``."""
    snapshot = Snapshot(0, 0, VOTERS, b"")
    log = Log(snapshot, entries)
    return Raft("b", RaftConfig(), log, HardState(), random.Random(1), QuorumCheck(), 100.0)


def entry(term, index):
    return Entry(term, index, EntryKind.NOOP, b"")


class UpToDateTest(unittest.TestCase):
    def append(self, node, entries, commit, term=4, previous=(0, 0)):
        node.receive(AppendRequest("a", term, *previous, entries, commit, 0), 100.0)
        return node.seconds_since_up_to_date(100.0)

    def test_follower_of_leader_without_commit_is_not_up_to_date(self):
        # Otherwise a node with an empty log would serve an empty directory after a full restart.
        node = follower([])
        self.assertGreater(self.append(node, [], commit=0), 1.5)

    def test_commit_of_earlier_term_does_not_make_follower_up_to_date(self):
        node = follower([])
        self.assertGreater(self.append(node, [entry(3, 1)], commit=1), 1.5)

    def test_follower_with_committed_entry_of_leaders_term_is_up_to_date(self):
        node = follower([entry(3, 1)])
        ago = self.append(node, [entry(4, 2)], commit=2, previous=(1, 3))
        self.assertEqual(ago, 0.0)

    def test_follower_that_lacks_committed_entries_is_not_up_to_date(self):
        node = follower([entry(3, 1)])
        ago = self.append(node, [entry(4, 2)], commit=3, previous=(1, 3))
        self.assertGreater(ago, 1.5)

    def lead(self, at=110.0):
        """Return a leader that has committed an entry of its own term."""
        node = follower([entry(3, 1)])
        node.tick(at)
        node.receive(VoteReply("c", node.term + 1, True, True), at)
        node.receive(VoteReply("c", node.term, True, False), at)
        node.receive(AppendReply("c", node.term, True, 2, 0), at)
        return node

    def test_leader_is_up_to_date_while_a_majority_replies(self):
        node = self.lead()
        node.receive(AppendReply("c", node.term, True, 2, 0), 110.4)
        self.assertAlmostEqual(node.seconds_since_up_to_date(110.5), 0.1)

    def test_leader_without_replies_is_not_up_to_date_even_if_it_has_not_stepped_down(self):
        self.assertGreater(self.lead().seconds_since_up_to_date(115.0), 1.5)

    def test_deactivated_leader_is_not_up_to_date(self):
        node = self.lead()
        node.deactivate()
        self.assertFalse(node.is_leader)
        self.assertGreater(node.seconds_since_up_to_date(110.0), 1.5)

    def test_deactivated_node_tracks_the_leader_and_sends_nothing(self):
        node = self.lead()
        node.deactivate()
        node.take_effects()
        node.track_leader(AppendRequest("c", node.term + 1, 2, 4, [entry(9, 3)], 3, 0), 120.0)
        self.assertEqual((node.leader, node.log.last_index), ("c", 2))
        self.assertEqual(node.take_effects().messages, [])

    def test_snapshot_of_leaders_term_makes_follower_up_to_date(self):
        node = follower([])
        snapshot = Snapshot(7, 4, VOTERS, b"")
        node.log.reset(snapshot)
        node.commit_index = 7
        self.assertEqual(self.append(node, [], commit=7, previous=(7, 4)), 0.0)

    def test_new_leader_announces_its_first_commit_immediately(self):
        node = follower([entry(3, 1)])
        node.tick(110.0)
        node.receive(VoteReply("c", node.term + 1, True, True), 110.0)
        node.receive(VoteReply("c", node.term, True, False), 110.0)
        node.take_effects()
        node.receive(AppendReply("c", node.term, True, 2, 0), 110.01)
        self.assertLessEqual(node.next_due(), 110.01)
        node.tick(110.01)
        messages = [message for _, message in node.take_effects().messages]
        self.assertEqual({message.commit for message in messages}, {2})


if __name__ == "__main__":
    unittest.main()
