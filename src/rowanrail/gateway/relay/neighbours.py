"""The gateways of one's own zone, and the links to those that hold services' connections."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import chain

from rowanrail.gateway.relay.link import Link, LinkState
from rowanrail.gateway.relay.liveness import Backoff
from rowanrail.kernel.clock import Clock
from rowanrail.placement.hashed import Part, rank
from rowanrail.placement.planned import PlannedHolders

__all__ = ["At", "Here", "LinkKeeper", "LinkOpener", "Neighbour", "Neighbours", "Nowhere", "Place"]

CANDIDATES = 2  # gateways of the order that are kept connected; the others stand behind them


@dataclass(frozen=True, slots=True)
class Neighbour:
    """A gateway of the same zone and the address at which it takes statements."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Here:
    """This gateway holds the connections itself."""


@dataclass(frozen=True, slots=True)
class At:
    """A neighbour holds them, and its link stands."""

    link: Link


@dataclass(frozen=True, slots=True)
class Nowhere:
    """Nobody is known to hold them right now."""


Place = Here | At | Nowhere


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


class LinkKeeper:
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

    def look(self, name: str) -> At | Nowhere | None:
        """Return the place at a gateway, None if it counts as down; opens a link if needed."""
        peer = self._peers.get(name)
        if peer is None:
            return None
        if peer.link is None:
            if not peer.backoff.is_over(self._clock.now):
                return None
            peer.link = Link(peer.neighbour.name, self._clock, self._on_down)
            self._opener.open(peer.neighbour.address, peer.link)
        link = peer.link
        if link is None or link.state is LinkState.LEAVING or link.is_suspect:
            return None
        return At(link) if link.state is LinkState.UP else Nowhere()

    def _on_down(self, link: Link, reason: str) -> None:
        peer = self._peers.get(link.peer)
        if peer is None or peer.link is not link:
            return
        peer.link = None
        peer.backoff.note_loss(self._clock.now)
        self.on_link(link.peer, False, reason)

    def note_up(self, link: Link) -> None:
        """Note that a gateway answered: the next loss is waited out from the start."""
        peer = self._peers.get(link.peer)
        if peer is not None and peer.link is link and peer.backoff.note_answer():
            self.on_link(link.peer, True, "it answers")

    def close(self) -> None:
        """Close all links."""
        for peer in self._peers.values():
            if peer.link is not None:
                peer.link.close("the gateway is stopping")


class Neighbours(LinkKeeper):
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
        self._orders: dict[str, list[str]] = {}
        self.planned: PlannedHolders | None = None

    @property
    def name(self) -> str:
        """Name of this gateway."""
        return self._name

    def set_neighbours(self, neighbours: Iterable[Neighbour]) -> None:
        """Know the gateways of the zone; this one may be among them or not."""
        super().set_neighbours(n for n in neighbours if n.name != self._name)
        self._orders.clear()

    def place_part(self, part: Part) -> Place:
        """See :meth:`rowanrail.gateway.relay.forwarding.Placement.place_part`."""
        order = self._order(part.key)
        planned = self.planned.order_here(part) if self.planned is not None else []
        if not planned:
            return self._first(order)
        return self._first(chain(planned, (name for name in order if name not in planned)))

    def place(self, held: str) -> Place:
        """Return where statements run now for which a gateway holds connections, by the hash."""
        return self._first(self._order(held))

    def _order(self, held: str) -> list[str]:
        order = self._orders.get(held)
        if order is None:
            order = self._orders[held] = rank(held, [*self._peers, self._name])
        return order

    def _first(self, order: Iterable[str]) -> Place:
        """Return the first gateway of an order that stands.

        The first ones that were not found down a moment ago are kept connected.
        """
        chosen: Place = Nowhere()
        seen = 0
        for name in order:
            if seen == CANDIDATES:
                break
            found = Here() if name == self._name else self.look(name)
            if found is None:
                continue
            seen += 1
            if isinstance(chosen, Nowhere):
                chosen = found
        return chosen
