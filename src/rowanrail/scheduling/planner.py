"""Plans which gateways hold connections for which shards, from lasting demand and their load.

Balances groups of gateways with unequal demand, services or tenants that exceed the capacity of one
holder, holders to which rendezvous hashing assigned too much, and slow holders.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from rowanrail.scheduling.demand import GroupDemand
from rowanrail.scheduling.group_draft import GatewayLoad, GroupDraft, HolderChange
from rowanrail.scheduling.plan import Holding, Plan, PlanCause, ShardPlan

__all__ = ["Layout", "Proposal", "SharesChange", "propose_plan", "shares_by_demand"]

# Share of a member's connections that is divided evenly regardless of demand, so that clients that
# arrive in a group all at once are served until the next plan.
EVEN_CONNECTION_SHARE = 0.5
MIN_SHARE_GROWTH = 1.25  # factor by which a share must be too small for the shares to be changed
SHARE_DIGITS = 4  # decimal digits of a share on the wire
# Tolerance for the sum of the shares of one member's connections: above rounding errors, below the
# share of a zone that is gone, for up to 19 zones.
SHARE_TOLERANCE = 0.01

# Minimum connections to each member for one of several holders of a shard. With fewer, an idle
# transaction and an opening leave none for others, and statements of one holder wait while another
# has idle connections.
MIN_CONNECTIONS_PER_HOLDER = 4
MAX_HOLDERS = 4  # of a shard, as each of them samples the primary

_ShardId = tuple[str, str]  # group, and key of the shard


@dataclass(frozen=True, slots=True)
class Layout:
    """Shards of all services, and the gateway that rendezvous hashing assigns to each.

    Parameters
    ----------
    defaults : dict of str to dict of str to dict of str to str
        Names of gateways, by service, by group, by the key of a shard.
    is_regional : bool
        Whether a member's connections are divided within its region; otherwise all zones divide
        them.
    connections : mapping of str to int
        Maximum connections of a member, by service; a service that is missing is not limited.
    """

    defaults: Mapping[str, Mapping[str, Mapping[str, str]]]
    is_regional: bool = False
    connections: Mapping[str, int] = field(default_factory=dict)

    def group_defaults(self, group: str) -> dict[str, str]:
        """Return the gateways that hashing assigns in a group, by the key of a shard."""
        services = self.defaults.values()
        return {key: name for groups in services for key, name in groups.get(group, {}).items()}

    def shards(self, service: str) -> list[_ShardId]:
        """Return the shards of a service in all groups."""
        return [(group, key) for group, keys in self.defaults[service].items() for key in keys]

    def sharing_sets(self, service: str) -> list[list[_ShardId]]:
        """Return the shards of a service, in lists that divide the same connections."""
        if not self.is_regional:
            return [self.shards(service)]
        return [[(group, key) for key in keys] for group, keys in self.defaults[service].items()]


@dataclass(frozen=True, slots=True)
class SharesChange:
    """A change of the shares of a service's connections.

    Parameters
    ----------
    growth : float
        Factor by which the share that was most too small grows.
    group, key : str
        Group and key of the shard with that share.
    """

    service: str
    growth: float
    group: str
    key: str


@dataclass(frozen=True, slots=True)
class Proposal:
    """A better plan than the one in force, with the changes that it makes.

    Parameters
    ----------
    plan : Plan or None
        None if the plan in force is kept. It has the number of the plan in force.
    """

    plan: Plan | None = None
    changes: list[HolderChange] = field(default_factory=list)
    shares: list[SharesChange] = field(default_factory=list)


def shares_by_demand(rates: Mapping[_ShardId, float]) -> dict[_ShardId, float]:
    """Return each shard's share of the connections, one half evenly and the other by demand.

    Examples
    --------
    >>> shares_by_demand({("east", "orders"): 30.0, ("west", "orders"): 10.0})
    {('east', 'orders'): 0.625, ('west', 'orders'): 0.375}
    >>> shares_by_demand({("east", "orders"): 0.0})
    {('east', 'orders'): 1.0}
    """
    total = sum(rates.values())
    even = 1 / len(rates)
    if not total:
        return dict.fromkeys(rates, even)
    by_demand = 1 - EVEN_CONNECTION_SHARE
    return {
        shard: EVEN_CONNECTION_SHARE * even + by_demand * rate / total
        for shard, rate in rates.items()
    }


def _max_holders(demand: Mapping[str, GroupDemand], layout: Layout) -> dict[_ShardId, int]:
    """Return the maximum number of holders of each shard."""
    limits = {}
    for service in layout.defaults:
        connections = layout.connections.get(service, MIN_CONNECTIONS_PER_HOLDER * MAX_HOLDERS**2)
        for sharing_set in layout.sharing_sets(service):
            for shard, share in shares_by_demand(_rates(demand, sharing_set)).items():
                affordable = int(share * connections / MIN_CONNECTIONS_PER_HOLDER)
                limits[shard] = max(1, min(MAX_HOLDERS, affordable))
    return limits


def _rates(demand: Mapping[str, GroupDemand], shards: list[_ShardId]) -> dict[_ShardId, float]:
    demands = {(group, key): demand.get(group, {}).get(key) for group, key in shards}
    return {shard: 0.0 if known is None else known.rate for shard, known in demands.items()}


def propose_plan(
    demand: Mapping[str, GroupDemand],
    gateways: Iterable[GatewayLoad],
    layout: Layout,
    current: Plan,
    recently_changed: Collection[_ShardId] = (),
) -> Proposal:
    """Return a better plan than the one in force, if there is one.

    Parameters
    ----------
    demand : mapping of str to mapping of str to ShardDemand
        Demand by group and by the key of a shard.
    gateways : iterable of GatewayLoad
        Gateways that reported recently.
    layout : Layout
        Shards, and the gateways that rendezvous hashing assigns to them.
    current : Plan
        The plan in force.
    recently_changed : collection of (str, str)
        Group and key of shards whose holders changed recently; an empty group and the name of a
        service whose shares did. They are not changed again, except to replace lost holders.
    """
    drafts = _drafts(demand, gateways, layout, current)
    for draft in drafts.values():
        draft.improve(recently_changed)
    changes = [change for draft in drafts.values() for change in draft.changes]
    allocator = _ShareAllocator(demand, drafts, layout, current)
    moved = {(change.group, change.key) for change in changes}
    kept, reallocated, shares = [], [], []
    for service in layout.defaults:
        shards = layout.shards(service)
        is_moved = not moved.isdisjoint(shards)
        shortage = (
            None if ("", service) in recently_changed else allocator.largest_shortage(service)
        )
        if is_moved or shortage is not None or allocator.is_incomplete(service):
            reallocated.append(service)
        elif allocator.is_planned(service):
            kept.append(service)
        if shortage is not None:
            shares.append(shortage)
    if not reallocated and not _is_outdated(current, layout):
        return Proposal()
    groups = allocator.plan_groups(kept, reallocated)
    return Proposal(
        Plan(current.number, groups, _addresses(groups, drafts, current)), changes, shares
    )


def _drafts(
    demand: Mapping[str, GroupDemand],
    gateways: Iterable[GatewayLoad],
    layout: Layout,
    current: Plan,
) -> dict[str, GroupDraft]:
    by_group: dict[str, dict[str, GatewayLoad]] = {}
    for gateway in gateways:
        by_group.setdefault(gateway.group, {})[gateway.name] = gateway
    names = {group for groups in layout.defaults.values() for group in groups}
    limits = _max_holders(demand, layout)
    return {
        group: GroupDraft(
            group,
            by_group.get(group, {}),
            demand.get(group, {}),
            layout.group_defaults(group),
            current.groups.get(group, {}),
            {key: limit for (where, key), limit in limits.items() if where == group},
        )
        for group in sorted(names)
    }


def _is_outdated(current: Plan, layout: Layout) -> bool:
    """Return whether the plan contains a shard that no longer exists."""
    known = {shard for service in layout.defaults for shard in layout.shards(service)}
    return any((group, key) not in known for group, keys in current.groups.items() for key in keys)


def _addresses(
    groups: Mapping[str, Mapping[str, ShardPlan]], drafts: Mapping[str, GroupDraft], current: Plan
) -> dict[str, str]:
    reported = {g.name: g.address for draft in drafts.values() for g in draft.gateways.values()}
    known = {**current.addresses, **reported}
    names = {
        name for shards in groups.values() for shard in shards.values() for name in shard.gateways
    }
    return {name: known[name] for name in sorted(names) if name in known}


class _ShareAllocator:
    """Divides the connections of services among their shards."""

    def __init__(
        self,
        demand: Mapping[str, GroupDemand],
        drafts: Mapping[str, GroupDraft],
        layout: Layout,
        current: Plan,
    ) -> None:
        self._demand = demand
        self._drafts = drafts
        self._layout = layout
        self._current = current

    def is_planned(self, service: str) -> bool:
        """Return whether the plan in force contains a service."""
        return any(
            self._current.shard(*shard) is not None for shard in self._layout.shards(service)
        )

    def is_incomplete(self, service: str) -> bool:
        """Return whether the plan lacks a group of a service, or has one that is gone."""
        shards = self._layout.shards(service)
        planned_shards = [shard for shard in shards if self._current.shard(*shard) is not None]
        if not planned_shards:
            return False
        # The shares no longer add up to one if a group is gone.
        total = sum(
            planned.share for shard in planned_shards if (planned := self._current.shard(*shard))
        )
        sets = len(self._layout.sharing_sets(service))
        return len(planned_shards) < len(shards) or total < sets - SHARE_TOLERANCE

    def largest_shortage(self, service: str) -> SharesChange | None:
        """Return the change of the share that is most too small; None if all are large enough."""
        worst: SharesChange | None = None
        for sharing_set in self._layout.sharing_sets(service):
            for shard, share in self._target_shares(sharing_set).items():
                growth = share / self._current_share(shard, len(sharing_set))
                if growth >= MIN_SHARE_GROWTH and (worst is None or growth > worst.growth):
                    worst = SharesChange(service, growth, *shard)
        return worst

    def _current_share(self, shard: _ShardId, count: int) -> float:
        planned = self._current.shard(*shard)
        return planned.share if planned is not None else 1 / count

    def _target_shares(self, shards: list[_ShardId]) -> dict[_ShardId, float]:
        return shares_by_demand(_rates(self._demand, shards))

    def plan_groups(
        self, kept: list[str], reallocated: list[str]
    ) -> dict[str, dict[str, ShardPlan]]:
        """Return the plan of all groups: some services unchanged, the others with new shares."""
        groups: dict[str, dict[str, ShardPlan]] = {}
        for (group, key), planned in self._shard_plans(kept, reallocated):
            groups.setdefault(group, {})[key] = planned
        return groups

    def _shard_plans(
        self, kept: list[str], reallocated: list[str]
    ) -> Iterator[tuple[_ShardId, ShardPlan]]:
        for service in kept:
            for shard in self._layout.shards(service):
                planned = self._current.shard(*shard)
                if planned is not None:
                    yield shard, planned
        for service in reallocated:
            for sharing_set in self._layout.sharing_sets(service):
                for shard, share in self._target_shares(sharing_set).items():
                    yield shard, self._shard_plan(shard, share)

    def _shard_plan(self, shard: _ShardId, share: float) -> ShardPlan:
        group, key = shard
        draft = self._drafts[group]
        holders = draft.holders(key)
        each = round(share / len(holders), SHARE_DIGITS)
        return ShardPlan(
            [Holding(name, each) for name in holders], self._cause(shard), draft.is_split(key)
        )

    def _cause(self, shard: _ShardId) -> PlanCause:
        """Return the reason for the last change of a shard's holders."""
        for change in self._drafts[shard[0]].changes:
            if change.key == shard[1]:
                return change.cause
        planned = self._current.shard(*shard)
        return PlanCause.HASH if planned is None else planned.cause
