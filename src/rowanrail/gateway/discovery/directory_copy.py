"""A gateway's own copy of the directory, brought up to date by what control nodes send.

A difference is taken only if it leads to the directory whose digest goes with it; else the copy is
broken, and the whole is asked for. Nothing older than the copy is ever taken.

Owns the records and their digest. Relies on ``directory`` for the messages; does no I/O.
"""

from collections.abc import Iterable
from typing import TypeVar

from rowanrail.directory.digests import Digest, RecordKind, combined_digest
from rowanrail.directory.messages import NO_REVISION, DirectoryReply, DirectoryUpdate, GatewayRecord
from rowanrail.directory.update_encoding import decode_update
from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.relay.neighbours import Neighbour
from rowanrail.model.members import MemberRecord
from rowanrail.placement.hashed import Population

__all__ = ["DirectoryCopy"]

Record = TypeVar("Record", MemberRecord, GatewayRecord)


class _Records(dict[str, Record]):
    """Records by name, with their digest."""

    def __init__(self, kind: RecordKind) -> None:
        super().__init__()
        self._digest = Digest(kind)

    @property
    def digest(self) -> int:
        """The digest of all."""
        return self._digest.value

    def change(
        self, present: Iterable[tuple[str, Record]], gone: Iterable[str]
    ) -> list[tuple[Record | None, Record | None]]:
        """Take records that came or changed, and names of those that are gone.

        Returns
        -------
        list of tuple
            What was known before and what is known now, for each that is another.
        """
        steps: list[tuple[Record | None, Record | None]] = []
        for name in gone:
            before = self.pop(name, None)
            if before is not None:
                steps.append((before, None))
        for name, record in present:
            before = self.get(name)
            if before != record:
                steps.append((before, record))
                self[name] = record
        for before, after in steps:
            self._digest.replace(before, after)
        return steps


class _Groups:
    """Gateways that take statements, by group, in the form in which links know them."""

    def __init__(self) -> None:
        self._by_group: dict[str, dict[str, Neighbour]] = {}
        self._listed: dict[str, list[Neighbour]] = {}

    @property
    def listed(self) -> dict[str, list[Neighbour]]:
        """The gateways of each group; the same object until something changes."""
        return self._listed

    def change(self, steps: list[tuple[GatewayRecord | None, GatewayRecord | None]]) -> None:
        """Take gateways that came, changed or went."""
        for before, after in steps:
            if before is not None and before.relay_address:
                del self._by_group[before.sharing_group][before.name]
            if after is not None and after.relay_address:
                known = self._by_group.setdefault(after.sharing_group, {})
                known[after.name] = Neighbour(after.name, after.relay_address)
        if steps:
            groups = self._by_group.items()
            self._listed = {group: list(known.values()) for group, known in groups if known}


class DirectoryCopy:
    """Members and gateways as of the newest revision that was taken.

    Parameters
    ----------
    is_regional : bool
        Whether the gateways of a region share connections, in place of those of a zone.
    """

    def __init__(self, is_regional: bool) -> None:
        self._is_regional = is_regional
        self._wholes = 0
        self._differences = 0
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
        """Place in the control nodes' log of the last change; ``NO_REVISION`` before the first."""
        return self._revision

    @property
    def is_inconsistent(self) -> bool:
        """Whether a difference led elsewhere, so that the whole is needed."""
        return self._is_inconsistent

    @property
    def counts(self) -> dict[str, int]:
        """How many parts were taken, by kind, and how many led elsewhere."""
        return {
            "whole": self._wholes,
            "difference": self._differences,
            "mismatch": self._mismatches,
        }

    def apply(self, reply: DirectoryReply) -> Directory | None:
        """Bring the copy up to date; return the directory if it is a newer one.

        What is older is left aside. A difference that leads to another directory than the
        control node's breaks the copy: it keeps its revision until the whole of that or a later
        one comes.

        Raises
        ------
        TransportError
            If the reply's part can't be read.
        """
        if reply.revision < self._revision + (not self._is_inconsistent):
            return None
        part = _part_of(reply)
        is_whole = part is not None and part.base_revision == NO_REVISION
        if part is None or (self._is_inconsistent and not is_whole):
            return None
        if is_whole:
            self._wholes += 1
            self._clear()
        else:
            self._differences += 1
        self._change(part)
        self._is_inconsistent = not is_whole and self._digest != part.digest
        if self._is_inconsistent:
            self._mismatches += 1
            return None
        self._revision = reply.revision
        return self._directory(reply)

    def _change(self, part: DirectoryUpdate) -> None:
        members = ((record.instance, record) for record in part.members)
        self._members.change(members, part.removed_members)
        neighbours = ((record.name, record) for record in part.neighbours)
        self._own_group.change(self._neighbours.change(neighbours, part.removed_neighbours))
        others = ((record.name, record) for record in part.remote_holders)
        self._other_groups.change(self._others.change(others, part.removed_remote_holders))

    @property
    def _digest(self) -> bytes:
        return combined_digest(self._members.digest, self._neighbours.digest, self._others.digest)

    def _directory(self, reply: DirectoryReply) -> Directory:
        population = Population(reply.gateways, reply.zones, self._is_regional)
        members = list(self._members.values())
        own_group = [one for listed in self._own_group.listed.values() for one in listed]
        others = self._other_groups.listed
        return Directory(reply.revision, members, population, own_group, others)


def _part_of(reply: DirectoryReply) -> DirectoryUpdate | None:
    """Return what a reply tells of the directory, None if nothing.

    A control node of an earlier version sends all members beside no part.

    Raises
    ------
    TransportError
        If the part can't be read.
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
