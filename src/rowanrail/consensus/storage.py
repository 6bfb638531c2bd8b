"""Durable state of a node: identity, hard state, snapshot and a segmented log.

A log record is a header (length and CRC-32C of the payload, each a little-endian 32-bit integer)
and a MessagePack payload. Each record holds the last index that was durable when it was written.
That distinguishes a torn tail, whose records were never synced and may be truncated, from damage to
durable records.
"""

import struct
from typing import TypeVar

import google_crc32c
import msgspec

from rowanrail.consensus.log import Log
from rowanrail.consensus.messages import Entry, HardState, Snapshot
from rowanrail.kernel.disk import Disk
from rowanrail.kernel.errors import StorageError

SEGMENT_BYTES = 1024 * 1024  # size from which a new log file is started; small beside a 128 MB disk
IDENTITY_FILE = "identity"
HARD_STATE_FILE = "hard-state"
SNAPSHOT_FILE = "snapshot"
SEGMENT_PREFIX = "log-"
_HEADER = struct.Struct("<II")

LoadedType = TypeVar("LoadedType")


class Identity(msgspec.Struct, frozen=True):
    """Cluster and node that own the data folder."""

    cluster: str
    node: str
    format: int = 1


class LogRecord(msgspec.Struct, array_like=True, frozen=True):
    """Payload of a log record: an entry and the last index durable when it was written."""

    durable_index: int
    entry: Entry


class RecordLocation(msgspec.Struct, frozen=True):
    """File and byte offset of a record."""

    segment: str
    offset: int


def encode_checksummed(payload: bytes) -> bytes:
    """Return ``payload`` with a header of its length and checksum."""
    return _HEADER.pack(len(payload), google_crc32c.value(payload)) + payload


def decode_checksummed(data: bytes, offset: int) -> bytes | None:
    """Return the payload whose header is at ``offset``, or None if it is torn or damaged."""
    if offset + _HEADER.size > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[offset + _HEADER.size : offset + _HEADER.size + length]
    if length == 0 or len(payload) != length or google_crc32c.value(payload) != checksum:
        return None
    return payload


