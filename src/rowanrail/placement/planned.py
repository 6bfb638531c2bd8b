"""The plan of holders as one gateway applies it: who holds a shard, and its own shares.

Shards that the plan does not name are placed by rendezvous hashing. Gateways may have different
plans for a while: a holder runs whatever it is sent, and members refuse connections beyond their
limit.

Owns the plan in force and the handover of shares. Relies on :mod:`hashed` for the order of several
holders and on ``scheduling.plan`` for the form of a plan.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from rowanrail.kernel.clock import Clock
from rowanrail.placement.hashed import Shard, rank, shards_of
from rowanrail.scheduling.plan import NO_PLAN, Plan, ShardPlan

__all__ = ["HANDOVER_MS", "Allowance", "HeldShard", "PlannedHolders"]

# Time during which a holder whose share grows keeps its old limit, and a new holder has a part of
# its share. Meanwhile the other holders learn of the plan, within a poll of 1 s, and close idle
# connections 0.1 s later.
HANDOVER_MS = 2000.0
# Part of its share that a new holder has during a handover; the former one keeps at most as much.
HANDOVER_SHARE_FACTOR = 0.5


@dataclass(frozen=True, slots=True)
class Allowance:
    """What a gateway may open of one service's connections by the plan.

    Parameters
    ----------
    share : float
        Share of each member's connections; 0 if the plan names only other gateways.
    samplers : int
        Number of holders that open one more connection to sample a primary.
    shards : frozenset of Shard
        Shards for which the plan names the gateway.
    """

    share: float
    samplers: int
    shards: frozenset[Shard]


@dataclass(frozen=True, slots=True)
class _Handover:
    """The share that a gateway has of a shard until the end of a handover."""

    until: float
    share: float


@dataclass(frozen=True, slots=True)
class HeldShard:
    """A shard that this gateway holds by the plan, with the cause of that."""

    service: str
    key: str
    share: float
    cause: str


class PlannedHolders:
    """The plan in force at a gateway.

    Parameters
    ----------
    name : str
        Name of this gateway.
    group : str
        The zone or region whose gateways share connections with it.
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, name: str, group: str, clock: Clock) -> None:
        self._name = name
        self._group = group
        self._clock = clock
        self._plan = NO_PLAN
        self._handovers: dict[str, _Handover] = {}
        self._samplers: dict[str, int] = {}

    @property
    def plan(self) -> Plan:
        """The plan in force."""
        return self._plan

    @property
    def held(self) -> dict[str, ShardPlan]:
        """The shards that the plan assigns to this gateway, by key."""
        shards = self._plan.groups.get(self._group, {})
        return {key: shard for key, shard in shards.items() if self._name in shard.gateways}

    @property
    def is_handing_over(self) -> bool:
        """Whether a shard of this gateway does not have its whole share yet."""
        now = self._clock.now
        return any(now < handover.until for handover in self._handovers.values())

    def adopt(self, plan: Plan, hashed_share: Callable[[str], float]) -> bool:
        """Put a plan in force if it is newer than the current one; return whether it is.

        Parameters
        ----------
        plan : Plan
            The plan.
        hashed_share : callable
            Takes the key of a shard; returns this gateway's share of it by rendezvous hashing.
        """
        if plan.number <= self._plan.number:
            return False
        before = self._plan.groups.get(self._group, {})
        current_shares = {key: self._share_now(key) for key in before}
        self._plan = plan
        self._samplers.clear()
        until = self._clock.now + HANDOVER_MS
        self._handovers = {
            key: _Handover(
                until, self._handover_share(share, current_shares.get(key, hashed_share(key)))
            )
            for key in self.held
            if (share := self._share(key))
        }
        return True

    @staticmethod
    def _handover_share(share: float, before: float) -> float:
        """Return the share during a handover, while others still hold what was added."""
        return min(share, before) if before else share * HANDOVER_SHARE_FACTOR

    def named_holders(self, shard: Shard) -> list[str]:
        """Return all holders that the plan names for a shard in the gateway's own group."""
        planned = self._plan.shard(self._group, shard.key)
        return [] if planned is None else planned.gateways

    def local_holders(self, shard: Shard) -> list[str]:
        """Return the holders of a shard in the gateway's own group, in the order of preference."""
        return self.holders(self._group, shard)

    def holders(self, group: str, shard: Shard) -> list[str]:
        """Return the holders that the plan names for a shard, in the order of preference.

        With several holders, clients' gateways or tenants are spread over them by rendezvous
        hashing: a holder that is added takes over a part from each of the others.
        """
        planned = self._plan.shard(group, shard.key)
        if planned is None:
            return []
        names = planned.gateways
        if len(names) == 1:
            return names
        return rank(f"{shard.key} {self._spreading_key(shard, planned)}", names)

    def _spreading_key(self, shard: Shard, planned: ShardPlan) -> str:
        if not shard.tenant:
            return self._name
        return f"{shard.tenant} {self._name}" if planned.is_split else shard.tenant

    def groups_of(self, gateway: str) -> frozenset[str]:
        """Return the groups in which the plan names a gateway as a holder."""
        return frozenset(
            group
            for group, shards in self._plan.groups.items()
            if any(gateway in shard.gateways for shard in shards.values())
        )

    def allowance(self, service: str, is_regional: bool) -> Allowance | None:
        """Return this gateway's part of a service's connections, None if the plan has none."""
        shards = shards_of(service) if is_regional else [Shard(service)]
        assigned = self._plan.groups.get(self._group, {})
        if not any(shard.key in assigned for shard in shards):
            return None
        held = frozenset(shard for shard in shards if self._holds(shard.key))
        share = sum(self._share_now(shard.key) for shard in held)
        if service not in self._samplers:
            self._samplers[service] = self._count_samplers(shards, is_regional)
        return Allowance(share, self._samplers[service], held)

    def _holds(self, key: str) -> bool:
        planned = self._plan.shard(self._group, key)
        return planned is not None and self._name in planned.gateways

    def _share_now(self, key: str) -> float:
        """Return this gateway's current share of a shard, reduced during a handover."""
        handover = self._handovers.get(key)
        if handover is not None and self._clock.now < handover.until:
            return handover.share
        return self._share(key)

    def _share(self, key: str) -> float:
        planned = self._plan.shard(self._group, key)
        if planned is None:
            return 0.0
        return sum(h.share for h in planned.holdings if h.gateway == self._name)

    def _count_samplers(self, shards: list[Shard], is_regional: bool) -> int:
        """Return how many holders open a connection to sample the primary."""
        named = {
            name
            for group, planned in self._plan.groups.items()
            if not (is_regional and group == self._group)
            for shard in shards
            if shard.key in planned
            for name in planned[shard.key].gateways
        }
        return len(named)

    def held_shards(self, services: list[str]) -> Iterator[HeldShard]:
        """Yield the shards of services that this gateway holds by the plan."""
        for service in services:
            for shard in [Shard(service), *shards_of(service)]:
                planned = self._plan.shard(self._group, shard.key)
                if planned is not None and self._holds(shard.key):
                    yield HeldShard(
                        service, shard.key, self._share_now(shard.key), planned.cause.value
                    )
