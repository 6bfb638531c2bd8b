"""Work at the gateway that holds the connections to a member of another region.

A connection belongs to one tenant, so that many small holders of a member's few connections would
open them over and over. The gateways of a member's own region therefore hold nearly all of them,
and other regions send work there: one round trip, as the statement itself would take, and an
opening, where one is needed, is made next to the member.

Owns whether the holder was tried, for one statement or transaction. Relies on :mod:`detours` for
the gateways of other regions.
"""

from collections.abc import Callable

from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.holder_choice import HeldLocally, HeldRemotely, HolderLocation
from rowanrail.gateway.relay.link import Link
from rowanrail.placement.hashed import Shard

__all__ = ["RemoteHolder"]


class RemoteHolder:
    """Places one statement, or transaction, at the holder in the member's region.

    It is asked for again only if nothing ran there; then the statement runs on the few connections
    that this gateway has itself, since the holder may not reach the member.

    Parameters
    ----------
    detours : Detours
        Knows the gateways of other regions.
    region : str
        Where the member stands.
    """

    __slots__ = ("_detours", "_region", "_was_tried")

    def __init__(self, detours: Detours, region: str) -> None:
        self._detours = detours
        self._region = region
        self._was_tried = False

    def locate_holder(self, shard: Shard) -> HolderLocation:
        """See :meth:`rowanrail.gateway.relay.forwarding.HolderLocator.locate_holder`."""
        found = self._detours.holder_in(self._region, shard)
        if self._was_tried or not isinstance(found, HeldRemotely):
            return HeldLocally()
        self._was_tried = True
        return found

    @property
    def note_answer(self) -> Callable[[Link], None]:
        """See :meth:`rowanrail.gateway.relay.forwarding.HolderLocator.note_answer`."""
        return self._detours.note_answer
