"""A gateway's copy of the directory, kept up to date by the control nodes' replies.

An incremental update is accepted only if it results in the directory whose digest it carries;
otherwise the copy is inconsistent and a full update is requested. Older replies are ignored.

Keeps the records and their digests. Depends on ``directory`` for the messages; does no I/O.
"""

from collections.abc import Iterable
from typing import TypeVar

from rowanrail.directory.digests import Digest, RecordKind, combined_digest
from rowanrail.directory.messages import NO_REVISION, DirectoryReply, DirectoryUpdate, GatewayRecord
from rowanrail.directory.update_encoding import decode_update
from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.relay.neighbours import Neighbour
from rowanrail.model.members import MemberRecord
from rowanrail.placement.hashed import FleetSize

__all__ = ["DirectoryCopy"]

Record = TypeVar("Record", MemberRecord, GatewayRecord)


class _Records(dict[str, Record]):
    """Records by name and their digest."""

    def __init__(self, kind: RecordKind) -> None:
        super().__init__()
        self._digest = Digest(kind)

    @property
    def digest(self) -> int:
        """Digest of all records."""
        return self._digest.value

    def change(
        self, present: Iterable[tuple[str, Record]], removed: Iterable[str]
    ) -> list[tuple[Record | None, Record | None]]:
        """Apply added or changed records and the names of removed ones.

        Returns
        -------
        list of tuple
            The old and the new record of each that changed; None if added or removed.
        """
        changes: list[tuple[Record | None, Record | None]] = []
        for name in removed:
            before = self.pop(name, None)
            if before is not None:
                changes.append((before, None))
        for name, record in present:
            before = self.get(name)
            if before != record:
                changes.append((before, record))
                self[name] = record
        for before, after in changes:
            self._digest.replace(before, after)
        return changes


class _Groups:
    """Gateways that accept statements, by group, as links use them."""

    def __init__(self) -> None:
        self._by_group: dict[str, dict[str, Neighbour]] = {}
        self._listed: dict[str, list[Neighbour]] = {}

    @property
    def listed(self) -> dict[str, list[Neighbour]]:
        """Gateways of each group; the same object until a gateway changes."""
        return self._listed

    def change(self, changes: list[tuple[GatewayRecord | None, GatewayRecord | None]]) -> None:
        """Apply added, changed and removed gateways."""
        for before, after in changes:
            if before is not None and before.relay_address:
                del self._by_group[before.sharing_group][before.name]
            if after is not None and after.relay_address:
                known = self._by_group.setdefault(after.sharing_group, {})
                known[after.name] = Neighbour(after.name, after.relay_address)
        if changes:
            groups = self._by_group.items()
            self._listed = {group: list(known.values()) for group, known in groups if known}


class DirectoryCopy:
    """Members and gateways at the latest applied revision.

    Parameters
    ----------
    is_regional : bool
        Whether the gateways of a region share connections, rather than those of a zone.
    """

    def __init__(self, is_regional: bool) -> None:
        self._is_regional = is_regional
        self._full_updates = 0
        self._incremental_updates = 0
        self._mismatches = 0
        self._is_inconsistent = False
        self._revision = NO_REVISION
        self._clear()

    def _clear(self) -> None:
        self._members: _Records[MemberRecord] = _Records(RecordKind.MEMBER)
        self._neighbours: _Records[GatewayRecord] = _Records(RecordKind.NEIGHBOUR)
        self._others: _Records[GatewayRecord] = _Records(RecordKind.REMOTE_HOLDER)
        self._own_group = _Groups()
        self._other_groups = _Groups()

    @property
    def revision(self) -> int:
        """Log index of the last applied change; ``NO_REVISION`` before the first."""
        return self._revision

    @property
    def is_inconsistent(self) -> bool:
        """Whether an incremental update did not match its digest, so that a full one is needed."""
        return self._is_inconsistent

    @property
    def counts(self) -> dict[str, int]:
        """Numbers of updates by kind, and of digest mismatches."""
        return {
            "whole": self._full_updates,
            "difference": self._incremental_updates,
            "mismatch": self._mismatches,
        }

    def apply(self, reply: DirectoryReply) -> Directory | None:
        """Apply a reply; return the directory if the reply updated it.

        Older replies are ignored. An incremental update that does not match its digest makes the
        copy inconsistent: it keeps its revision until a full update of at least that revision.

        Raises
        ------
        TransportError
            If the reply's update can't be decoded.
        """
        if reply.revision < self._revision + (not self._is_inconsistent):
            return None
        update = _update_of(reply)
        is_full = update is not None and update.base_revision == NO_REVISION
        if update is None or (self._is_inconsistent and not is_full):
            return None
        if is_full:
            self._full_updates += 1
            self._clear()
        else:
            self._incremental_updates += 1
        self._update_records(update)
        self._is_inconsistent = not is_full and self._digest != update.digest
        if self._is_inconsistent:
            self._mismatches += 1
            return None
        self._revision = reply.revision
        return self._directory(reply)

    def _update_records(self, update: DirectoryUpdate) -> None:
        members = ((record.instance, record) for record in update.members)
        self._members.change(members, update.removed_members)
        neighbours = ((record.name, record) for record in update.neighbours)
        self._own_group.change(self._neighbours.change(neighbours, update.removed_neighbours))
        others = ((record.name, record) for record in update.remote_holders)
        self._other_groups.change(self._others.change(others, update.removed_remote_holders))

    @property
    def _digest(self) -> bytes:
        return combined_digest(self._members.digest, self._neighbours.digest, self._others.digest)

    def _directory(self, reply: DirectoryReply) -> Directory:
        population = FleetSize(reply.gateways, reply.zones, self._is_regional)
        members = list(self._members.values())
        own_group = [gateway for listed in self._own_group.listed.values() for gateway in listed]
        others = self._other_groups.listed
        return Directory(reply.revision, members, population, own_group, others)


def _update_of(reply: DirectoryReply) -> DirectoryUpdate | None:
    """Return the directory update of a reply, None if it has none.

    A control node of an earlier version sends all members and no encoded update.

    Raises
    ------
    TransportError
        If the update can't be decoded.
    """
    if reply.update:
        return decode_update(reply.update)
    if reply.members is None:
        return None
    return DirectoryUpdate(
        NO_REVISION,
        b"",
        reply.members,
        neighbours=reply.neighbours,
        remote_holders=reply.remote_holders,
    )
