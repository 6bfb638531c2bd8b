"""This gateway's share of a service's connections, and how many other gateways share them.

An immutable value that the service replaces when the directory or a plan changes. The connections
of a member are divided in :mod:`rowanrail.placement.hashed`.
"""

import math
from dataclasses import dataclass, field

from rowanrail.placement.hashed import (
    ASSUMED_GATEWAYS,
    SHARDS,
    FleetSize,
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
    """This gateway's share of one service's connections.

    Until the directory is known, a default number of gateways is assumed.

    Parameters
    ----------
    connections : int
        Connections that one member accepts from all gateways together.
    fleet_size : FleetSize
        The gateways that share them.
    shards : frozenset of Shard
        Shards of the service whose statements are routed to this gateway.
    allowance : Allowance or None
        What a plan allows this gateway; None without a plan that includes the service.

    Examples
    --------
    >>> single = ServiceShare(40, FleetSize(1, 1))
    >>> single.limit(is_near=True), single.holders(is_near=True)
    (37, 1)
    >>> regions = FleetSize(58, 3, is_regional=True)
    >>> region = ServiceShare(32, regions, frozenset({Shard("a", 0)}))
    >>> region.limit(is_near=True), region.limit(is_near=False), region.holders(is_near=True)
    (6, 2, 3)
    """

    connections: int
    fleet_size: FleetSize = FleetSize()
    shards: frozenset[Shard] = field(default=frozenset())
    allowance: Allowance | None = None

    @property
    def is_shared(self) -> bool:
        """Whether one gateway of each zone holds the zone's connections for the others."""
        return is_shared(self.connections, self.fleet_size)

    @property
    def is_regional(self) -> bool:
        """Whether the gateways of each region hold the connections to its members."""
        return self.fleet_size.is_regional and self.is_shared

    @property
    def is_planned(self) -> bool:
        """Whether a plan assigns the service's connections to gateways."""
        return self.allowance is not None

    @property
    def planned_shards(self) -> frozenset[Shard]:
        """The shards that the plan assigns to this gateway."""
        return frozenset() if self.allowance is None else self.allowance.shards

    @property
    def samplers(self) -> int:
        """Number of gateways that sample the primary: all, or one for each zone."""
        return self.fleet_size.zones if self.is_shared else self.fleet_size.gateways

    def limit(self, is_near: bool) -> int:
        """Return how many connections this gateway may open to one member.

        Parameters
        ----------
        is_near : bool
            Whether the member is in the gateway's own region.
        """
        if self.allowance is not None and self.is_shared:
            share, samplers = self._planned_share(self.allowance), self.allowance.samplers
            return planned_limit(self.connections, self.fleet_size, share, samplers, is_near)
        shards = max(1, len(self.shards))
        return connection_limit(self.connections, self.fleet_size, is_near, shards)

    def _planned_share(self, allowance: Allowance) -> float:
        """Return the share by a plan, plus an even share for each shard taken over from others.

        Gateways that follow another plan may still forward to a gateway without a share, so it
        keeps a reduced one to finish its work.
        """
        even = even_share(self.fleet_size)
        share = allowance.share + even * len(self.shards - allowance.shards)
        return share or even * HANDOVER_SHARE_FACTOR

    def holders(self, is_near: bool) -> int:
        """Return how many gateways are assumed to use a member as much as this one does."""
        if not self.is_shared:
            return self.fleet_size.gateways or ASSUMED_GATEWAYS
        if self.allowance is not None and (is_near or not self.is_regional):
            return max(1, round(1 / self._planned_share(self.allowance)))
        if not self.is_regional:
            return self.fleet_size.zones
        near = math.ceil(SHARDS / max(1, len(self.shards)))
        return near if is_near else SHARDS * self.fleet_size.zones

    def keeps_idle(self, service: str, tenant: str) -> bool:
        """Return whether idle connections of a tenant are kept for its next statement.

        If not, they are closed soon, because the gateway that now serves the tenant needs the
        places at the member.
        """
        if self.is_regional:
            return not tenant or Shard.of(service, tenant) in self.shards
        return self.allowance is None or Shard(service) in self.shards
