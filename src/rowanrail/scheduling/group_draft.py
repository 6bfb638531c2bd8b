"""Holders in one group of gateways, while a plan is worked out: who carries what, and better ways.

All loads are statements a second, those of a slow gateway counted several times.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from rowanrail.scheduling.demand import GroupDemand, ShardDemand
from rowanrail.scheduling.plan import PlanCause, ShardPlan

__all__ = ["HolderChange", "GatewayLoad", "GroupDraft"]

# Of what one holder carries of a shard, in statements a second: half of what a link of 1.4 Mbit/s
# passes at 1.7 KB each. Above it, statements wait for the link as long as they take on it.
DIVIDE_AT = 50.0
JOIN_SHARE = 0.6  # of DIVIDE_AT, for fewer holders; less would divide and join by turns
# A holder with less, in statements a second, is left alone: three times as much, when many users
# come at once, still passes such a link; and what one gateway holds shares its connections.
SMALLEST_LOAD = 30.0
# A move has to take a quarter off the busier of the two: less, and callers see nothing of it.
WORTHWHILE = 0.75
SLOW_FACTOR = 4.0  # a slow gateway bears a quarter; chosen, so that what it holds moves
MOVES_AT_ONCE = 4  # in a group, each round; every move opens connections anew
_NO_DEMAND = ShardDemand(0.0)


@dataclass(frozen=True, slots=True)
class GatewayLoad:
    """What a gateway told of itself.

    Parameters
    ----------
    name : str
        Its name.
    group : str
        The zone or region whose gateways share connections.
    address : str
        Where it takes statements of others.
    own_rate : float
        Statements a second of its own clients; they pass its link as those that it holds do.
    is_slow : bool
        Whether its loop lags, or its links choke.
    is_settled : bool
        Whether it has been heard for long enough to be given something to hold.
    """

    name: str
    group: str
    address: str = ""
    own_rate: float = 0.0
    is_slow: bool = False
    is_settled: bool = True

    @property
    def factor(self) -> float:
        """How many times a statement counts there."""
        return SLOW_FACTOR if self.is_slow else 1.0

    @property
    def may_gain(self) -> bool:
        """Whether it may be given something to hold."""
        return self.is_settled and not self.is_slow


@dataclass(frozen=True, slots=True)
class HolderChange:
    """A shard whose holders change, with the figures that decided it.

    Parameters
    ----------
    rate : float
        Statements a second that are asked for of the shard.
    load_before, load_after : float
        Of the busiest of the gateways that it concerns.
    """

    group: str
    key: str
    before: tuple[str, ...]
    after: tuple[str, ...]
    cause: PlanCause
    rate: float
    load_before: float
    load_after: float


@dataclass(frozen=True, slots=True)
class _Move:
    key: str
    source: str
    target: str
    load_before: float
    load_after: float


@dataclass(slots=True)
class GroupDraft:
    """Holders of one group as they are, and as they become.

    Parameters
    ----------
    group : str
        Name of the group.
    gateways : dict of str to GatewayLoad
        Those of the group that were heard a short while ago.
    demand : mapping of str to ShardDemand
        By the key of a shard.
    defaults : mapping of str to str
        Whom the hash names for each shard.
    current : mapping of str to ShardPlan
        The plan in force.
    most_holders : mapping of str to int
        Over how many holders the connections of each shard may be divided.
    """

    group: str
    gateways: dict[str, GatewayLoad]
    demand: GroupDemand
    defaults: Mapping[str, str]
    current: Mapping[str, ShardPlan]
    most_holders: Mapping[str, int]
    changes: list[HolderChange] = field(default_factory=list)
    _holders: dict[str, list[str]] = field(default_factory=dict)
    _held: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for key, default in self.defaults.items():
            shard = self.current.get(key)
            self._holders[key] = shard.gateways if shard is not None else [default]
            self._count(key, 1.0)

    def holders(self, key: str) -> list[str]:
        """Return who holds a shard by the draft."""
        return self._holders[key]

    def rate(self, key: str) -> float:
        """Return the statements a second that are asked for of a shard."""
        return self.demand.get(key, _NO_DEMAND).rate

    def is_split(self, key: str) -> bool:
        """Return whether one tenant alone is more than an even share of a divided shard."""
        count = len(self._holders[key])
        return count > 1 and self.demand.get(key, _NO_DEMAND).largest_tenant_share > 1 / count

    def load(self, name: str) -> float:
        """Return what a gateway carries, a slow one several times; infinite if it is lost."""
        gateway = self.gateways.get(name)
        if gateway is None:
            return math.inf
        return (gateway.own_rate + self._held.get(name, 0.0)) * gateway.factor

    def improve(self, resting: Collection[tuple[str, str]]) -> None:
        """Replace who is lost, divide and join, and move what is worth it.

        Parameters
        ----------
        resting : collection of (str, str)
            Group and shard of what was changed a short while ago; only the lost are replaced there.
        """
        for key in self._holders:
            self._replace_lost(key)
        free = [key for key in self._holders if (self.group, key) not in resting]
        for key in free:
            self._divide(key)
        for _ in range(MOVES_AT_ONCE):
            changed = {change.key for change in self.changes}
            move = self._best_move([key for key in free if key not in changed])
            if move is None:
                break
            self._carry_out(move)

    # Changes

    def _replace_lost(self, key: str) -> None:
        """Have others hold what a gateway held that is not heard any more.

        What the hash names stands in already, and is taken first. A shard that the plan does not
        need not be named: links tell who is gone, and the hash goes on.
        """
        holders = self._holders[key]
        if key not in self.current or all(name in self.gateways for name in holders):
            return
        kept = [name for name in holders if name in self.gateways]
        missing = len(holders) - len(kept)
        default = self.gateways.get(self.defaults[key])
        stands_in = default is not None and default.may_gain and default.name not in kept
        first = [self.defaults[key]] if stands_in else []
        found = [*kept, *first, *self._least_loaded([*kept, *first], missing - len(first))]
        if found:
            self._change(key, found[: len(holders)], PlanCause.LOST)

    def _divide(self, key: str) -> None:
        rate, holders = self.rate(key), self._holders[key]
        if rate > DIVIDE_AT * len(holders):
            wanted = min(self.most_holders[key], math.ceil(rate / DIVIDE_AT))
            added = self._least_loaded(holders, wanted - len(holders))
            if added:
                self._change(key, [*holders, *added], PlanCause.DIVIDED)
        elif len(holders) > 1 and rate < JOIN_SHARE * DIVIDE_AT * (len(holders) - 1):
            busiest = max(holders, key=self.load)
            self._change(key, [name for name in holders if name != busiest], PlanCause.JOINED)

    def _best_move(self, keys: Iterable[str]) -> _Move | None:
        """Return the move that takes most off the busiest holder of which one is worth it."""
        by_holder: dict[str, list[str]] = {}
        for key in keys:
            for name in self._holders[key]:
                if name in self.gateways:
                    by_holder.setdefault(name, []).append(key)
        for source in sorted(by_holder, key=lambda name: (-self.load(name), name)):
            if self.load(source) < SMALLEST_LOAD:
                break
            moves = [move for key in by_holder[source] if (move := self._move(key, source))]
            if moves:
                return min(moves, key=lambda move: (move.load_after, move.key))
        return None

    def _move(self, key: str, source: str) -> _Move | None:
        found = self._least_loaded(self._holders[key], 1)
        if not found:
            return None
        target = found[0]
        moved = self.rate(key) / len(self._holders[key])
        before = self.load(source)
        after = max(
            before - moved * self.gateways[source].factor,
            self.load(target) + moved * self.gateways[target].factor,
        )
        if after > WORTHWHILE * before:
            return None
        return _Move(key, source, target, before, after)

    def _carry_out(self, move: _Move) -> None:
        holders = self._holders[move.key]
        after = [move.target if name == move.source else name for name in holders]
        cause = PlanCause.SLOW if self.gateways[move.source].is_slow else PlanCause.BUSY
        self._change(move.key, after, cause)

    def _change(self, key: str, after: list[str], cause: PlanCause) -> None:
        before = self._holders[key]
        concerned = {*before, *after}
        load_before = max(
            (self.load(name) for name in concerned if name in self.gateways), default=0.0
        )
        self._count(key, -1.0)
        self._holders[key] = after
        self._count(key, 1.0)
        load_after = max(self.load(name) for name in concerned if name in self.gateways)
        self.changes.append(
            HolderChange(
                self.group,
                key,
                tuple(before),
                tuple(after),
                cause,
                self.rate(key),
                load_before,
                load_after,
            )
        )

    def _count(self, key: str, sign: float) -> None:
        holders = self._holders[key]
        for name in holders:
            each = sign * self.rate(key) / len(holders)
            self._held[name] = self._held.get(name, 0.0) + each

    def _least_loaded(self, excluded: Collection[str], count: int) -> list[str]:
        """Return the gateways with the least load that may be given something to hold."""
        able = [g.name for g in self.gateways.values() if g.may_gain and g.name not in excluded]
        return sorted(able, key=lambda name: (self.load(name), name))[: max(0, count)]
