"""The in-memory log: the last snapshot and the entries after it.

:mod:`rowanrail.consensus.storage` keeps the same data on disk.
"""

import msgspec

from rowanrail.consensus.messages import Entry, EntryKind, Membership, Snapshot


class Log:
    """Snapshot and entries after it, with the latest membership that they contain."""

    def __init__(self, snapshot: Snapshot | None, entries: list[Entry]) -> None:
        self.snapshot = snapshot
        self._entries = entries
        self._update_membership()

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry in the snapshot; 0 without a snapshot."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry, including those in the snapshot."""
        return self._entries[-1].index if self._entries else self.snapshot_index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index)

    @property
    def size(self) -> int:
        """Number of entries after the snapshot."""
        return len(self._entries)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at ``index``; 0 if the log does not contain it."""
        if index == self.snapshot_index:
            return self.snapshot.term if self.snapshot else 0
        position = index - self.snapshot_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return 0

    def entries_between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last``, both inclusive."""
        start = first - self.snapshot_index - 1
        return self._entries[max(start, 0) : last - self.snapshot_index]

    def entries_from(self, first: int, maximum_bytes: int) -> list[Entry]:
        """Return entries from ``first`` on whose data fit in ``maximum_bytes``.

        The first entry is returned whatever its size.
        """
        selected: list[Entry] = []
        size = 0
        for entry in self._entries[first - self.snapshot_index - 1 :]:
            size += len(entry.data)
            if selected and size > maximum_bytes:
                break
            selected.append(entry)
        return selected

    def append(self, entries: list[Entry]) -> None:
        """Append entries, whose indexes must be contiguous with the log."""
        for entry in entries:
            assert entry.index == self.last_index + 1, "entries must be contiguous"
            self._entries.append(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                self.membership = msgspec.msgpack.decode(entry.data, type=Membership)
                self.membership_index = entry.index

    def truncate_from(self, index: int) -> None:
        """Remove the entries from ``index`` on."""
        del self._entries[max(0, index - self.snapshot_index - 1) :]
        self._update_membership()

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the snapshot's index by the snapshot."""
        self._entries = self.entries_between(snapshot.index + 1, self.last_index)
        self.snapshot = snapshot
        self._update_membership()

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log by ``snapshot``."""
        self.snapshot = snapshot
        self._entries = []
        self._update_membership()

    def membership_at(self, index: int) -> Membership:
        """Return the latest membership at or before ``index``."""
        for entry in reversed(self.entries_between(self.snapshot_index + 1, index)):
            if entry.kind is EntryKind.MEMBERSHIP:
                return msgspec.msgpack.decode(entry.data, type=Membership)
        return self.snapshot.membership if self.snapshot else Membership()

    def _update_membership(self) -> None:
        self.membership = self.snapshot.membership if self.snapshot else Membership()
        self.membership_index = self.snapshot_index
        for entry in self._entries:
            if entry.kind is EntryKind.MEMBERSHIP:
                self.membership = msgspec.msgpack.decode(entry.data, type=Membership)
                self.membership_index = entry.index
