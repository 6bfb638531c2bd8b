"""Idle transactions that hold connections to one member.

When statements have waited too long for a connection, the transactions that have been idle longest
are aborted and their connections reclaimed, see :func:`count_to_reclaim`.
"""

from collections.abc import Iterable
from itertools import takewhile
from typing import Protocol

from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel

__all__ = ["IdleTransaction", "IdleTransactions", "count_to_reclaim"]

RECLAIM_WAIT_MS = 40.0  # wait of a statement after which a connection is reclaimed for it
# Minimum idle time of a transaction; a sixth of the 3 s after which sites allow it to be aborted.
RECLAIM_IDLE_MS = 500.0


class IdleTransaction(Protocol):
    """A transaction that holds a connection while its client is idle."""

    @property
    def tenant(self) -> str:
        """Tenant of the connection that it holds."""

    channel: Channel | None

    def reclaim(self, reason: str) -> None:
        """Abort it and release its connection; the client is told at its next statement."""


def count_to_reclaim(waited: Iterable[float], idle: Iterable[float]) -> int:
    """Return how many transactions to abort, starting with the one idle longest.

    One is aborted for each statement that has waited long enough. A transaction that became idle
    recently is spared, because its client may be about to continue.

    Parameters
    ----------
    waited : iterable of float
        Time in milliseconds for which each statement has waited for a connection.
    idle : iterable of float
        Idle time of each transaction in milliseconds, longest first.

    Examples
    --------
    >>> count_to_reclaim([100, 50, 10], idle=[3000, 2000, 1000])
    2
    >>> count_to_reclaim([100, 100], idle=[3000, 400])
    1
    """
    wanted = sum(wait >= RECLAIM_WAIT_MS for wait in waited)
    return min(wanted, sum(1 for _ in takewhile(lambda time: time >= RECLAIM_IDLE_MS, idle)))


class IdleTransactions:
    """Idle transactions of one pool, the one idle longest first."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since: dict[IdleTransaction, float] = {}

    def __len__(self) -> int:
        return len(self._since)

    def count_for(self, tenant: str) -> int:
        """Return how many hold a connection of a tenant."""
        return sum(transaction.tenant == tenant for transaction in self._since)

    def add(self, transaction: IdleTransaction) -> None:
        """Record that a transaction became idle."""
        self._since[transaction] = self._clock.now

    def remove(self, transaction: IdleTransaction) -> None:
        """Record that a transaction continues or ended.

        Its idle time is excluded from the lease duration.
        """
        since = self._since.pop(transaction, None)
        if since is not None and transaction.channel is not None:
            transaction.channel.leased_at += self._clock.now - since

    def end_all(self, reason: str) -> None:
        """Abort all idle transactions."""
        for transaction in list(self._since):
            transaction.reclaim(reason)

    def reclaim(self, waiting_since: Iterable[float]) -> None:
        """Abort idle transactions for statements that have waited too long.

        Parameters
        ----------
        waiting_since : iterable of float
            Monotonic time in milliseconds at which each statement began to wait.
        """
        now = self._clock.now
        idle = list(self._since.items())
        count = count_to_reclaim(
            (now - since for since in waiting_since), (now - since for _, since in idle)
        )
        for transaction, since in idle[:count]:
            transaction.reclaim(f"it rested for {(now - since) / 1000:.1f} s while others waited")