class Storage:
    """Reads and writes a node's data folder on a disk.

    :ivar truncated_bytes: size in bytes of the torn tail that loading truncated.
    """

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.truncated_bytes = 0
        self._locations: dict[int, RecordLocation] = {}
        self._lengths: dict[str, int] = {}
        self._durable_index = 0
        self._last_index = 0
        self._unwritten_bytes = 0  # size of the current or failed write

    # Identity

    def load_identity(self) -> Identity | None:
        """Return the owner of the folder, or None if it has none yet.

        :raises StorageError: if the identity is damaged, or missing beside other files.
        """
        names = self.disk.list()
        if IDENTITY_FILE not in names:
            if any(name.startswith(SEGMENT_PREFIX) or name == SNAPSHOT_FILE for name in names):
                raise StorageError(
                    "the folder holds a log but no identity; move the folder away and let "
                    "the node join as a new one",
                    step="open",
                    peer=IDENTITY_FILE,
                )
            return None
        return self._load(IDENTITY_FILE, Identity)

    def create(self, identity: Identity, snapshot: Snapshot | None) -> None:
        """Initialize an empty folder; the identity is written last."""
        if snapshot is not None:
            self.save_snapshot(snapshot)
        self.save_hard_state(HardState())
        self._save(IDENTITY_FILE, identity)

    # Loading

    def load(self) -> tuple[HardState, Log]:
        """Return the stored hard state and log, truncating a torn tail.

        :raises StorageError: if durable data are damaged; they are left as they are.
        """
        hard_state = self._load(HARD_STATE_FILE, HardState)
        snapshot = None
        if SNAPSHOT_FILE in self.disk.list():
            snapshot = self._load(SNAPSHOT_FILE, Snapshot)
        base = snapshot.index if snapshot else 0
        entries = [entry for entry in self._load_entries() if entry.index > base]
        if entries and entries[0].index != base + 1:
            raise self._damaged("log", f"entries {base + 1} to {entries[0].index - 1} are missing")
        self._last_index = entries[-1].index if entries else base
        self._durable_index = self._last_index
        return hard_state, Log(snapshot, entries)

    def reopen(self) -> tuple[HardState, Log]:
        """Return the durable hard state and log after a failed write.

        Entries that were never synced are truncated: after a failed sync, reads may return bytes
        that are not on the disk.

        :raises StorageError: if a write as large as the failed one fails again, or data are
            damaged.
        """
        durable_index = self._durable_index
        try:
            self.load()
            self.truncate_from(durable_index + 1)
            self._probe_free_space()
            hard_state, log = self.load()
            self.save_hard_state(hard_state)  # the file read may not be durable
        except StorageError:
            self._durable_index = durable_index
            raise
        return hard_state, log

    def _probe_free_space(self) -> None:
        """Check that a write as large as the failed one succeeds, then remove it."""
        segment = self._segment_for(self._last_index + 1)
        self.disk.append(segment, bytes(self._unwritten_bytes))
        self.disk.sync_file(segment)
        self.disk.truncate(segment, self._lengths[segment])
        self.disk.sync_file(segment)

    def _load_entries(self) -> list[Entry]:
        self._locations = {}
        self._lengths = {}
        entries: list[Entry] = []
        segments = self._segments()
        for position, segment in enumerate(segments):
            data = self.disk.read(segment)
            offset = self._load_segment(segment, data, entries)
            if offset < len(data):
                self._check_torn_tail(segment, data, offset, entries)
                if position < len(segments) - 1:
                    raise self._damaged(segment, f"record at byte {offset} is damaged")
                self.truncated_bytes = len(data) - offset
                self.disk.truncate(segment, offset)
                self.disk.sync_file(segment)
            self._lengths[segment] = offset
        return entries

    def _load_segment(self, segment: str, data: bytes, entries: list[Entry]) -> int:
        offset = 0
        while (payload := decode_checksummed(data, offset)) is not None:
            entry = self._decode(segment, payload).entry
            if entries and entry.index != entries[-1].index + 1:
                raise self._damaged(
                    segment, f"entry {entry.index} follows entry {entries[-1].index}"
                )
            entries.append(entry)
            self._locations[entry.index] = RecordLocation(segment, offset)
            offset += _HEADER.size + len(payload)
        return offset

    def _check_torn_tail(
        self, segment: str, data: bytes, offset: int, entries: list[Entry]
    ) -> None:
        last_index = entries[-1].index if entries else 0
        for later in range(offset + 1, len(data) - _HEADER.size):
            payload = decode_checksummed(data, later)
            if payload is None:
                continue
            if self._decode(segment, payload).durable_index > last_index:
                raise self._damaged(segment, f"record at byte {offset} is damaged")

    @staticmethod
    def _damaged(name: str, what: str) -> StorageError:
        return StorageError(
            f"{what}; the folder can't be trusted: move it away and let the node join as a "
            "new one, or restore a backup",
            step="load",
            peer=name,
        )

    def _decode(self, segment: str, payload: bytes) -> LogRecord:
        try:
            return msgspec.msgpack.decode(payload, type=LogRecord)
        except msgspec.MsgspecError as error:
            raise self._damaged(segment, f"a record can't be decoded ({error})") from error

    # Writing

    def save_hard_state(self, hard_state: HardState) -> None:
        """Write term and vote durably."""
        self._save(HARD_STATE_FILE, hard_state)

    def append(self, entries: list[Entry]) -> None:
        """Append entries durably, with one sync per file."""
        written_segments: list[str] = []
        records = [
            encode_checksummed(msgspec.msgpack.encode(LogRecord(self._durable_index, entry)))
            for entry in entries
        ]
        self._unwritten_bytes = sum(map(len, records))
        for entry, record in zip(entries, records, strict=True):
            segment = self._segment_for(entry.index)
            self._locations[entry.index] = RecordLocation(segment, self._lengths[segment])
            self.disk.append(segment, record)
            self._lengths[segment] += len(record)
            if segment not in written_segments:
                written_segments.append(segment)
        for segment in written_segments:
            self.disk.sync_file(segment)
        if entries:
            self._last_index = entries[-1].index
            self._durable_index = self._last_index
        self._unwritten_bytes = 0

    def truncate_from(self, index: int) -> None:
        """Remove the entries from ``index`` on durably."""
        location = self._locations.get(index)
        if location is None:
            return
        for segment in self._segments():
            if segment > location.segment:
                self.disk.delete(segment)
                self._lengths.pop(segment, None)
        self.disk.truncate(location.segment, location.offset)
        self.disk.sync_file(location.segment)
        self.disk.sync_folder()
        self._lengths[location.segment] = location.offset
        self._locations = {key: value for key, value in self._locations.items() if key < index}
        self._last_index = index - 1
        self._durable_index = index - 1

    def save_snapshot(self, snapshot: Snapshot, discard_log: bool = False) -> None:
        """Write a snapshot durably and delete the log files that it covers.

        :param discard_log: also delete the entries after the snapshot.
        """
        self._save(SNAPSHOT_FILE, snapshot)
        for segment in self._segments():
            indexes = [
                index for index, location in self._locations.items() if location.segment == segment
            ]
            if discard_log or not indexes or max(indexes) <= snapshot.index:
                self.disk.delete(segment)
                self._lengths.pop(segment, None)
                for index in indexes:
                    del self._locations[index]
        self.disk.sync_folder()
        if discard_log:
            self._last_index = snapshot.index
            self._durable_index = snapshot.index

    def _segments(self) -> list[str]:
        return [name for name in self.disk.list() if name.startswith(SEGMENT_PREFIX)]

    def _segment_for(self, index: int) -> str:
        current = max(self._lengths, default="")
        if current and self._lengths[current] < SEGMENT_BYTES:
            return current
        segment = f"{SEGMENT_PREFIX}{index:020d}"
        self.disk.append(segment, b"")
        self.disk.sync_file(segment)
        self.disk.sync_folder()
        self._lengths[segment] = 0
        return segment

    def _save(self, name: str, value: msgspec.Struct) -> None:
        data = encode_checksummed(msgspec.msgpack.encode(value))
        self._unwritten_bytes = len(data)
        self.disk.replace(name, data)
        self._unwritten_bytes = 0

    def _load(self, name: str, kind: type[LoadedType]) -> LoadedType:
        payload = decode_checksummed(self.disk.read(name), 0)
        if payload is None:
            raise self._damaged(name, "the file's checksum does not match")
        try:
            return msgspec.msgpack.decode(payload, type=kind)
        except msgspec.MsgspecError as error:
            raise self._damaged(name, f"the file can't be decoded ({error})") from error
