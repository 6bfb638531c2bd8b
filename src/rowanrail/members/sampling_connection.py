"""The connection on which a member is sampled: a dedicated one, or one leased from a pool.

Pools implement :class:`LeaseProvider` and :class:`ConnectionLease`; this module imports no pool.
"""

from collections.abc import Callable
from typing import Protocol

from rowanrail.members.channel import Channel
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Answer

__all__ = ["ConnectionLease", "LeaseProvider", "SampleLimit", "SamplingConnection"]


class ConnectionLease(Protocol):
    """Lease of a pooled connection for one sample."""

    def request(self, take: Callable[[Channel | None, Answer], None]) -> None:
        """Request it ahead of all queued statements; ``take`` gets it, or None and the refusal."""

    def cancel(self) -> None:
        """Withdraw the request; ``take`` is not called."""

    def release(self, channel: Channel) -> None:
        """Give it back, or drop it if it is closed."""


class LeaseProvider(Protocol):
    """Leases connections that are open for statements anyway."""

    def can_lease(self, instance: str) -> bool:
        """Return whether a connection to a member can be had at once."""

    def lease(self, instance: str) -> ConnectionLease | None:
        """Return a lease for a member, None if it is unknown."""


class SampleLimit(Protocol):
    """Limits the samples of members that warm up."""

    def may_sample(self, record: MemberRecord) -> bool:
        """Return whether a member may be sampled now."""

    def take_sample(self, record: MemberRecord) -> bool:
        """Count a sample that is about to be sent, or return False if it may not be."""

    def needs_reported_samples(self, record: MemberRecord) -> bool:
        """Return whether only other gateways may sample a member."""


class SamplingConnection:
    """Sampling state of one member, and the connection in use for it."""

    def __init__(self, record: MemberRecord) -> None:
        self.record = record
        self.channel: Channel | None = None
        self.lease: ConnectionLease | None = None
        self.is_open = False
        self.asked_at = 0.0
        self.in_flight = False
        self.opened_at = 0.0
        self.retry_at = 0.0
        self.is_at_connection_limit = False

    @property
    def is_waiting_for_lease(self) -> bool:
        """Whether it is queued for a pooled connection."""
        return self.lease is not None and self.channel is None

    def channel_closed(self) -> bool:
        """Return whether the connection is gone."""
        return self.channel is None or self.channel.closed

    def release(self) -> None:
        """Return a leased connection to the pool, or cancel the request for one."""
        lease, self.lease = self.lease, None
        if lease is None:
            return
        channel, self.channel = self.channel, None
        self.is_open = False
        if channel is None:
            lease.cancel()
        else:
            lease.release(channel)
