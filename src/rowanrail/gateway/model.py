"""Statements, answers and routes, as front ends and back-end drivers exchange them."""

import enum
from typing import Any

import msgspec

from rowanrail.proxy.backend import Position
from rowanrail.tenants.model import Tenants


class StatementKind(enum.Enum):
    """What a client's statement is."""

    BEGIN = "begin"
    BEGIN_READ = "begin-read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    CLOSE = "close"


class TypedStatement(msgspec.Struct, gc=False):
    """A client's statement with its kind; the text reaches the member untouched.

    :param request_id: the client's id of the statement.
    :param name: what SET, PREPARE, EXECUTE and CLOSE name.
    :param value: value of SET, shape of PREPARE, arguments of EXECUTE.
    :param writes: whether a PREPARE is for writes.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    value: str = ""
    writes: bool = False


class CommandKind(enum.Enum):
    """What the proxy asks of a member."""

    STATEMENT = "statement"
    BEGIN = "begin"
    BEGIN_READ = "begin-read"
    ROLLBACK = "rollback"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    RESET = "reset"
    STATUS = "status"
    PAUSE = "pause"
    RESUME = "resume"


class Command(msgspec.Struct, gc=False):
    """One command to a member.

    :param request_id: the client's id; empty for the proxy's own commands.
    :param text: the client's text (STATEMENT), or the arguments of the command.
    :param floor: position that the member's log must hold, else it refuses.
    """

    kind: CommandKind
    text: str = ""
    request_id: str = ""
    floor: Position | None = None


class Refusal(enum.Enum):
    """Why a statement did not succeed.

    Only members of :data:`NOT_RUN` promise that nothing of the attempt is kept.
    """

    BUSY = "busy"
    ABORTED = "aborted"
    BEHIND = "behind"
    NOT_PRIMARY = "not-primary"
    WRONG_MEMBER = "wrong-member"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    UNKNOWN_DATABASE = "unknown-database"
    DENIED = "denied"
    UNKNOWN_NAME = "unknown-name"
    INVALID = "invalid"
    TOO_LARGE = "too-large"
    FAILED = "failed"
    TIMEOUT = "timeout"
    OUTCOME_UNKNOWN = "outcome-unknown"
    LOST = "lost"


NOT_RUN = frozenset(
    {
        Refusal.BUSY,
        Refusal.ABORTED,
        Refusal.BEHIND,
        Refusal.NOT_PRIMARY,
        Refusal.WRONG_MEMBER,
        Refusal.TOO_MANY_CONNECTIONS,
        Refusal.UNKNOWN_NAME,
    }
)


class SessionState(enum.Enum):
    """Whether a session is in a transaction."""

    IDLE = "idle"
    TRANSACTION = "transaction"
    FAILED = "failed"


class Answer(msgspec.Struct, gc=False):
    """The whole answer to one statement or command.

    :param rows: rows as the member gave them, undecoded.
    :param signature: the member's mark on a success; empty if the proxy answered itself.
    :param position: the member's log position after the statement.
    :param state: the connection's state after it, as the member says; None if it is lost.
    """

    rows: list[bytes] = []
    signature: bytes = b""
    refusal: Refusal | None = None
    message: str = ""
    position: Position | None = None
    state: SessionState | None = None


class Rejection(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Why a statement was turned away, for the log; times in whole milliseconds.

    Parameters
    ----------
    cause : str
        A :class:`rowanrail.scheduling.admission.Cause`.
    wait : int
        Forecast until it could have been sent.
    run : int
        Forecast from then to its answer.
    left : int
        Until its time was over.
    urgency : int
        Priority of its route, 0 for the most urgent.
    return_in : int
        Told to its client.
    """

    cause: str
    wait: int
    run: int
    left: int
    urgency: int
    return_in: int


class Trace(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What decided about a statement, for the log; ages in seconds.

    Parameters
    ----------
    stage : str
        How far it came.
    attempts : int
        At how many members, or neighbours, it was tried.
    sample_age : float or None
        Age of the newest proof of the primary's position.
    via : str
        The gateway whose connections it ran on, if that is another one.
    rejection : Rejection or None
        Why it was turned away, if it was.
    """

    service: str
    stage: str
    member: str = ""
    attempts: int = 0
    primary: str = ""
    primary_failing_for: float = 0.0
    sample_age: float | None = None
    via: str = ""
    rejection: Rejection | None = None


class Consistency(enum.Enum):
    """What a route's reads must see."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(msgspec.Struct, frozen=True):
    """How statements of one database run.

    :param timeout_seconds: bound of a statement.
    :param objective_seconds: latency that an operation should stay within.
    :param staleness_seconds: how old a sample of the primary's position may be.
    :param priority: 0 is the most urgent.
    :param takes_anybody: whether clients need no key.
    """

    name: str
    database: str
    service: str
    consistency: Consistency
    timeout_seconds: float
    objective_seconds: float
    staleness_seconds: float = 0.0
    priority: int = 1
    takes_anybody: bool = False


class ServiceSpec(msgspec.Struct, frozen=True):
    """A group of members as configured.

    :param connections: how many connections a member takes from all proxies together.
    :param acknowledging_replicas: replicas that must hold a commit before its acknowledgement.
    """

    name: str
    connections: int
    acknowledging_replicas: int = 0


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """A numbered configuration in the product's own terms.

    :param idle_transaction_seconds: a transaction resting longer may be ended.
    :param tenants: whose keys are taken; None if clients need none.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, ServiceSpec]
    idle_transaction_seconds: float = 60.0
    maximum_statement_bytes: int = 1024 * 1024
    tenants: Tenants | None = None


class MemberRecord(msgspec.Struct, frozen=True):
    """A member as it announced itself.

    :param instance: identity of one life of the member.
    :param sequence: rises with each announcement; a lower one came late.
    :param cold_ms: for how much longer it was slow after its start when it was announced.
    """

    instance: str
    service: str
    address: str
    zone: str
    primary: bool
    leaving: bool
    slots: int
    sequence: int
    cold_ms: int = 0


class PrimaryHealth(msgspec.Struct, frozen=True, array_like=True):
    """What a proxy sees of a service's primary; ages in whole milliseconds.

    :param proved_ago_ms: since the last proof that it leads; -1 if there was none.
    :param failing_for_ms: how long all attempts have failed; 0 if the last one succeeded.
    """

    service: str
    instance: str
    proved_ago_ms: int
    failing_for_ms: int


class ConfigurationFormat:
    """Port: how a document of the operator becomes a :class:`RoutingConfiguration`.

    Implementations register as plug-ins of kind ``configuration-format``.
    """

    def parse(self, document: bytes) -> Any:
        """Return a ``returns`` result: the configuration, or the list of all problems."""
        raise NotImplementedError
