"""When a node of the replicated log may say that it holds all that is committed."""

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
    """Return a node with a log after the snapshot that the system began with."""
    snapshot = Snapshot(0, 0, VOTERS, b"")
    log = Log(snapshot, entries)
    return Raft("b", RaftConfig(), log, HardState(), random.Random(1), QuorumCheck(), 100.0)


def entry(term, index):
    return Entry(term, index, EntryKind.NOOP, b"")


class CurrentTest(unittest.TestCase):
    def append(self, node, entries, commit, term=4, previous=(0, 0)):
        node.receive(AppendRequest("a", term, *previous, entries, commit, 0), 100.0)
        return node.seconds_since_up_to_date(100.0)

    def test_a_leader_that_does_not_know_what_is_committed_makes_nobody_current(self):
        # Found in an incident: after a loss of all power a node with an empty disk followed a new
        # leader that had committed nothing yet, called itself current, and told gateways that
        # there were no members.
        node = follower([])
        self.assertGreater(self.append(node, [], commit=0), 1.5)

    def test_entries_of_earlier_terms_make_nobody_current(self):
        node = follower([])
        self.assertGreater(self.append(node, [entry(3, 1)], commit=1), 1.5)

    def test_who_holds_the_entry_of_the_leaders_own_term_is_current(self):
        node = follower([entry(3, 1)])
        ago = self.append(node, [entry(4, 2)], commit=2, previous=(1, 3))
        self.assertEqual(ago, 0.0)

    def test_who_lacks_what_is_committed_is_not(self):
        node = follower([entry(3, 1)])
        ago = self.append(node, [entry(4, 2)], commit=3, previous=(1, 3))
        self.assertGreater(ago, 1.5)

    def lead(self, at=110.0):
        """Return a node that leads and has committed an entry of its own term."""
        node = follower([entry(3, 1)])
        node.tick(at)
        node.receive(VoteReply("c", node.term + 1, True, True), at)
        node.receive(VoteReply("c", node.term, True, False), at)
        node.receive(AppendReply("c", node.term, True, 2, 0), at)
        return node

    def test_a_leader_is_current_while_a_majority_answers(self):
        node = self.lead()
        node.receive(AppendReply("c", node.term, True, 2, 0), 110.4)
        self.assertAlmostEqual(node.seconds_since_up_to_date(110.5), 0.1)

    def test_a_leader_that_nobody_answers_is_not_current_for_long(self):
        # Whatever keeps it from stepping down in time: a pause, or a loop that has ended.
        self.assertGreater(self.lead().seconds_since_up_to_date(115.0), 1.5)

    def test_a_leader_that_withdraws_is_not_current_at_once(self):
        node = self.lead()
        node.deactivate()
        self.assertFalse(node.is_leader)
        self.assertGreater(node.seconds_since_up_to_date(110.0), 1.5)

    def test_a_node_that_withdrew_learns_who_leads_and_votes_for_nobody(self):
        node = self.lead()
        node.deactivate()
        node.take_effects()
        node.track_leader(AppendRequest("c", node.term + 1, 2, 4, [entry(9, 3)], 3, 0), 120.0)
        self.assertEqual((node.leader, node.log.last_index), ("c", 2))
        self.assertEqual(node.take_effects().messages, [])

    def test_a_snapshot_of_the_leaders_term_is_enough(self):
        node = follower([])
        snapshot = Snapshot(7, 4, VOTERS, b"")
        node.log.reset(snapshot)
        node.commit_index = 7
        self.assertEqual(self.append(node, [], commit=7, previous=(7, 4)), 0.0)

    def test_a_leader_tells_at_once_that_its_first_entry_is_committed(self):
        node = follower([entry(3, 1)])
        node.tick(110.0)
        node.receive(VoteReply("c", node.term + 1, True, True), 110.0)
        node.receive(VoteReply("c", node.term, True, False), 110.0)
        node.take_effects()
        node.receive(AppendReply("c", node.term, True, 2, 0), 110.01)
        self.assertLessEqual(node.next_due(), 110.01)
        node.tick(110.01)
        told = [message for _, message in node.take_effects().messages]
        self.assertEqual({message.commit for message in told}, {2})


if __name__ == "__main__":
    unittest.main()
