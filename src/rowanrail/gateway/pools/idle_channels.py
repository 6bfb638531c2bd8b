"""Connections to one member that nobody uses, the one that was used last at the end."""

from collections.abc import Callable, Iterator

from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.members.channel import Channel

__all__ = ["IdleChannels"]

# A gap between two statements of a busy service is shorter; chosen, not measured apart.
IDLE_SECONDS = 0.6
# A connection of a tenant is kept until another tenant needs its place: opening one again takes
# 12 ms of a slot. Shorter than the 60 s after which members close idle connections; chosen.
TENANT_IDLE_SECONDS = 30.0
# At a gateway to which statements no longer come: those under way may still want it. The one that
# takes over needs the places; with both full a member refuses a third of them.
GIVEN_UP_IDLE_SECONDS = 0.1
# The same for connections of tenants beyond those that are to be left free for successors.
SPARE_IDLE_SECONDS = 2.0
KEPT_IDLE = 1  # for the next statement and for samples; each more would be one that others lack


def _idle_seconds(channel: Channel, is_kept: bool) -> float:
    """Return for how long a connection may be idle."""
    if not is_kept:
        return GIVEN_UP_IDLE_SECONDS
    return TENANT_IDLE_SECONDS if channel.tenant else IDLE_SECONDS


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

    def trim(self, now: float, is_kept: Callable[[str], bool], spare: int = 0) -> None:
        """Close those that nobody has needed for a while.

        Members count the connections of a lost gateway for seconds more; the fewer there are,
        the sooner its successor gets some.

        :param spare: how many of them there are beyond what should be kept.
        """
        surplus = len(self._channels) - KEPT_IDLE
        for place, channel in enumerate(list(self._channels)):
            kept = is_kept(channel.tenant)
            if kept and place >= surplus:
                continue
            seconds = _idle_seconds(channel, kept)
            if place < spare:
                seconds = min(seconds, SPARE_IDLE_SECONDS)
            if channel.last_used < now - seconds:
                channel.close()
