"""Which records of the directory changed since a revision, as far back as is remembered.

Owns that memory and the digests of each group's whole directory; the state notes each change here.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from rowanrail.coordination.changes import DirectoryChange, GatewayStep
from rowanrail.directory.digests import Digest, RecordKind, combined_digest
from rowanrail.directory.messages import GatewayRecord
from rowanrail.model.members import MemberRecord

__all__ = ["REMEMBERED_CHANGES", "DirectoryHistory", "Touched"]

# Changes. A gateway asks each second, and a start of 300 machines brings some 100 a second; one
# that was cut off for longer gets the whole, which is smaller than so many differences.
REMEMBERED_CHANGES = 500


@dataclass(slots=True)
class Touched:
    """Names of what was changed for one group of gateways, the latest first."""

    members: dict[str, None] = field(default_factory=dict)
    neighbours: dict[str, None] = field(default_factory=dict)
    others: dict[str, None] = field(default_factory=dict)


class DirectoryHistory:
    """The latest changes of the directory, and digests of what each group knows of it.

    Parameters
    ----------
    revision : int
        From which on changes are remembered.
    members : iterable of MemberRecord
        All members as of that revision.
    gateways : iterable of GatewayRecord
        All gateways.
    holders : iterable of GatewayRecord
        Those of them that hold connections; see :mod:`rowanrail.coordination.holders`.
    """

    def __init__(
        self,
        revision: int,
        members: Iterable[MemberRecord] = (),
        gateways: Iterable[GatewayRecord] = (),
        holders: Iterable[GatewayRecord] = (),
    ) -> None:
        self._first = revision
        self._changes: deque[tuple[DirectoryChange, list[GatewayStep]]] = deque()
        self._members = Digest(RecordKind.MEMBER, members)
        self._neighbours: dict[str, Digest] = {}
        self._holders: dict[str, Digest] = {}
        for gateway in gateways:
            self._count(RecordKind.NEIGHBOUR, GatewayStep(None, gateway))
        for holder in holders:
            self._count(RecordKind.REMOTE_HOLDER, GatewayStep(None, holder))

    def note(self, change: DirectoryChange, holders: list[GatewayStep]) -> None:
        """Remember a change, and what it changed among the holders."""
        self._changes.append((change, holders))
        if len(self._changes) > REMEMBERED_CHANGES:
            self._first = self._changes.popleft()[0].revision
        for member in change.members:
            self._members.replace(member.before, member.after)
        for gateway in change.gateways:
            self._count(RecordKind.NEIGHBOUR, gateway)
        for holder in holders:
            self._count(RecordKind.REMOTE_HOLDER, holder)

    def digest(self, group: str) -> bytes:
        """Return the digest of the directory as the gateways of a group know it."""
        neighbours = self._neighbours.get(group)
        others = (digest.value for known, digest in self._holders.items() if known != group)
        own = neighbours.value if neighbours is not None else 0
        return combined_digest(self._members.value, own, *others)

    def since(self, revision: int, group: str) -> Touched | None:
        """Return what a group's gateways don't know as of a revision; None if not remembered."""
        if revision < self._first:
            return None
        touched = Touched()
        for change, holders in reversed(self._changes):
            if change.revision <= revision:
                break
            _touch(touched, change, holders, group)
        return touched

    def _count(self, kind: RecordKind, step: GatewayStep) -> None:
        digests = self._neighbours if kind is RecordKind.NEIGHBOUR else self._holders
        if step.before is not None:
            digests[step.before.sharing_group].replace(step.before, None)
        if step.after is not None:
            digests.setdefault(step.after.sharing_group, Digest(kind)).replace(None, step.after)


def _touch(
    touched: Touched, change: DirectoryChange, holders: list[GatewayStep], group: str
) -> None:
    for member in change.members:
        touched.members[member.instance] = None
    for gateway in change.gateways:
        for record in (gateway.before, gateway.after):
            if record is not None and record.sharing_group == group:
                touched.neighbours[record.name] = None
    for holder in holders:
        for record in (holder.before, holder.after):
            if record is not None and record.sharing_group != group:
                touched.others[record.name] = None
