"""Locates a gateway that may send statements to a member that warms up.

Owns whether a gateway was tried, for one statement or transaction. Relies on :mod:`holder_choice`
for the links.
"""

from collections.abc import Callable

from rowanrail.gateway.relay.holder_choice import HeldLocally, HeldRemotely, HolderLocation
from rowanrail.gateway.relay.link import Link
from rowanrail.placement.hashed import Shard

__all__ = ["SenderLocator"]


class SenderLocator:
    """Locates a sender for one statement or transaction.

    A second lookup means that nothing ran there. The work then stays at this gateway, which waits
    or rejects it.

    Parameters
    ----------
    find : callable
        Returns the location of a sender for a shard.
    note_answer : callable
        Records an answer of the gateway behind a link.
    """

    __slots__ = ("_find", "_note_answer", "_was_tried")

    def __init__(
        self, find: Callable[[Shard], HolderLocation], note_answer: Callable[[Link], None]
    ) -> None:
        self._find = find
        self._note_answer = note_answer
        self._was_tried = False

    def locate_holder(self, shard: Shard) -> HolderLocation:
        """Return a sender on the first call, this gateway on later ones or without one."""
        found = self._find(shard)
        if self._was_tried or not isinstance(found, HeldRemotely):
            return HeldLocally()
        self._was_tried = True
        return found

    @property
    def note_answer(self) -> Callable[[Link], None]:
        """The callback that records an answer of the gateway behind a link."""
        return self._note_answer
