"""Rendezvous hashing of services to gateways, and limits on connections to a member.

Every gateway computes the same result from the same directory.

Owns nothing and relies on nothing: pure functions on plain values.
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
    "FleetSize",
    "Shard",
    "connection_limit",
    "even_share",
    "is_shared",
    "planned_limit",
    "rank",
    "rendezvous_score",
    "shards_of",
]

RESERVED_CONNECTIONS = 3  # of each member, for queries by control nodes
MINIMUM_CONNECTIONS = 2  # one in use and one being opened
# Multiple of an even share that a gateway may open, since demand differs between gateways. A member
# without free connections refuses more without harm.
DEMAND_FACTOR = 2
ASSUMED_GATEWAYS = 8  # until the directory says how many there are
# Connections that a gateway may open to a member of another region. Work goes to the holder there;
# these are for when that holder can't be reached.
REMOTE_CONNECTIONS = 2
# Connections of a member that are left for gateways that take over: a lost holder's connections may
# count for 3 s more, and other gateways serve as a detour while a primary is cut off. With 2 in
# place of 6, members of 58 gateways refused 5,265 connections in a day of such partitions; with 6,
# 3,582.
SUCCESSOR_CONNECTIONS = 6
# Shards of a service, by tenant, in a region that shares connections: several links then carry the
# statements that the primary's region gets while replicas lag. A gateway's link carries 250 KB/s
# and a statement takes 1.7 KB each way, so that 150 statements a second would saturate one holder.
SHARDS = 3
ROUNDING_TOLERANCE = 0.01  # connections; compensates the rounding of shares in a plan
# Key for which a region's gateways are ranked to choose the one that sums tenants' demand.
DEMAND_AGGREGATOR = "tenants' demand"
MIN_OWN_CONNECTIONS = 3  # per gateway; with fewer, the gateways of a zone share a holder's


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The number of gateways, and of the zones or regions that they are in.

    Parameters
    ----------
    gateways : int
        Number of gateways of the system; 0 if not known yet.
    zones : int
        Number of zones with at least one gateway; of regions if ``is_regional``.
    is_regional : bool
        Whether connections are shared by the gateways of a region rather than of a zone.
    """

    gateways: int = 0
    zones: int = 0
    is_regional: bool = False


@dataclass(frozen=True, slots=True)
class Shard:
    """A unit of placement: a service, or the part of it that belongs to some tenants.

    Parameters
    ----------
    service : str
        Name of the service.
    number : int or None
        Index of the tenants' part; None for a service that is not divided.
    tenant : str
        Tenant of the statement that is placed; empty if there is none. Not compared.

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
        """Return the shard of a tenant's statements; the whole service if there is no tenant."""
        if not tenant:
            return cls(service)
        digest = hashlib.blake2b(tenant.encode(), digest_size=4).digest()
        return cls(service, int.from_bytes(digest, "big") % SHARDS, tenant)

    @property
    def key(self) -> str:
        """The key for which gateways are ranked."""
        return self.service if self.number is None else f"{self.service}/{self.number}"


def shards_of(service: str) -> list[Shard]:
    """Return all shards of a service that is divided by tenant."""
    return [Shard(service, number) for number in range(SHARDS)]


def is_shared(connections: int, fleet_size: FleetSize) -> bool:
    """Return whether gateways share a holder's connections instead of opening their own.

    Parameters
    ----------
    connections : int
        Connections that one member accepts from all gateways together.
    fleet_size : FleetSize
        The gateways among which they are divided.

    Examples
    --------
    >>> is_shared(40, FleetSize(7, 3))
    False
    >>> is_shared(40, FleetSize(72, 6))
    True
    """
    if fleet_size.gateways <= fleet_size.zones:
        return False  # no gateway has a neighbour to share with
    if fleet_size.is_regional:
        return True  # connections belong to tenants, so fewer holders open fewer of them
    return (connections - RESERVED_CONNECTIONS) // fleet_size.gateways < MIN_OWN_CONNECTIONS


