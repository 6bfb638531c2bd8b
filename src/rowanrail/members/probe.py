"""The connection on which a member is sampled: its own, or one that a pool lends.

Owns the state of one question (asked, under way, crowded, when to try again); the connections are
lent and taken back through the ports :class:`Lender` and :class:`Loan`, so that members know
nothing of pools.
"""

from collections.abc import Callable
from typing import Protocol

from rowanrail.members.channel import Channel
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Answer

__all__ = ["Lender", "Loan", "Probe"]


class Loan(Protocol):
    """A connection of a pool, wanted or in use for a sample."""

    def request(self, take: Callable[[Channel | None, Answer], None]) -> None:
        """Ask for it, ahead of all statements that wait for one."""

    def cancel(self) -> None:
        """Withdraw the request; ``take`` is not called."""

    def give_back(self, channel: Channel) -> None:
        """Give it back, or drop it if it is closed."""


class Lender(Protocol):
    """Lends connections that are open for statements anyway."""

    def can_lend(self, instance: str) -> bool:
        """Return whether a connection to a member can be had at once."""

    def loan(self, instance: str) -> Loan | None:
        """Return a loan at a member, None if the member isn't known."""


class Probe:
    """The connection that samples one member: its own, or one that is borrowed each time."""

    def __init__(self, record: MemberRecord) -> None:
        self.record = record
        self.channel: Channel | None = None
        self.loan: Loan | None = None
        self.is_open = False
        self.asked_at = 0.0
        self.in_flight = False
        self.opened_at = 0.0
        self.retry_at = 0.0
        self.is_crowded = False

    @property
    def waits_for_loan(self) -> bool:
        """Whether it is in the wait queue for a connection of the pool."""
        return self.loan is not None and self.channel is None

    def channel_closed(self) -> bool:
        """Return whether the connection is gone."""
        return self.channel is None or self.channel.closed

    def give_back(self) -> None:
        """Give a borrowed connection back, or leave the wait queue."""
        loan, self.loan = self.loan, None
        if loan is None:
            return
        channel, self.channel = self.channel, None
        self.is_open = False
        if channel is None:
            loan.cancel()
        else:
            loan.give_back(channel)
