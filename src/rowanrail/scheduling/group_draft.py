"""Assignment of shards to holders in one group of gateways, while a plan is computed.

All loads are in statements per second; those of a slow gateway are multiplied by a factor.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from rowanrail.scheduling.demand import GroupDemand, ShardDemand
from rowanrail.scheduling.plan import PlanCause, ShardPlan

__all__ = ["HolderChange", "GatewayLoad", "GroupDraft"]

# Statements per second above which a shard gets more holders: half the capacity of a link of
# 1.4 Mbit/s at 1.7 KB per statement. Above it the wait for the link is as long as the transfer.
MAX_RATE_PER_HOLDER = 50.0
# Share of that rate below which a shard gets fewer holders; the gap prevents oscillation.
JOIN_SHARE = 0.6
# Holders with less load, in statements per second, are left alone: such a link still carries three
# times as much when many users arrive at once, and a service on one gateway shares its connections.
MIN_LOAD_TO_MOVE = 30.0
# A move must reduce the higher load of the two gateways to this share; clients do not notice less.
MAX_LOAD_RATIO = 0.75
SLOW_FACTOR = 4.0  # on the load of a slow gateway, so that its shards are moved
MAX_MOVES = 4  # per round in a group, as each move opens connections
_NO_DEMAND = ShardDemand(0.0)


@dataclass(frozen=True, slots=True)
class GatewayLoad:
    """Reported load of a gateway.

    Parameters
    ----------
    name : str
        Name of the gateway.
    group : str
        The zone or region whose gateways share connections.
    address : str
        Address at which it accepts statements from other gateways.
    own_rate : float
        Statements per second of its own clients, which use its link as well.
    is_slow : bool
        Whether its event loop lags, or its links are congested.
    is_settled : bool
        Whether it has reported for long enough to be assigned shards.
    """

    name: str
    group: str
    address: str = ""
    own_rate: float = 0.0
    is_slow: bool = False
    is_settled: bool = True

    @property
    def load_factor(self) -> float:
        """Factor on its load."""
        return SLOW_FACTOR if self.is_slow else 1.0

    @property
    def accepts_shards(self) -> bool:
        """Whether it may be assigned more shards."""
        return self.is_settled and not self.is_slow


@dataclass(frozen=True, slots=True)
class HolderChange:
    """A change of a shard's holders, with the figures on which it is based.

    Parameters
    ----------
    rate : float
        Demand for the shard in statements per second.
    load_before, load_after : float
        Highest load among the affected gateways.
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
    """Draft of the holders in one group, initialized from the plan in force.

    Parameters
    ----------
    group : str
        Name of the group.
    gateways : dict of str to GatewayLoad
        Gateways of the group that reported recently.
    demand : mapping of str to ShardDemand
        By the key of a shard.
    defaults : mapping of str to str
        Gateway that rendezvous hashing assigns to each shard.
    current : mapping of str to ShardPlan
        The plan in force.
    max_holders : mapping of str to int
        Maximum number of holders of each shard.
    """

    group: str
    gateways: dict[str, GatewayLoad]
    demand: GroupDemand
    defaults: Mapping[str, str]
    current: Mapping[str, ShardPlan]
    max_holders: Mapping[str, int]
    changes: list[HolderChange] = field(default_factory=list)
    _holders: dict[str, list[str]] = field(default_factory=dict)
    _held_rates: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for key, default in self.defaults.items():
            shard = self.current.get(key)
            self._holders[key] = shard.gateways if shard is not None else [default]
            self._add_held_rate(key, 1.0)

    def holders(self, key: str) -> list[str]:
        """Return the holders of a shard in the draft."""
        return self._holders[key]

    def rate(self, key: str) -> float:
        """Return the demand for a shard in statements per second."""
        return self.demand.get(key, _NO_DEMAND).rate

    def is_split(self, key: str) -> bool:
        """Return whether a single tenant exceeds an even share of a shard with several holders."""
        count = len(self._holders[key])
        return count > 1 and self.demand.get(key, _NO_DEMAND).largest_tenant_share > 1 / count

    def load(self, name: str) -> float:
        """Return the load of a gateway; infinite if it no longer reports."""
        gateway = self.gateways.get(name)
        if gateway is None:
            return math.inf
        return (gateway.own_rate + self._held_rates.get(name, 0.0)) * gateway.load_factor

    def improve(self, recently_changed: Collection[tuple[str, str]]) -> None:
        """Replace lost holders, adjust the numbers of holders, and move shards off busy ones.

        Parameters
        ----------
        recently_changed : collection of (str, str)
            Group and key of shards that were changed recently; only lost holders are replaced
            there.
        """
        for key in self._holders:
            self._replace_lost(key)
        free = [key for key in self._holders if (self.group, key) not in recently_changed]
        for key in free:
            self._adjust_holder_count(key)
        for _ in range(MAX_MOVES):
            changed = {change.key for change in self.changes}
            move = self._best_move([key for key in free if key not in changed])
            if move is None:
                break
            self._apply_move(move)

    def _replace_lost(self, key: str) -> None:
        """Replace the holders of a planned shard that no longer report.

        The gateway of rendezvous hashing is preferred, as it has already taken over. A shard that
        is not in the plan needs no change: gateways notice the lost link, and hashing continues
        without it.
        """
        holders = self._holders[key]
        if key not in self.current or all(name in self.gateways for name in holders):
            return
        kept = [name for name in holders if name in self.gateways]
        missing = len(holders) - len(kept)
        default = self.gateways.get(self.defaults[key])
        is_default_usable = (
            default is not None and default.accepts_shards and default.name not in kept
        )
        first = [self.defaults[key]] if is_default_usable else []
        found = [*kept, *first, *self._least_loaded([*kept, *first], missing - len(first))]
        if found:
            self._set_holders(key, found[: len(holders)], PlanCause.LOST)

    def _adjust_holder_count(self, key: str) -> None:
        rate, holders = self.rate(key), self._holders[key]
        if rate > MAX_RATE_PER_HOLDER * len(holders):
            wanted = min(self.max_holders[key], math.ceil(rate / MAX_RATE_PER_HOLDER))
            added = self._least_loaded(holders, wanted - len(holders))
            if added:
                self._set_holders(key, [*holders, *added], PlanCause.DIVIDED)
        elif len(holders) > 1 and rate < JOIN_SHARE * MAX_RATE_PER_HOLDER * (len(holders) - 1):
            busiest = max(holders, key=self.load)
            self._set_holders(key, [name for name in holders if name != busiest], PlanCause.JOINED)

    def _best_move(self, keys: Iterable[str]) -> _Move | None:
        """Return the best move off the busiest holder that has one worth making."""
        by_holder: dict[str, list[str]] = {}
        for key in keys:
            for name in self._holders[key]:
                if name in self.gateways:
                    by_holder.setdefault(name, []).append(key)
        for source in sorted(by_holder, key=lambda name: (-self.load(name), name)):
            if self.load(source) < MIN_LOAD_TO_MOVE:
                break
            moves = [
                move for key in by_holder[source] if (move := self._evaluate_move(key, source))
            ]
            if moves:
                return min(moves, key=lambda move: (move.load_after, move.key))
        return None

    def _evaluate_move(self, key: str, source: str) -> _Move | None:
        found = self._least_loaded(self._holders[key], 1)
        if not found:
            return None
        target = found[0]
        moved = self.rate(key) / len(self._holders[key])
        before = self.load(source)
        after = max(
            before - moved * self.gateways[source].load_factor,
            self.load(target) + moved * self.gateways[target].load_factor,
        )
        if after > MAX_LOAD_RATIO * before:
            return None
        return _Move(key, source, target, before, after)

    def _apply_move(self, move: _Move) -> None:
        holders = self._holders[move.key]
        after = [move.target if name == move.source else name for name in holders]
        cause = PlanCause.SLOW if self.gateways[move.source].is_slow else PlanCause.BUSY
        self._set_holders(move.key, after, cause)

    def _set_holders(self, key: str, after: list[str], cause: PlanCause) -> None:
        before = self._holders[key]
        affected = {*before, *after}
        load_before = max(
            (self.load(name) for name in affected if name in self.gateways), default=0.0
        )
        self._add_held_rate(key, -1.0)
        self._holders[key] = after
        self._add_held_rate(key, 1.0)
        load_after = max(self.load(name) for name in affected if name in self.gateways)
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

    def _add_held_rate(self, key: str, sign: float) -> None:
        holders = self._holders[key]
        for name in holders:
            each = sign * self.rate(key) / len(holders)
            self._held_rates[name] = self._held_rates.get(name, 0.0) + each

    def _least_loaded(self, excluded: Collection[str], count: int) -> list[str]:
        """Return the least loaded gateways that accept more shards."""
        accepting = [
            g.name for g in self.gateways.values() if g.accepts_shards and g.name not in excluded
        ]
        return sorted(accepting, key=lambda name: (self.load(name), name))[: max(0, count)]
