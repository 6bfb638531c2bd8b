"""Directory updates for the gateways of a group: full, or incremental since a revision.

Caches the encoded updates of the present revision for all gateways that need the same. Relies on
the state's history and on :mod:`rowanrail.directory.update_encoding`.
"""

from dataclasses import dataclass

from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import NO_REVISION, DirectoryUpdate, GatewayRecord
from rowanrail.directory.update_encoding import encode_update

__all__ = ["UpdateCache", "UpdateCounts", "full_update", "incremental_update"]


@dataclass(slots=True)
class UpdateCounts:
    """Number of updates of one kind that were sent, and their total size in bytes."""

    answers: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """Count an update of ``size`` bytes."""
        self.answers += 1
        self.bytes += size


@dataclass(frozen=True, slots=True)
class _EncodedUpdate:
    data: bytes
    is_full: bool


class UpdateCache:
    """Encodes each update once for all gateways of a group at the same revision.

    Parameters
    ----------
    state : CoordinationState
        Holds the directory and its history.
    """

    def __init__(self, state: CoordinationState) -> None:
        self._state = state
        self._revision = -1
        self._cache: dict[tuple[str, int], _EncodedUpdate] = {}
        self._full = UpdateCounts()
        self._incremental = UpdateCounts()

    @property
    def state(self) -> CoordinationState:
        """The state from which updates are made."""
        return self._state

    @property
    def counts(self) -> dict[str, UpdateCounts]:
        """Counts of the updates that were sent, by kind."""
        return {"whole": self._full, "difference": self._incremental}

    def encoded(self, group: str, since: int) -> bytes:
        """Return the encoded update from a revision to the present one.

        Parameters
        ----------
        group : str
            The zone or region whose gateways share connections.
        since : int
            The gateway's revision; ``NO_REVISION`` if it needs a full update.
        """
        if self._state.revision != self._revision:
            self._revision = self._state.revision
            self._cache.clear()
        cached = self._cache.get((group, since))
        if cached is None:
            cached = self._cache[group, since] = self._build(group, since)
        (self._full if cached.is_full else self._incremental).add(len(cached.data))
        return cached.data

    def _build(self, group: str, since: int) -> _EncodedUpdate:
        update = None if since == NO_REVISION else incremental_update(self._state, group, since)
        if update is None:
            return _EncodedUpdate(encode_update(full_update(self._state, group)), is_full=True)
        return _EncodedUpdate(encode_update(update), is_full=False)


def full_update(state: CoordinationState, group: str) -> DirectoryUpdate:
    """Return the full directory for the gateways of a group."""
    return DirectoryUpdate(
        NO_REVISION,
        state.history.digest(group),
        list(state.members.values()),
        neighbours=[g for g in state.gateways.values() if g.sharing_group == group],
        remote_holders=[
            holder for holder in state.holders.records if holder.sharing_group != group
        ],
    )


def incremental_update(state: CoordinationState, group: str, since: int) -> DirectoryUpdate | None:
    """Return what changed for a group since a revision; None if the history is too short."""
    touched = state.history.changes_since(since, group)
    if touched is None:
        return None
    update = DirectoryUpdate(since, state.history.digest(group), [])
    for instance in touched.members:
        member = state.members.get(instance)
        if member is None:
            update.removed_members.append(instance)
        else:
            update.members.append(member)
    for name in touched.neighbours:
        neighbour = state.gateways.get(name)
        is_known = neighbour is not None and neighbour.sharing_group == group
        _add_record(
            name, neighbour if is_known else None, update.neighbours, update.removed_neighbours
        )
    for name in touched.remote_holders:
        holder = state.holders.get(name)
        is_known = holder is not None and holder.sharing_group != group
        _add_record(
            name, holder if is_known else None, update.remote_holders, update.removed_remote_holders
        )
    return update


def _add_record(
    name: str, record: GatewayRecord | None, present: list[GatewayRecord], gone: list[str]
) -> None:
    if record is None:
        gone.append(name)
    else:
        present.append(record)
