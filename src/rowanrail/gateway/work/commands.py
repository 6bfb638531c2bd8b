"""The commands that a statement becomes on a member's connection.

For the kinds of work. Owns nothing; a connection knows what is prepared on it, the session what its
names stand for. Relies on a connection that has the session's values already, see
:class:`rowanrail.gateway.policies.StateReplay`.
"""

from rowanrail.gateway.session_context import PreparedStatementNames, SessionContext
from rowanrail.members.channel import Channel
from rowanrail.model.position import Position
from rowanrail.model.statements import Command, CommandKind, StatementKind, TypedStatement

__all__ = ["commands_for"]


def commands_for(
    statement: TypedStatement,
    floor: Position | None,
    channel: Channel,
    session: SessionContext,
    names: PreparedStatementNames,
) -> list[Command]:
    """Return the commands for a read or write, the statement's own last.

    A shape that the connection does not know is prepared on it first, under the gateway's own name.

    Parameters
    ----------
    floor : Position or None
        What the member's log must hold for a read.
    channel : Channel
        The connection; it is noted there what will be prepared.
    """
    if statement.kind is not StatementKind.EXECUTE:
        return [Command(CommandKind.STATEMENT, statement.text, statement.request_id, floor)]
    shape = session.prepared[statement.name]
    name = names.name(shape)
    commands = []
    if name not in channel.prepared:
        mode = "WRITE" if shape[0] else "READ"
        commands.append(Command(CommandKind.PREPARE, f"{name} {mode} {shape[1]}"))
        channel.prepared.add(name)
    text = f"{name} {statement.value}" if statement.value else name
    commands.append(Command(CommandKind.EXECUTE, text, statement.request_id, floor))
    return commands
