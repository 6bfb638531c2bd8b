"""Control nodes that crash at random: what their logs prove to be committed is never lost."""

import random
import unittest
import zlib

from rowanrail.consensus.log import Log
from rowanrail.consensus.messages import Entry, EntryKind, HardState, Membership, Snapshot
from rowanrail.consensus.policies import QuorumCheck
from rowanrail.consensus.raft import Raft
from rowanrail.consensus.raft_types import RaftConfig
from rowanrail.directory.messages import DirectoryReply, LoggedDirectoryReply
from rowanrail.gateway.discovery.provisional import are_orders_committed, latest_log_of_majority

RUNS = 400
STEPS = 500
TICK_SECONDS = 0.1
CONFIG = RaftConfig(heartbeat_seconds=0.1, election_timeout_seconds=0.3)


class Node:
    """A Raft node that loses what is not on its disk when it crashes."""

    def __init__(self, name, membership, rng):
        self.name = name
        self._rng = rng
        self._snapshot = Snapshot(0, 0, membership, b"")
        self._entries: list[Entry] = []
        self._hard_state = HardState()
        self.start(0.0)

    def start(self, now):
        """Start with what is on the disk."""
        log = Log(self._snapshot, list(self._entries))
        self.raft = Raft(self.name, CONFIG, log, self._hard_state, self._rng, QuorumCheck(), now)

    def save(self):
        """Write what is new to the disk and return the messages to send."""
        effects = self.raft.take_effects()
        if effects.hard_state is not None:
            self._hard_state = effects.hard_state
        if effects.truncate_from is not None:
            self._entries = self._entries[: effects.truncate_from - 1]
        self._entries += effects.append
        return effects.messages

    def logged_directory(self):
        """Return the node's log as a gateway is told it."""
        changes = [entry.data for entry in self._entries if entry.kind is EntryKind.COMMAND]
        document = changes[-1] if changes else b""
        directory = DirectoryReply(
            False, len(changes), zlib.compress(document), 0, [], 1, 1, [], []
        )
        log = self.raft.log
        voters = sorted(log.membership.voters)
        return LoggedDirectoryReply(
            self.name, log.last_term, log.last_index, voters, directory, self.raft.term
        )


class Cluster:
    """Nodes whose messages are lost and delayed; a gateway asks them for their logs."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        names = [f"n{number}" for number in range(self._rng.choice([3, 5]))]
        membership = Membership({name: f"{name}:1" for name in names})
        self.nodes = {name: Node(name, membership, self._rng) for name in names}
        self._now = 0.0
        self._in_flight = []
        self._changes = 0
        self._replies = {}
        self.proved = set()

    def _send(self, node):
        for peer, message in node.save():
            if self._rng.random() < 0.9:
                self._in_flight.append((peer, message))

    def step(self):
        """Let a node run, deliver or drop a message, change the configuration, crash or ask."""
        node = self._rng.choice(list(self.nodes.values()))
        match self._rng.choices(["run", "deliver", "change", "crash", "ask"], [4, 40, 3, 0.4, 4])[
            0
        ]:
            case "run":
                self._now += TICK_SECONDS
                node.raft.tick(self._now)
                self._send(node)
            case "deliver" if self._in_flight:
                position = self._rng.randrange(len(self._in_flight))
                peer, message = self._in_flight.pop(position)
                self.nodes[peer].raft.receive(message, self._now)
                self._send(self.nodes[peer])
            case "change" if node.raft.is_leader:
                self._changes += 1
                node.raft.propose(EntryKind.COMMAND, b"%d" % self._changes, self._now)
                self._send(node)
            case "crash":
                if self._rng.random() < 0.5:  # all at once; the gateway starts again, too
                    self._replies.clear()
                    self._in_flight.clear()
                    for each in self.nodes.values():
                        each.start(self._now)
                else:
                    node.start(self._now)
            case "ask":
                self._ask(node)

    def _ask(self, node):
        self._replies[node.name] = node.logged_directory()
        replies = self._replies.values()
        latest = latest_log_of_majority(replies)
        if latest is None or not latest.directory.version:
            return
        if are_orders_committed(latest, replies):
            self.proved.add(zlib.decompress(latest.directory.document))

    def changes_of_leaders(self):
        """Return the changes in the log of each node that leads."""
        for node in self.nodes.values():
            if node.raft.is_leader:
                log = node.raft.log
                entries = log.entries_between(log.snapshot_index + 1, log.last_index)
                yield node.raft.term, {entry.data for entry in entries}


class CommittedOrdersAtRandomTest(unittest.TestCase):
    def test_every_later_leader_has_what_was_proved(self):
        # Otherwise a gateway that has started without a leader obeys a change that was lost.
        proofs = 0
        for seed in range(RUNS):
            cluster = Cluster(seed)
            newest_term = 0
            for _ in range(STEPS):
                cluster.step()
                for term, changes in cluster.changes_of_leaders():
                    if term < newest_term:
                        continue  # it leads no longer and has not learned it yet
                    newest_term = term
                    with self.subTest(seed=seed):
                        self.assertLessEqual(cluster.proved, changes)
            proofs += len(cluster.proved)
        self.assertGreater(proofs, RUNS)  # otherwise the check above saw too little


if __name__ == "__main__":
    unittest.main()
