"""What a session set, and how a connection gets exactly that.

For sessions, the kinds of work, and statements that are sent to other gateways. Owns a session's
values, prepared names and floors. Relies on a channel to know what is set and prepared on it.
"""

from rowanrail.members.channel import Channel
from rowanrail.model.position import Position
from rowanrail.model.statements import Command, CommandKind, StatementKind, TypedStatement
from rowanrail.tenants.model import ClientIdentity


class SessionContext:
    """What a session set: values and prepared names, which stand until it ends.

    Its identity says on whose connections its statements run. ``rejections`` says how many times
    running its client was rejected before what it runs now, and retries when it was told to;
    ``is_retrying`` whether it goes before new arrivals for that.
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
    """Names under which the proxy prepares shapes at members; one for each shape."""

    def __init__(self) -> None:
        self._names: dict[tuple[bool, str], str] = {}

    def name(self, shape: tuple[bool, str]) -> str:
        """Return the proxy's own name of a shape."""
        return self._names.setdefault(shape, f"p{len(self._names) + 1}")


def replay_session(channel: Channel, session: SessionContext) -> list[Command]:
    """Return the commands that give a connection exactly the session's values."""
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
    """Return the commands for values that the session set since its transaction began."""
    commands = []
    for name, value in session.values.items():
        if channel.session_values.get(name) != value:
            commands.append(Command(CommandKind.SET, f"{name} {value}"))
            channel.session_values[name] = value
    return commands


def is_write(statement: TypedStatement, session: SessionContext) -> bool:
    """Return whether a statement writes; an EXECUTE does as it was prepared."""
    if statement.kind is StatementKind.EXECUTE:
        return session.prepared[statement.name][0]
    return statement.kind is StatementKind.WRITE
