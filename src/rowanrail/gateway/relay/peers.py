"""The other gateways, as far as one gateway has to do with them.

Owns the one data class that its parts are handed. Relies on :mod:`neighbours`, :mod:`detours` and
the plan of holders.
"""

from dataclasses import dataclass

from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.neighbours import Neighbours
from rowanrail.placement.planned import PlannedHolders

__all__ = ["NO_PEERS", "Peers"]


@dataclass(frozen=True, slots=True)
class Peers:
    """The other gateways, as far as this one has to do with them.

    Parameters
    ----------
    neighbours : Neighbours or None
        Those of the same group, where connections are shared; None if they are not.
    detours : Detours or None
        Those of other groups; None if none is ever asked.
    planned : PlannedHolders or None
        Who holds connections by the control nodes' plan; None if holders are hashed.
    """

    neighbours: Neighbours | None = None
    detours: Detours | None = None
    planned: PlannedHolders | None = None


NO_PEERS = Peers()
