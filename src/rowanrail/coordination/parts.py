"""The directory as it is sent to a group's gateways: whole, or what changed since a revision.

Owns the packed parts of the present revision, made once for all gateways that need the same. Relies
on the state's history and on :mod:`rowanrail.directory.update_encoding`.
"""

from dataclasses import dataclass

from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import NO_REVISION, DirectoryUpdate, GatewayRecord
from rowanrail.directory.update_encoding import encode_update

__all__ = ["DirectoryParts", "PartCounts", "difference_since", "whole_for"]


@dataclass(slots=True)
class PartCounts:
    """How many parts of one kind were sent, and their bytes."""

    answers: int = 0
    bytes: int = 0

    def note(self, size: int) -> None:
        """Count one."""
        self.answers += 1
        self.bytes += size


@dataclass(frozen=True, slots=True)
class _MadePart:
    packed: bytes
    is_whole: bool


class DirectoryParts:
    """What gateways are sent, made once for all of a group that know the same.

    Parameters
    ----------
    state : CoordinationState
        The directory and its history.
    """

    def __init__(self, state: CoordinationState) -> None:
        self._state = state
        self._revision = -1
        self._made: dict[tuple[str, int], _MadePart] = {}
        self._wholes = PartCounts()
        self._differences = PartCounts()

    @property
    def state(self) -> CoordinationState:
        """The state whose directory is sent."""
        return self._state

    @property
    def counts(self) -> dict[str, PartCounts]:
        """What was sent, by kind."""
        return {"whole": self._wholes, "difference": self._differences}

    def packed(self, group: str, since: int) -> bytes:
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
            self._made.clear()
        made = self._made.get((group, since))
        if made is None:
            made = self._made[group, since] = self._make(group, since)
        (self._wholes if made.is_whole else self._differences).note(len(made.packed))
        return made.packed

    def _make(self, group: str, since: int) -> _MadePart:
        part = None if since == NO_REVISION else difference_since(self._state, group, since)
        if part is None:
            return _MadePart(encode_update(whole_for(self._state, group)), is_whole=True)
        return _MadePart(encode_update(part), is_whole=False)


def whole_for(state: CoordinationState, group: str) -> DirectoryUpdate:
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


def difference_since(state: CoordinationState, group: str, since: int) -> DirectoryUpdate | None:
    """Return what changed for a group's gateways since a revision, None if not remembered."""
    touched = state.history.since(since, group)
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
        _sort(name, neighbour if is_known else None, part.neighbours, part.removed_neighbours)
    for name in touched.others:
        holder = state.holders.get(name)
        is_known = holder is not None and holder.sharing_group != group
        _sort(name, holder if is_known else None, part.remote_holders, part.removed_remote_holders)
    return part


def _sort(
    name: str, record: GatewayRecord | None, present: list[GatewayRecord], gone: list[str]
) -> None:
    if record is None:
        gone.append(name)
    else:
        present.append(record)
