"""Backup and restore of a control node's data folder.

A restored folder starts a new system of one node, which the other nodes join with empty folders.
Restoring is meant for a permanent loss of the majority's disks, which only an operator can
establish; the command therefore requires a confirmation.
"""

import secrets

import msgspec

from rowanrail.config.model import VersionedConfiguration
from rowanrail.consensus.messages import EntryKind, HardState, Membership, Snapshot
from rowanrail.consensus.storage import Identity, Storage, decode_checksummed, encode_checksummed
from rowanrail.kernel.errors import StorageError
from rowanrail.sql_control.policies import ExpectedVersion
from rowanrail.sql_control.state import ConfigurationState

BACKUP_FORMAT = 1  # version of the file format; others are rejected
NODE_ID_RANDOM_BYTES = 6  # in the id of a restored node


class Backup(msgspec.Struct, frozen=True):
    """Contents of a backup file.

    :param term: term of the node's hard state.
    :param index: index of the last log entry in ``state``.
    :param version: configuration version in ``state``.
    :param state: encoded snapshot of the state machine.
    """

    cluster: str
    node: str
    term: int
    index: int
    version: int
    state: bytes
    format: int = BACKUP_FORMAT


def make_backup(storage: Storage) -> Backup:
    """Return a backup of a data folder.

    It contains all entries of the folder's log, committed or not. It may thus contain a change
    whose outcome was never reported.

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
    """Return the contents of a backup file, with a checksum."""
    return encode_checksummed(msgspec.msgpack.encode(backup))


def decode_backup(data: bytes) -> Backup:
    """Return the backup that a file contains.

    :raises StorageError: if the file is damaged or has another format.
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
    """Node for which a folder is restored.

    :param least_version: highest version that any proxy has in force. Proxies accept only newer
        versions, so the restored configuration gets a version above it.
    """

    cluster: str
    name: str
    address: str
    least_version: int = 0


def restore_backup(storage: Storage, backup: Backup, options: RestoreOptions) -> int:
    """Create a data folder from a backup and return the configuration's version.

    :raises StorageError: if the folder is not empty, or the backup belongs to another system.
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
