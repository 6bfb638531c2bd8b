"""Backups of a control node's folder, and new folders made of them.

A restored folder is a new system of one node. That is the way back after the majority's
disks are gone for good: only an operator can know that they are, so it takes a confirmation.
The other nodes then join with empty folders.
"""

import secrets

import msgspec

from rowanrail.config.model import VersionedConfiguration
from rowanrail.consensus.messages import EntryKind, HardState, Membership, Snapshot
from rowanrail.consensus.storage import Identity, Storage, decode_checksummed, encode_checksummed
from rowanrail.kernel.errors import StorageError
from rowanrail.sql_control.policies import ExpectedVersion
from rowanrail.sql_control.state import ConfigurationState

BACKUP_FORMAT = 1  # of the file; another one is refused
NODE_ID_RANDOM_BYTES = 6  # random ones in the id of a restored node; chosen


class Backup(msgspec.Struct, frozen=True):
    """Contents of a backup file, sealed with a checksum.

    :param version: newest configuration version in it.
    """

    cluster: str
    node: str
    term: int
    index: int
    version: int
    state: bytes
    format: int = BACKUP_FORMAT


def make_backup(storage: Storage) -> Backup:
    """Return a backup of a folder.

    It holds all entries of the folder's log, also those of which no majority is known: a
    change whose outcome nobody has learned may be in it.

    :raises StorageError: if the folder is empty or damaged.
    """
    identity = storage.load_identity()
    if identity is None:
        raise StorageError("the folder is empty", step="backup")
    hard_state, log = storage.load()
    state = ConfigurationState(ExpectedVersion())
    if log.snapshot is not None:
        state.restore(log.snapshot.data)
    for entry in log.entries_between(log.snapshot_index + 1, log.last_index):
        if entry.kind is EntryKind.COMMAND:
            state.apply(entry)
    return Backup(
        cluster=identity.cluster,
        node=identity.node,
        term=hard_state.term,
        index=log.last_index,
        version=state.current.version,
        state=state.snapshot(),
    )


def encode_backup(backup: Backup) -> bytes:
    """Return the bytes of a backup file."""
    return encode_checksummed(msgspec.msgpack.encode(backup))


def decode_backup(data: bytes) -> Backup:
    """Return the backup in a file.

    :raises StorageError: if it is damaged or of another format.
    """
    payload = decode_checksummed(data, 0)
    if payload is None:
        raise StorageError("the backup's checksum does not match; use another one", step="restore")
    try:
        backup = msgspec.msgpack.decode(payload, type=Backup)
    except msgspec.MsgspecError as error:
        raise StorageError(f"not a backup ({error})", step="restore") from error
    if backup.format != BACKUP_FORMAT:
        raise StorageError(f"backup format {backup.format} is unknown", step="restore")
    return backup


class RestoreOptions(msgspec.Struct, frozen=True):
    """Which node a folder is made for.

    :param least_version: the highest version that any proxy has in force. Proxies never go
        back: what is restored gets a version above it, so that they take it.
    """

    cluster: str
    name: str
    address: str
    least_version: int = 0


def restore_backup(storage: Storage, backup: Backup, options: RestoreOptions) -> int:
    """Make a new folder of a backup and return the configuration's version.

    :raises StorageError: if the folder is not empty, or the backup is another system's.
    """
    if backup.cluster != options.cluster:
        raise StorageError(
            f"the backup belongs to {backup.cluster!r}, not to {options.cluster!r}",
            step="restore",
        )
    if storage.disk.list():
        raise StorageError("the folder is not empty; name an empty one", step="restore")
    state = ConfigurationState(ExpectedVersion())
    state.restore(backup.state)
    if options.least_version >= state.current.version:
        current = state.current
        state.current = VersionedConfiguration(
            options.least_version + 1, current.configuration, current.drained
        )
    node = f"{options.name}@{secrets.token_hex(NODE_ID_RANDOM_BYTES)}"
    membership = Membership(voters={node: options.address})
    snapshot = Snapshot(backup.index, backup.term, membership, state.snapshot())
    storage.create(Identity(options.cluster, node), snapshot)
    storage.save_hard_state(HardState(backup.term))
    return state.current.version
