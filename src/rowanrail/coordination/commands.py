"""Commands of the replicated log; each control node applies them in log order."""

import msgspec
from msgspec import UNSET, UnsetType

from rowanrail.coordination.orphaned_logs import OrphanedLog
from rowanrail.directory.messages import GatewayRecord
from rowanrail.model.members import MemberRecord
from rowanrail.scheduling.plan import ShardPlan


class PutDocument(msgspec.Struct, frozen=True, tag="document"):
    """Store a configuration under the operator's version; ``document`` is compressed (zlib)."""

    version: int
    document: bytes


class Announce(msgspec.Struct, frozen=True, tag="announce"):
    """Add a member, or update its record."""

    record: MemberRecord


class Remove(msgspec.Struct, frozen=True, tag="remove"):
    """Remove a member that announced its end.

    Parameters
    ----------
    start_ms : int or UnsetType
        Start of the life that ended, in Unix milliseconds; not encoded if it is unknown.
    """

    instance: str
    start_ms: int | UnsetType = UNSET


class Readmit(msgspec.Struct, frozen=True, tag="readmit"):
    """Return its address to a displaced member, since the one that displaced it is silent."""

    record: MemberRecord


class SetGateways(msgspec.Struct, frozen=True, tag="gateways"):
    """Add or update the gateways in ``present``, and remove those named in ``absent``."""

    present: list[GatewayRecord]
    absent: list[str]


class IntendPromotion(msgspec.Struct, frozen=True, tag="promotion"):
    """Record that the leader is about to promote a member.

    The entry's log index is the fencing token of the promotion: it increases across leaders.

    Parameters
    ----------
    former : str or UnsetType
        The primary that is about to be demoted for it; not encoded in a failover.
    """

    service: str
    instance: str
    reason: str
    former: str | UnsetType = UNSET


class SetPlan(msgspec.Struct, frozen=True, tag="plan"):
    """Replace the plan of connection holders, if the plan ``base`` is still in force.

    The entry's log index becomes the plan's number.
    """

    base: int
    groups: dict[str, dict[str, ShardPlan]]
    addresses: dict[str, str]


class SetEvacuation(msgspec.Struct, frozen=True, tag="evacuation"):
    """Evacuate a zone, or end its evacuation.

    Parameters
    ----------
    at_ms : int
        Unix milliseconds of the leader's clock when it proposed the command.
    """

    zone: str
    is_evacuated: bool
    at_ms: int


class RaiseFeatureLevel(msgspec.Struct, frozen=True, tag="features"):
    """Allow commands of a feature level; all control nodes have said that they know them."""

    level: int


class ReplaceLife(msgspec.Struct, frozen=True, tag="life"):
    """Replace a member's silent life by one with an earlier start time that announces itself."""

    record: MemberRecord


class ForgetLogs(msgspec.Struct, frozen=True, tag="forget-logs"):
    """Forget logs of members that are gone, as nothing depends on them any more."""

    logs: list[OrphanedLog]


class SettleOrders(msgspec.Struct, frozen=True, tag="settle-orders"):
    """Record that no promotion of a service up to a fencing token can take effect any more."""

    service: str
    token: int


Command = (
    PutDocument
    | Announce
    | Remove
    | Readmit
    | SetGateways
    | IntendPromotion
    | SetPlan
    | SetEvacuation
    | RaiseFeatureLevel
    | ReplaceLife
    | ForgetLogs
    | SettleOrders
)


class Promotion(msgspec.Struct, frozen=True):
    """The last promotion of a service in the log, with its fencing token.

    Parameters
    ----------
    former : str or UnsetType
        The primary that was about to be demoted for it; not encoded in a failover.
    """

    instance: str
    token: int
    former: str | UnsetType = UNSET
