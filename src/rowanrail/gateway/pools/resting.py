"""Transactions that hold connections to one member while their clients do nothing."""

from collections.abc import Iterable
from typing import Protocol

from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import Channel

__all__ = ["Resting", "RestingTransactions"]

PRESSURE_SECONDS = 0.04  # of waiting for a connection, while transactions rest on theirs
LONG_REST_SECONDS = 0.5  # a sixth of the 3 s after which sites let one be ended; chosen


class Resting(Protocol):
    """A transaction that holds a connection while its client does nothing."""

    @property
    def tenant(self) -> str:
        """Whose connection it holds."""

    channel: Channel | None

    def reclaim(self, reason: str) -> None:
        """End it and give the connection back; its client learns it at its next statement."""


class RestingTransactions:
    """Those of one pool, the one that has rested longest first."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._since: dict[Resting, float] = {}

    def __len__(self) -> int:
        return len(self._since)

    def of(self, tenant: str) -> int:
        """Return how many rest on connections of a tenant."""
        return sum(transaction.tenant == tenant for transaction in self._since)

    def add(self, transaction: Resting) -> None:
        """Note that one does nothing."""
        self._since[transaction] = self._scheduler.time()

    def remove(self, transaction: Resting) -> None:
        """Note that one goes on, or has ended; its rest doesn't count as use."""
        since = self._since.pop(transaction, None)
        if since is not None and transaction.channel is not None:
            transaction.channel.leased_at += self._scheduler.time() - since

    def reclaim(self, waiting_since: Iterable[float]) -> None:
        """End those that have rested longest, one for each who has waited for long."""
        now = self._scheduler.time()
        wanted = sum(now - since >= PRESSURE_SECONDS for since in waiting_since)
        for transaction, since in list(self._since.items())[:wanted]:
            if now - since < LONG_REST_SECONDS:
                break
            transaction.reclaim(f"it rested for {now - since:.1f} s while others waited")
