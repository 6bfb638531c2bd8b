"""What a gateway knows from its control nodes about members and other gateways.

Owns the one data class, in which other gateways are those that links may be opened to. Relies on
``model``, ``placement`` and ``relay`` for its fields.
"""

from dataclasses import dataclass, field

from rowanrail.gateway.relay.neighbours import Neighbour
from rowanrail.model.members import MemberRecord
from rowanrail.placement.hashed import Population

__all__ = ["Directory"]


@dataclass(frozen=True, slots=True)
class Directory:
    """Members and gateways as of one revision.

    Parameters
    ----------
    revision : int
        Place in the control nodes' log of the last change.
    members : list of MemberRecord
        All members that announced themselves.
    population : Population
        How many gateways share the members' connections.
    neighbours : list of Neighbour
        Gateways of the same zone that take statements.
    remote_gateways : dict of str to list of Neighbour
        By zone, gateways of the other zones that hold connections for it.
    """

    revision: int
    members: list[MemberRecord]
    population: Population = Population()
    neighbours: list[Neighbour] = field(default_factory=list)
    remote_gateways: dict[str, list[Neighbour]] = field(default_factory=dict)
