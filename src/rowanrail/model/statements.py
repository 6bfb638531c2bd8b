"""Statements, commands to members and answers, as front ends and drivers exchange them.

Also defines :data:`NO_EFFECT_REFUSALS`: the refusals which guarantee that nothing of the attempt
takes effect. Depends on :mod:`position`.
"""

import enum

import msgspec

from rowanrail.model.position import Position


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

    Parameters
    ----------
    request_id : str
        The client's id of the statement.
    name : str
        What SET, PREPARE, EXECUTE and CLOSE name.
    value : str
        Value of SET, the statement of PREPARE, arguments of EXECUTE.
    writes : bool
        Whether a PREPARE is for writes.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    value: str = ""
    writes: bool = False


class CommandKind(enum.Enum):
    """What is asked of a member."""

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

    Parameters
    ----------
    text : str
        The client's text (STATEMENT), or the arguments of the command.
    request_id : str
        The client's id; empty for the gateway's own commands.
    floor : Position or None
        Position that the member's log must hold, else it refuses.
    """

    kind: CommandKind
    text: str = ""
    request_id: str = ""
    floor: Position | None = None


class Refusal(enum.Enum):
    """Why a statement did not succeed.

    Only members of :data:`NO_EFFECT_REFUSALS` promise that nothing of the attempt is kept.
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


NO_EFFECT_REFUSALS = frozenset(
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

    Parameters
    ----------
    rows : list of bytes
        Rows as the member gave them, undecoded.
    signature : bytes
        The member's mark on a success; empty if the gateway answered itself.
    refusal : Refusal or None
        Why it did not succeed; None on a success.
    message : str
        What goes with a refusal.
    position : Position or None
        The member's log position after the statement.
    state : SessionState or None
        The connection's state after it, as the member says; None if it is lost.
    """

    rows: list[bytes] = []
    signature: bytes = b""
    refusal: Refusal | None = None
    message: str = ""
    position: Position | None = None
    state: SessionState | None = None
