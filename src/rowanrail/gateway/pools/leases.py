"""Connections to one member that are in use, by tenant, and for how long they usually are.

Owns their count and the average length of a use, on which forecasts of waiting rest; relies on the
clock alone.
"""

from collections import Counter

from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel

__all__ = ["LATENCY_SMOOTHING", "Leases"]

LATENCY_SMOOTHING = 0.1  # of the newest answer in a moving average, about the last ten count
# About a short read within a region, so that no member starts as slow.
INITIAL_LATENCY_MS = 20.0


class Leases:
    """Leases of one pool; the idle time of a transaction is left out."""

    def __init__(self, clock: Clock) -> None:
        self.average = INITIAL_LATENCY_MS  # ms for which one is in use
        self._clock = clock
        self._of: Counter[str] = Counter()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def has_tenant_leases(self) -> bool:
        """Whether any belongs to a tenant."""
        return any(tenant for tenant, count in self._of.items() if count)

    def of(self, tenant: str) -> int:
        """Return how many are a tenant's."""
        return self._of[tenant]

    def begin(self, channel: Channel) -> None:
        """Note that a connection is in use."""
        self._count += 1
        self._of[channel.tenant] += 1
        channel.leased_at = self._clock.now

    def end(self, channel: Channel) -> None:
        """Note that it is no longer."""
        self._count -= 1
        self._of[channel.tenant] -= 1
        self.note(self._clock.now - channel.leased_at)

    def note(self, taken: float) -> None:
        """Note for how many milliseconds one was in use."""
        self.average += LATENCY_SMOOTHING * (taken - self.average)
