"""Lease of a pooled connection for a sample or a probe.

Implements :class:`rowanrail.members.sampling_connection.ConnectionLease` on a
:class:`rowanrail.gateway.pools.pool.MemberPool`. Its request is queued ahead of all statements.
"""

from collections.abc import Callable

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.members.channel import Channel
from rowanrail.model.statements import Answer
from rowanrail.scheduling.queue import QueueEntry

__all__ = ["PoolLease"]

SAMPLE_URGENCY = -1  # ahead of all statements, as reads wait for samples


class PoolLease:
    """Lease of one connection.

    Parameters
    ----------
    pool : MemberPool
        The pool of the member.
    """

    def __init__(self, pool: MemberPool) -> None:
        self._pool = pool
        self._waiter: Waiter | None = None

    def request(self, take: Callable[[Channel | None, Answer], None]) -> None:
        """Request the connection; ``take`` is called with it, or with None and the refusal."""
        self._waiter = Waiter(QueueEntry(SAMPLE_URGENCY, None, 0.0), {}, take)
        self._pool.acquire(self._waiter)

    def cancel(self) -> None:
        """Remove the request from the pool's queue."""
        if self._waiter is not None:
            self._pool.queue.remove(self._waiter)

    def release(self, channel: Channel) -> None:
        """Return the connection to the pool."""
        self._pool.release(channel)
