"""Connections of one pool: idle, leased, held by idle transactions or being opened.

The rules are in :mod:`rowanrail.gateway.pools.opening_rules` and
:mod:`rowanrail.gateway.pools.idle_rules`.
"""

from collections.abc import Callable

from rowanrail.gateway.pools.idle_channels import IdleChannels
from rowanrail.gateway.pools.idle_rules import surplus_connections
from rowanrail.gateway.pools.idle_transactions import IdleTransactions
from rowanrail.gateway.pools.leases import Leases
from rowanrail.gateway.pools.opening_rules import (
    OpeningDecision,
    decide_opening,
    may_open_connection,
)
from rowanrail.gateway.pools.openings import Openings
from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Answer

__all__ = ["Connections"]


class Connections:
    """Connections to one member, at most ``limit``; each may be bound to a tenant."""

    def __init__(self, limit: int, driver: MemberDriver, clock: Clock) -> None:
        self.limit = limit
        self.idle = IdleChannels()
        self.leases = Leases(clock)
        self.openings = Openings(driver, clock)
        self.idle_transactions = IdleTransactions(clock)
        self._clock = clock

    @property
    def established(self) -> int:
        """Number of open connections."""
        return len(self.idle) + len(self.leases)

    @property
    def count(self) -> int:
        """Number of connections that are open or being opened."""
        return self.established + len(self.openings)

    @property
    def in_flight(self) -> int:
        """Number of leases and openings that occupy the member; idle transactions do not."""
        return max(0, len(self.leases) - len(self.idle_transactions)) + len(self.openings)

    @property
    def effective_limit(self) -> int:
        """How many connections are allowed now."""
        return self.openings.effective_limit(self.limit)

    @property
    def usable(self) -> int:
        """Number of connections that may be in flight; idle transactions keep theirs."""
        return max(self.effective_limit, self.count) - len(self.idle_transactions)

    @property
    def is_exhausted(self) -> bool:
        """Whether all allowed connections are in use."""
        return not self.idle and self.count >= self.effective_limit

    @property
    def can_open_for_sample(self) -> bool:
        """Whether a connection that is bound to no tenant may be opened for a sample."""
        return self.count < self.effective_limit and not self.leases.has_tenant_leases

    def may_be_released(self, tenant: str) -> bool:
        """Whether one of a tenant is being opened, or leased by other than an idle transaction."""
        if self.openings.count_for(tenant):
            return True
        return self.leases.count_for(tenant) > self.idle_transactions.count_for(tenant)

    def has_connection_for(self, tenant: str | None) -> bool:
        """Whether a tenant can use an existing connection, now or after its release."""
        if tenant is None:
            return self.established > 0
        return tenant in self.idle.tenants or self.may_be_released(tenant)

    # Opening

    def should_open(self, tenant: str | None, waiting: int, waited: float) -> bool:
        """Whether to open a connection for waiting statements.

        Parameters
        ----------
        tenant : str or None
            Tenant whose connection is wanted; None if any will do.
        waiting : int
            Number of statements that wait for it.
        waited : float
            Time in milliseconds for which the first of them has waited.
        """
        if not may_open_connection(
            len(self.openings), len(self.idle), self.count, self.effective_limit
        ):
            return False
        if tenant is None and self.leases.has_tenant_leases:
            return False  # the next one released will do
        owner = tenant or ""
        decision = decide_opening(
            waiting,
            self.openings.count_for(owner),
            self.may_be_released(owner),
            waited,
            self.openings.average,
        )
        return decision is OpeningDecision.NOW

    def open(
        self,
        record: MemberRecord,
        tenant: str,
        is_wanted: Callable[[str], bool],
        respond: Callable[[Channel, Answer], None],
    ) -> bool:
        """Start to open a connection; return False if the limit does not allow it.

        Parameters
        ----------
        is_wanted : callable
            Returns whether statements of a tenant wait. At the limit an idle connection is closed,
            if possible one that no statement waits for.
        respond : callable
            Called with the channel and how the opening ended.
        """
        if self.count >= self.effective_limit:
            self._close_idle(is_wanted)
        if self.count >= self.effective_limit:
            return False
        self.openings.start(record, tenant, respond)
        return True

    def _close_idle(self, is_wanted: Callable[[str], bool]) -> None:
        candidate = self.idle.eviction_candidate(is_wanted)
        if candidate is not None:
            # The member sees this close before the next open, which is sent later.
            self.idle.discard(candidate)
            candidate.close()

    # Use

    def lease(self, channel: Channel) -> None:
        """Record that a connection is in use."""
        self.leases.begin(channel)
        channel.on_closed = lambda channel: None

    def take_back(self, channel: Channel) -> None:
        """Take back a released connection; close it if it cannot be reused."""
        if channel.busy or channel.in_transaction or self.count >= self.limit:
            channel.close()
        if channel.closed:
            return
        channel.last_used = self._clock.now
        channel.on_closed = self.idle.discard
        self.idle.add(channel)

    def trim(self, now: float, is_routed_here: Callable[[str], bool]) -> None:
        """Close connections that exceed their idle timeout.

        Parameters
        ----------
        now : float
            Monotonic milliseconds.
        is_routed_here : callable
            Returns whether a tenant's statements are routed to this gateway.
        """
        self.idle.trim(now, is_routed_here, surplus_connections(self.count, self.limit))

    def set_limit(self, limit: int) -> None:
        """Change the limit; close idle connections beyond it."""
        self.limit = limit
        while self.idle and self.count > limit:
            self._close_idle(lambda tenant: False)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for channel in self.idle.take_all():
            channel.close()

    def close(self) -> None:
        """Close all connections that are not leased, and keep none from now on."""
        self.limit = 0
        self.close_idle()
        self.openings.close()

    def close_leased(self) -> None:
        """Close all leased connections; their outstanding commands are answered as lost."""
        for channel in list(self.leases):
            channel.close()
