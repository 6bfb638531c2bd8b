"""``rowanrail inspect``: a control node's data folder, the load of the fleet, promotion orders.

The folder is opened read-only.
"""

from pathlib import Path

import click
import msgspec

from rowanrail.cli.inspect_load import inspect_load
from rowanrail.cli.inspect_orders import inspect_orders
from rowanrail.cli.output import ExitCode, OutputFormat, fail, format_table, show
from rowanrail.consensus.storage import Storage
from rowanrail.kernel.disk import ReadOnlyDisk
from rowanrail.kernel.errors import StorageError
from rowanrail.sql_control.policies import ExpectedVersion
from rowanrail.sql_control.state import ConfigurationState


class FolderView(msgspec.Struct):
    """Contents of a data folder, as printed."""

    cluster: str
    node: str
    term: int
    vote: str
    snapshot_index: int
    last_index: int
    snapshot_version: int
    voters: list[str]
    learners: list[str]
    unsynced_tail_bytes: int


def read_folder(folder: Path) -> FolderView:
    """Return the contents of a data folder, without changing it.

    :raises StorageError: if it is empty or damaged.
    """
    storage = Storage(ReadOnlyDisk(folder))
    identity = storage.load_identity()
    if identity is None:
        raise StorageError("the folder is empty", step="inspect", peer=str(folder))
    hard_state, log = storage.load()
    state = ConfigurationState(ExpectedVersion())
    if log.snapshot is not None:
        state.restore(log.snapshot.data)
    return FolderView(
        cluster=identity.cluster,
        node=identity.node,
        term=hard_state.term,
        vote=hard_state.vote,
        snapshot_index=log.snapshot_index,
        last_index=log.last_index,
        snapshot_version=state.current.version,
        voters=sorted(log.membership.voters),
        learners=sorted(log.membership.learners),
        unsynced_tail_bytes=storage.truncated_bytes,
    )


class _DefaultToFolder(click.Group):
    """A command group that treats an unknown first argument as the folder to inspect."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Return the command named by the first argument, or else the one for folders."""
        if args and args[0] not in self.commands:
            args = [inspect_folder.name or "", *args]
        return super().resolve_command(ctx, args)


@click.command("folder")
@click.argument("folder", metavar="DIR")
@click.option("--output", type=click.Choice([item.value for item in OutputFormat]), default="table")
def inspect_folder(folder: str, output: str) -> None:
    """Show the contents of a control node's data folder. The node should be stopped."""
    if not Path(folder).is_dir():
        fail([f"{folder}: no such folder"], ExitCode.USAGE)
    try:
        view = read_folder(Path(folder))
    except StorageError as error:
        fail([str(error)])
    rows = [(name, str(value)) for name, value in msgspec.to_builtins(view).items()]
    show(OutputFormat(output), view, format_table(("FIELD", "VALUE"), rows))


@click.group(cls=_DefaultToFolder, commands=[inspect_folder, inspect_load, inspect_orders])
def inspect() -> None:
    """Show a control node's data folder (DIR or `folder DIR`), or the fleet's load (`load`).

    `orders` shows promotion orders without a known outcome, and paused replicas.
    """
