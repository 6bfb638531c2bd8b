"""Which gateway of a zone holds a service's connections, and how many it may open.

Functions of what the directory says; every gateway works out the same from the same directory.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["METER", "Population", "connection_limit", "is_shared", "rank"]

RESERVED_CONNECTIONS = 3  # of a member, for the questions of control nodes
MINIMUM_CONNECTIONS = 2  # one that is in use and one that is being opened
DEMAND_FACTOR = 2  # demand differs between gateways; a full member refuses without harm
ASSUMED_GATEWAYS = 8  # until the directory says how many there are
# Connections that a region's holder may open to a member of another region: work goes to the
# holder there, and these are for when that one can't be reached.
FAR_CONNECTIONS = 2
# Of a member, for the holder that takes over when one is lost: its connections still count for
# 3 s if its machine went dark.
SUCCESSOR_CONNECTIONS = 6
METER = "tenants' demand"  # ranked like a service: the gateway that sums it for a region
SMALLEST_OWN_SHARE = 3  # connections a gateway; below it a zone shares one gateway's


@dataclass(frozen=True, slots=True)
class Population:
    """How many gateways there are, and in how many zones.

    Parameters
    ----------
    gateways : int
        All gateways of the system; 0 if that is not known yet.
    zones : int
        Zones that have at least one gateway; regions if those share.
    is_regional : bool
        Whether the gateways of a region share connections, in place of those of a zone.
    """

    gateways: int = 0
    zones: int = 0
    is_regional: bool = False


def is_shared(connections: int, population: Population) -> bool:
    """Return whether a service's connections are too few for each gateway to have its own.

    Parameters
    ----------
    connections : int
        Connections that one member takes from all gateways together.
    population : Population
        The gateways among which they are divided.

    Examples
    --------
    >>> is_shared(40, Population(7, 3))
    False
    >>> is_shared(40, Population(72, 6))
    True
    """
    if population.gateways <= population.zones:
        return False  # nobody has a neighbour to share with
    if population.is_regional:
        return True  # connections belong to tenants: the fewer hold them, the fewer are opened
    return (connections - RESERVED_CONNECTIONS) // population.gateways < SMALLEST_OWN_SHARE


def connection_limit(connections: int, population: Population, is_near: bool = True) -> int:
    """Return how many connections a gateway may open to one member.

    Demand is uneven, so a gateway with connections of its own may use more than an even
    share; a member that has none left refuses without harm. In a zone that shares, only
    one gateway opens any, and one more to the primary for its samples.

    Parameters
    ----------
    connections : int
        Connections that one member takes from all gateways together.
    population : Population
        The gateways among which they are divided.
    is_near : bool
        Whether the member stands in the gateway's own region.

    Examples
    --------
    >>> connection_limit(40, Population(7, 3))
    8
    >>> connection_limit(40, Population(1, 1))
    37
    >>> connection_limit(40, Population(72, 6))
    5
    >>> near, far = (connection_limit(32, Population(58, 3, True), near) for near in (True, False))
    >>> near, far
    (17, 2)
    """
    left = connections - RESERVED_CONNECTIONS
    if population.is_regional and is_shared(connections, population):
        others = population.zones - 1
        near = left - SUCCESSOR_CONNECTIONS - others * (FAR_CONNECTIONS + 1)  # and one for samples
        return max(MINIMUM_CONNECTIONS, near) if is_near else FAR_CONNECTIONS
    if is_shared(connections, population):
        zones = max(1, population.zones)
        return max(MINIMUM_CONNECTIONS, left // zones - 1)
    share = left // (population.gateways or ASSUMED_GATEWAYS)
    return min(left, max(MINIMUM_CONNECTIONS, DEMAND_FACTOR * (share - 1)))


def rank(service: str, gateways: Iterable[str]) -> list[str]:
    """Return gateways in the order in which they should hold a service's connections.

    Rendezvous hashing: a gateway that comes or goes moves only what it holds itself.

    Parameters
    ----------
    service : str
        Name of the service.
    gateways : iterable of str
        Names of the gateways of one zone.

    Examples
    --------
    >>> order = rank("orders", ["a", "b", "c"])
    >>> rank("orders", [name for name in order if name != order[1]]) == [order[0], order[2]]
    True
    """
    return sorted(gateways, key=lambda name: (_weight(service, name), name), reverse=True)


def _weight(service: str, gateway: str) -> bytes:
    return hashlib.blake2b(f"{gateway}/{service}".encode(), digest_size=8).digest()
