"""Raft as a pure state machine: inputs and time in, effects out, no I/O.

Implements Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014)
with pre-vote, check-quorum, leader stickiness, learners, read index and one membership
change at a time (Ongaro's thesis, 2014, chapters 4, 6 and 9).

After each input the caller performs the effects that :meth:`Raft.take_effects` returns, in this
order: persist, send, apply, answer reads.
"""

import msgspec

from rowanrail.consensus.messages import (
    AppendReply,
    AppendRequest,
    ConsensusMessage,
    Entry,
    EntryKind,
    Membership,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from rowanrail.consensus.progress import NEVER_SECONDS, Progress
from rowanrail.consensus.raft_state import RaftState
from rowanrail.consensus.raft_types import Effects, MembershipChangeInProgress, NotLeader, Role

# Entry data in one message, so that heartbeats queued behind it are not delayed.
MAXIMUM_APPEND_BYTES = 256 * 1024
MAXIMUM_IN_FLIGHT_MESSAGES = 32  # unanswered messages with entries per follower
SNAPSHOT_RETRY_SECONDS = 1.0  # after which an unanswered snapshot is sent again


class Raft(RaftState):
    """Raft node: handlers of timeouts, requests and messages."""

    # Inputs

    def tick(self, now: float) -> None:
        """Start an election or send heartbeats if they are due."""
        if self.is_leader:
            self._tick_leader(now)
        elif now >= self._election_due:
            self._election_due = self._next_election_time(now)
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
        """Append a membership that differs from the current one by at most one voter.

        :raises NotLeader: if the node does not lead or has not committed in its term.
        :raises MembershipChangeInProgress: if an earlier change is not committed, or several voters
            would change.
        """
        if not self.is_established_leader:
            raise NotLeader
        changed = set(self.membership.voters) ^ set(membership.voters)
        if self.log.membership_index > self.commit_index or len(changed) > 1:
            raise MembershipChangeInProgress
        return self.propose(EntryKind.MEMBERSHIP, msgspec.msgpack.encode(membership), now)

    def read(self, token: int, now: float) -> None:
        """Request a read index; ``ready_reads`` reports it once a majority confirms the leader.

        :raises NotLeader: if the node does not lead or has not committed in its term.
        """
        if not self.is_established_leader:
            raise NotLeader
        self._reads.add(token, self.commit_index)
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
        """Become a follower if the node leads."""
        if self.is_leader:
            self._become_follower(self.term, "", now)

    def deactivate(self) -> None:
        """Become a follower that is not up to date, and discard pending effects.

        Until the node is replaced, its only input is :meth:`track_leader`.
        """
        self.role = Role.FOLLOWER
        self.leader = ""
        self._up_to_date_at = NEVER_SECONDS
        self._effects = Effects()

    def track_leader(self, incoming: ConsensusMessage, now: float) -> None:
        """Update only term and leader from a message, after :meth:`deactivate`.

        The node neither votes nor acknowledges entries, but can redirect requests to the leader.
        """
        if isinstance(incoming, AppendRequest | SnapshotRequest) and incoming.term >= self.term:
            self.term = incoming.term
            self.leader = incoming.sender
            self._leader_contact_at = now

    def compact(self, snapshot: Snapshot) -> None:
        """Remove the entries up to a snapshot that the caller has made durable."""
        self.log.compact(snapshot)

    # Elections

    def _campaign(self, now: float, preliminary: bool) -> None:
        if preliminary:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self._set_term(self.term + 1, self.node)
        self.leader = ""
        self._votes = {self.node}
        if self._config.repeated_election_seconds is not None:
            self._election_due = self._next_election_time(now)
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
        # Leader stickiness: a node that hears from a leader ignores higher terms of candidates.
        silence_seconds = now - self._leader_contact_at
        if self.is_leader or silence_seconds < self._config.election_timeout_seconds:
            if request.term < self.term or not self.is_leader:
                self._refuse_vote(request)
            return
        if not request.preliminary and request.term > self.term:
            self._become_follower(request.term, "", now)
        is_up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.preliminary:
            granted = is_up_to_date and request.term > self.term
        else:
            granted = (
                is_up_to_date and request.term == self.term and self.vote in ("", request.sender)
            )
            if granted:
                self._set_term(self.term, request.sender)
                self._election_due = self._next_election_time(now)
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
        self._progress.clear()
        self._became_leader_at = now
        self._quorum_due = now + self._config.election_timeout_seconds
        self._progress.set_members(self.membership, self.log.last_index, now)
        self.propose(EntryKind.NOOP, b"", now)

    # Replication on the leader

    def _tick_leader(self, now: float) -> None:
        if self._config.check_quorum and now >= self._quorum_due:
            self._quorum_due = now + self._config.election_timeout_seconds
            voters = self.membership.voters
            since = now - self._config.election_timeout_seconds
            answered = self._progress.count_replied_since(voters, since)
            if not self._quorum_check.has_quorum(answered, len(voters)):
                self._become_follower(self.term, "", now)
                return
        if now >= self._heartbeat_due:
            self._broadcast(now, heartbeat=True)

    def _broadcast(self, now: float, heartbeat: bool = False) -> None:
        self._progress.set_members(self.membership, self.log.last_index, now)
        if heartbeat:
            self._heartbeat_due = now + self._config.heartbeat_seconds
        for peer, progress in self._progress.items():
            if heartbeat and now - progress.sent_at > self._config.election_timeout_seconds:
                # Unanswered messages are lost by now: resend from the last known match.
                progress.next_index = progress.match + 1 if progress.match else progress.next_index
                progress.in_flight = 0
            self._replicate(peer, progress, now, heartbeat)

    def _replicate(self, peer: str, progress: Progress, now: float, heartbeat: bool) -> None:
        has_unsent_entries = progress.next_index <= self.log.last_index
        if progress.next_index <= self.log.snapshot_index:
            if progress.in_flight == 0 or now - progress.sent_at > SNAPSHOT_RETRY_SECONDS:
                self._send_snapshot(peer, progress, now)
            return
        if not heartbeat and (
            not has_unsent_entries or progress.in_flight >= MAXIMUM_IN_FLIGHT_MESSAGES
        ):
            return
        entries: list[Entry] = []
        if progress.in_flight < MAXIMUM_IN_FLIGHT_MESSAGES:
            entries = self.log.entries_from(progress.next_index, MAXIMUM_APPEND_BYTES)
        previous = progress.next_index - 1
        request = AppendRequest(
            sender=self.node,
            term=self.term,
            previous_index=previous,
            previous_term=self.log.term_at(previous),
            entries=entries,
            commit=self.commit_index,
            round=self._reads.round,
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
        self._send(
            peer, SnapshotRequest(self.node, self.term, self.log.snapshot, self._reads.round)
        )

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
            self.log.last_index if peer == self.node else self.match_index(peer) for peer in voters
        ]
        matches.sort(reverse=True)
        index = matches[len(voters) // 2] if matches else 0
        # Only entries of the leader's own term commit by counting replicas (Raft, 5.4.2).
        if index > self.commit_index and self.log.term_at(index) == self.term:
            if not self.is_established_leader:
                self._heartbeat_due = self._became_leader_at  # announce the commit at the next tick
            self.commit_index = index
            if self.node not in voters and self.log.membership_index <= self.commit_index:
                self.role = Role.FOLLOWER

    def _confirm_reads(self) -> None:
        voters = self.membership.voters

        def is_confirmed(round_number: int) -> bool:
            answered = sum(
                peer == self.node or self._progress.last_round(peer) >= round_number
                for peer in voters
            )
            return self._quorum_check.has_quorum(answered, len(voters))

        self._effects.ready_reads.extend(self._reads.pop_confirmed(is_confirmed))

    # Replication on followers

    def _on_append(self, request: AppendRequest, now: float) -> None:
        self._accept_leader(request.sender, now)
        previous = request.previous_index
        if previous < self.log.snapshot_index:
            success, match = True, self.log.snapshot_index
            entries = [entry for entry in request.entries if entry.index > match]
            if entries and entries[0].index == match + 1:
                match = self._append_missing(entries)
        elif self.log.term_at(previous) == request.previous_term and (
            previous <= self.log.last_index
        ):
            success, match = True, max(previous, self._append_missing(request.entries))
        else:
            success, match = False, min(previous - 1, self.log.last_index)
            while match > self.commit_index and self.log.term_at(match) > request.previous_term:
                match -= 1
        if success:
            self.commit_index = max(self.commit_index, min(request.commit, match))
            if (
                self.commit_index >= request.commit
                and self.log.term_at(self.commit_index) == self.term
            ):
                self._up_to_date_at = now
        self._send(request.sender, AppendReply(self.node, self.term, success, match, request.round))

    def _accept_leader(self, leader: str, now: float) -> None:
        self._become_follower(self.term, leader, now)
        self._leader_contact_at = now

    def _append_missing(self, entries: list[Entry]) -> int:
        for position, entry in enumerate(entries):
            if entry.index <= self.log.last_index:
                if self.log.term_at(entry.index) == entry.term:
                    continue
                assert entry.index > self.commit_index, "a committed entry would be overwritten"
                self.log.truncate_from(entry.index)
                self._effects.append = [
                    pending for pending in self._effects.append if pending.index < entry.index
                ]
                truncated_from = self._effects.truncate_from
                self._effects.truncate_from = (
                    entry.index if truncated_from is None else min(truncated_from, entry.index)
                )
            self._append(entries[position:])
            break
        return entries[-1].index if entries else 0

    def _on_snapshot(self, request: SnapshotRequest, now: float) -> None:
        self._accept_leader(request.sender, now)
        snapshot = request.snapshot
        if snapshot.index > self.commit_index:
            self.log.reset(snapshot)
            self.commit_index = snapshot.index
            self._applied = snapshot.index
            self._effects.append = []
            self._effects.committed = []
            self._effects.truncate_from = None
            self._effects.install = snapshot
        reply = AppendReply(self.node, self.term, True, snapshot.index, request.round)
        self._send(request.sender, reply)
