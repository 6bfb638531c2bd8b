"""A request for a connection to one member, the item of a pool's queue.

Made for a statement (:mod:`rowanrail.gateway.pools.queued_request`) or a sample
(:mod:`rowanrail.gateway.pools.pool_lease`).
"""

from collections.abc import Callable

from rowanrail.members.channel import Channel
from rowanrail.model.statements import Answer
from rowanrail.scheduling.queue import QueueEntry

__all__ = ["Waiter"]


class Waiter:
    """A request for a connection: an item of a pool's :class:`WaitQueue`.

    It has callbacks but no timer; :class:`QueuedRequest` adds the deadline checks of a statement.

    Parameters
    ----------
    entry : QueueEntry
        Urgency, tenant and deadline.
    session_values : dict
        Session values of the statement; a connection that has them already is preferred.
    respond : callable
        Called with the connection, or with None and the refusal.
    expire : callable
        Called instead of ``respond`` when the deadline can no longer be met.
    """

    __slots__ = ("entry", "expire", "respond", "since", "session_values")

    def __init__(
        self,
        entry: QueueEntry,
        session_values: dict[str, str],
        respond: Callable[[Channel | None, Answer], None],
        expire: Callable[[], None] = lambda: None,
    ) -> None:
        self.entry = entry
        self.session_values = session_values
        self.respond = respond
        self.expire = expire
        self.since = 0.0

    @property
    def tenant(self) -> str | None:
        """Tenant to which the connection must be bound; None if any will do."""
        return self.entry.tenant

    def accepts(self, channel: Channel) -> bool:
        """Return whether it can use a connection."""
        return self.tenant is None or self.tenant == channel.tenant
