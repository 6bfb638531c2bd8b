"""Those who wait for a connection to one member, and how they leave without one.

Owns the order of :class:`rowanrail.scheduling.queue.WorkQueue`; who leaves learns it here, and is
out of the queue by then.
"""

from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.model.statements import Answer
from rowanrail.scheduling.queue import WorkQueue

__all__ = ["WaitQueue"]


class WaitQueue(WorkQueue[Waiter]):
    """The wait queue of one pool."""

    def longest_wait(self, now: float) -> float:
        """Return for how many milliseconds the first of those who wait has done so."""
        oldest = self.oldest
        return 0.0 if oldest is None else now - oldest

    def refuse(self, answer: Answer, tenant: str | None = None) -> None:
        """Refuse all who wait, or those who want a connection of one tenant."""
        for waiter in list(self):
            is_meant = tenant is None or waiter.tenant == tenant
            if is_meant and self.remove(waiter):
                waiter.respond(None, answer)

    def expire(self, waiter: Waiter) -> None:
        """Tell somebody that it could no longer be answered in time."""
        if self.remove(waiter):
            waiter.expire()

    def expire_late(self, now: float, run_time: float) -> None:
        """Tell all who could no longer be answered in time; both in milliseconds."""
        for waiter in self.past_deadline(now, run_time):
            self.expire(waiter)
