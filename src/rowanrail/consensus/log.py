"""The log in memory: the entries after the last snapshot.

For Raft's state. Owns the entries and the memberships that they hold; the storage keeps the same
on disk.
"""

import msgspec

from rowanrail.consensus.messages import Entry, EntryKind, Membership, Snapshot


class Log:
    """Entries after a snapshot, with the membership that they lead to."""

    def __init__(self, snapshot: Snapshot | None, entries: list[Entry]) -> None:
        self.snapshot = snapshot
        self._entries = entries
        self._update_membership()

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry that the snapshot covers."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
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
        """Return the term of the entry at ``index``; 0 if it is not held."""
        if index == self.snapshot_index:
            return self.snapshot.term if self.snapshot else 0
        position = index - self.snapshot_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return 0

    def entries_between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self.snapshot_index - 1
        return self._entries[max(start, 0) : last - self.snapshot_index]

    def entries_from(self, first: int, maximum_bytes: int) -> list[Entry]:
        """Return entries from ``first`` on, at least one, up to about ``maximum_bytes``."""
        chosen: list[Entry] = []
        size = 0
        for entry in self._entries[first - self.snapshot_index - 1 :]:
            size += len(entry.data)
            if chosen and size > maximum_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entries: list[Entry]) -> None:
        """Append entries; their indexes must continue the log."""
        for entry in entries:
            assert entry.index == self.last_index + 1, "entries must be contiguous"
            self._entries.append(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                self.membership = msgspec.msgpack.decode(entry.data, type=Membership)
                self.membership_index = entry.index

    def truncate_from(self, index: int) -> None:
        """Drop the entries from ``index`` on."""
        del self._entries[max(0, index - self.snapshot_index - 1) :]
        self._update_membership()

    def compact(self, snapshot: Snapshot) -> None:
        """Drop the entries that ``snapshot`` covers."""
        self._entries = self.entries_between(snapshot.index + 1, self.last_index)
        self.snapshot = snapshot
        self._update_membership()

    def reset(self, snapshot: Snapshot) -> None:
        """Forget everything but ``snapshot``."""
        self.snapshot = snapshot
        self._entries = []
        self._update_membership()

    def membership_at(self, index: int) -> Membership:
        """Return the membership in force after the entry at ``index``."""
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
