"""The other gateways that a gateway works with.

Owns the data class that is passed to the parts of a gateway. Relies on :mod:`neighbours`,
:mod:`detours` and the plan of holders.
"""

from dataclasses import dataclass

from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.neighbours import Neighbours
from rowanrail.placement.planned import PlannedHolders

__all__ = ["NO_PEERS", "Peers"]


@dataclass(frozen=True, slots=True)
class Peers:
    """The other gateways that a gateway works with, and the plan of holders.

    Parameters
    ----------
    neighbours : Neighbours or None
        Gateways of the same group, which share connections; None if nothing is shared.
    detours : Detours or None
        Gateways of other groups; None if they are not used.
    planned : PlannedHolders or None
        Holders by the control nodes' plan; None if holders are chosen by rendezvous hashing only.
    """

    neighbours: Neighbours | None = None
    detours: Detours | None = None
    planned: PlannedHolders | None = None


NO_PEERS = Peers()
