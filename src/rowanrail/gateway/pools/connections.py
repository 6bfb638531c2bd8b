"""The connections of one pool: idle, in use, held by idle transactions or being opened.

Owns all that there are of one member and their limit; relies on
:mod:`rowanrail.gateway.pools.opening_rules` for when one more is opened and on
:mod:`rowanrail.gateway.pools.idle_rules` for how long one is kept.
"""

from collections.abc import Callable

from rowanrail.gateway.pools.idle_channels import IdleChannels
from rowanrail.gateway.pools.idle_rules import surplus_connections
from rowanrail.gateway.pools.idle_transactions import IdleTransactions
from rowanrail.gateway.pools.leases import Leases
from rowanrail.gateway.pools.opening_rules import Opening, decide_opening, may_open_connection
from rowanrail.gateway.pools.openings import Openings
from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Answer

__all__ = ["Connections"]


class Connections:
    """At most ``limit`` connections to one member; each may be a tenant's."""

    def __init__(self, limit: int, driver: MemberDriver, clock: Clock) -> None:
        self.limit = limit
        self.idle = IdleChannels()
        self.leases = Leases(clock)
        self.opening = Openings(driver, clock)
        self.idle_transactions = IdleTransactions(clock)
        self._clock = clock

    @property
    def established(self) -> int:
        """Number of those that are open."""
        return len(self.idle) + len(self.leases)

    @property
    def count(self) -> int:
        """Number of those that are open or being opened."""
        return self.established + len(self.opening)

    @property
    def in_flight(self) -> int:
        """Number of those that occupy the member, those of idle transactions left out."""
        return max(0, len(self.leases) - len(self.idle_transactions)) + len(self.opening)

    @property
    def allowed(self) -> int:
        """How many there may be now."""
        return self.opening.allowed(self.limit)

    @property
    def max_in_flight(self) -> int:
        """How many can be under way: an idle transaction keeps its own."""
        return max(self.allowed, self.count) - len(self.idle_transactions)

    @property
    def is_exhausted(self) -> bool:
        """Whether all that there may be are in use."""
        return not self.idle and self.count >= self.allowed

    @property
    def can_lease(self) -> bool:
        """Whether one may be opened for a sample; it would be no tenant's."""
        return self.count < self.allowed and not self.leases.has_tenant_leases

    def may_be_released(self, tenant: str) -> bool:
        """Whether one of a tenant is in use by more than an idle transaction."""
        if self.opening.of(tenant):
            return True
        return self.leases.of(tenant) > self.idle_transactions.count_for(tenant)

    def has_connection_for(self, tenant: str | None) -> bool:
        """Whether one that is there would be of use to a tenant, now or when it comes back."""
        if tenant is None:
            return self.established > 0
        return tenant in self.idle.tenants or self.may_be_released(tenant)

    # Opening

    def should_open(self, tenant: str | None, waiting: int, waited: float) -> bool:
        """Whether one should be opened for a tenant, None for whoever comes.

        Parameters
        ----------
        waiting : int
            How many want one of the tenant.
        waited : float
            Milliseconds for which the first of them has waited.
        """
        if not may_open_connection(len(self.opening), len(self.idle), self.count, self.allowed):
            return False
        if tenant is None and self.leases.has_tenant_leases:
            return False  # the next that is released will do
        owner = tenant or ""
        verdict = decide_opening(
            waiting,
            self.opening.of(owner),
            self.may_be_released(owner),
            waited,
            self.opening.average,
        )
        return verdict is Opening.NOW

    def open(
        self,
        record: MemberRecord,
        tenant: str,
        is_wanted: Callable[[str], bool],
        respond: Callable[[Channel, Answer], None],
    ) -> bool:
        """Begin to open one, in place of an idle one if need be; return False if none may be."""
        if self.count >= self.allowed:
            self._close_idle(is_wanted)
        if self.count >= self.allowed:
            return False
        self.opening.start(record, tenant, respond)
        return True

    def _close_idle(self, is_wanted: Callable[[str], bool]) -> None:
        spare = self.idle.spare(is_wanted)
        if spare is not None:
            # Its end reaches the member before the start of the next one, which comes later.
            self.idle.discard(spare)
            spare.close()

    # Use

    def lease(self, channel: Channel) -> None:
        """Note that one is in use."""
        self.leases.begin(channel)
        channel.on_closed = lambda channel: None

    def keep(self, channel: Channel) -> None:
        """Keep one that is free, if it is of any more use."""
        if channel.busy or channel.in_transaction or self.count >= self.limit:
            channel.close()
        if channel.closed:
            return
        channel.last_used = self._clock.now
        channel.on_closed = self.idle.discard
        self.idle.add(channel)

    def trim(self, now: float, is_kept: Callable[[str], bool]) -> None:
        """Close idle ones that nobody has needed for a while, sooner if there are many.

        Parameters
        ----------
        now : float
            Steady milliseconds.
        is_kept : callable
            Says whether a tenant's statements come to this gateway.
        """
        self.idle.trim(now, is_kept, surplus_connections(self.count, self.limit))

    def set_limit(self, limit: int) -> None:
        """Change the limit; surplus idle ones are closed."""
        self.limit = limit
        while self.idle and self.count > limit:
            self._close_idle(lambda tenant: False)

    def close(self) -> None:
        """Close all that are not in use, and keep none from now on."""
        self.limit = 0
        for channel in self.idle.take_all():
            channel.close()
        self.opening.close()
