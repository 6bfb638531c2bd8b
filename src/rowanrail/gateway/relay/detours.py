"""Ways around a path that is cut: gateways that reach a primary which this one does not.

A gateway that gets no sample of a primary's position asks gateways of other zones for one, and
some of its own. Their samples let its reads go on at replicas; writes and transactions run on the
connections of the gateway that answered. Whoever is asked answers from its own connections only,
so that nothing goes round in circles.

Who is asked is bounded: one gateway a zone, the one that holds the service's connections there,
and two of the own zone, ten times a second at most and only while the trouble lasts.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from rowanrail.gateway.relay.link import Counted, Lost, Outcome, Refused, Replied, Told
from rowanrail.gateway.relay.messages import AskSample
from rowanrail.gateway.relay.neighbours import At, LinkKeeper, LinkOpener, Neighbour, Nowhere, Place
from rowanrail.kernel.clock import Clock
from rowanrail.model.position import Position
from rowanrail.placement.hashed import Part, rank
from rowanrail.placement.planned import PlannedHolders

__all__ = ["Detours", "TakeSample"]

ASK_MS = 100.0  # between questions about one service
FOUND_MS = 1000.0  # for which the gateway that answered last is taken to reach the primary
OWN_ZONE_ASKED = 2  # two, since one of them may be cut off as well

TakeSample = Callable[[float, str, Position], None]


@dataclass(slots=True)
class _Found:
    """The gateway that last told a sample, and until when it is believed to reach the primary."""

    name: str
    until: float


class Detours:
    """Finds gateways that reach a primary, and keeps links to them while they are of use.

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
        self._name = name
        self._clock = clock
        self._keeper = LinkKeeper(clock, opener)
        self._own_zone: list[str] = []
        self._zones: dict[str, list[str]] = {}
        self._listed: list[Neighbour] = []
        self._addresses: dict[str, str] = {}
        self.planned: PlannedHolders | None = None
        self._asked_at: dict[str, float] = {}
        self._found: dict[str, _Found] = {}
        self.on_found: Callable[[str, str], None] = lambda service, peer: None
        self.on_lost: Callable[[str], None] = lambda peer: None
        self._keeper.on_link = self._note_link

    @property
    def found(self) -> int:
        """Number of services to whose primary a way was found a moment ago."""
        return sum(self.knows_a_way(service) for service in self._found)

    def set_gateways(
        self, own_zone: Sequence[Neighbour], others: Mapping[str, Sequence[Neighbour]]
    ) -> None:
        """Know the gateways that may be asked: of the own zone, and of each other zone."""
        own = [neighbour for neighbour in own_zone if neighbour.name != self._name]
        self._own_zone = [neighbour.name for neighbour in own]
        self._zones = {zone: [n.name for n in listed] for zone, listed in others.items()}
        self._listed = [*own, *(n for listed in others.values() for n in listed)]
        self._set_known()

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Know where the holders that a plan names take statements."""
        self._addresses = dict(addresses)
        self._set_known()

    def _set_known(self) -> None:
        """Know both kinds of gateways; the directory's word on an address goes first."""
        named = [Neighbour(name, address) for name, address in self._addresses.items()]
        self._keeper.set_neighbours(n for n in [*named, *self._listed] if n.name != self._name)

    def _note_link(self, peer: str, is_up: bool, reason: str) -> None:
        if not is_up:
            self.on_lost(peer)

    @property
    def groups(self) -> list[str]:
        """The other zones or regions, whichever share connections."""
        return list(self._zones)

    def place_in(self, group: str, held: str) -> Place:
        """Return the link to the gateway of another group that holds something there."""
        return self._first(rank(held, self._zones.get(group, [])))

    def place_part_in(self, group: str, part: Part) -> Place:
        """Return the link to the gateway of another group that holds a part there."""
        return self._first(self._order(group, part))

    def _order(self, group: str, part: Part) -> list[str]:
        planned = self.planned.order(group, part) if self.planned is not None else []
        return [*planned, *rank(part.key, self._zones.get(group, []))]

    def _first(self, order: Sequence[str]) -> Place:
        """Return the first of an order that does not count as down."""
        for name in order:
            found = self._keeper.look(name)
            if found is not None:
                return found
        return Nowhere()

    def candidates(self, service: str, with_own_zone: bool) -> list[str]:
        """Return the names of the gateways to ask about a service."""
        orders = [self._order(zone, Part(service)) for zone in self._zones]
        names = [order[0] for order in orders if order]
        if with_own_zone:
            names += rank(service, self._own_zone)[:OWN_ZONE_ASKED]
        return names

    def ask(self, service: str, with_own_zone: bool, take: TakeSample) -> None:
        """Ask for samples of a service's primary, unless that was done a moment ago.

        Parameters
        ----------
        service : str
            Name of the service.
        with_own_zone : bool
            Whether gateways of the own zone are asked, too; they have no connection to it yet.
        take : callable
            Gets the moment of the question in ms, the member and its position, for each answer.
        """
        now = self._clock.now
        if now - self._asked_at.get(service, -ASK_MS) < ASK_MS:
            return
        self._asked_at[service] = now
        for name in self.candidates(service, with_own_zone):
            self._ask_one(name, service, take)

    def _ask_one(self, name: str, service: str, take: TakeSample) -> None:
        found = self._keeper.look(name)
        if not isinstance(found, At):
            return  # a link that is being opened stands when it is asked the next time
        link = found.link
        asked_at = self._clock.now

        def settle(outcome: Outcome) -> None:
            match outcome:
                case Told(instance=instance, position=position):
                    self._keeper.note_up(link)
                    self._find(service, name)
                    take(asked_at, instance, position)
                case Refused() | Lost() | Replied() | Counted():
                    self._forget(service, name)

        link.ask(AskSample(link.number_call(), service), settle)

    def _find(self, service: str, name: str) -> None:
        """Note that a gateway answered; the one that was found first stays the way."""
        before = self._found.get(service)
        now = self._clock.now
        is_known = before is not None and before.until >= now
        if is_known and before is not None and before.name != name:
            return
        if not is_known:
            self.on_found(service, name)
        self._found[service] = _Found(name, now + FOUND_MS)

    def _forget(self, service: str, name: str) -> None:
        found = self._found.get(service)
        if found is not None and found.name == name:
            del self._found[service]

    def knows_a_way(self, service: str) -> bool:
        """Return whether a gateway was found a moment ago that reaches the service's primary."""
        return isinstance(self.place(service), At)

    def place_part(self, part: Part) -> Place:
        """See :meth:`rowanrail.gateway.relay.forwarding.Placement.place_part`."""
        return self.place(part.service)

    def place(self, service: str) -> Place:
        """Return the link to the gateway that reaches the service's primary, if one is known."""
        found = self._found.get(service)
        if found is None or self._clock.now > found.until:
            return Nowhere()
        return self._keeper.look(found.name) or Nowhere()

    @property
    def note_up(self) -> Callable[..., None]:
        """See :meth:`rowanrail.gateway.relay.neighbours.LinkKeeper.note_up`."""
        return self._keeper.note_up

    def close(self) -> None:
        """Close all links."""
        self._keeper.close()
