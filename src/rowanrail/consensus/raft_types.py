"""Types that the replicated log's state machine takes and gives.

For Raft and the node that carries its effects out. Own nothing but their fields.
"""

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
    """Timing of elections.

    :param check_quorum: whether a leader steps down when a majority is silent.
    :param first_election_seconds: longest wait for a leader right after the start. It may be
        short: others that hear a leader refuse the preliminary vote.
    """

    heartbeat_seconds: float = 0.1
    election_timeout_seconds: float = 0.6
    check_quorum: bool = True
    first_election_seconds: float | None = None
    repeated_election_seconds: float | None = None


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


class MembershipChangeInProgress(Exception):
    """Another membership change is under way."""
