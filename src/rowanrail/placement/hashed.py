"""Which gateway of a zone holds a service's connections, and how many it may open.

Functions of what the directory says; every gateway works out the same from the same directory.

Owns nothing and relies on nothing: plain values in, names and numbers out.
"""

import functools
import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = [
    "DEMAND_AGGREGATOR",
    "MINIMUM_CONNECTIONS",
    "SHARDS",
    "Population",
    "Shard",
    "rendezvous_score",
    "connection_limit",
    "even_share",
    "is_shared",
    "planned_limit",
    "rank",
    "shards_of",
]

RESERVED_CONNECTIONS = 3  # of a member, for the questions of control nodes
MINIMUM_CONNECTIONS = 2  # one that is in use and one that is being opened
# Chosen: times an even share, since demand differs between gateways; a full member refuses without
# harm.
DEMAND_FACTOR = 2
ASSUMED_GATEWAYS = 8  # chosen: until the directory says how many there are
# Chosen: connections that a region's holder may open to a member of another region. Work goes to
# the holder there, and these are for when that one can't be reached.
REMOTE_CONNECTIONS = 2
# Of a member, for the holder that takes over when one is lost: its connections still count for
# 3 s if its machine lost power; and for gateways that help while a primary is cut off. With 2 in
# place of 6, members of 58 gateways refused 5,265 starts in a day of such cuts, with 6 3,582.
SUCCESSOR_CONNECTIONS = 6
# Gateways of a region that divide a service's tenants among them. A gateway's link passes
# 250 KB a second, and a statement takes about 1.7 KB of it each way, so that one holder would be
# choked by 150 statements a second, which a primary's region gets while replicas lag.
SHARDS = 3
ROUNDING_TOLERANCE = 0.01  # connections that a share may lack by the rounding of its digits
# Key by which a region's gateways are ranked for summing the region's tenant demand.
DEMAND_AGGREGATOR = "tenants' demand"
MIN_OWN_CONNECTIONS = 3  # chosen: connections a gateway, below which a zone shares one gateway's


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


@dataclass(frozen=True, slots=True)
class Shard:
    """What a gateway holds connections for: a service, or some tenants of it.

    Parameters
    ----------
    number : int or None
        Which tenants; None for a service that is not divided.
    tenant : str
        Whose statement is placed, if one is; shards are equal whatever it is.

    Examples
    --------
    >>> Shard.of("orders", "").key, Shard.of("orders", "anna").key
    ('orders', 'orders/1')
    """

    service: str
    number: int | None = None
    tenant: str = field(default="", compare=False)

    @classmethod
    @functools.lru_cache(maxsize=4096)
    def of(cls, service: str, tenant: str) -> "Shard":
        """Return the shard to which a tenant's statements on a service belong."""
        if not tenant:
            return cls(service)
        digest = hashlib.blake2b(tenant.encode(), digest_size=4).digest()
        return cls(service, int.from_bytes(digest, "big") % SHARDS, tenant)

    @property
    def key(self) -> str:
        """The name by which gateways are ranked for it."""
        return self.service if self.number is None else f"{self.service}/{self.number}"


def shards_of(service: str) -> list[Shard]:
    """Return the shards of a service whose connections belong to tenants."""
    return [Shard(service, number) for number in range(SHARDS)]


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
    return (connections - RESERVED_CONNECTIONS) // population.gateways < MIN_OWN_CONNECTIONS


def connection_limit(
    connections: int, population: Population, is_near: bool = True, shards: int = 1
) -> int:
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
    shards : int
        How many shards of the service the gateway holds, where regions share.

    Examples
    --------
    >>> connection_limit(40, Population(7, 3))
    8
    >>> connection_limit(40, Population(1, 1))
    37
    >>> connection_limit(40, Population(72, 6))
    5
    >>> region = Population(58, 3, is_regional=True)
    >>> [connection_limit(32, region, is_near=True, shards=n) for n in (1, 2, 3)]
    [6, 12, 17]
    >>> connection_limit(32, region, is_near=False)
    2
    """
    left = connections - RESERVED_CONNECTIONS
    if population.is_regional and is_shared(connections, population):
        others = population.zones - 1
        near = left - SUCCESSOR_CONNECTIONS - others * SHARDS  # a sample's each
        share = math.ceil(near * min(shards, SHARDS) / SHARDS)
        return max(MINIMUM_CONNECTIONS, share) if is_near else REMOTE_CONNECTIONS
    if is_shared(connections, population):
        zones = max(1, population.zones)
        return max(MINIMUM_CONNECTIONS, left // zones - 1)
    share = left // (population.gateways or ASSUMED_GATEWAYS)
    return min(left, max(MINIMUM_CONNECTIONS, DEMAND_FACTOR * (share - 1)))


def even_share(population: Population) -> float:
    """Return the share of a member's connections that each holder has where nobody plans.

    Examples
    --------
    >>> even_share(Population(84, 4)), even_share(Population(90, 3, is_regional=True)) == 1 / SHARDS
    (0.25, True)
    """
    return 1 / SHARDS if population.is_regional else 1 / max(1, population.zones)


def planned_limit(
    connections: int, population: Population, share: float, samplers: int, is_near: bool = True
) -> int:
    """Return how many connections a gateway may open to one member by a plan.

    Parameters
    ----------
    connections : int
        Connections that one member takes from all gateways together.
    population : Population
        The gateways among which they are divided.
    share : float
        The gateway's share of what is divided.
    samplers : int
        How many gateways open one more to sample a primary: all holders, or those of the other
        regions where regions share.
    is_near : bool
        Whether the member stands in the gateway's own region.

    Examples
    --------
    >>> zones = Population(103, 6)
    >>> [planned_limit(79, zones, share, samplers=6) for share in (1 / 6, 0.25, 0.0)]
    [11, 17, 2]
    >>> region = Population(86, 3, is_regional=True)
    >>> planned_limit(56, region, 0.5, samplers=6), planned_limit(56, region, 0.5, 6, is_near=False)
    (20, 2)
    """
    if population.is_regional and not is_near:
        return REMOTE_CONNECTIONS
    divided = connections - RESERVED_CONNECTIONS - samplers
    if population.is_regional:
        divided -= SUCCESSOR_CONNECTIONS
    return max(MINIMUM_CONNECTIONS, int(divided * share + ROUNDING_TOLERANCE))


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
    return sorted(gateways, key=lambda name: rendezvous_score(service, name), reverse=True)


def rendezvous_score(service: str, gateway: str) -> tuple[bytes, str]:
    """Return by what a gateway is compared with others for a service; the highest comes first.

    Examples
    --------
    >>> names = ["a", "b", "c"]
    >>> max(rendezvous_score("orders", name) for name in names)[1] == rank("orders", names)[0]
    True
    """
    weight = hashlib.blake2b(f"{gateway}/{service}".encode(), digest_size=8).digest()
    return weight, gateway
