"""Idle connections to one member, in order of their last use.

Their timeouts come from :mod:`rowanrail.gateway.pools.idle_rules`.
"""

from collections.abc import Callable, Iterator

from rowanrail.gateway.pools.idle_rules import idle_timeout
from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.members.channel import Channel

__all__ = ["IdleChannels"]


class IdleChannels:
    """Idle connections, least recently used first."""

    def __init__(self) -> None:
        self._channels: list[Channel] = []

    def __len__(self) -> int:
        return len(self._channels)

    def __iter__(self) -> Iterator[Channel]:
        return iter(self._channels)

    @property
    def tenants(self) -> set[str]:
        """Tenants to which they are bound; empty for an unbound one."""
        return {channel.tenant for channel in self._channels}

    def eviction_candidate(self, is_wanted: Callable[[str], bool]) -> Channel | None:
        """Return the least recently used one, preferably of a tenant without waiting statements."""
        unwanted = (channel for channel in self._channels if not is_wanted(channel.tenant))
        return next(unwanted, next(iter(self._channels), None))

    def add(self, channel: Channel) -> None:
        """Add the most recently used connection."""
        self._channels.append(channel)

    def discard(self, channel: Channel) -> None:
        """Remove a connection that was closed, if it is there."""
        if channel in self._channels:
            self._channels.remove(channel)

    def take(self, waiter: Waiter) -> Channel | None:
        """Remove and return a connection for a waiter, None if it can use none.

        One with the same session values is preferred, as it needs no commands to set them; else
        the most recently used one, so that the others reach their idle timeout.
        """
        usable = [channel for channel in reversed(self._channels) if waiter.accepts(channel)]
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
        """Remove and return all connections."""
        channels, self._channels = self._channels, []
        return channels

    def trim(self, now: float, is_routed_here: Callable[[str], bool], surplus: int = 0) -> None:
        """Close connections that exceed their idle timeout.

        Parameters
        ----------
        now : float
            Monotonic milliseconds.
        is_routed_here : callable
            Returns whether a tenant's statements are routed to this gateway.
        surplus : int
            Number of the pool's connections that exceed the share retained without demand.
        """
        idle = list(self._channels)
        for index, channel in enumerate(idle):
            routed_here = is_routed_here(channel.tenant)
            timeout = idle_timeout(index, len(idle), surplus, routed_here, bool(channel.tenant))
            if channel.last_used < now - timeout:
                channel.close()
