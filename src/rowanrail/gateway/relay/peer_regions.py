"""Which other gateways may be sent the text of a statement that is bound to regions.

Text is only sent to gateways in one of the statement's regions. Gateways that share connections are
all in one region, so the rule concerns whole groups. Requests without text, as for samples and
demand, may go to any gateway.

Owns no state. Relies on :class:`Locality` for regions and on :mod:`neighbours` and :mod:`detours`
for the groups of gateways.
"""

from collections.abc import Callable, Collection

from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.holder_choice import HolderLocation
from rowanrail.gateway.relay.link import Link
from rowanrail.gateway.relay.neighbours import Neighbours
from rowanrail.gateway.services.locality import Locality
from rowanrail.placement.hashed import Shard

__all__ = ["GroupDetours", "PeerRegions"]


class PeerRegions:
    """Decides which gateways may be sent a statement's text.

    Parameters
    ----------
    locality : Locality
        Location of this gateway, and the region of each zone.
    neighbours, detours : Neighbours, Detours or None
        Gateways that share connections with this one, and those of other groups.
    """

    def __init__(
        self, locality: Locality, neighbours: Neighbours | None, detours: Detours | None
    ) -> None:
        self._locality = locality
        self._neighbours = neighbours
        self._detours = detours

    def includes_own_group(self, regions: frozenset[str] | None) -> bool:
        """Return whether the gateways that share connections with this one are all inside."""
        return regions is None or self._locality.region in regions

    def other_groups(self, regions: frozenset[str]) -> list[str]:
        """Return the other groups of which all gateways are inside."""
        if self._detours is None:
            return []
        is_within = self._locality.is_group_within
        return [group for group in self._detours.groups if is_within(group, regions)]

    def allows(self, peer: str, regions: frozenset[str]) -> bool:
        """Return whether a gateway may be sent a statement's text, False if it is unknown."""
        if self._neighbours is not None and self._neighbours.knows(peer):
            return self.includes_own_group(regions)
        groups = self._detours.groups_of(peer) if self._detours is not None else frozenset()
        return bool(groups) and all(
            self._locality.is_group_within(group, regions) for group in groups
        )


class GroupDetours:
    """Locates a gateway of some groups that reaches a service's primary.

    Parameters
    ----------
    detours : Detours
        Knows the gateways that reach a primary.
    groups : collection of str
        The groups that may be used; an empty name for the own one.
    """

    __slots__ = ("_detours", "_groups")

    def __init__(self, detours: Detours, groups: Collection[str]) -> None:
        self._detours = detours
        self._groups = groups

    def locate_holder(self, shard: Shard) -> HolderLocation:
        """Return the gateway that reaches the primary of a shard's service, if one is known."""
        return self._detours.locate_in(self._groups, shard.service)

    @property
    def note_answer(self) -> Callable[[Link], None]:
        """The callback that records an answer of the gateway behind a link."""
        return self._detours.note_answer
