"""Messages between gateways; decoding validates them.

Times are in milliseconds. A connection carries messages both ways; ``call`` matches a reply to its
request and is unique on the connection. Messages are encoded as arrays with a numeric tag: classes
and fields may be renamed, but the order of fields and the tags must not change.

Owns the message types. Relies on ``model`` for positions and refusals, on ``scheduling`` and
``tenants`` for the loads and demand reports that messages contain.
"""

import msgspec

from rowanrail.model.position import Position
from rowanrail.model.routing import Consistency
from rowanrail.model.statements import Refusal, StatementKind
from rowanrail.model.trace import Trace
from rowanrail.scheduling.load import ServiceLoad
from rowanrail.tenants.demand import DemandSummary

__all__ = [
    "Cancel",
    "DemandReport",
    "DemandTotals",
    "FromGateway",
    "FromHolder",
    "Leaving",
    "NotServed",
    "Ping",
    "Pong",
    "Reply",
    "Rollback",
    "RunStatement",
    "SampleReply",
    "SampleRequest",
]


class RunStatement(msgspec.Struct, tag=1, array_like=True, frozen=True, gc=False):
    """Run a client's statement, alone or in a transaction.

    Parameters
    ----------
    transaction : int
        The transaction it belongs to, unique on its connection; 0 for a single statement.
    read_only : bool
        Whether the transaction only reads.
    shape : str
        For EXECUTE, the statement that was prepared under the name.
    writes : bool
        Whether the statement, or the one that EXECUTE names, writes.
    values : dict
        All values that the session has set.
    floor : Position or None
        Position of the session's last commit.
    is_detour : bool
        Whether the sender can't run it itself, as it does not reach the primary or has few
        connections to a member of another region; the receiver must not forward it.
    begins : bool
        Whether it is the first statement of its transaction.
    tenant : str
        The client's tenant, on whose connection it runs.
    key : bytes
        Digest of the client's key; empty if the route takes anybody.
    database : str
        The name that the client connected to, for which its key is checked.
    version : int
        Version of the configuration by which the sender accepted the key.
    is_retry : bool
        Whether it goes before new arrivals, since its client was rejected more than once.
    regions : list of str or None
        Regions in which it may run, by the configuration of ``version``; None for any. The receiver
        also applies its own configuration if that is not older, or if there are none.
    """

    call: int
    transaction: int
    read_only: bool
    service: str
    route: str
    consistency: Consistency
    timeout: float
    objective: float
    staleness: float
    priority: int
    request_id: str
    kind: StatementKind
    text: str
    name: str
    value: str
    writes: bool
    shape: str
    values: dict[str, str]
    floor: Position | None
    is_detour: bool = False
    begins: bool = True
    tenant: str = ""
    key: bytes = b""
    database: str = ""
    version: int = 0
    is_retry: bool = False
    regions: list[str] | None = None


class Rollback(msgspec.Struct, tag=2, array_like=True, frozen=True, gc=False):
    """Roll a transaction back, if it is still open."""

    transaction: int


class Cancel(msgspec.Struct, tag=3, array_like=True, frozen=True, gc=False):
    """Cancel a call whose answer is no longer wanted."""

    call: int


class Ping(msgspec.Struct, tag=4, array_like=True, frozen=True, gc=False):
    """Ask for a :class:`Pong`, to check that the connection and the gateway are alive."""


class SampleRequest(msgspec.Struct, tag=5, array_like=True, frozen=True, gc=False):
    """Ask for a sample of a service's primary that is taken after this request."""

    call: int
    service: str


class DemandReport(msgspec.Struct, tag=6, array_like=True, frozen=True, gc=False):
    """A gateway's or a region's demand by tenant.

    Parameters
    ----------
    sender : str
        The gateway's incarnation (its name and a random suffix), or the region if ``is_region``.
    is_forwarded : bool
        Whether a gateway that is not the region's aggregator has forwarded it.
    """

    call: int
    sender: str
    report: DemandSummary
    is_region: bool = False
    is_forwarded: bool = False


class Reply(msgspec.Struct, tag=11, array_like=True, frozen=True, gc=False):
    """The complete answer to a statement.

    Parameters
    ----------
    floor : Position or None
        Position of the session's last commit, after the statement.
    trace : Trace
        How the statement ran, for the log of the client's gateway.
    load : ServiceLoad or None
        Load of the service at the holder; None if nothing has to wait.
    doubts : dict of str to int
        Members whose weight the holder has reduced after errors of its own statements, with the
        remaining weight in hundredths; empty if there are none.
    """

    call: int
    rows: list[bytes]
    signature: bytes
    refusal: Refusal | None
    message: str
    position: Position | None
    floor: Position | None
    trace: Trace
    load: ServiceLoad | None = None
    doubts: dict[str, int] = {}


class NotServed(msgspec.Struct, tag=12, array_like=True, frozen=True, gc=False):
    """Answer of a gateway that does not serve a call; the call did not run and will not."""

    call: int
    reason: str


class Leaving(msgspec.Struct, tag=13, array_like=True, frozen=True, gc=False):
    """The sender is stopping: it serves no new work; open transactions continue for a while."""


class Pong(msgspec.Struct, tag=14, array_like=True, frozen=True, gc=False):
    """Answer to a :class:`Ping`."""


class SampleReply(msgspec.Struct, tag=15, array_like=True, frozen=True, gc=False):
    """The member that was primary after the request was sent, and its position."""

    call: int
    instance: str
    position: Position


class DemandTotals(msgspec.Struct, tag=16, array_like=True, frozen=True, gc=False):
    """Demand of the whole fleet, for the tenants that the report named."""

    call: int
    fleet: DemandSummary


FromGateway = RunStatement | Rollback | Cancel | Ping | SampleRequest | DemandReport
FromHolder = Reply | NotServed | Leaving | Pong | SampleReply | DemandTotals
