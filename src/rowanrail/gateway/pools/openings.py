"""Connections to one member that are being opened.

Tracks their average duration and the temporary limit after the member refused one. The rules are in
:mod:`rowanrail.gateway.pools.opening_rules`.
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
    """Connections of one pool that are being opened."""

    def __init__(self, driver: MemberDriver, clock: Clock) -> None:
        self.average = INITIAL_OPENING_MS  # duration in ms
        self._driver = driver
        self._clock = clock
        self._channels: set[Channel] = set()
        self._cap = ConnectionCap()

    def __len__(self) -> int:
        return len(self._channels)

    def __iter__(self) -> Iterator[Channel]:
        return iter(self._channels)

    def count_for(self, tenant: str) -> int:
        """Return the number of connections being opened for a tenant."""
        return sum(channel.tenant == tenant for channel in self._channels)

    def effective_limit(self, limit: int) -> int:
        """Return the limit that applies now, at most ``limit``, see :class:`ConnectionCap`."""
        return self._cap.effective_limit(limit, self._clock.now)

    def start(
        self, record: MemberRecord, tenant: str, respond: Callable[[Channel, Answer], None]
    ) -> None:
        """Start to open a connection; ``respond`` is called with how it ended."""

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
        """Record that the member refused more connections than ``open_count``."""
        self._cap.note_limit_reached(open_count, self._clock.now)

    def close(self) -> None:
        """Cancel all openings."""
        for channel in list(self._channels):
            channel.close()
