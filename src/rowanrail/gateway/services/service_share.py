"""What part of a service's connections this gateway may open, and how many others share them.

A rule on plain values, without I/O: the service replaces the value when the directory or a plan
changes, and applies the limits that follow. The figures of a member's connections are those of
:mod:`rowanrail.placement.hashed`.
"""

import math
from dataclasses import dataclass, field

from rowanrail.placement.hashed import (
    ASSUMED_GATEWAYS,
    SHARDS,
    Population,
    Shard,
    connection_limit,
    even_share,
    is_shared,
    planned_limit,
)
from rowanrail.placement.planned import HANDOVER_SHARE_FACTOR, Allowance

__all__ = ["ServiceShare"]


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """The part of one service's connections that belongs to this gateway.

    Until the directory is known, the number of gateways is assumed.

    Parameters
    ----------
    connections : int
        That one member takes from all gateways together.
    population : Population
        The gateways among which they are divided.
    shards : frozenset of Shard
        Shards of the service of which statements come to this gateway.
    allowance : Allowance or None
        What a plan lets this gateway open; None if there is none, or it doesn't name the service.

    Examples
    --------
    >>> alone = ServiceShare(40, Population(1, 1))
    >>> alone.limit(is_near=True), alone.holders(is_near=True)
    (37, 1)
    >>> regions = Population(58, 3, is_regional=True)
    >>> region = ServiceShare(32, regions, frozenset({Shard("a", 0)}))
    >>> region.limit(is_near=True), region.limit(is_near=False), region.holders(is_near=True)
    (6, 2, 3)
    """

    connections: int
    population: Population = Population()
    shards: frozenset[Shard] = field(default=frozenset())
    allowance: Allowance | None = None

    @property
    def is_shared(self) -> bool:
        """Whether one gateway of each zone holds the zone's connections."""
        return is_shared(self.connections, self.population)

    @property
    def is_regional(self) -> bool:
        """Whether each region's gateways hold the connections to the members there."""
        return self.population.is_regional and self.is_shared

    @property
    def is_planned(self) -> bool:
        """Whether a plan names the holders of the service's connections."""
        return self.allowance is not None

    @property
    def planned_shards(self) -> frozenset[Shard]:
        """The shards for which the plan names this gateway."""
        return frozenset() if self.allowance is None else self.allowance.shards

    @property
    def samplers(self) -> int:
        """How many gateways sample the primary: all, or one a zone."""
        return self.population.zones if self.is_shared else self.population.gateways

    def limit(self, is_near: bool) -> int:
        """Return how many connections this gateway may open to one member.

        Parameters
        ----------
        is_near : bool
            Whether the member is in the gateway's own region.
        """
        if self.allowance is not None and self.is_shared:
            share, samplers = self._planned_share(self.allowance), self.allowance.samplers
            return planned_limit(self.connections, self.population, share, samplers, is_near)
        shards = max(1, len(self.shards))
        return connection_limit(self.connections, self.population, is_near, shards)

    def _planned_share(self, allowance: Allowance) -> float:
        """Return the share by a plan; who stands in for a holder that is down has an even one.

        A gateway that the plan does not name, or names no more, may still be asked by those that
        go by another plan, and finishes what it began.
        """
        even = even_share(self.population)
        share = allowance.share + even * len(self.shards - allowance.shards)
        return share or even * HANDOVER_SHARE_FACTOR

    def holders(self, is_near: bool) -> int:
        """Return how many gateways are thought to use a member as much as this one does."""
        if not self.is_shared:
            return self.population.gateways or ASSUMED_GATEWAYS
        if self.allowance is not None and (is_near or not self.is_regional):
            return max(1, round(1 / self._planned_share(self.allowance)))
        if not self.is_regional:
            return self.population.zones
        near = math.ceil(SHARDS / max(1, len(self.shards)))
        return near if is_near else SHARDS * self.population.zones

    def keeps_idle(self, service: str, tenant: str) -> bool:
        """Return whether idle connections of a tenant are kept for its next statement.

        What another gateway of the region is to hold is missing there: a member that both keep
        full refuses a third of them.
        """
        if self.is_regional:
            return not tenant or Shard.of(service, tenant) in self.shards
        return self.allowance is None or Shard(service) in self.shards
