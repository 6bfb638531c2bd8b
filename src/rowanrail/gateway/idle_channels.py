"""Connections to one member that nobody uses, the one that was used last at the end."""

from collections.abc import Iterator

from rowanrail.gateway.channel import Channel
from rowanrail.gateway.waiting_line import Waiter

__all__ = ["IdleChannels"]


class IdleChannels:
    """Idle connections in the order of their last use."""

    def __init__(self) -> None:
        self._channels: list[Channel] = []

    def __len__(self) -> int:
        return len(self._channels)

    def __iter__(self) -> Iterator[Channel]:
        return iter(self._channels)

    def add(self, channel: Channel) -> None:
        """Keep a connection that was just used."""
        self._channels.append(channel)

    def discard(self, channel: Channel) -> None:
        """Forget a connection that was closed."""
        if channel in self._channels:
            self._channels.remove(channel)

    def take_for(self, waiter: Waiter) -> Channel | None:
        """Remove and return a connection for somebody, one with the same values if possible."""
        usable = [channel for channel in reversed(self._channels) if waiter.takes(channel)]
        if not usable:
            return None
        for channel in usable:
            if channel.values == waiter.values and not channel.uncertain:
                break
        else:
            channel = usable[0]
        self._channels.remove(channel)
        return channel

    def take_all(self) -> list[Channel]:
        """Remove and return all."""
        channels, self._channels = self._channels, []
        return channels
