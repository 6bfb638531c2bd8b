"""Transactions that hold connections to one member while their clients do nothing.

Owns since when each has been idle; whoever has waited long gets the connections of those that have
been idle longest, as :func:`count_to_end` says.
"""

from collections.abc import Iterable
from itertools import takewhile
from typing import Protocol

from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel

__all__ = ["IdleTransaction", "IdleTransactions", "count_to_end"]

PRESSURE_MS = 40.0  # of waiting, after which an idle transaction may be ended for one; chosen
LONG_IDLE_MS = 500.0  # a sixth of the 3 s after which sites let one be ended; chosen


class IdleTransaction(Protocol):
    """A transaction that holds a connection while its client does nothing."""

    @property
    def tenant(self) -> str:
        """Whose connection it holds."""

    channel: Channel | None

    def reclaim(self, reason: str) -> None:
        """End it and give the connection back; its client learns it at its next statement."""


def count_to_end(waited: Iterable[float], idle: Iterable[float]) -> int:
    """Return how many of the transactions that have been idle longest are ended.

    One for each statement that has waited under pressure, but none that has not been idle for
    long: its client may be about to go on.

    Parameters
    ----------
    waited : iterable of float
        Milliseconds for which each statement has waited for a connection.
    idle : iterable of float
        Milliseconds for which each transaction has been idle, the longest first.

    Examples
    --------
    >>> count_to_end([100, 50, 10], idle=[3000, 2000, 1000]), count_to_end([100, 100], [3000, 400])
    (2, 1)
    """
    wanted = sum(wait >= PRESSURE_MS for wait in waited)
    return min(wanted, sum(1 for _ in takewhile(lambda time: time >= LONG_IDLE_MS, idle)))


class IdleTransactions:
    """Those of one pool, the one that has been idle longest first."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since: dict[IdleTransaction, float] = {}

    def __len__(self) -> int:
        return len(self._since)

    def of(self, tenant: str) -> int:
        """Return how many hold connections of a tenant."""
        return sum(transaction.tenant == tenant for transaction in self._since)

    def add(self, transaction: IdleTransaction) -> None:
        """Note that one does nothing."""
        self._since[transaction] = self._clock.now

    def remove(self, transaction: IdleTransaction) -> None:
        """Note that one goes on, or has ended; its idle time doesn't count as use."""
        since = self._since.pop(transaction, None)
        if since is not None and transaction.channel is not None:
            transaction.channel.leased_at += self._clock.now - since

    def reclaim(self, waiting_since: Iterable[float]) -> None:
        """End those that have been idle longest for those who have waited long."""
        now = self._clock.now
        idle = list(self._since.items())
        count = count_to_end(
            (now - since for since in waiting_since), (now - since for _, since in idle)
        )
        for transaction, since in idle[:count]:
            transaction.reclaim(f"it rested for {(now - since) / 1000:.1f} s while others waited")