def connection_limit(
    connections: int, fleet_size: FleetSize, is_near: bool = True, shards: int = 1
) -> int:
    """Return how many connections a gateway may open to one member without a plan.

    A gateway with connections of its own may open more than an even share, since demand is uneven.
    Where gateways share connections, this is the limit of a holder; it leaves one more connection
    for sampling the primary.

    Parameters
    ----------
    connections : int
        Connections that one member accepts from all gateways together.
    fleet_size : FleetSize
        The gateways among which they are divided.
    is_near : bool
        Whether the member is in the gateway's own region.
    shards : int
        Number of shards of the service that the gateway holds, where regions share.

    Examples
    --------
    >>> connection_limit(40, FleetSize(7, 3))
    8
    >>> connection_limit(40, FleetSize(1, 1))
    37
    >>> connection_limit(40, FleetSize(72, 6))
    5
    >>> region = FleetSize(58, 3, is_regional=True)
    >>> [connection_limit(32, region, is_near=True, shards=n) for n in (1, 2, 3)]
    [6, 12, 17]
    >>> connection_limit(32, region, is_near=False)
    2
    """
    available = connections - RESERVED_CONNECTIONS
    if fleet_size.is_regional and is_shared(connections, fleet_size):
        others = fleet_size.zones - 1
        local = available - SUCCESSOR_CONNECTIONS - others * SHARDS  # for samples
        share = math.ceil(local * min(shards, SHARDS) / SHARDS)
        return max(MINIMUM_CONNECTIONS, share) if is_near else REMOTE_CONNECTIONS
    if is_shared(connections, fleet_size):
        zones = max(1, fleet_size.zones)
        return max(MINIMUM_CONNECTIONS, available // zones - 1)
    share = available // (fleet_size.gateways or ASSUMED_GATEWAYS)
    return min(available, max(MINIMUM_CONNECTIONS, DEMAND_FACTOR * (share - 1)))


def even_share(fleet_size: FleetSize) -> float:
    """Return each holder's share of a member's connections without a plan.

    Examples
    --------
    >>> even_share(FleetSize(84, 4)), even_share(FleetSize(90, 3, is_regional=True)) == 1 / SHARDS
    (0.25, True)
    """
    return 1 / SHARDS if fleet_size.is_regional else 1 / max(1, fleet_size.zones)


def planned_limit(
    connections: int, fleet_size: FleetSize, share: float, samplers: int, is_near: bool = True
) -> int:
    """Return how many connections a gateway may open to one member by a plan.

    Parameters
    ----------
    connections : int
        Connections that one member accepts from all gateways together.
    fleet_size : FleetSize
        The gateways among which they are divided.
    share : float
        The gateway's share of the connections, between 0 and 1.
    samplers : int
        Number of gateways that open one more connection to sample a primary: all holders, or those
        of the other regions where regions share.
    is_near : bool
        Whether the member is in the gateway's own region.

    Examples
    --------
    >>> zones = FleetSize(103, 6)
    >>> [planned_limit(79, zones, share, samplers=6) for share in (1 / 6, 0.25, 0.0)]
    [11, 17, 2]
    >>> region = FleetSize(86, 3, is_regional=True)
    >>> planned_limit(56, region, 0.5, samplers=6), planned_limit(56, region, 0.5, 6, is_near=False)
    (20, 2)
    """
    if fleet_size.is_regional and not is_near:
        return REMOTE_CONNECTIONS
    divided = connections - RESERVED_CONNECTIONS - samplers
    if fleet_size.is_regional:
        divided -= SUCCESSOR_CONNECTIONS
    return max(MINIMUM_CONNECTIONS, int(divided * share + ROUNDING_TOLERANCE))


def rank(service: str, gateways: Iterable[str]) -> list[str]:
    """Return gateways in the order in which they should hold a service's connections.

    By rendezvous hashing: a gateway that joins or leaves only moves what it holds itself.

    Parameters
    ----------
    service : str
        Name of the service, or key of a shard.
    gateways : iterable of str
        Names of the gateways of one zone or region.

    Examples
    --------
    >>> order = rank("orders", ["a", "b", "c"])
    >>> rank("orders", [name for name in order if name != order[1]]) == [order[0], order[2]]
    True
    """
    return sorted(gateways, key=lambda name: rendezvous_score(service, name), reverse=True)


def rendezvous_score(service: str, gateway: str) -> tuple[bytes, str]:
    """Return a gateway's score for a service in rendezvous hashing; the highest ranks first.

    Examples
    --------
    >>> names = ["a", "b", "c"]
    >>> max(rendezvous_score("orders", name) for name in names)[1] == rank("orders", names)[0]
    True
    """
    weight = hashlib.blake2b(f"{gateway}/{service}".encode(), digest_size=8).digest()
    return weight, gateway
