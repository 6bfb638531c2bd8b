"""Those who wait for a connection to one member, the most urgent first."""

import bisect
from collections.abc import Callable, Iterator

from rowanrail.gateway.channel import Channel
from rowanrail.gateway.model import Answer
from rowanrail.scheduling.queue import Entry

__all__ = ["Waiter", "WaitingLine"]


class Waiter:
    """Somebody who wants a connection.

    :param entry: how urgent it is, whose connection it needs, until when.
    :param values: session values that the connection should have already, if one has.
    :param respond: gets the connection, or None with the reason.
    """

    __slots__ = ("entry", "respond", "since", "values")

    def __init__(
        self,
        entry: Entry,
        values: dict[str, str],
        respond: Callable[[Channel | None, Answer], None],
    ) -> None:
        self.entry = entry
        self.values = values
        self.respond = respond
        self.since = 0.0

    @property
    def priority(self) -> int:
        """How urgent it is, 0 for the most urgent route."""
        return self.entry.urgency

    @property
    def tenant(self) -> str | None:
        """Whose connection it must be; None if anybody's will do."""
        return self.entry.tenant

    def takes(self, channel: Channel) -> bool:
        """Return whether a connection is of use to it."""
        return self.tenant is None or self.tenant == channel.tenant


class WaitingLine:
    """Waiters by priority, and by arrival among those of the same priority."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, Waiter]] = []
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Waiter]:
        return (entry[2] for entry in self._entries)

    def count_before(self, entry: Entry) -> int:
        """Return how many stand before one that waits, or would if it came now."""
        count = 0
        for waiter in self:
            if waiter.entry is entry or waiter.priority > entry.urgency:
                break
            count += 1
        return count

    def add(self, waiter: Waiter) -> None:
        """Put somebody behind all that are as urgent."""
        self._arrivals += 1
        bisect.insort(self._entries, (waiter.priority, self._arrivals, waiter))

    def remove(self, waiter: Waiter) -> None:
        """Forget a waiter, if it is there."""
        self._entries = [entry for entry in self._entries if entry[2] is not waiter]

    def take_for(self, channel: Channel) -> Waiter | None:
        """Remove and return the first to whom a connection is of use."""
        for place, (_, _, waiter) in enumerate(self._entries):
            if waiter.takes(channel):
                del self._entries[place]
                return waiter
        return None

    def take_all(self, tenant: str | None = None) -> list[Waiter]:
        """Remove and return all, or those who want a connection of one tenant."""
        taken = [waiter for waiter in self if tenant is None or waiter.tenant == tenant]
        for waiter in taken:
            self.remove(waiter)
        return taken
