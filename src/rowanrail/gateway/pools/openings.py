"""Connections to one member that are being opened, and what earlier openings have shown.

Owns the openings under way, how long one takes and the cap after a member had none left; relies on
the driver for the connections and on :mod:`rowanrail.gateway.pools.opening_rules` for the rules.
"""

from collections.abc import Callable, Iterator

from rowanrail.gateway.pools.opening_rules import (
    INITIAL_OPENING_MS,
    ConnectionCap,
    smoothed_opening,
)
from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Answer

__all__ = ["Openings"]


class Openings:
    """Openings of one pool."""

    def __init__(self, driver: MemberDriver, clock: Clock) -> None:
        self.average = INITIAL_OPENING_MS  # ms that one takes
        self._driver = driver
        self._clock = clock
        self._channels: set[Channel] = set()
        self._cap = ConnectionCap()

    def __len__(self) -> int:
        return len(self._channels)

    def __iter__(self) -> Iterator[Channel]:
        return iter(self._channels)

    def of(self, tenant: str) -> int:
        """Return how many are for a tenant."""
        return sum(channel.tenant == tenant for channel in self._channels)

    def allowed(self, limit: int) -> int:
        """Return how many connections may be open, of a limit, after what the member said."""
        return self._cap.allowed(limit, self._clock.now)

    def start(
        self, record: MemberRecord, tenant: str, respond: Callable[[Channel, Answer], None]
    ) -> None:
        """Begin to open one; ``respond`` learns how it ended."""

        def on_open(channel: Channel, answer: Answer) -> None:
            self._channels.discard(channel)
            if answer.refusal is None:
                taken = self._clock.now - channel.last_used
                self.average = smoothed_opening(self.average, taken)
            respond(channel, answer)

        channel = Channel(record.address, record.instance, on_open, tenant)
        channel.last_used = self._clock.now
        self._channels.add(channel)
        self._driver.open(record.address, record.service, record.instance, channel)

    def note_limit_reached(self, open_count: int) -> None:
        """Note that the member has no more connections than those that are open."""
        self._cap.note_limit_reached(open_count, self._clock.now)

    def close(self) -> None:
        """Close all at once."""
        for channel in list(self._channels):
            channel.close()
