"""The replicated log as a pure state machine: inputs and time in, effects out, no I/O.

Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014)
with pre-vote, check-quorum, leader stickiness, learners, read index and one membership
change at a time (Ongaro's thesis, 2014, chapters 4, 6 and 9).

The caller gives inputs to :class:`Raft` and then carries out :meth:`Raft.take_effects`
in this order: persist, send, apply, answer.
"""

import enum
import random

import msgspec

from rowanrail.consensus.log import Log
from rowanrail.consensus.messages import (
    AppendReply,
    AppendRequest,
    ConsensusMessage,
    Entry,
    EntryKind,
    HardState,
    Membership,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from rowanrail.consensus.policies import QuorumCheck

MAXIMUM_APPEND_BYTES = 256 * 1024
MAXIMUM_IN_FLIGHT = 32


class Role(enum.Enum):
    """Role of a node in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftConfig(msgspec.Struct, frozen=True):
    """Timing of elections.

    :param check_quorum: whether a leader steps down when a majority is silent.
    """

    heartbeat_seconds: float = 0.1
    election_timeout_seconds: float = 0.6
    check_quorum: bool = True


class Progress(msgspec.Struct):
    """What a leader knows of another node."""

    next_index: int
    match: int = 0
    in_flight: int = 0
    answered_at: float = 0.0
    sent_at: float = 0.0
    round: int = 0


class PendingRead(msgspec.Struct, frozen=True):
    """A read that waits for a majority to confirm the leader."""

    token: int
    index: int
    round: int


class Effects(msgspec.Struct):
    """What the caller must do, in the order of the fields."""

    hard_state: HardState | None = None
    truncate_from: int | None = None
    append: list[Entry] = []
    install: Snapshot | None = None
    messages: list[tuple[str, ConsensusMessage]] = []
    committed: list[Entry] = []
    ready_reads: list[tuple[int, int]] = []
    failed_reads: list[int] = []


class NotLeader(Exception):
    """The node is not the leader, or not yet able to act as one."""


class MembershipBusy(Exception):
    """Another membership change is under way."""


class Raft:
    """One node of the replicated log."""

    def __init__(
        self,
        node: str,
        config: RaftConfig,
        log: Log,
        hard_state: HardState,
        randomness: random.Random,
        quorum_check: QuorumCheck,
        now: float,
    ) -> None:
        self.node = node
        self.log = log
        self.term = hard_state.term
        self.vote = hard_state.vote
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit = log.snapshot_index
        self.may_campaign = True
        self._config = config
        self._random = randomness
        self._quorum_check = quorum_check
        self._effects = Effects()
        self._applied = log.snapshot_index
        self._votes: set[str] = set()
        self._progress: dict[str, Progress] = {}
        self._round = 0
        self._reads: list[PendingRead] = []
        self._heard_from_leader_at = -1e9
        self._heartbeat_due = now
        self._quorum_due = now
        self._became_leader_at = now
        self._election_due = self._next_election(now)

    # Views

    @property
    def membership(self) -> Membership:
        """The newest membership in the log, committed or not."""
        return self.log.membership

    @property
    def is_leader(self) -> bool:
        """Whether the node leads its term."""
        return self.role is Role.LEADER

    @property
    def is_established_leader(self) -> bool:
        """Whether the node leads and has committed an entry of its own term."""
        return self.is_leader and self.log.term_of(self.commit) == self.term

    def match_of(self, node: str) -> int:
        """Return the last index that ``node`` is known to hold, as the leader sees it."""
        progress = self._progress.get(node)
        return progress.match if progress else 0

    def answered_seconds_ago(self, node: str, now: float) -> float:
        """Return how long ago ``node`` last answered the leader."""
        progress = self._progress.get(node)
        return now - progress.answered_at if progress else float("inf")

    def take_effects(self) -> Effects:
        """Return and forget the effects that accumulated."""
        self._collect_committed()
        effects = self._effects
        self._effects = Effects()
        return effects

    def next_due(self) -> float:
        """Return the time at which :meth:`tick` has something to do."""
        return self._heartbeat_due if self.is_leader else self._election_due

    # Inputs

    def tick(self, now: float) -> None:
        """Let time pass."""
        if self.is_leader:
            self._tick_leader(now)
        elif now >= self._election_due:
            self._election_due = self._next_election(now)
            if self.may_campaign and self.node in self.membership.voters:
                self._campaign(now, preliminary=True)

    def propose(self, kind: EntryKind, data: bytes, now: float) -> Entry:
        """Append an entry as the leader and return it.

        :raises NotLeader: if the node does not lead.
        """
        if not self.is_leader:
            raise NotLeader
        entry = Entry(self.term, self.log.last_index + 1, kind, data)
        self._append([entry])
        self._advance_commit()
        self._broadcast(now)
        return entry

    def change_membership(self, membership: Membership, now: float) -> Entry:
        """Propose a membership that differs by at most one voter.

        :raises NotLeader: if the node does not lead or has not committed in its term.
        :raises MembershipBusy: if an earlier change is not committed.
        """
        if not self.is_established_leader:
            raise NotLeader
        changed = set(self.membership.voters) ^ set(membership.voters)
        if self.log.membership_index > self.commit or len(changed) > 1:
            raise MembershipBusy
        return self.propose(EntryKind.MEMBERSHIP, msgspec.msgpack.encode(membership), now)

    def read(self, token: int, now: float) -> None:
        """Ask for a read index; it comes in ``ready_reads`` once a majority confirms.

        :raises NotLeader: if the node does not lead or has not committed in its term.
        """
        if not self.is_established_leader:
            raise NotLeader
        self._round += 1
        self._reads.append(PendingRead(token, self.commit, self._round))
        self._broadcast(now, heartbeat=True)
        self._confirm_reads()

    def receive(self, incoming: ConsensusMessage, now: float) -> None:
        """Handle a message from another node."""
        if isinstance(incoming, VoteRequest):
            self._on_vote_request(incoming, now)
            return
        stale = incoming.term < self.term
        preliminary = isinstance(incoming, VoteReply) and incoming.preliminary
        if incoming.term > self.term and not (preliminary and incoming.granted):  # type: ignore[union-attr]
            self._become_follower(incoming.term, "", now)
        if isinstance(incoming, VoteReply):
            self._on_vote_reply(incoming, now)
        elif isinstance(incoming, AppendReply):
            self._on_append_reply(incoming, now)
        elif stale:
            self._send(incoming.sender, AppendReply(self.node, self.term, False, 0, 0))
        elif isinstance(incoming, AppendRequest):
            self._on_append(incoming, now)
        else:
            self._on_snapshot(incoming, now)

    def step_down(self, now: float) -> None:
        """Give up leadership of one's own accord."""
        if self.is_leader:
            self._become_follower(self.term, "", now)

    def compact(self, snapshot: Snapshot) -> None:
        """Forget the log up to a snapshot that the caller has made durable."""
        self.log.compact(snapshot)

    # Elections

    def _next_election(self, now: float) -> float:
        return now + self._config.election_timeout_seconds * self._random.uniform(1.0, 2.0)

    def _campaign(self, now: float, preliminary: bool) -> None:
        if preliminary:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self._set_term(self.term + 1, self.node)
        self.leader = ""
        self._votes = {self.node}
        request = VoteRequest(
            sender=self.node,
            term=self.term + 1 if preliminary else self.term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            preliminary=preliminary,
        )
        for peer in self.membership.voters:
            if peer != self.node:
                self._send(peer, request)
        self._count_votes(now)

    def _on_vote_request(self, request: VoteRequest, now: float) -> None:
        # Stickiness: while a leader is heard, nobody may disturb it by a higher term.
        quiet_seconds = now - self._heard_from_leader_at
        if self.is_leader or quiet_seconds < self._config.election_timeout_seconds:
            if request.term < self.term or not self.is_leader:
                self._refuse_vote(request)
            return
        if not request.preliminary and request.term > self.term:
            self._become_follower(request.term, "", now)
        newer = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.preliminary:
            granted = newer and request.term > self.term
        else:
            granted = newer and request.term == self.term and self.vote in ("", request.sender)
            if granted:
                self._set_term(self.term, request.sender)
                self._election_due = self._next_election(now)
        term = request.term if request.preliminary and granted else self.term
        self._send(request.sender, VoteReply(self.node, term, granted, request.preliminary))

    def _refuse_vote(self, request: VoteRequest) -> None:
        reply = VoteReply(self.node, self.term, False, request.preliminary)
        self._send(request.sender, reply)

    def _on_vote_reply(self, reply: VoteReply, now: float) -> None:
        expected = Role.PRE_CANDIDATE if reply.preliminary else Role.CANDIDATE
        term = self.term + 1 if reply.preliminary else self.term
        if self.role is expected and reply.granted and reply.term == term:
            if reply.sender in self.membership.voters:
                self._votes.add(reply.sender)
            self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if len(self._votes) <= len(self.membership.voters) // 2:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, preliminary=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.node
        self._progress = {}
        self._became_leader_at = now
        self._quorum_due = now + self._config.election_timeout_seconds
        self._ensure_progress(now)
        self.propose(EntryKind.NOOP, b"", now)

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        was_leader = self.is_leader
        self.role = Role.FOLLOWER
        self.leader = leader
        if term > self.term:
            self._set_term(term, "")
        if was_leader:
            self._effects.failed_reads.extend(read.token for read in self._reads)
            self._reads = []
        self._election_due = self._next_election(now)

    def _set_term(self, term: int, vote: str) -> None:
        self.term = term
        self.vote = vote
        self._effects.hard_state = HardState(term, vote)

    # Replication, leader's side

    def _tick_leader(self, now: float) -> None:
        if self._config.check_quorum and now >= self._quorum_due:
            self._quorum_due = now + self._config.election_timeout_seconds
            if not self._quorum_check.has_quorum(
                self._answered_voters(now), len(self.membership.voters)
            ):
                self._become_follower(self.term, "", now)
                return
        if now >= self._heartbeat_due:
            self._broadcast(now, heartbeat=True)

    def _answered_voters(self, now: float) -> int:
        limit = now - self._config.election_timeout_seconds
        answered = sum(
            1
            for peer in self.membership.voters
            if peer != self.node and self._progress[peer].answered_at >= limit
        )
        return answered + (self.node in self.membership.voters)

    def _ensure_progress(self, now: float) -> None:
        for peer in self.membership.addresses():
            if peer != self.node and peer not in self._progress:
                self._progress[peer] = Progress(self.log.last_index + 1, answered_at=now)
        for peer in list(self._progress):
            if peer not in self.membership.addresses():
                del self._progress[peer]

    def _append(self, entries: list[Entry]) -> None:
        self.log.append(entries)
        self._effects.append.extend(entries)

    def _broadcast(self, now: float, heartbeat: bool = False) -> None:
        self._ensure_progress(now)
        if heartbeat:
            self._heartbeat_due = now + self._config.heartbeat_seconds
        for peer, progress in self._progress.items():
            if heartbeat and now - progress.sent_at > self._config.election_timeout_seconds:
                # What was in flight is lost by now: begin again after what is known to match.
                progress.next_index = progress.match + 1 if progress.match else progress.next_index
                progress.in_flight = 0
            self._replicate(peer, progress, now, heartbeat)

    def _replicate(self, peer: str, progress: Progress, now: float, heartbeat: bool) -> None:
        behind = progress.next_index <= self.log.last_index
        if progress.next_index <= self.log.snapshot_index:
            if progress.in_flight == 0 or now - progress.sent_at > 1.0:
                self._send_snapshot(peer, progress, now)
            return
        if not heartbeat and (not behind or progress.in_flight >= MAXIMUM_IN_FLIGHT):
            return
        entries: list[Entry] = []
        if progress.in_flight < MAXIMUM_IN_FLIGHT:
            entries = self.log.slice(progress.next_index, MAXIMUM_APPEND_BYTES)
        previous = progress.next_index - 1
        request = AppendRequest(
            sender=self.node,
            term=self.term,
            previous_index=previous,
            previous_term=self.log.term_of(previous),
            entries=entries,
            commit=self.commit,
            round=self._round,
        )
        if entries:
            progress.next_index = entries[-1].index + 1
            progress.in_flight += 1
            progress.sent_at = now
        self._send(peer, request)

    def _send_snapshot(self, peer: str, progress: Progress, now: float) -> None:
        assert self.log.snapshot is not None
        progress.in_flight = 1
        progress.sent_at = now
        self._send(peer, SnapshotRequest(self.node, self.term, self.log.snapshot, self._round))

    def _on_append_reply(self, reply: AppendReply, now: float) -> None:
        progress = self._progress.get(reply.sender)
        if not self.is_leader or progress is None or reply.term != self.term:
            return
        progress.answered_at = now
        progress.round = max(progress.round, reply.round)
        progress.in_flight = max(0, progress.in_flight - 1)
        if reply.success:
            progress.match = max(progress.match, reply.match)
            progress.next_index = max(progress.next_index, progress.match + 1)
            self._advance_commit()
        else:
            progress.next_index = max(progress.match + 1, min(reply.match + 1, self.log.last_index))
            progress.in_flight = 0
        if progress.next_index <= self.log.last_index:
            self._replicate(reply.sender, progress, now, heartbeat=False)
        self._confirm_reads()

    def _advance_commit(self) -> None:
        voters = self.membership.voters
        matches = [
            self.log.last_index if peer == self.node else self.match_of(peer) for peer in voters
        ]
        matches.sort(reverse=True)
        index = matches[len(voters) // 2] if matches else 0
        # Only an entry of the leader's own term commits by counting (Raft, section 5.4.2).
        if index > self.commit and self.log.term_of(index) == self.term:
            self.commit = index
            if self.node not in voters and self.log.membership_index <= self.commit:
                self.role = Role.FOLLOWER

    def _confirm_reads(self) -> None:
        if not self._reads:
            return
        voters = self.membership.voters
        remaining = []
        for read in self._reads:
            answered = sum(
                peer == self.node or self._round_of(peer) >= read.round for peer in voters
            )
            if self._quorum_check.has_quorum(answered, len(voters)):
                self._effects.ready_reads.append((read.token, read.index))
            else:
                remaining.append(read)
        self._reads = remaining

    def _round_of(self, peer: str) -> int:
        progress = self._progress.get(peer)
        return progress.round if progress else 0

    # Replication, follower's side

    def _on_append(self, request: AppendRequest, now: float) -> None:
        self._follow(request.sender, now)
        previous = request.previous_index
        if previous < self.log.snapshot_index:
            success, match = True, self.log.snapshot_index
            entries = [entry for entry in request.entries if entry.index > match]
            if entries and entries[0].index == match + 1:
                match = self._merge(entries)
        elif self.log.term_of(previous) == request.previous_term and (
            previous <= self.log.last_index
        ):
            success, match = True, max(previous, self._merge(request.entries))
        else:
            success, match = False, min(previous - 1, self.log.last_index)
            while match > self.commit and self.log.term_of(match) > request.previous_term:
                match -= 1
        if success:
            self.commit = max(self.commit, min(request.commit, match))
        self._send(request.sender, AppendReply(self.node, self.term, success, match, request.round))

    def _follow(self, leader: str, now: float) -> None:
        self._become_follower(self.term, leader, now)
        self._heard_from_leader_at = now

    def _merge(self, entries: list[Entry]) -> int:
        for position, entry in enumerate(entries):
            if entry.index <= self.log.last_index:
                if self.log.term_of(entry.index) == entry.term:
                    continue
                assert entry.index > self.commit, "a committed entry would be overwritten"
                self.log.truncate_from(entry.index)
                self._effects.append = [
                    kept for kept in self._effects.append if kept.index < entry.index
                ]
                cut = self._effects.truncate_from
                self._effects.truncate_from = entry.index if cut is None else min(cut, entry.index)
            self._append(entries[position:])
            break
        return entries[-1].index if entries else 0

    def _on_snapshot(self, request: SnapshotRequest, now: float) -> None:
        self._follow(request.sender, now)
        snapshot = request.snapshot
        if snapshot.index > self.commit:
            self.log.reset(snapshot)
            self.commit = snapshot.index
            self._applied = snapshot.index
            self._effects.append = []
            self._effects.committed = []
            self._effects.truncate_from = None
            self._effects.install = snapshot
        reply = AppendReply(self.node, self.term, True, snapshot.index, request.round)
        self._send(request.sender, reply)

    # Effects

    def _collect_committed(self) -> None:
        if self.commit > self._applied:
            entries = self.log.between(self._applied + 1, self.commit)
            self._effects.committed.extend(entries)
            self._applied = self.commit

    def _send(self, peer: str, outgoing: ConsensusMessage) -> None:
        self._effects.messages.append((peer, outgoing))
