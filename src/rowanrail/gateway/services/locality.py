"""How near a member is to a gateway: same zone, same region, or further.

A value made from the gateway's own zone and the configured regions, without state.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Locality"]


@dataclass(frozen=True, slots=True)
class Locality:
    """Where a gateway stands.

    Parameters
    ----------
    zone : str
        The gateway's own zone.
    regions : mapping of str to str
        The region of each zone; a zone that is missing counts as a region of its own.

    Examples
    --------
    >>> here = Locality("a1", {"a1": "a", "a2": "a", "b1": "b"})
    >>> here.distance("a1"), here.distance("a2"), here.distance("b1")
    (0, 1, 2)
    """

    zone: str
    regions: Mapping[str, str] = field(default_factory=dict)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; the zone itself if it is not known."""
        return self.regions.get(zone, zone)

    def is_near(self, zone: str) -> bool:
        """Return whether ``zone`` is in the gateway's own region."""
        return self.region_of(zone) == self.region_of(self.zone)

    def distance(self, zone: str) -> int:
        """Return 0 for the gateway's own zone, 1 for its region, 2 for all others."""
        if zone == self.zone:
            return 0
        return 1 if self.is_near(zone) else 2
