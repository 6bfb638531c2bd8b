"""Detours around a path that is cut: gateways that reach a primary which this one does not.

A gateway that gets no sample of a primary's position asks gateways of other zones for one, and
some of its own. Their samples let its reads go on at replicas; writes and transactions run on the
connections of the gateway that answered. Whoever is asked answers from its own connections only,
so that nothing goes round in circles.

Owns the links to gateways of other zones or regions. Relies on :mod:`detour_rules` for whom to ask
and which answer counts, and on the plan for who holds what there.
"""

from collections.abc import Callable, Mapping, Sequence

from rowanrail.gateway.relay.detour_rules import DetourBook, gateways_to_ask
from rowanrail.gateway.relay.holder_choice import HeldAt, NoHolder, WhereHeld, choose_holder
from rowanrail.gateway.relay.link import Counted, Lost, NotRun, Outcome, Replied, Sampled
from rowanrail.gateway.relay.messages import AskSample
from rowanrail.gateway.relay.neighbours import LinkKeeper, LinkOpener, Neighbour
from rowanrail.kernel.clock import Clock
from rowanrail.model.position import Position
from rowanrail.placement.hashed import Shard, rank
from rowanrail.placement.planned import PlannedHolders

__all__ = ["Detours", "TakeSample"]

TakeSample = Callable[[float, str, Position], None]


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
        self._book = DetourBook()
        self.on_detour_found: Callable[[str, str], None] = lambda service, peer: None
        self.on_link_lost: Callable[[str], None] = lambda peer: None
        self._keeper.on_link = self._note_link

    @property
    def known_detours(self) -> int:
        """Number of services to whose primary a detour is known."""
        return sum(self.knows_detour(service) for service in self._book.services)

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
        """Know both kinds of gateways; where both name an address the directory's counts."""
        named = [Neighbour(name, address) for name, address in self._addresses.items()]
        self._keeper.set_neighbours(n for n in [*named, *self._listed] if n.name != self._name)

    def _note_link(self, peer: str, is_up: bool, reason: str) -> None:
        if not is_up:
            self.on_link_lost(peer)

    @property
    def groups(self) -> list[str]:
        """The other zones or regions, whichever share connections."""
        return list(self._zones)

    def hashed_holder_in(self, group: str, key: str) -> WhereHeld:
        """Return which gateway of another group holds something there, by the hash."""
        return self._first(rank(key, self._zones.get(group, [])))

    def holder_in(self, group: str, shard: Shard) -> WhereHeld:
        """Return which gateway of another group holds a shard there."""
        return self._first(self._order(group, shard))

    def _order(self, group: str, shard: Shard) -> list[str]:
        planned = self.planned.order(group, shard) if self.planned is not None else []
        return [*planned, *rank(shard.key, self._zones.get(group, []))]

    def _first(self, order: Sequence[str]) -> WhereHeld:
        return choose_holder(order, self._keeper.reach)

    def ask(self, service: str, with_own_zone: bool, take: TakeSample) -> None:
        """Ask for samples of a service's primary, unless that was done a moment ago.

        Parameters
        ----------
        service : str
            Name of the service.
        with_own_zone : bool
            Whether gateways of the own zone are asked, too; they have no connection to it yet.
        take : callable
            Gets the moment of the question in milliseconds, the member and its position, for each
            answer.
        """
        if not self._book.may_ask(service, self._clock.now):
            return
        orders = [self._order(zone, Shard(service)) for zone in self._zones]
        for name in gateways_to_ask(service, orders, self._own_zone, with_own_zone):
            self._ask_one(name, service, take)

    def _ask_one(self, name: str, service: str, take: TakeSample) -> None:
        found = self._keeper.reach(name)
        if not isinstance(found, HeldAt):
            return  # a link that is being opened stands when it is asked the next time
        link = found.link
        asked_at = self._clock.now

        def settle(outcome: Outcome) -> None:
            match outcome:
                case Sampled(instance=instance, position=position):
                    self._keeper.note_answer(link)
                    if self._book.note_reached(service, name, self._clock.now):
                        self.on_detour_found(service, name)
                    take(asked_at, instance, position)
                case NotRun() | Lost() | Replied() | Counted():
                    self._book.note_unreached(service, name)

        link.ask(AskSample(link.number_call(), service), settle)

    def knows_detour(self, service: str) -> bool:
        """Return whether a gateway is known that reaches the service's primary."""
        return isinstance(self._reaching(service), HeldAt)

    def where_held(self, shard: Shard) -> WhereHeld:
        """See :meth:`rowanrail.gateway.relay.forwarding.Placement.where_held`."""
        return self._reaching(shard.service)

    def _reaching(self, service: str) -> WhereHeld:
        """Return the gateway that reaches the service's primary, if one is known."""
        name = self._book.gateway(service, self._clock.now)
        if name is None:
            return NoHolder()
        return self._keeper.reach(name) or NoHolder()

    @property
    def note_answer(self) -> Callable[..., None]:
        """See :meth:`rowanrail.gateway.relay.neighbours.LinkKeeper.note_answer`."""
        return self._keeper.note_answer

    def close(self) -> None:
        """Close all links."""
        self._keeper.close()
