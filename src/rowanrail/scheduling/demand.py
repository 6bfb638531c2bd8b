"""What is asked for in each group of gateways: what lasts, and not a short wave.

Owns the last spans of demand; a planner moves holders by their median, so that a wave of some
seconds moves nobody.
"""

import statistics
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["WINDOW_SPANS", "DemandWindow", "GroupDemand", "ShardDemand"]

# Spans of 5 s that are kept. A wave of 10 s touches three of them at most, so that the median is
# what is asked for without it; what lasts counts after four spans, 20 s.
WINDOW_SPANS = 7


@dataclass(frozen=True, slots=True)
class ShardDemand:
    """What is asked for of one shard of a service.

    Parameters
    ----------
    rate : float
        Statements a second.
    largest_tenant_share : float
        Share of them that the tenant with most of them asks for, 0 to 1; 0 without tenants.
    """

    rate: float
    largest_tenant_share: float = 0.0


GroupDemand = Mapping[str, ShardDemand]
"""Demand in one group, by the key of a shard."""


@dataclass(slots=True)
class DemandWindow:
    """The last spans of the demand in all groups.

    Examples
    --------
    A wave of two spans does not show, nor does it while more than half of them are missing.

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
        """Whether enough is known to go by it."""
        return len(self._spans) == WINDOW_SPANS

    def add(self, span: Mapping[str, GroupDemand]) -> None:
        """Note the demand of a span, by group."""
        self._spans.append(span)

    def clear(self) -> None:
        """Forget all; what was measured before is out of date."""
        self._spans.clear()

    def median(self) -> dict[str, dict[str, ShardDemand]]:
        """Return the median of the spans, by group and shard."""
        groups = {group for span in self._spans for group in span}
        return {group: self._of_group(group) for group in groups}

    def _of_group(self, group: str) -> dict[str, ShardDemand]:
        spans = [span.get(group, {}) for span in self._spans]
        return {key: _median(spans, key) for key in {key for span in spans for key in span}}


_NONE = ShardDemand(0.0)


def _median(spans: list[GroupDemand], key: str) -> ShardDemand:
    known = [span.get(key, _NONE) for span in spans]
    return ShardDemand(
        statistics.median(shard.rate for shard in known),
        statistics.median(shard.largest_tenant_share for shard in known),
    )
