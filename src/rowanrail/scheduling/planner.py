"""Works out which gateways hold what, from the demand that lasts and what gateways bear.

The load that it answers: groups of gateways that are asked for unequal amounts, services or
tenants that are more than one holder should carry, holders that the hash gave too much, slow ones.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from rowanrail.scheduling.demand import GroupDemand
from rowanrail.scheduling.group_draft import GatewayLoad, GroupDraft, HolderChange
from rowanrail.scheduling.plan import Holding, Plan, PlanCause, ShardPlan

__all__ = ["Layout", "Proposal", "SharesChange", "propose_plan", "shares_by_demand"]

# Of a member's connections that are divided evenly, whatever the demand: clients that come to a
# group all at once have to be served there until the plan follows them.
EVEN_CONNECTION_SHARE = 0.5
SHORT_FACTOR = 1.25  # shares change if one should be larger by so much: one connection in four
SHARE_DIGITS = 4  # of a share, on the wire
# By which the shares of one member's connections may miss one: above what rounding leaves, below
# the share of any zone of 19 that has gone.
SHARE_TOLERANCE = 0.01

# Of each member, for one of several holders of a shard: with fewer, a transaction at rest and an
# opening leave nothing for others, and one holder's statements wait while another's room is idle.
LEAST_CONNECTIONS = 4
MOST_HOLDERS = 4  # of a shard; each samples the primary

_ShardOf = tuple[str, str]  # a group, and the key of a shard


@dataclass(frozen=True, slots=True)
class Layout:
    """Parts of all services, and whom the hash names for each.

    Parameters
    ----------
    defaults : dict of str to dict of str to dict of str to str
        By service, by group, by the key of a shard.
    is_regional : bool
        Whether regions share: a member's connections are those of its region. Else all zones
        divide them.
    connections : mapping of str to int
        Connections that a member takes, by service; one that is missing bounds nothing.
    """

    defaults: Mapping[str, Mapping[str, Mapping[str, str]]]
    is_regional: bool = False
    connections: Mapping[str, int] = field(default_factory=dict)

    def of_group(self, group: str) -> dict[str, str]:
        """Return whom the hash names in a group, by the key of a shard."""
        services = self.defaults.values()
        return {key: name for groups in services for key, name in groups.get(group, {}).items()}

    def shards(self, service: str) -> list[_ShardOf]:
        """Return the shards of a service in all groups."""
        return [(group, key) for group, keys in self.defaults[service].items() for key in keys]

    def divided_together(self, service: str) -> list[list[_ShardOf]]:
        """Return the shards of a service, those together that divide the same connections."""
        if not self.is_regional:
            return [self.shards(service)]
        return [[(group, key) for key in keys] for group, keys in self.defaults[service].items()]


@dataclass(frozen=True, slots=True)
class SharesChange:
    """A service whose connections are divided anew.

    Parameters
    ----------
    growth : float
        By which factor the share that was shortest has grown.
    group, key : str
        Where that was.
    """

    service: str
    growth: float
    group: str
    key: str


@dataclass(frozen=True, slots=True)
class Proposal:
    """A plan that is better than the one in force, and why.

    Parameters
    ----------
    plan : Plan or None
        None if the one in force is good enough. Its number is that of the one in force.
    """

    plan: Plan | None = None
    changes: list[HolderChange] = field(default_factory=list)
    shares: list[SharesChange] = field(default_factory=list)


def shares_by_demand(rates: Mapping[_ShardOf, float]) -> dict[_ShardOf, float]:
    """Return the share of the connections for each shard: half evenly, half by demand.

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


def _most_holders(demand: Mapping[str, GroupDemand], layout: Layout) -> dict[_ShardOf, int]:
    """Return for each shard over how many holders its connections may be divided."""
    most = {}
    for service in layout.defaults:
        connections = layout.connections.get(service, LEAST_CONNECTIONS * MOST_HOLDERS**2)
        for together in layout.divided_together(service):
            for shard, share in shares_by_demand(_rates(demand, together)).items():
                enough = int(share * connections / LEAST_CONNECTIONS)
                most[shard] = max(1, min(MOST_HOLDERS, enough))
    return most


def _rates(demand: Mapping[str, GroupDemand], shards: list[_ShardOf]) -> dict[_ShardOf, float]:
    asked = {(group, key): demand.get(group, {}).get(key) for group, key in shards}
    return {shard: 0.0 if known is None else known.rate for shard, known in asked.items()}


