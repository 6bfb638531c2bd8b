"""Translation of a client's statement to commands on a member's connection.

The connection must have the session's values already, see
:class:`rowanrail.gateway.policies.StateReplay`.
"""

from rowanrail.gateway.session_context import PreparedStatementNames, SessionContext
from rowanrail.members.channel import Channel
from rowanrail.model.position import Position
from rowanrail.model.statements import Command, CommandKind, StatementKind, TypedStatement

__all__ = ["commands_for", "forget_unsent"]


def commands_for(
    statement: TypedStatement,
    floor: Position | None,
    channel: Channel,
    session: SessionContext,
    names: PreparedStatementNames,
) -> list[Command]:
    """Return the commands for a read or write; the statement's own command is the last one.

    A prepared statement that the connection doesn't have yet is prepared first, under a name of the
    gateway.

    Parameters
    ----------
    statement : TypedStatement
        The client's statement.
    floor : Position or None
        Log position that the member must have reached to run a read.
    channel : Channel
        The connection; its set of prepared names is updated.
    session : SessionContext
        Session whose prepared statements are resolved.
    names : PreparedStatementNames
        The gateway's names of prepared statements.
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


def forget_unsent(channel: Channel, commands: list[Command]) -> None:
    """Take back what the preparation of commands that were not sent recorded for a connection.

    The session's values on the connection then count as unknown, so that they are reset before its
    next use.
    """
    for command in commands:
        match command.kind:
            case CommandKind.SET:
                channel.session_values.pop(command.text.partition(" ")[0], None)
                channel.session_state_unknown = True
            case CommandKind.RESET:
                channel.session_state_unknown = True
            case CommandKind.PREPARE:
                channel.prepared.discard(command.text.partition(" ")[0])
