"""Commands in the log of the control nodes; each node applies them in the order of the log."""

import msgspec

from rowanrail.directory.messages import GatewayRecord
from rowanrail.model.members import MemberRecord
from rowanrail.scheduling.plan import ShardPlan


class PutDocument(msgspec.Struct, frozen=True, tag="document"):
    """A configuration under the operator's own version; ``document`` is compressed (zlib)."""

    version: int
    document: bytes


class Announce(msgspec.Struct, frozen=True, tag="announce"):
    """A member came, or changed something that others must know."""

    record: MemberRecord


class Remove(msgspec.Struct, frozen=True, tag="remove"):
    """A member has ended, as it announced itself."""

    instance: str


class Readmit(msgspec.Struct, frozen=True, tag="readmit"):
    """A displaced member gets its address back: the one that displaced it is silent."""

    record: MemberRecord


class SetGateways(msgspec.Struct, frozen=True, tag="gateways"):
    """Gateways that came or moved, and the names of those that are gone."""

    present: list[GatewayRecord]
    absent: list[str]


class IntendPromotion(msgspec.Struct, frozen=True, tag="promotion"):
    """The holder of the failover duty is about to promote a member.

    The entry's place in the log is the order's fencing token: it only grows, whichever node leads.
    """

    service: str
    instance: str
    reason: str


class SetPlan(msgspec.Struct, frozen=True, tag="plan"):
    """Holders of services' connections, in place of the plan ``base`` if that is still in force.

    The entry's place in the log is the number of the plan.
    """

    base: int
    groups: dict[str, dict[str, ShardPlan]]
    addresses: dict[str, str]


Command = PutDocument | Announce | Remove | Readmit | SetGateways | IntendPromotion | SetPlan


class Promotion(msgspec.Struct, frozen=True):
    """The last promotion of a service that was decided."""

    instance: str
    token: int
