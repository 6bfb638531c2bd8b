"""Distance between a gateway and a member: same zone, same region or another region."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Locality"]


@dataclass(frozen=True, slots=True)
class Locality:
    """Location of a gateway.

    Parameters
    ----------
    zone : str
        The gateway's own zone.
    regions : mapping of str to str
        The region of each zone; a missing zone is a region of its own.

    Examples
    --------
    >>> here = Locality("a1", {"a1": "a", "a2": "a", "b1": "b"})
    >>> here.distance("a1"), here.distance("a2"), here.distance("b1")
    (0, 1, 2)
    """

    zone: str
    regions: Mapping[str, str] = field(default_factory=dict)

    @property
    def region(self) -> str:
        """The gateway's own region."""
        return self.region_of(self.zone)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, or the zone itself if it is not configured."""
        return self.regions.get(zone, zone)

    def is_near(self, zone: str) -> bool:
        """Return whether ``zone`` is in the gateway's own region."""
        return self.region_of(zone) == self.region

    def is_group_within(self, group: str, regions: frozenset[str]) -> bool:
        """Return whether all gateways of a group are in one of the given regions.

        Parameters
        ----------
        group : str
            A zone or a region whose gateways share connections. A name that is both must be inside
            with both meanings.
        regions : frozenset of str
            The regions.

        Examples
        --------
        >>> here = Locality("a1", {"a1": "a", "b1": "b"})
        >>> [here.is_group_within(group, frozenset({"b"})) for group in ("b1", "b", "a1")]
        [True, True, False]
        """
        if self.region_of(group) not in regions:
            return False
        return group in regions or group not in self.regions.values()

    def distance(self, zone: str) -> int:
        """Return 0 for the gateway's own zone, 1 for its own region, 2 for any other."""
        if zone == self.zone:
            return 0
        return 1 if self.is_near(zone) else 2
