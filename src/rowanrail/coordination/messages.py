"""Messages between control nodes: requests to the leader, their replies, and heartbeats.

Owns the forms; those between gateways and control nodes are in
:mod:`rowanrail.directory.messages`, the commands of the log in :mod:`commands`.
"""

import enum

import msgspec

from rowanrail.model.members import MemberRecord
from rowanrail.rpc.codec import message


class PutOutcome(enum.Enum):
    """What became of a configuration."""

    ACCEPTED = "taken"
    NOT_NEWER = "held"


# Messages to the leader


@message("PutRequest")
class PutRequest(msgspec.Struct, frozen=True):
    """Accept a configuration."""

    version: int
    document: bytes


@message("PutReply")
class PutReply(msgspec.Struct, frozen=True):
    """The configuration is durable on a majority, or a higher one is."""

    verdict: PutOutcome
    version: int


@message("DocumentRequest")
class DocumentRequest(msgspec.Struct, frozen=True):
    """Read the newest configuration, confirmed by a majority."""


@message("DocumentReply")
class DocumentReply(msgspec.Struct, frozen=True):
    """The newest configuration; version 0 if there is none."""

    version: int
    document: bytes


@message("AnnounceRequest")
class AnnounceRequest(msgspec.Struct, frozen=True):
    """Make what a member announced durable."""

    record: MemberRecord


@message("RemoveRequest")
class RemoveRequest(msgspec.Struct, frozen=True):
    """Make a member's end durable."""

    instance: str


@message("Done")
class Done(msgspec.Struct, frozen=True):
    """The request was carried out."""


@message("HeartbeatNotice")
class HeartbeatNotice(msgspec.Struct, frozen=True, array_like=True):
    """A member whose record did not change is alive."""

    instance: str
    sequence: int
