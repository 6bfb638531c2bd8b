"""State of a session, and the commands that give a connection the same state.

Used by sessions, statement execution and forwarding. A channel knows which values and prepared
statements it has.
"""

from rowanrail.members.channel import Channel
from rowanrail.model.position import Position
from rowanrail.model.statements import Command, CommandKind, StatementKind, TypedStatement
from rowanrail.tenants.model import ClientIdentity


class SessionContext:
    """Values, prepared statements and identity of a session.

    Attributes
    ----------
    identity : ClientIdentity
        Tenant and key, which select the connections for its statements.
    values : dict of str to str
        Session variables.
    prepared : dict of str to tuple of bool and str
        Whether a prepared statement writes, and its text, by name.
    floors : dict of str to Position
        Position that reads must see, by service.
    rejections : int
        Number of consecutive rejections of the client, which retries when it was told to.
    is_retrying : bool
        Whether its statement has priority over new arrivals because of these rejections.
    """

    __slots__ = ("floors", "identity", "is_retrying", "prepared", "rejections", "values")

    def __init__(self, identity: ClientIdentity = ClientIdentity()) -> None:  # noqa: B008 - it is frozen
        self.identity = identity
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[bool, str]] = {}
        self.floors: dict[str, Position] = {}
        self.is_retrying = False
        self.rejections = 0


class PreparedStatementNames:
    """Names of the statements that the proxy prepares at members, one for each shape.

    A shape is whether a statement writes, and its text.
    """

    def __init__(self) -> None:
        self._names: dict[tuple[bool, str], str] = {}

    def name(self, shape: tuple[bool, str]) -> str:
        """Return the proxy's name of a shape."""
        return self._names.setdefault(shape, f"p{len(self._names) + 1}")


def replay_session(channel: Channel, session: SessionContext) -> list[Command]:
    """Return the commands that set exactly the session's values on a connection."""
    commands: list[Command] = []
    wanted = session.values
    if channel.session_state_unknown or any(name not in wanted for name in channel.session_values):
        commands.append(Command(CommandKind.RESET))
        channel.session_values = {}
        channel.prepared = set()
        channel.session_state_unknown = False
    for name, value in wanted.items():
        if channel.session_values.get(name) != value:
            commands.append(Command(CommandKind.SET, f"{name} {value}"))
            channel.session_values[name] = value
    return commands


def replay_new_values(channel: Channel, session: SessionContext) -> list[Command]:
    """Return the commands for values set since the session's transaction began."""
    commands = []
    for name, value in session.values.items():
        if channel.session_values.get(name) != value:
            commands.append(Command(CommandKind.SET, f"{name} {value}"))
            channel.session_values[name] = value
    return commands


def is_write(statement: TypedStatement, session: SessionContext) -> bool:
    """Return whether a statement writes; an EXECUTE writes if its statement was so prepared."""
    if statement.kind is StatementKind.EXECUTE:
        return session.prepared[statement.name][0]
    return statement.kind is StatementKind.WRITE
