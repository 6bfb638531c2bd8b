"""The messages between gateways, checked where they are decoded.

Times are milliseconds. A connection carries messages both ways; ``call`` matches a reply to
what was asked, and is unique on its connection. Messages are sent as arrays behind a number:
classes and fields may be renamed, their order and numbers may not change.

Owns the forms. Relies on ``model`` for positions and refusals, on ``scheduling`` and ``tenants``
for the reports that travel along.
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
    "SampleRequest",
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
        The statement that an EXECUTE's name was prepared for; ``writes`` says whether it writes.
    values : dict
        All values that the session has set.
    floor : Position or None
        The session's own last commit.
    is_detour : bool
        Whether the sender does not reach the primary; the statement may be sent no further.
    begins : bool
        Whether it is the first statement of its transaction.
    tenant : str
        On whose connection it runs.
    key : bytes
        Digest of the client's key; empty if the route takes anybody.
    database : str
        What the client named, by which its key is checked.
    version : int
        Of the configuration by which the sender took the key.
    returned : bool
        Whether it goes before new arrivals, since its client was rejected more than once.
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


class Rollback(msgspec.Struct, tag=2, array_like=True, frozen=True, gc=False):
    """Roll a transaction back, if it is still open."""

    transaction: int


class Cancel(msgspec.Struct, tag=3, array_like=True, frozen=True, gc=False):
    """Forget a call: its answer is no longer wanted."""

    call: int


class Ping(msgspec.Struct, tag=4, array_like=True, frozen=True, gc=False):
    """Answer at once, to show that the connection and the gateway are alive."""


class SampleRequest(msgspec.Struct, tag=5, array_like=True, frozen=True, gc=False):
    """Have a service's primary prove its position after this question was sent."""

    call: int
    service: str


class DemandReport(msgspec.Struct, tag=6, array_like=True, frozen=True, gc=False):
    """What runs for clients, by tenant.

    Parameters
    ----------
    sender : str
        Name of one life of the gateway, or of the region if ``is_region``.
    is_forwarded : bool
        Whether it comes from a gateway of the same region that is not the meter itself.
    """

    call: int
    sender: str
    report: DemandSummary
    is_region: bool = False
    is_forwarded: bool = False


class Reply(msgspec.Struct, tag=11, array_like=True, frozen=True, gc=False):
    """The whole answer to a statement.

    Parameters
    ----------
    floor : Position or None
        The session's own last commit after it.
    trace : Trace
        How the answer came about, for the log of the client's gateway.
    load : ServiceLoad or None
        Of the service at the holder; None if there is room for all.
    doubts : dict of str to int
        Members that lost weight by what the holder's own statements met, and how much is left to
        them in hundredths; empty while all are well.
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
    """The call was not run at all, and can't be here."""

    call: int
    reason: str


class Leaving(msgspec.Struct, tag=13, array_like=True, frozen=True, gc=False):
    """The sender is stopping: what is open goes on for a while, anything new is not served."""


class Pong(msgspec.Struct, tag=14, array_like=True, frozen=True, gc=False):
    """The answer to a ping."""


class SampleReply(msgspec.Struct, tag=15, array_like=True, frozen=True, gc=False):
    """The member that led after the question was asked, and its position."""

    call: int
    instance: str
    position: Position


class DemandTotals(msgspec.Struct, tag=16, array_like=True, frozen=True, gc=False):
    """What clients of the whole fleet asked for, of the tenants that the report named."""

    call: int
    fleet: DemandSummary


FromGateway = RunStatement | Rollback | Cancel | Ping | SampleRequest | DemandReport
FromHolder = Reply | NotServed | Leaving | Pong | SampleReply | DemandTotals
