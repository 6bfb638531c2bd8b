"""Selects the control node that a gateway polls: the nearest one that is up to date.

Calls to a remote control node cost traffic between regions, so a gateway returns to a nearer one;
a node that doesn't answer costs a timeout, so nearer nodes are probed at intervals only.

Keeps the addresses of the log's membership, which control nodes report, and the seed addresses of
the settings. Depends on ``services.locality`` for distances.
"""

from collections.abc import Sequence

from rowanrail.directory.messages import control_nodes_checksum
from rowanrail.gateway.services.locality import Locality

__all__ = ["ControlNodeSelector"]


class ControlNodeSelector:
    """Addresses of the control nodes in polling order, the current one first.

    Parameters
    ----------
    seeds : sequence of str
        Addresses from the settings.
    locality : Locality
        Distances of zones.

    Examples
    --------
    >>> selector = ControlNodeSelector(["n1", "n2"], Locality("a1", {"a1": "a", "b1": "b"}))
    >>> selector.set_zone("n1", "b1")
    >>> selector.set_zone("n2", "a1")
    >>> selector.current, selector.nearest()
    ('n1', 'n2')
    >>> selector.demote_current()
    >>> selector.current
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
        """Addresses of all control nodes in polling order."""
        return self._addresses

    @property
    def current(self) -> str:
        """Address of the control node that is polled."""
        return self._addresses[0]

    @property
    def known_checksum(self) -> int:
        """Checksum of the reported addresses, with which a request avoids their repetition."""
        return self._known_checksum

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the seed addresses, and have the control nodes report their list again."""
        self._seeds = list(seeds)
        self._known_checksum = 0
        self._addresses.extend(seed for seed in seeds if seed not in self._addresses)

    def set_reported(self, reported: Sequence[str]) -> None:
        """Set the addresses of the log's membership; an empty list is ignored."""
        if not reported:
            return
        self._known_checksum = control_nodes_checksum(list(reported))
        wanted = dict.fromkeys([*reported, *self._seeds])
        kept = [address for address in self._addresses if address in wanted]
        self._addresses = kept + [address for address in wanted if address not in kept]
        self._zones = {address: zone for address, zone in self._zones.items() if address in wanted}

    def set_zone(self, address: str, zone: str) -> None:
        """Set the zone that a control node reported for itself."""
        self._zones[address] = zone

    def select(self, address: str) -> None:
        """Poll this control node from now on."""
        self._addresses = [address, *(other for other in self._addresses if other != address)]

    def demote_current(self) -> None:
        """Move the current control node to the end, so that the next one is polled."""
        self._addresses.append(self._addresses.pop(0))

    def nearest(self) -> str:
        """Return the nearest control node; one of unknown zone counts as nearest."""
        return min(self._addresses, key=self._distance)

    def is_nearer(self, address: str, other: str) -> bool:
        """Return whether a control node is nearer than another."""
        return self._distance(address) < self._distance(other)

    def _distance(self, address: str) -> float:
        zone = self._zones.get(address)
        return 0.0 if zone is None else 1.0 + self._locality.distance(zone)
