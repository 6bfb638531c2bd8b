"""Plan of the gateways that hold the connections of services, computed from measured demand.

The types are messages between control nodes and gateways; the order of their fields is part of the
wire format. :mod:`rowanrail.scheduling.planner` creates them.
"""

import enum

import msgspec

__all__ = ["NO_PLAN", "PlanCause", "Holding", "ShardPlan", "Plan"]


class PlanCause(enum.Enum):
    """Reason for the last change of a shard's holders."""

    HASH = "hash"  # none: the holder is that of rendezvous hashing, only its share is planned
    BUSY = "busy"  # a holder had a higher load than others
    SLOW = "slow"  # a holder was slow
    DIVIDED = "divided"  # holders were added, as the demand was too high for them
    JOINED = "joined"  # a holder was removed, as the demand was low
    LOST = "lost"  # a holder no longer reported


class Holding(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A gateway that holds connections for a shard.

    Parameters
    ----------
    gateway : str
        Name of the gateway.
    share : float
        Share of each member's connections that it may open for the shard, 0 to 1. All zones divide
        the connections, or, where regions share, those of the member's region.
    """

    gateway: str
    share: float


class ShardPlan(msgspec.Struct, array_like=True, frozen=True):
    """Holders of one shard of a service in one group of gateways.

    Parameters
    ----------
    holdings : list of Holding
        One or more; clients' gateways, or tenants, are distributed evenly over them.
    cause : PlanCause
        Reason for the last change of the holders.
    is_split : bool
        Whether the statements of a single tenant, too, are distributed over the holders, by the
        gateways of its clients.
    """

    holdings: list[Holding]
    cause: PlanCause = PlanCause.HASH
    is_split: bool = False

    @property
    def gateways(self) -> list[str]:
        """Names of the holders."""
        return [holding.gateway for holding in self.holdings]

    @property
    def share(self) -> float:
        """Share of each member's connections of all holders together."""
        return sum(holding.share for holding in self.holdings)


class Plan(msgspec.Struct, array_like=True, frozen=True):
    """Holders in all groups of gateways, for services that rendezvous hashing balances badly.

    Parameters
    ----------
    number : int
        Increases with each plan; the highest known one is in force. 0 if there was none.
    groups : dict of str to dict of str to ShardPlan
        By zone, or region where regions share, and by the key of a shard. A shard that is missing
        falls back to rendezvous hashing.
    addresses : dict of str to str
        Addresses at which the holders accept statements, by name.

    Examples
    --------
    >>> plan = Plan(3, {"east": {"orders": ShardPlan([Holding("g1", 0.25)])}})
    >>> plan.shard("east", "orders").gateways, plan.shard("west", "orders")
    (['g1'], None)
    """

    number: int = 0
    groups: dict[str, dict[str, ShardPlan]] = {}
    addresses: dict[str, str] = {}

    def shard(self, group: str, key: str) -> ShardPlan | None:
        """Return the plan of a shard in a group, None if rendezvous hashing applies."""
        return self.groups.get(group, {}).get(key)


NO_PLAN = Plan()
