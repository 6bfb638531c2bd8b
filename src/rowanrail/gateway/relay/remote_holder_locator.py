"""Locates the gateway of a member's region that holds its connections.

A connection belongs to one tenant, so that many holders with few connections each would have to
open them again and again. The gateways of a member's own region hold nearly all its connections,
and other regions send work there. This costs one round trip, as the statement itself would, and
new connections are opened next to the member.

Owns whether the holder was tried, for one statement or transaction. Relies on :mod:`detours` for
the gateways of other regions.
"""

from collections.abc import Callable

from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.holder_choice import HeldLocally, HeldRemotely, HolderLocation
from rowanrail.gateway.relay.link import Link
from rowanrail.placement.hashed import Shard

__all__ = ["RemoteHolderLocator"]


class RemoteHolderLocator:
    """Locates the holder in a member's region for one statement or transaction.

    A second lookup means that nothing ran there, perhaps because the holder does not reach the
    member. The work then runs on the few connections of this gateway.

    Parameters
    ----------
    detours : Detours
        Knows the gateways of other regions.
    group : str
        The group that holds the connections to the member: its region or, where the gateways of a
        zone share connections, its zone.
    """

    __slots__ = ("_detours", "_group", "_was_tried")

    def __init__(self, detours: Detours, group: str) -> None:
        self._detours = detours
        self._group = group
        self._was_tried = False

    def locate_holder(self, shard: Shard) -> HolderLocation:
        """Return the remote holder on the first call, this gateway on later ones or without it."""
        found = self._detours.holder_in(self._group, shard)
        if self._was_tried or not isinstance(found, HeldRemotely):
            return HeldLocally()
        self._was_tried = True
        return found

    @property
    def note_answer(self) -> Callable[[Link], None]:
        """The callback that records an answer of the gateway behind a link."""
        return self._detours.note_answer
