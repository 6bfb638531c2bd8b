"""Messages and records of the replicated log (Raft: Ongaro and Ousterhout, 2014).

What is sent ten times a second goes as an array: names of fields are most of a heartbeat.
"""

import enum

import msgspec

from rowanrail.rpc.codec import message


class EntryKind(enum.IntEnum):
    """What a log entry holds."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log."""

    term: int
    index: int
    kind: EntryKind
    data: bytes


class HardState(msgspec.Struct, frozen=True):
    """What a node must never forget: its term and its vote in that term."""

    term: int = 0
    vote: str = ""


class Membership(msgspec.Struct, frozen=True):
    """Voters and learners by node id, with their addresses."""

    voters: dict[str, str] = {}
    learners: dict[str, str] = {}

    def addresses(self) -> dict[str, str]:
        """Return the addresses of all nodes by id."""
        return {**self.voters, **self.learners}


class Snapshot(msgspec.Struct, frozen=True):
    """State of the replicated state machine after ``index``."""

    index: int
    term: int
    membership: Membership
    data: bytes


@message("VoteRequest")
class VoteRequest(msgspec.Struct, frozen=True, array_like=True):
    """A candidate asks for a vote; ``preliminary`` asks without raising any term."""

    sender: str
    term: int
    last_index: int
    last_term: int
    preliminary: bool


@message("VoteReply")
class VoteReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer to :class:`VoteRequest`."""

    sender: str
    term: int
    granted: bool
    preliminary: bool


@message("AppendRequest")
class AppendRequest(msgspec.Struct, frozen=True, array_like=True):
    """Entries, or a heartbeat, from the leader. ``round`` confirms reads."""

    sender: str
    term: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int
    round: int


@message("AppendReply")
class AppendReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer to :class:`AppendRequest`; ``match`` is a hint for retry when refused."""

    sender: str
    term: int
    success: bool
    match: int
    round: int


@message("SnapshotRequest")
class SnapshotRequest(msgspec.Struct, frozen=True):
    """The leader's snapshot for a node that is too far behind its log."""

    sender: str
    term: int
    snapshot: Snapshot
    round: int


ConsensusMessage = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest
