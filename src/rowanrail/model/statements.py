"""Statements, commands to members, and answers, exchanged by front ends and drivers.

Also defines :data:`NO_EFFECT_REFUSALS`: the refusals which guarantee that nothing of the attempt
takes effect. Depends on :mod:`position`.
"""

import enum

import msgspec

from rowanrail.model.position import Position


class StatementKind(enum.Enum):
    """Kind of a client's statement."""

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
    """A client's statement with its kind; the text is passed to the member unchanged.

    Parameters
    ----------
    request_id : str
        Id that the client gave the statement.
    name : str
        Name in SET, PREPARE, EXECUTE and CLOSE.
    value : str
        Value of SET, statement of PREPARE, arguments of EXECUTE.
    writes : bool
        Whether the statement of a PREPARE writes.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    value: str = ""
    writes: bool = False


class CommandKind(enum.Enum):
    """Kind of a command to a member."""

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
    DEMOTE = "demote"


class Command(msgspec.Struct, gc=False):
    """A command to a member.

    Parameters
    ----------
    text : str
        The client's text (STATEMENT), or the arguments of the command.
    request_id : str
        Id from the client; empty for the gateway's own commands.
    floor : Position or None
        Position that the member must have in its log; otherwise it refuses.
    """

    kind: CommandKind
    text: str = ""
    request_id: str = ""
    floor: Position | None = None


class Refusal(enum.Enum):
    """Reason why a statement did not succeed.

    Only :data:`NO_EFFECT_REFUSALS` guarantee that the attempt has no effect.
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
    """Transaction state of a session."""

    IDLE = "idle"
    TRANSACTION = "transaction"
    FAILED = "failed"


class Answer(msgspec.Struct, gc=False):
    """The answer to one statement or command.

    Parameters
    ----------
    rows : list of bytes
        Rows from the member, not decoded.
    signature : bytes
        The member's signature of a success; empty if the gateway itself answered.
    refusal : Refusal or None
        Reason of a failure; None on a success.
    message : str
        Explanation of a refusal.
    position : Position or None
        The member's log position after the statement.
    state : SessionState or None
        State of the connection, reported by the member; None if the connection is lost.
    """

    rows: list[bytes] = []
    signature: bytes = b""
    refusal: Refusal | None = None
    message: str = ""
    position: Position | None = None
    state: SessionState | None = None
