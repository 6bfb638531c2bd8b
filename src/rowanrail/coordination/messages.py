"""Messages between control nodes: requests to the leader, their replies, and heartbeats.

Messages between gateways and control nodes are in :mod:`rowanrail.directory.messages`, commands of
the log in :mod:`commands`.
"""

import enum

import msgspec
from msgspec import UNSET, UnsetType

from rowanrail.model.members import MemberRecord
from rowanrail.rpc.codec import message


class PutOutcome(enum.Enum):
    """Outcome of a request to store a configuration."""

    ACCEPTED = "taken"
    NOT_NEWER = "held"


# Messages to the leader


@message("PutRequest")
class PutRequest(msgspec.Struct, frozen=True):
    """Store a configuration; ``document`` is compressed (zlib)."""

    version: int
    document: bytes


@message("PutReply")
class PutReply(msgspec.Struct, frozen=True):
    """The configuration, or one of the same or a higher version, is durable on a majority."""

    verdict: PutOutcome
    version: int


@message("DocumentRequest")
class DocumentRequest(msgspec.Struct, frozen=True):
    """Request the newest configuration, confirmed by a majority."""


@message("DocumentReply")
class DocumentReply(msgspec.Struct, frozen=True):
    """Answer to :class:`DocumentRequest`; version 0 if there is no configuration."""

    version: int
    document: bytes


@message("AnnounceRequest")
class AnnounceRequest(msgspec.Struct, frozen=True):
    """Record a member's announcement in the log."""

    record: MemberRecord


@message("AnnouncementRejected")
class AnnouncementRejected(msgspec.Struct, frozen=True):
    """Answer to an :class:`AnnounceRequest` that changed nothing.

    Parameters
    ----------
    reason : str
        A :class:`rowanrail.coordination.rejected_announcements.RejectionReason`.
    """

    reason: str
    problem: str


@message("RemoveRequest")
class RemoveRequest(msgspec.Struct, frozen=True):
    """Record in the log that a member has ended.

    Parameters
    ----------
    start_ms : int or UnsetType
        Start of the life that ended, in Unix milliseconds; not encoded if it is unknown.
    """

    instance: str
    start_ms: int | UnsetType = UNSET


@message("EvacuationRequest")
class EvacuationRequest(msgspec.Struct, frozen=True):
    """Evacuate a zone, or end its evacuation; answered with :class:`Done` once committed."""

    zone: str
    is_evacuated: bool


@message("FeatureLevelRequest")
class FeatureLevelRequest(msgspec.Struct, frozen=True):
    """Ask a control node up to which feature level it knows the log's commands."""


@message("FeatureLevelReply")
class FeatureLevelReply(msgspec.Struct, frozen=True):
    """Answer to :class:`FeatureLevelRequest`."""

    level: int


@message("Done")
class Done(msgspec.Struct, frozen=True):
    """Empty answer to a request that was carried out."""


@message("HeartbeatNotice")
class HeartbeatNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tell the leader that a member with an unchanged record is alive."""

    instance: str
    sequence: int
    started_ms: int = 0
