"""Leased connections to one member, counted by tenant, and their average duration.

Forecasts of waiting times are based on the average.
"""

from collections import Counter
from collections.abc import Iterator

from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel

__all__ = ["LATENCY_SMOOTHING", "Leases"]

LATENCY_SMOOTHING = 0.1  # weight of the newest answer; averages about the last ten
INITIAL_LATENCY_MS = 20.0  # a short read within a region, so that no member starts as slow


class Leases:
    """Leases of one pool; the idle time of transactions is excluded from their duration."""

    def __init__(self, clock: Clock) -> None:
        self.average = INITIAL_LATENCY_MS  # duration in ms
        self._clock = clock
        self._by_tenant: Counter[str] = Counter()
        self._channels: set[Channel] = set()

    def __len__(self) -> int:
        return len(self._channels)

    def __iter__(self) -> Iterator[Channel]:
        return iter(self._channels)

    @property
    def has_tenant_leases(self) -> bool:
        """Whether any leased connection is bound to a tenant."""
        return any(tenant for tenant, count in self._by_tenant.items() if count)

    def count_for(self, tenant: str) -> int:
        """Return the number of leased connections that are bound to a tenant."""
        return self._by_tenant[tenant]

    def begin(self, channel: Channel) -> None:
        """Record the start of a lease."""
        self._channels.add(channel)
        self._by_tenant[channel.tenant] += 1
        channel.leased_at = self._clock.now

    def end(self, channel: Channel) -> None:
        """Record the end of a lease."""
        self._channels.discard(channel)
        self._by_tenant[channel.tenant] -= 1
        self.note(self._clock.now - channel.leased_at)

    def note(self, taken: float) -> None:
        """Update the average with a duration in milliseconds."""
        self.average += LATENCY_SMOOTHING * (taken - self.average)
