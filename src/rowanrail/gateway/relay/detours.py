"""Detours around network faults: gateways that reach a primary which this one does not.

A gateway that gets no sample of a primary's position asks gateways of other zones for one, and a
few of its own zone. With their samples its reads continue at replicas; writes and transactions run
on the connections of the gateway that answered. A gateway that is asked uses only its own
connections, so that there are no forwarding loops.

Owns the links to gateways of other zones or regions. Relies on :mod:`detour_rules` for which
gateways to ask and which answer to use, and on the plan for the holders there.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from rowanrail.gateway.relay.detour_rules import ReachabilityCache, gateways_to_query
from rowanrail.gateway.relay.holder_choice import (
    HeldRemotely,
    HolderLocation,
    NoHolder,
    choose_holder,
)
from rowanrail.gateway.relay.link import (
    Link,
    Lost,
    NotRun,
    Outcome,
    Replied,
    Sampled,
    TotalsReceived,
)
from rowanrail.gateway.relay.messages import SampleRequest
from rowanrail.gateway.relay.neighbours import LinkManager, LinkOpener, Neighbour
from rowanrail.kernel.clock import Clock
from rowanrail.model.position import Position
from rowanrail.placement.hashed import Shard, rank
from rowanrail.placement.planned import PlannedHolders

__all__ = ["OWN_GROUP", "Detours", "OnSample"]

OWN_GROUP = ""  # in place of the name of the group that shares connections with this gateway

OnSample = Callable[[float, str, Position], None]


class Detours:
    """Finds gateways that reach a primary, and keeps the links to gateways of other groups.

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
        self._link_manager = LinkManager(clock, opener)
        self._own_zone: list[str] = []
        self._zones: dict[str, list[str]] = {}
        self._group_of: dict[str, str] = {}
        self._directory_gateways: list[Neighbour] = []
        self._planned_addresses: dict[str, str] = {}
        self.planned: PlannedHolders | None = None
        self._reachability = ReachabilityCache()
        # For statements that may only be sent to the gateways of some groups.
        self._reachability_by_group: dict[str, ReachabilityCache] = {}
        self.on_detour_found: Callable[[str, str], None] = lambda service, peer: None
        self.on_link_lost: Callable[[str], None] = lambda peer: None
        self._link_manager.on_link = self._note_link

    @property
    def known_detours(self) -> int:
        """Number of services with a known detour to the primary."""
        return sum(self.knows_detour(service) for service in self._reachability.services)

    def set_gateways(
        self, own_zone: Sequence[Neighbour], others: Mapping[str, Sequence[Neighbour]]
    ) -> None:
        """Replace the gateways that may be asked: those of the own zone and of each other zone."""
        own = [neighbour for neighbour in own_zone if neighbour.name != self._name]
        self._own_zone = [neighbour.name for neighbour in own]
        self._zones = {zone: [n.name for n in listed] for zone, listed in others.items()}
        self._group_of = {n.name: zone for zone, listed in others.items() for n in listed}
        self._directory_gateways = [*own, *(n for listed in others.values() for n in listed)]
        self._update_links()

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Set the addresses of the holders that a plan names, by gateway name."""
        self._planned_addresses = dict(addresses)
        self._update_links()

    def _update_links(self) -> None:
        """Pass all gateways to the links; the directory's addresses override those of the plan."""
        named = [Neighbour(name, address) for name, address in self._planned_addresses.items()]
        self._link_manager.set_neighbours(
            n for n in [*named, *self._directory_gateways] if n.name != self._name
        )

    def _note_link(self, peer: str, is_up: bool, reason: str) -> None:
        if not is_up:
            self.on_link_lost(peer)

    @property
    def groups(self) -> list[str]:
        """Names of the other zones or regions, whichever share connections."""
        return list(self._zones)

    def groups_of(self, name: str) -> frozenset[str]:
        """Return the groups of another group's gateway, by the directory, else by the plan."""
        group = self._group_of.get(name)
        if group is not None:
            return frozenset({group})
        return frozenset() if self.planned is None else self.planned.groups_of(name)

    def hashed_holder_in(self, group: str, key: str) -> HolderLocation:
        """Return the first available gateway of another group for a key, by rendezvous hashing."""
        return self._first_available(rank(key, self._zones.get(group, [])))

    def holder_in(self, group: str, shard: Shard) -> HolderLocation:
        """Return the holder of a shard in another group: by the plan, then by hashing."""
        return self._first_available(self._holder_order(group, shard))

    def first_sender_in(self, group: str, shards: Iterable[Shard]) -> HolderLocation:
        """Return the first available holder of some shards in another group.

        Unlike :meth:`holder_in` it returns no other gateway in place of a holder that is down,
        since only holders may send to members that warm up.
        """
        names: dict[str, None] = {}
        for shard in shards:
            planned = self.planned.holders(group, shard) if self.planned is not None else []
            names.update(dict.fromkeys(planned or rank(shard.key, self._zones.get(group, []))[:1]))
        return self._first_available(list(names))

    def _holder_order(self, group: str, shard: Shard) -> list[str]:
        planned = self.planned.holders(group, shard) if self.planned is not None else []
        return [*planned, *rank(shard.key, self._zones.get(group, []))]

    def _first_available(self, order: Sequence[str]) -> HolderLocation:
        return choose_holder(order, self._link_manager.reach)

    def query_samples(self, service: str, with_own_zone: bool, on_sample: OnSample) -> None:
        """Ask other gateways for samples of a service's primary, at a limited rate.

        Parameters
        ----------
        service : str
            Name of the service.
        with_own_zone : bool
            Whether to ask gateways of the own zone, too; they have no connection to it yet.
        on_sample : callable
            Called for each answer with the time of the query in milliseconds, the member and its
            position.
        """
        if not self._reachability.try_begin_query(service, self._clock.now):
            return
        orders = [self._holder_order(zone, Shard(service)) for zone in self._zones]
        for name in gateways_to_query(service, orders, self._own_zone, with_own_zone):
            self._query_gateway(name, service, on_sample)

    def _query_gateway(self, name: str, service: str, on_sample: OnSample) -> None:
        found = self._link_manager.reach(name)
        if not isinstance(found, HeldRemotely):
            return  # a link that is being opened is used by the next query
        self._query_link(name, found.link, service, on_sample)

    def query_holder(self, service: str, link: Link, on_sample: OnSample) -> None:
        """Ask the gateway behind a link for a sample of a service's primary, at a limited rate.

        It doesn't become a detour, as the primary may be reachable from here.
        """
        if self._reachability.try_begin_query(service, self._clock.now):
            self._query_link("", link, service, on_sample)

    def _query_link(self, name: str, link: Link, service: str, on_sample: OnSample) -> None:
        asked_at = self._clock.now

        def on_outcome(outcome: Outcome) -> None:
            match outcome:
                case Sampled(instance=instance, position=position):
                    self._link_manager.note_answer(link)
                    if name and self._reachability.note_reachable(service, name, self._clock.now):
                        self.on_detour_found(service, name)
                    if name:
                        for cache in self._group_caches(name):
                            cache.note_reachable(service, name, self._clock.now)
                    on_sample(asked_at, instance, position)
                case NotRun() | Lost() | Replied() | TotalsReceived():
                    if name:
                        self._reachability.note_unreachable(service, name)
                        for cache in self._group_caches(name):
                            cache.note_unreachable(service, name)

        link.request(SampleRequest(link.next_call_id(), service), on_outcome)

    def _group_caches(self, name: str) -> list[ReachabilityCache]:
        """Return the reachability caches of a gateway's groups."""
        groups = {OWN_GROUP} if name in self._own_zone else self.groups_of(name)
        caches = self._reachability_by_group
        return [caches.setdefault(group, ReachabilityCache()) for group in groups]

    def knows_detour(self, service: str) -> bool:
        """Return whether a gateway that reaches the service's primary is known and connected."""
        return isinstance(self._locate_reachable(service), HeldRemotely)

    def locate_holder(self, shard: Shard) -> HolderLocation:
        """Return the gateway that reaches the primary of a shard's service, if one is known."""
        return self._locate_reachable(shard.service)

    def _locate_reachable(self, service: str) -> HolderLocation:
        """Return the gateway that reaches the service's primary, if one is known."""
        name = self._reachability.gateway(service, self._clock.now)
        if name is None:
            return NoHolder()
        return self._link_manager.reach(name) or NoHolder()

    def locate_in(self, groups: Collection[str], service: str) -> HolderLocation:
        """Return a gateway of some groups that reaches the service's primary, if one is known.

        Parameters
        ----------
        groups : collection of str
            Names of groups, ``OWN_GROUP`` for the own one.
        service : str
            Name of the service.
        """
        for group in groups:
            cache = self._reachability_by_group.get(group)
            name = None if cache is None else cache.gateway(service, self._clock.now)
            found = None if name is None else self._link_manager.reach(name)
            if isinstance(found, HeldRemotely):
                return found
        return NoHolder()

    @property
    def note_answer(self) -> Callable[..., None]:
        """The callback that records an answer of the gateway behind a link."""
        return self._link_manager.note_answer

    def close(self) -> None:
        """Close all links."""
        self._link_manager.close()
