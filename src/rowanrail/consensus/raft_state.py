"""State of a Raft node and the transitions that its input handlers share.

:class:`rowanrail.consensus.raft.Raft` adds the handlers. Times are seconds of the monotonic clock
and are passed in by the caller.
"""

import random

from rowanrail.consensus.log import Log
from rowanrail.consensus.messages import ConsensusMessage, Entry, HardState, Membership
from rowanrail.consensus.policies import QuorumCheck
from rowanrail.consensus.progress import NEVER_SECONDS, PendingReads, ProgressTable
from rowanrail.consensus.raft_types import Effects, RaftConfig, Role

MINIMUM_FIRST_ELECTION_SHARE = 0.1  # minimum first election timeout, as a share of the maximum


class RaftState:
    """Term, vote, role, log and replication progress of a node.

    :param config: timing of heartbeats and elections.
    :param hard_state: last durable term and vote.
    :param randomness: source of the random election timeouts.
    :param quorum_check: rule by which a leader confirms its majority.
    :param now: current monotonic time in seconds.
    """

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
        self.commit_index = log.snapshot_index
        self.may_campaign = True
        self._config = config
        self._random = randomness
        self._quorum_check = quorum_check
        self._effects = Effects()
        self._applied = log.snapshot_index
        self._votes: set[str] = set()
        self._progress = ProgressTable(node)
        self._reads = PendingReads()
        self._leader_contact_at = NEVER_SECONDS
        self._up_to_date_at = NEVER_SECONDS
        self._heartbeat_due = now
        self._quorum_due = now
        self._became_leader_at = now
        self._election_due = self._next_election_time(now)
        if config.first_election_seconds is not None:
            share = randomness.uniform(MINIMUM_FIRST_ELECTION_SHARE, 1.0)
            self._election_due = now + config.first_election_seconds * share

    # Queries

    @property
    def membership(self) -> Membership:
        """The latest membership in the log, committed or not."""
        return self.log.membership

    @property
    def is_leader(self) -> bool:
        """Whether the node is the leader of its term."""
        return self.role is Role.LEADER

    @property
    def is_established_leader(self) -> bool:
        """Whether the node leads and has committed an entry of its own term."""
        return self.is_leader and self.log.term_at(self.commit_index) == self.term

    def match_index(self, node: str) -> int:
        """Return the last index that the leader knows ``node`` to hold; 0 if unknown."""
        return self._progress.match_index(node)

    def seconds_since_reply(self, node: str, now: float) -> float:
        """Return the seconds since ``node`` last replied to this leader; infinity if unknown."""
        return self._progress.seconds_since_reply(node, now)

    def seconds_since_leader_contact(self, now: float) -> float:
        """Return the seconds since this node last received a message from a leader."""
        return now - self._leader_contact_at

    def seconds_since_up_to_date(self, now: float) -> float:
        """Return the seconds since this node was known to hold all committed entries.

        For a follower, that is when it last held everything up to the leader's commit index, if
        the entry there is of the leader's term: before, the leader doesn't know what is committed.
        For a leader, it is when a majority last replied, since otherwise another may lead already.
        """
        if self.is_established_leader:
            return now - self._progress.quorum_reply_time(self.membership.voters, now)
        return now - self._up_to_date_at

    @property
    def has_unsaved_state(self) -> bool:
        """Whether the term, vote or log has changes that the caller has not yet taken to save."""
        effects = self._effects
        changes = (effects.hard_state, effects.install, effects.truncate_from)
        return bool(effects.append) or any(change is not None for change in changes)

    def mark_applied(self, index: int) -> None:
        """Treat the entries up to ``index`` as committed and applied, after a restart."""
        self.commit_index = index
        self._applied = index

    def take_effects(self) -> Effects:
        """Return the accumulated effects and start a new collection."""
        self._collect_committed()
        effects = self._effects
        self._effects = Effects()
        return effects

    def next_due(self) -> float:
        """Return the time in seconds at which ``tick`` is due."""
        return self._heartbeat_due if self.is_leader else self._election_due

    # Transitions

    def _next_election_time(self, now: float) -> float:
        repeated = self._config.repeated_election_seconds
        if repeated is not None and self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            return now + repeated * self._random.uniform(0.3, 1.0)
        return now + self._config.election_timeout_seconds * self._random.uniform(1.0, 2.0)

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        was_leader = self.is_leader
        self.role = Role.FOLLOWER
        self.leader = leader
        if term > self.term:
            self._set_term(term, "")
        if was_leader:
            self._effects.failed_reads.extend(self._reads.pop_all())
        self._election_due = self._next_election_time(now)

    def _set_term(self, term: int, vote: str) -> None:
        self.term = term
        self.vote = vote
        self._effects.hard_state = HardState(term, vote)

    def _append(self, entries: list[Entry]) -> None:
        self.log.append(entries)
        self._effects.append.extend(entries)

    def _collect_committed(self) -> None:
        if self.commit_index > self._applied:
            entries = self.log.entries_between(self._applied + 1, self.commit_index)
            self._effects.committed.extend(entries)
            self._applied = self.commit_index

    def _send(self, peer: str, outgoing: ConsensusMessage) -> None:
        self._effects.messages.append((peer, outgoing))
