"""The latest changes of the directory, from which incremental updates are made.

Keeps them up to a limit, and the digest of each group's full directory; the state adds each change.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from rowanrail.coordination.changes import DirectoryChange, GatewayChange
from rowanrail.directory.digests import Digest, RecordKind, combined_digest
from rowanrail.directory.messages import GatewayRecord
from rowanrail.model.members import MemberRecord

__all__ = ["MAX_CHANGES", "DirectoryHistory", "ChangedNames"]

# A gateway that lacks more changes gets the full directory, which is then the smaller update.
# Gateways poll every second, and a start of 300 machines makes some 100 changes a second.
MAX_CHANGES = 500


@dataclass(slots=True)
class ChangedNames:
    """Names of the records that changed for one group of gateways, the latest first."""

    members: dict[str, None] = field(default_factory=dict)
    neighbours: dict[str, None] = field(default_factory=dict)
    remote_holders: dict[str, None] = field(default_factory=dict)


class DirectoryHistory:
    """The latest changes of the directory, and the digest of each group's view of it.

    Parameters
    ----------
    revision : int
        The revision after which changes are kept.
    members : iterable of MemberRecord
        All members as of that revision.
    gateways : iterable of GatewayRecord
        All gateways as of that revision.
    holders : iterable of GatewayRecord
        The gateways that hold connections; see :mod:`rowanrail.coordination.holders`.
    """

    def __init__(
        self,
        revision: int,
        members: Iterable[MemberRecord] = (),
        gateways: Iterable[GatewayRecord] = (),
        holders: Iterable[GatewayRecord] = (),
    ) -> None:
        self._oldest_revision = revision
        self._changes: deque[tuple[DirectoryChange, list[GatewayChange]]] = deque()
        self._members = Digest(RecordKind.MEMBER, members)
        self._neighbours: dict[str, Digest] = {}
        self._holders: dict[str, Digest] = {}
        for gateway in gateways:
            self._update_digest(RecordKind.NEIGHBOUR, GatewayChange(None, gateway))
        for holder in holders:
            self._update_digest(RecordKind.REMOTE_HOLDER, GatewayChange(None, holder))

    def add(self, change: DirectoryChange, holders: list[GatewayChange]) -> None:
        """Add a change of the directory and the resulting changes of holders."""
        self._changes.append((change, holders))
        if len(self._changes) > MAX_CHANGES:
            self._oldest_revision = self._changes.popleft()[0].revision
        for member in change.members:
            self._members.replace(member.before, member.after)
        for gateway in change.gateways:
            self._update_digest(RecordKind.NEIGHBOUR, gateway)
        for holder in holders:
            self._update_digest(RecordKind.REMOTE_HOLDER, holder)

    def digest(self, group: str) -> bytes:
        """Return the digest of the full directory as a group's gateways see it."""
        neighbours = self._neighbours.get(group)
        others = (digest.value for known, digest in self._holders.items() if known != group)
        own = neighbours.value if neighbours is not None else 0
        return combined_digest(self._members.value, own, *others)

    def changes_since(self, revision: int, group: str) -> ChangedNames | None:
        """Return what changed for a group after a revision; None if that is not kept any more."""
        if revision < self._oldest_revision:
            return None
        touched = ChangedNames()
        for change, holders in reversed(self._changes):
            if change.revision <= revision:
                break
            _add_names(touched, change, holders, group)
        return touched

    def _update_digest(self, kind: RecordKind, change: GatewayChange) -> None:
        digests = self._neighbours if kind is RecordKind.NEIGHBOUR else self._holders
        if change.before is not None:
            digests[change.before.sharing_group].replace(change.before, None)
        if change.after is not None:
            digests.setdefault(change.after.sharing_group, Digest(kind)).replace(None, change.after)


def _add_names(
    touched: ChangedNames, change: DirectoryChange, holders: list[GatewayChange], group: str
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
                touched.remote_holders[record.name] = None
