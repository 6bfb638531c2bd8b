"""A connection of a pool that is wanted, or used, for a sample of the member's position.

Implements :class:`rowanrail.members.sampling_connection.ConnectionLease` on a
:class:`rowanrail.gateway.pools.pool.MemberPool`; owns the waiter that stands for it in the wait
queue, before all statements.
"""

from collections.abc import Callable

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.members.channel import Channel
from rowanrail.model.statements import Answer
from rowanrail.scheduling.queue import QueueEntry

__all__ = ["PoolLease"]

SAMPLE_URGENCY = -1  # all reads wait for a sample


class PoolLease:
    """One loan, from the wish to its end.

    Parameters
    ----------
    pool : MemberPool
        The member's connections.
    """

    def __init__(self, pool: MemberPool) -> None:
        self._pool = pool
        self._waiter: Waiter | None = None

    def request(self, take: Callable[[Channel | None, Answer], None]) -> None:
        """See :meth:`rowanrail.members.sampling_connection.ConnectionLease.request`."""
        self._waiter = Waiter(QueueEntry(SAMPLE_URGENCY, None, 0.0), {}, take)
        self._pool.acquire(self._waiter)

    def cancel(self) -> None:
        """See :meth:`rowanrail.members.sampling_connection.ConnectionLease.cancel`."""
        if self._waiter is not None:
            self._pool.queue.remove(self._waiter)

    def release(self, channel: Channel) -> None:
        """See :meth:`rowanrail.members.sampling_connection.ConnectionLease.release`."""
        self._pool.release(channel)
