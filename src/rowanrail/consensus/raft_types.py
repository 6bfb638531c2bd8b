"""Configuration, roles, effects and errors of the Raft state machine."""

import enum

import msgspec

from rowanrail.consensus.messages import ConsensusMessage, Entry, HardState, Snapshot


class Role(enum.Enum):
    """Role of a node in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftConfig(msgspec.Struct, frozen=True):
    """Timing of heartbeats and elections.

    :param election_timeout_seconds: minimum time without a leader before an election; the timeout
        is drawn between this and twice this.
    :param check_quorum: whether a leader steps down if no majority replies within the election
        timeout.
    :param first_election_seconds: maximum election timeout right after the start. It may be short,
        since nodes that hear from a leader refuse the pre-vote.
    :param repeated_election_seconds: maximum time until the next attempt after an election without
        a winner; the election timeout if None.
    """

    heartbeat_seconds: float = 0.1
    election_timeout_seconds: float = 0.6
    check_quorum: bool = True
    first_election_seconds: float | None = None
    repeated_election_seconds: float | None = None


class Effects(msgspec.Struct):
    """Actions for the caller; see :mod:`rowanrail.consensus.raft` for their order.

    :param install: snapshot that replaces the whole log and state, before any of ``append``.
    :param messages: messages by id of the receiving node.
    :param committed: entries to apply.
    :param ready_reads: tokens of confirmed reads with their read indexes.
    :param failed_reads: tokens of reads that failed because the node lost leadership.
    """

    hard_state: HardState | None = None
    truncate_from: int | None = None
    append: list[Entry] = []
    install: Snapshot | None = None
    messages: list[tuple[str, ConsensusMessage]] = []
    committed: list[Entry] = []
    ready_reads: list[tuple[int, int]] = []
    failed_reads: list[int] = []


class NotLeader(Exception):
    """The state machine rejects an input: it does not lead, or has not committed in its term.

    :class:`rowanrail.consensus.node.ConsensusNode` turns it into
    :class:`rowanrail.consensus.errors.NotLeaderError`, which names the leader.
    """


class MembershipChangeInProgress(Exception):
    """A membership change is not committed yet, or the new one changes several voters."""
