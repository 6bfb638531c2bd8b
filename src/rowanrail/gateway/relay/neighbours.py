"""The gateways that share connections with this one, and the links to them.

Owns one link per gateway, opened on demand and reopened after a backoff. Relies on
:mod:`holder_choice` for the gateway that runs a service's statements, on :mod:`liveness` for the
backoff, and on a transport that opens connections.
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
from rowanrail.gateway.relay.liveness import Backoff, SuspicionLimit
from rowanrail.kernel.clock import Clock
from rowanrail.placement.hashed import Shard, rank
from rowanrail.placement.planned import PlannedHolders

__all__ = ["LinkManager", "LinkOpener", "Neighbour", "Neighbours"]

CONNECTED_HOLDERS = 2  # a holder and the next gateway, which can take over at once


@dataclass(frozen=True, slots=True)
class Neighbour:
    """A gateway, and the address at which it accepts links."""

    name: str
    address: str


class LinkOpener(ABC):
    """Interface: opens the transport connection of a link.

    Implementations call ``link.opened``, then ``link.receive`` for each message and ``link.lost``
    at the end; only ``link.lost`` if the connection can't be opened.
    """

    @abstractmethod
    def open(self, address: str, link: Link) -> None:
        """Start to open a connection to an address (``host:port``)."""


class _Peer:
    """The link and backoff of one neighbour."""

    __slots__ = ("backoff", "link", "neighbour")

    def __init__(self, neighbour: Neighbour) -> None:
        self.neighbour = neighbour
        self.link: Link | None = None
        self.backoff = Backoff()


class LinkManager:
    """Links to gateways, opened on demand and reopened after a backoff.

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
        self._limit = SuspicionLimit()
        self.on_link: Callable[[str, bool, str], None] = lambda peer, is_up, reason: None

    @property
    def links(self) -> list[Link]:
        """All links that are open or being opened."""
        return [peer.link for peer in self._peers.values() if peer.link is not None]

    @property
    def names(self) -> list[str]:
        """Names of the known gateways."""
        return list(self._peers)

    def knows(self, name: str) -> bool:
        """Return whether a gateway is known by this name."""
        return name in self._peers

    def set_neighbours(self, neighbours: Iterable[Neighbour]) -> None:
        """Replace the known gateways; close links to those that are gone or have moved."""
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
        """Return the location of a gateway, None if it counts as down; open its link if needed."""
        peer = self._peers.get(name)
        if peer is None:
            return None
        if peer.link is None:
            if not peer.backoff.is_over(self._clock.now):
                return None
            peer.link = Link(peer.neighbour.name, self._clock, self._on_down, self._limit)
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
        """Record an answer of a gateway: its backoff is reset."""
        peer = self._peers.get(link.peer)
        if peer is not None and peer.link is link and peer.backoff.note_answer():
            self.on_link(link.peer, True, "it answers")

    def close(self) -> None:
        """Close all links."""
        for peer in self._peers.values():
            if peer.link is not None:
                peer.link.close("the gateway is stopping")


class Neighbours(LinkManager):
    """Locates the holders of shards in the own group, and keeps the links to them.

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
        """Replace the known gateways of the group; this one may be among them."""
        super().set_neighbours(n for n in neighbours if n.name != self._name)
        self._rankings.clear()

    def locate_holder(self, shard: Shard) -> HolderLocation:
        """Return the holder of a shard: by the plan, then by rendezvous hashing."""
        order = self._ranking(shard.key)
        planned = self.planned.local_holders(shard) if self.planned is not None else []
        if not planned:
            return self._first_available(order)
        return self._first_available(
            chain(planned, (name for name in order if name not in planned))
        )

    def first_of(self, names: Iterable[str], shard: Shard) -> HolderLocation:
        """Return the first available one of some gateways, which are spread over the shards."""
        return choose_holder(rank(shard.key, names), self._reach_or_self)

    def hashed_holder(self, key: str) -> HolderLocation:
        """Return the first available gateway of the group for a key, by rendezvous hashing."""
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
