"""Which gateways hold a service's connections, by the demand that was measured: the types.

Messages between control nodes and gateways; the order of their fields is on the wire.
:mod:`rowanrail.scheduling.planner` makes them.
"""

import enum

import msgspec

__all__ = ["NO_PLAN", "PlanCause", "Holding", "ShardPlan", "Plan"]


class PlanCause(enum.Enum):
    """Why a shard is held as the plan says."""

    HASH = "hash"  # as the hash says; it is named for its share
    BUSY = "busy"  # its holder carried more than others
    SLOW = "slow"  # its holder was slow
    DIVIDED = "divided"  # more is asked for than one holder should carry
    JOINED = "joined"  # fewer holders carry it
    LOST = "lost"  # its holder was not heard any more


class Holding(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What one gateway holds of a shard.

    Parameters
    ----------
    gateway : str
        Name of the gateway.
    share : float
        Share of each member's connections that it may open for the shard, 0 to 1: of those for the
        whole system, or for the member's region where regions share.
    """

    gateway: str
    share: float


class ShardPlan(msgspec.Struct, array_like=True, frozen=True):
    """Who holds one shard of a service in one group of gateways.

    Parameters
    ----------
    holdings : list of Holding
        One or more; clients' gateways, or tenants, are spread over them evenly.
    cause : PlanCause
        Of the last change of its holders.
    is_split : bool
        Whether one tenant's statements, too, go to several holders, by its clients' gateways.
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
        """Share of each member's connections that all its holders have together."""
        return sum(holding.share for holding in self.holdings)


class Plan(msgspec.Struct, array_like=True, frozen=True):
    """Holders in all groups of gateways, of the services for which the hash isn't good enough.

    Parameters
    ----------
    number : int
        Rises with each plan; the highest that was heard is in force. 0 if there was none.
    groups : dict of str to dict of str to ShardPlan
        By zone, or region where those share, and by the key of a shard. A shard that is missing
        falls back to rendezvous hashing.
    addresses : dict of str to str
        Where the holders take statements, by name.

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
        """Return who holds a shard in a group, None if the hash says it."""
        return self.groups.get(group, {}).get(key)


NO_PLAN = Plan()
