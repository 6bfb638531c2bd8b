"""The directory of members and gateways, as a gateway uses it.

Contains those other gateways to which links may be opened.
"""

from dataclasses import dataclass, field

from rowanrail.gateway.relay.neighbours import Neighbour
from rowanrail.model.members import MemberRecord
from rowanrail.placement.hashed import FleetSize

__all__ = ["Directory"]


@dataclass(frozen=True, slots=True)
class Directory:
    """Members and gateways at one revision.

    Parameters
    ----------
    revision : int
        Index of the last change in the control nodes' log.
    members : list of MemberRecord
        All announced members.
    population : FleetSize
        Numbers of gateways and zones that share the members' connections.
    neighbours : list of Neighbour
        Gateways of the same group that accept statements.
    remote_gateways : dict of str to list of Neighbour
        By group, gateways of other groups that hold connections.
    """

    revision: int
    members: list[MemberRecord]
    population: FleetSize = FleetSize()
    neighbours: list[Neighbour] = field(default_factory=list)
    remote_gateways: dict[str, list[Neighbour]] = field(default_factory=dict)
