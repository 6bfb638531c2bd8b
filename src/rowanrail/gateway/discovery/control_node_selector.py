"""Which control node a gateway asks: the nearest that is sure, and the next when one is not.

Calls to a far control node cost bytes between regions, so that a gateway goes back to a near one;
one that doesn't answer costs a time limit, so that near ones are tried now and then only.

Owns the list of control nodes: those of the log's membership, which the control nodes report, and
those of the settings, which stay as a hint. Relies on ``services.locality`` for distances.
"""

from collections.abc import Sequence

from rowanrail.directory.messages import controls_checksum
from rowanrail.gateway.services.locality import Locality

__all__ = ["ControlNodeSelector"]


class ControlNodeSelector:
    """The control nodes by address, the one that is followed first.

    Parameters
    ----------
    seeds : sequence of str
        Addresses from the settings.
    locality : Locality
        Says how far a zone is.

    Examples
    --------
    >>> choice = ControlNodeSelector(["n1", "n2"], Locality("a1", {"a1": "a", "b1": "b"}))
    >>> choice.set_zone("n1", "b1")
    >>> choice.set_zone("n2", "a1")
    >>> choice.current, choice.nearest()
    ('n1', 'n2')
    >>> choice.demote_current()
    >>> choice.current
    'n2'
    """

    def __init__(self, seeds: Sequence[str], locality: Locality) -> None:
        self._seeds = list(seeds)
        self._addresses = list(seeds)
        self._locality = locality
        self._zones: dict[str, str] = {}
        self._known_checksum = 0

    @property
    def addresses(self) -> list[str]:
        """All control nodes, in the order in which they are asked."""
        return self._addresses

    @property
    def current(self) -> str:
        """The control node that is followed."""
        return self._addresses[0]

    @property
    def known_checksum(self) -> int:
        """By what a request says which control nodes are known, so that they aren't sent again."""
        return self._known_checksum

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Take a changed list from the settings; the control nodes are asked for theirs again."""
        self._seeds = list(seeds)
        self._known_checksum = 0
        self._addresses.extend(seed for seed in seeds if seed not in self._addresses)

    def set_reported(self, reported: Sequence[str]) -> None:
        """Know the control nodes of the log's membership; an empty list says nothing."""
        if not reported:
            return
        self._known_checksum = controls_checksum(list(reported))
        wanted = dict.fromkeys([*reported, *self._seeds])
        kept = [address for address in self._addresses if address in wanted]
        self._addresses = kept + [address for address in wanted if address not in kept]
        self._zones = {known: zone for known, zone in self._zones.items() if known in wanted}

    def set_zone(self, address: str, zone: str) -> None:
        """Note where a control node stands, as it said itself."""
        self._zones[address] = zone

    def follow(self, address: str) -> None:
        """Ask this control node first from now on."""
        self._addresses = [address, *(other for other in self._addresses if other != address)]

    def demote_current(self) -> None:
        """Ask the next control node from now on: this one doesn't answer, or isn't sure."""
        self._addresses.append(self._addresses.pop(0))

    def nearest(self) -> str:
        """Return the nearest control node; one that was never heard counts as near."""
        return min(self._addresses, key=self._distance)

    def is_nearer(self, address: str, other: str) -> bool:
        """Return whether a control node is nearer than another."""
        return self._distance(address) < self._distance(other)

    def _distance(self, address: str) -> float:
        zone = self._zones.get(address)
        return 0.0 if zone is None else 1.0 + self._locality.distance(zone)
