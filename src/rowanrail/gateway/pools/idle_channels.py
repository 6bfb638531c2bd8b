"""Connections to one member that nobody uses, the one that was used last at the end.

Owns their order; asks :mod:`rowanrail.gateway.pools.idle_rules` how long each is kept.
"""

from collections.abc import Callable, Iterator

from rowanrail.gateway.pools.idle_rules import idle_timeout
from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.members.channel import Channel

__all__ = ["IdleChannels"]


class IdleChannels:
    """Idle connections in the order of their last use."""

    def __init__(self) -> None:
        self._channels: list[Channel] = []

    def __len__(self) -> int:
        return len(self._channels)

    def __iter__(self) -> Iterator[Channel]:
        return iter(self._channels)

    @property
    def tenants(self) -> set[str]:
        """Whose they are."""
        return {channel.tenant for channel in self._channels}

    def spare(self, is_wanted: Callable[[str], bool]) -> Channel | None:
        """Return the one to give up: unused for longest, and if possible of use to nobody now."""
        unwanted = (channel for channel in self._channels if not is_wanted(channel.tenant))
        return next(unwanted, next(iter(self._channels), None))

    def add(self, channel: Channel) -> None:
        """Keep a connection that was just used."""
        self._channels.append(channel)

    def discard(self, channel: Channel) -> None:
        """Forget a connection that was closed."""
        if channel in self._channels:
            self._channels.remove(channel)

    def take(self, waiter: Waiter) -> Channel | None:
        """Remove and return a connection for a statement, None if none is of use to it.

        One that has the same session values saves commands; else the one that was used last is
        taken, so that those used longest ago end.
        """
        usable = [channel for channel in reversed(self._channels) if waiter.takes(channel)]
        if not usable:
            return None
        for channel in usable:
            if (
                channel.session_values == waiter.session_values
                and not channel.session_state_unknown
            ):
                break
        else:
            channel = usable[0]
        self._channels.remove(channel)
        return channel

    def take_all(self) -> list[Channel]:
        """Remove and return all."""
        channels, self._channels = self._channels, []
        return channels

    def trim(self, now: float, is_kept: Callable[[str], bool], spare: int = 0) -> None:
        """Close those that nobody has needed for a while.

        Parameters
        ----------
        now : float
            Steady milliseconds.
        is_kept : callable
            Says whether a tenant's statements come to this gateway.
        spare : int
            How many connections there are beyond what should be kept.
        """
        idle = list(self._channels)
        for place, channel in enumerate(idle):
            kept = is_kept(channel.tenant)
            limit = idle_timeout(place, len(idle), spare, kept, bool(channel.tenant))
            if channel.last_used < now - limit:
                channel.close()
