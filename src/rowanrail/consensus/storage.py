"""Durable state of a node: identity, hard state, snapshot and a segmented log.

A log record is a header (length and CRC-32C of the payload) and a MessagePack payload.
Each record names the index that was durable when it was written. That tells a torn tail
(unsynced records, which may be cut) from damage to records that were promised.
"""

import struct
from typing import TypeVar

import google_crc32c
import msgspec

from rowanrail.consensus.log import Log
from rowanrail.consensus.messages import Entry, HardState, Snapshot
from rowanrail.kernel.disk import Disk
from rowanrail.kernel.errors import StorageError

SEGMENT_BYTES = 1024 * 1024  # of a file of the log; small beside 128 MB of disk
IDENTITY_FILE = "identity"
HARD_STATE_FILE = "hard-state"
SNAPSHOT_FILE = "snapshot"
SEGMENT_PREFIX = "log-"
_HEADER = struct.Struct("<II")

LoadedType = TypeVar("LoadedType")


class Identity(msgspec.Struct, frozen=True):
    """Who owns the folder."""

    cluster: str
    node: str
    format: int = 1


class LogRecord(msgspec.Struct, array_like=True, frozen=True):
    """One log record."""

    durable_index: int
    entry: Entry


class RecordLocation(msgspec.Struct, frozen=True):
    """Where a record begins."""

    segment: str
    offset: int


def encode_checksummed(payload: bytes) -> bytes:
    """Return ``payload`` behind a header with its length and checksum."""
    return _HEADER.pack(len(payload), google_crc32c.value(payload)) + payload


def decode_checksummed(data: bytes, offset: int) -> bytes | None:
    """Return the payload sealed at ``offset``, or None if it is torn or damaged."""
    if offset + _HEADER.size > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[offset + _HEADER.size : offset + _HEADER.size + length]
    if length == 0 or len(payload) != length or google_crc32c.value(payload) != checksum:
        return None
    return payload


class Storage:
    """Reads and writes a node's data folder through the disk port."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.truncated_bytes = 0
        self._locations: dict[int, RecordLocation] = {}
        self._lengths: dict[str, int] = {}
        self._durable_index = 0
        self._last_index = 0
        self._unwritten_bytes = 0  # of the write that is under way, or that has failed

    # Identity

    def load_identity(self) -> Identity | None:
        """Return who owns the folder, or None if it is empty.

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
        """Set up an empty folder."""
        if snapshot is not None:
            self.save_snapshot(snapshot)
        self.save_hard_state(HardState())
        self._save(IDENTITY_FILE, identity)

    # Loading

    def load(self) -> tuple[HardState, Log]:
        """Return what the folder holds.

        :raises StorageError: if promised data are damaged; nothing is changed then.
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
        """Return what the folder holds for certain, after a write has failed.

        Entries that were never synced are cut. Nothing was promised of them, and after a failed
        sync the system may show bytes that the disk does not hold.

        :raises StorageError: if the disk still refuses what it refused, or data are damaged.
        """
        durable_index = self._durable_index
        try:
            self.load()
            self.truncate_from(durable_index + 1)
            self._probe_free_space()
            hard_state, log = self.load()
            self.save_hard_state(hard_state)  # the file that is seen may not be durable either
        except StorageError:
            self._durable_index = durable_index
            raise
        return hard_state, log

    def _probe_free_space(self) -> None:
        """Write as much as the write that failed, and take it back."""
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
        """Make term and vote durable."""
        self._save(HARD_STATE_FILE, hard_state)

    def append(self, entries: list[Entry]) -> None:
        """Append entries and make them durable, with one sync for all of them."""
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
        """Remove the entries from ``index`` on."""
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
        """Make a snapshot durable and drop the segments that it covers.

        :param discard_log: also drop the entries after the snapshot.
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
