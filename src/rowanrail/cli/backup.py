"""``rowanrail backup`` and ``rowanrail restore``, to be run on a control node's machine."""

from pathlib import Path

import click

from rowanrail.cli.output import ExitCode, fail
from rowanrail.consensus.storage import Storage
from rowanrail.kernel.disk import FileDisk, ReadOnlyDisk
from rowanrail.kernel.errors import StorageError
from rowanrail.sql_control.backup import (
    RestoreOptions,
    decode_backup,
    encode_backup,
    make_backup,
    restore_backup,
)


@click.command()
@click.argument("folder", metavar="DIR", type=click.Path(exists=True, file_okay=False))
@click.argument("file", metavar="FILE")
def backup(folder: str, file: str) -> None:
    """Write the state of a control node's data folder to FILE, without changing the folder."""
    target = Path(file)
    if target.exists():
        fail([f"{file}: exists already; name a new file"], ExitCode.USAGE)
    try:
        made = make_backup(Storage(ReadOnlyDisk(Path(folder))))
        disk = FileDisk(target.absolute().parent)
        disk.replace(target.name, encode_backup(made))
    except StorageError as error:
        fail([str(error)])
    click.echo(f"{file}: version {made.version} of {made.cluster}, log index {made.index}")


@click.command()
@click.argument("file", metavar="FILE", type=click.Path(exists=True, dir_okay=False))
@click.argument("folder", metavar="DIR")
@click.option("--cluster", required=True, help="Name of the system, as in its settings.")
@click.option("--name", required=True, help="Name of the node that will own the folder.")
@click.option("--address", required=True, help="The node's `rpc_listen`, as in `nodes`.")
@click.option("--least-version", default=0, help="Highest version in force at any proxy.")
@click.option("--confirm", default="", help="The system's name again, as confirmation.")
def restore(
    file: str,
    folder: str,
    cluster: str,
    name: str,
    address: str,
    least_version: int,
    confirm: str,
) -> None:
    """Create the data folder of a one-node system from a backup.

    Use it only if the disks of a majority of the nodes are permanently lost. Changes accepted
    after the backup are lost, and no node of the old system may ever start again with its old
    folder.
    """
    if confirm != cluster:
        fail(
            [
                "this begins the system anew from the backup: all that was accepted after it is "
                "lost, and the old nodes' folders must never be used again. If the majority's "
                f"disks are gone for good, say so with --confirm {cluster}"
            ],
            ExitCode.USAGE,
        )
    try:
        made = decode_backup(Path(file).read_bytes())
        options = RestoreOptions(cluster, name, address, least_version)
        version = restore_backup(Storage(FileDisk(Path(folder))), made, options)
    except (StorageError, OSError) as error:
        fail([str(error)])
    click.echo(
        f"{folder}: version {version} of {cluster}. Start {name} without --bootstrap, then the "
        "other nodes with empty folders."
    )