def propose_plan(
    demand: Mapping[str, GroupDemand],
    gateways: Iterable[GatewayLoad],
    layout: Layout,
    current: Plan,
    resting: Collection[_ShardOf] = (),
) -> Proposal:
    """Return a plan that is better than the one in force, if there is one.

    Parameters
    ----------
    demand : mapping of str to mapping of str to ShardDemand
        What is asked for, by group and by the key of a shard.
    gateways : iterable of GatewayLoad
        Those that were heard a short while ago.
    layout : Layout
        What there is to hold, and whom the hash names.
    current : Plan
        The plan in force.
    resting : collection of (str, str)
        Group and shard of what was changed a short while ago; an empty group and a service for
        its shares.
    """
    drafts = _drafts(demand, gateways, layout, current)
    for draft in drafts.values():
        draft.improve(resting)
    changes = [change for draft in drafts.values() for change in draft.changes]
    planner = _Shares(demand, drafts, layout, current)
    moved = {(change.group, change.key) for change in changes}
    kept, divided, shares = [], [], []
    for service in layout.defaults:
        shards = layout.shards(service)
        is_moved = not moved.isdisjoint(shards)
        found = None if ("", service) in resting else planner.shortest(service)
        if is_moved or found is not None or planner.is_torn(service):
            divided.append(service)
        elif planner.is_named(service):
            kept.append(service)
        if found is not None:
            shares.append(found)
    if not divided and not _is_outdated(current, layout):
        return Proposal()
    groups = planner.groups(kept, divided)
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
    most = _most_holders(demand, layout)
    return {
        group: GroupDraft(
            group,
            by_group.get(group, {}),
            demand.get(group, {}),
            layout.of_group(group),
            current.groups.get(group, {}),
            {key: count for (where, key), count in most.items() if where == group},
        )
        for group in sorted(names)
    }


def _is_outdated(current: Plan, layout: Layout) -> bool:
    """Return whether the plan names something that is no more."""
    known = {shard for service in layout.defaults for shard in layout.shards(service)}
    return any((group, key) not in known for group, keys in current.groups.items() for key in keys)


def _addresses(
    groups: Mapping[str, Mapping[str, ShardPlan]], drafts: Mapping[str, GroupDraft], current: Plan
) -> dict[str, str]:
    heard = {g.name: g.address for draft in drafts.values() for g in draft.gateways.values()}
    known = {**current.addresses, **heard}
    names = {
        name for shards in groups.values() for shard in shards.values() for name in shard.gateways
    }
    return {name: known[name] for name in sorted(names) if name in known}


class _Shares:
    """Connections of each shard: as they are, and as they should be."""

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

    def is_named(self, service: str) -> bool:
        """Return whether the plan in force names a service."""
        return any(
            self._current.shard(*shard) is not None for shard in self._layout.shards(service)
        )

    def is_torn(self, service: str) -> bool:
        """Return whether it names a service in some groups only: one has come since, or gone."""
        shards = self._layout.shards(service)
        named = [shard for shard in shards if self._current.shard(*shard) is not None]
        if not named:
            return False
        # A group that has gone took its share with it.
        total = sum(planned.share for shard in named if (planned := self._current.shard(*shard)))
        sets = len(self._layout.divided_together(service))
        return len(named) < len(shards) or total < sets - SHARE_TOLERANCE

    def shortest(self, service: str) -> SharesChange | None:
        """Return the shard that lacks most of its share, None if none is short by much."""
        worst: SharesChange | None = None
        for together in self._layout.divided_together(service):
            for shard, share in self._wanted(together).items():
                short = share / self._share_now(shard, len(together))
                if short >= SHORT_FACTOR and (worst is None or short > worst.growth):
                    worst = SharesChange(service, short, *shard)
        return worst

    def _share_now(self, shard: _ShardOf, count: int) -> float:
        planned = self._current.shard(*shard)
        return planned.share if planned is not None else 1 / count

    def _wanted(self, together: list[_ShardOf]) -> dict[_ShardOf, float]:
        return shares_by_demand(_rates(self._demand, together))

    def groups(self, kept: list[str], divided: list[str]) -> dict[str, dict[str, ShardPlan]]:
        """Return the whole plan: some services as they are named now, some anew."""
        groups: dict[str, dict[str, ShardPlan]] = {}
        for (group, key), planned in self._shards(kept, divided):
            groups.setdefault(group, {})[key] = planned
        return groups

    def _shards(self, kept: list[str], divided: list[str]) -> Iterator[tuple[_ShardOf, ShardPlan]]:
        for service in kept:
            for shard in self._layout.shards(service):
                planned = self._current.shard(*shard)
                if planned is not None:
                    yield shard, planned
        for service in divided:
            for together in self._layout.divided_together(service):
                for shard, share in self._wanted(together).items():
                    yield shard, self._planned(shard, share)

    def _planned(self, shard: _ShardOf, share: float) -> ShardPlan:
        group, key = shard
        draft = self._drafts[group]
        holders = draft.holders(key)
        each = round(share / len(holders), SHARE_DIGITS)
        return ShardPlan(
            [Holding(name, each) for name in holders], self._cause(shard), draft.is_split(key)
        )

    def _cause(self, shard: _ShardOf) -> PlanCause:
        """Return why a shard has the holders that it gets: the last change of them."""
        for change in self._drafts[shard[0]].changes:
            if change.key == shard[1]:
                return change.cause
        planned = self._current.shard(*shard)
        return PlanCause.HASH if planned is None else planned.cause
