"""The gateways with which this one shares connections, and the links to them.

Owns a link for each gateway that is wanted, opened when it is and again after a while when it was
lost. Relies on :mod:`holder_choice` for which of them runs a service's statements, on
:mod:`liveness` for when a lost one is tried again, and on a transport that opens connections.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import chain

from rowanrail.gateway.relay.holder_choice import (
    HeldLocally,
    HeldRemotely,
    HolderLocation,
    NoHolder,
    choose_holder,
    location_via,
)
from rowanrail.gateway.relay.link import Link
from rowanrail.gateway.relay.liveness import Backoff
from rowanrail.kernel.clock import Clock
from rowanrail.placement.hashed import Shard, rank
from rowanrail.placement.planned import PlannedHolders

__all__ = ["LinkManager", "LinkOpener", "Neighbour", "Neighbours"]

CONNECTED_HOLDERS = (
    2  # gateways of an order that are kept connected, so that one can take over at once
)


@dataclass(frozen=True, slots=True)
class Neighbour:
    """A gateway of the same zone and the address at which it takes statements."""

    name: str
    address: str


class LinkOpener(ABC):
    """Port: opens the connection below a link.

    Implementations call ``link.opened``, then ``link.receive`` and ``link.lost``.
    """

    @abstractmethod
    def open(self, address: str, link: Link) -> None:
        """Begin to open a connection."""


class _Peer:
    """What is known of one neighbour."""

    __slots__ = ("backoff", "link", "neighbour")

    def __init__(self, neighbour: Neighbour) -> None:
        self.neighbour = neighbour
        self.link: Link | None = None
        self.backoff = Backoff()


class LinkManager:
    """Links to gateways, opened when they are wanted and again after a while when they are lost.

    Parameters
    ----------
    clock : Clock
        Time and timers.
    opener : LinkOpener
        The transport.
    """

    def __init__(self, clock: Clock, opener: LinkOpener) -> None:
        self._clock = clock
        self._opener = opener
        self._peers: dict[str, _Peer] = {}
        self.on_link: Callable[[str, bool, str], None] = lambda peer, is_up, reason: None

    @property
    def links(self) -> list[Link]:
        """All links that are open or being opened."""
        return [peer.link for peer in self._peers.values() if peer.link is not None]

    @property
    def names(self) -> list[str]:
        """Names of the gateways that are known."""
        return list(self._peers)

    def set_neighbours(self, neighbours: Iterable[Neighbour]) -> None:
        """Know these gateways and no others."""
        known = {neighbour.name: neighbour for neighbour in neighbours}
        for name, peer in list(self._peers.items()):
            if known.get(name) != peer.neighbour:
                del self._peers[name]
                if peer.link is not None:
                    peer.link.close("the neighbour is gone")
        for name, neighbour in known.items():
            if name not in self._peers:
                self._peers[name] = _Peer(neighbour)

    def reach(self, name: str) -> HeldRemotely | NoHolder | None:
        """Return where a gateway is reached, None if it counts as down; opens a link if needed."""
        peer = self._peers.get(name)
        if peer is None:
            return None
        if peer.link is None:
            if not peer.backoff.is_over(self._clock.now):
                return None
            peer.link = Link(peer.neighbour.name, self._clock, self._on_down)
            self._opener.open(peer.neighbour.address, peer.link)
        return None if peer.link is None else location_via(peer.link)

    def _on_down(self, link: Link, reason: str) -> None:
        peer = self._peers.get(link.peer)
        if peer is None or peer.link is not link:
            return
        peer.link = None
        peer.backoff.note_loss(self._clock.now)
        self.on_link(link.peer, False, reason)

    def note_answer(self, link: Link) -> None:
        """Note that a gateway answered: the next loss is waited out from the start."""
        peer = self._peers.get(link.peer)
        if peer is not None and peer.link is link and peer.backoff.note_answer():
            self.on_link(link.peer, True, "it answers")

    def close(self) -> None:
        """Close all links."""
        for peer in self._peers.values():
            if peer.link is not None:
                peer.link.close("the gateway is stopping")


class Neighbours(LinkManager):
    """Chooses where a service's statements run, and keeps the links for it.

    Parameters
    ----------
    name : str
        Name of this gateway.
    clock : Clock
        Time and timers.
    opener : LinkOpener
        The transport.
    """

    def __init__(self, name: str, clock: Clock, opener: LinkOpener) -> None:
        super().__init__(clock, opener)
        self._name = name
        self._rankings: dict[str, list[str]] = {}
        self.planned: PlannedHolders | None = None

    @property
    def name(self) -> str:
        """Name of this gateway."""
        return self._name

    def set_neighbours(self, neighbours: Iterable[Neighbour]) -> None:
        """Know the gateways of the zone; this one may be among them or not."""
        super().set_neighbours(n for n in neighbours if n.name != self._name)
        self._rankings.clear()

    def locate_holder(self, shard: Shard) -> HolderLocation:
        """See :meth:`rowanrail.gateway.relay.forwarding.HolderLocator.locate_holder`."""
        order = self._ranking(shard.key)
        planned = self.planned.local_holders(shard) if self.planned is not None else []
        if not planned:
            return self._first_available(order)
        return self._first_available(
            chain(planned, (name for name in order if name not in planned))
        )

    def hashed_holder(self, key: str) -> HolderLocation:
        """Return which gateway of the group holds something, by the hash."""
        return self._first_available(self._ranking(key))

    def _ranking(self, key: str) -> list[str]:
        order = self._rankings.get(key)
        if order is None:
            order = self._rankings[key] = rank(key, [*self._peers, self._name])
        return order

    def _first_available(self, order: Iterable[str]) -> HolderLocation:
        return choose_holder(order, self._reach_or_self, CONNECTED_HOLDERS)

    def _reach_or_self(self, name: str) -> HolderLocation | None:
        return HeldLocally() if name == self._name else self.reach(name)
