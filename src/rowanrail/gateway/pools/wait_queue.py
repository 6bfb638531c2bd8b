"""Queue of requests for a connection to one member.

Adds refusal and expiry to :class:`rowanrail.scheduling.queue.WorkQueue`. A request is removed from
the queue before it is notified.
"""

from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.model.statements import Answer
from rowanrail.scheduling.queue import WorkQueue

__all__ = ["WaitQueue"]


class WaitQueue(WorkQueue[Waiter]):
    """The queue of one pool: a :class:`WorkQueue` of :class:`Waiter` that can refuse and expire."""

    def longest_wait(self, now: float) -> float:
        """Return how long the oldest request has waited, in milliseconds."""
        oldest = self.oldest
        return 0.0 if oldest is None else now - oldest

    def refuse(self, answer: Answer, tenant: str | None = None) -> None:
        """Refuse all requests, or those for a connection of one tenant."""
        for waiter in list(self):
            matches = tenant is None or waiter.tenant == tenant
            if matches and self.remove(waiter):
                waiter.respond(None, answer)

    def expire(self, waiter: Waiter) -> None:
        """Expire a request that can no longer meet its deadline."""
        if self.remove(waiter):
            waiter.expire()

    def expire_late(self, now: float, run_time: float) -> None:
        """Expire all requests that can no longer meet their deadline; times in milliseconds."""
        for waiter in self.past_deadline(now, run_time):
            self.expire(waiter)
