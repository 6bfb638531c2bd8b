"""Somebody who waits for a connection to one member.

Owns what the pool needs to choose a connection and to hand it over: for a statement
(:mod:`rowanrail.gateway.pools.queued_request`) or a sample
(:mod:`rowanrail.gateway.pools.pool_lease`).
"""

from collections.abc import Callable

from rowanrail.members.channel import Channel
from rowanrail.model.statements import Answer
from rowanrail.scheduling.queue import QueueEntry

__all__ = ["Waiter"]


class Waiter:
    """Somebody who wants a connection.

    :param entry: how urgent it is, whose connection it needs, until when.
    :param session_values: values that the connection should have already, if one has.
    :param respond: gets the connection, or None with the reason.
    :param expire: learns, in place of ``respond``, that it could no longer be answered in time.
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
        """Whose connection it must be; None if anybody's will do."""
        return self.entry.tenant

    def takes(self, channel: Channel) -> bool:
        """Return whether a connection is of use to it."""
        return self.tenant is None or self.tenant == channel.tenant
