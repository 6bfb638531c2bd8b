"""Demand for the shards of services in each group of gateways, without short peaks.

Keeps the demand of the last spans of time. The planner uses their median, so that a peak of a few
seconds moves no holder.
"""

import statistics
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["WINDOW_SPANS", "DemandWindow", "GroupDemand", "ShardDemand"]

# Spans of 5 s that are kept. A peak of 10 s is part of three of them at most, so it does not affect
# the median; a lasting change does after four spans, 20 s.
WINDOW_SPANS = 7


@dataclass(frozen=True, slots=True)
class ShardDemand:
    """Demand for one shard of a service.

    Parameters
    ----------
    rate : float
        Statements per second.
    largest_tenant_share : float
        Share of them from the tenant with most of them, 0 to 1; 0 without tenants.
    """

    rate: float
    largest_tenant_share: float = 0.0


GroupDemand = Mapping[str, ShardDemand]
"""Demand in one group, by the key of a shard."""


@dataclass(slots=True)
class DemandWindow:
    """Sliding window over the demand in all groups.

    Examples
    --------
    A peak of two spans does not change the median.

    >>> window = DemandWindow()
    >>> for rate in (10, 10, 90, 90, 10, 10):
    ...     window.add({"east": {"orders": ShardDemand(rate)}})
    >>> window.is_full
    False
    >>> window.add({"east": {"orders": ShardDemand(10)}})
    >>> window.median()["east"]["orders"].rate
    10
    """

    _spans: deque[Mapping[str, GroupDemand]] = field(
        default_factory=lambda: deque(maxlen=WINDOW_SPANS)
    )

    @property
    def is_full(self) -> bool:
        """Whether there are enough spans for a plan."""
        return len(self._spans) == WINDOW_SPANS

    def add(self, span: Mapping[str, GroupDemand]) -> None:
        """Add the demand of a span, by group."""
        self._spans.append(span)

    def clear(self) -> None:
        """Discard all spans, as they are out of date."""
        self._spans.clear()

    def median(self) -> dict[str, dict[str, ShardDemand]]:
        """Return the median of the spans, by group and shard."""
        groups = {group for span in self._spans for group in span}
        return {group: self._group_median(group) for group in groups}

    def _group_median(self, group: str) -> dict[str, ShardDemand]:
        spans = [span.get(group, {}) for span in self._spans]
        return {key: _shard_median(spans, key) for key in {key for span in spans for key in span}}


_NO_DEMAND = ShardDemand(0.0)


def _shard_median(spans: list[GroupDemand], key: str) -> ShardDemand:
    demands = [span.get(key, _NO_DEMAND) for span in spans]
    return ShardDemand(
        statistics.median(demand.rate for demand in demands),
        statistics.median(demand.largest_tenant_share for demand in demands),
    )
