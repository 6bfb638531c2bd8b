"""Messages and stored records of Raft (Ongaro and Ousterhout, 2014).

Frequent messages are encoded as arrays, since field names would be most of a heartbeat's bytes.
"""

import enum

import msgspec

from rowanrail.rpc.codec import message


class EntryKind(enum.IntEnum):
    """Type of a log entry."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """Log entry: an encoded command or membership, with its term and index."""

    term: int
    index: int
    kind: EntryKind
    data: bytes


class HardState(msgspec.Struct, frozen=True):
    """Term and vote of a node, which must be durable before it answers."""

    term: int = 0
    vote: str = ""


class Membership(msgspec.Struct, frozen=True):
    """Addresses of voters and learners by node id."""

    voters: dict[str, str] = {}
    learners: dict[str, str] = {}

    def addresses(self) -> dict[str, str]:
        """Return the addresses of all nodes by id."""
        return {**self.voters, **self.learners}


class Snapshot(msgspec.Struct, frozen=True):
    """Serialized state after the entry at ``index``, with the membership at that entry."""

    index: int
    term: int
    membership: Membership
    data: bytes


@message("VoteRequest")
class VoteRequest(msgspec.Struct, frozen=True, array_like=True):
    """A candidate's request for a vote; ``preliminary`` marks a pre-vote, which changes no term."""

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
    """Entries or a heartbeat from the leader; replies to ``round`` confirm pending reads."""

    sender: str
    term: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int
    round: int


@message("AppendReply")
class AppendReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer to :class:`AppendRequest` or :class:`SnapshotRequest`.

    :param match: last index that matches the leader's log; on failure, the index after which the
        leader should retry.
    """

    sender: str
    term: int
    success: bool
    match: int
    round: int


@message("SnapshotRequest")
class SnapshotRequest(msgspec.Struct, frozen=True):
    """The leader's snapshot, for a node that needs entries that the leader has compacted."""

    sender: str
    term: int
    snapshot: Snapshot
    round: int


ConsensusMessage = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest
