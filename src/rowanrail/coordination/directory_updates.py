"""The directory as it is sent to a group's gateways: whole, or what changed since a revision.

Owns the packed parts of the present revision, made once for all gateways that need the same. Relies
on the state's history and on :mod:`rowanrail.directory.update_encoding`.
"""

from dataclasses import dataclass

from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import NO_REVISION, DirectoryUpdate, GatewayRecord
from rowanrail.directory.update_encoding import encode_update

__all__ = ["UpdateCache", "UpdateCounts", "incremental_update", "full_update"]


@dataclass(slots=True)
class UpdateCounts:
    """How many parts of one kind were sent, and their bytes."""

    answers: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """Count one."""
        self.answers += 1
        self.bytes += size


@dataclass(frozen=True, slots=True)
class _EncodedUpdate:
    data: bytes
    is_full: bool


class UpdateCache:
    """What gateways are sent, made once for all of a group that know the same.

    Parameters
    ----------
    state : CoordinationState
        The directory and its history.
    """

    def __init__(self, state: CoordinationState) -> None:
        self._state = state
        self._revision = -1
        self._cache: dict[tuple[str, int], _EncodedUpdate] = {}
        self._full = UpdateCounts()
        self._incremental = UpdateCounts()

    @property
    def state(self) -> CoordinationState:
        """The state whose directory is sent."""
        return self._state

    @property
    def counts(self) -> dict[str, UpdateCounts]:
        """What was sent, by kind."""
        return {"whole": self._full, "difference": self._incremental}

    def encoded(self, group: str, since: int) -> bytes:
        """Return what brings a group's gateways from a revision to the newest.

        Parameters
        ----------
        group : str
            The zone or region whose gateways share connections.
        since : int
            What the gateway holds; ``NO_REVISION`` if it needs everything.
        """
        if self._state.revision != self._revision:
            self._revision = self._state.revision
            self._cache.clear()
        made = self._cache.get((group, since))
        if made is None:
            made = self._cache[group, since] = self._build(group, since)
        (self._full if made.is_full else self._incremental).add(len(made.data))
        return made.data

    def _build(self, group: str, since: int) -> _EncodedUpdate:
        part = None if since == NO_REVISION else incremental_update(self._state, group, since)
        if part is None:
            return _EncodedUpdate(encode_update(full_update(self._state, group)), is_full=True)
        return _EncodedUpdate(encode_update(part), is_full=False)


def full_update(state: CoordinationState, group: str) -> DirectoryUpdate:
    """Return the whole directory as a group's gateways know it."""
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
    """Return what changed for a group's gateways since a revision, None if not remembered."""
    touched = state.history.changes_since(since, group)
    if touched is None:
        return None
    part = DirectoryUpdate(since, state.history.digest(group), [])
    for instance in touched.members:
        member = state.members.get(instance)
        if member is None:
            part.removed_members.append(instance)
        else:
            part.members.append(member)
    for name in touched.neighbours:
        neighbour = state.gateways.get(name)
        is_known = neighbour is not None and neighbour.sharing_group == group
        _add_record(name, neighbour if is_known else None, part.neighbours, part.removed_neighbours)
    for name in touched.remote_holders:
        holder = state.holders.get(name)
        is_known = holder is not None and holder.sharing_group != group
        _add_record(
            name, holder if is_known else None, part.remote_holders, part.removed_remote_holders
        )
    return part


def _add_record(
    name: str, record: GatewayRecord | None, present: list[GatewayRecord], gone: list[str]
) -> None:
    if record is None:
        gone.append(name)
    else:
        present.append(record)
