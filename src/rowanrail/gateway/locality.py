"""How near a member is to a gateway: same zone, same region, or further."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Locality"]

SAME_ZONE_FACTOR = 0.4  # of the cost elsewhere; bytes inside a zone cost nothing
SAME_REGION_FACTOR = 0.5  # bytes between zones cost a quarter of those between regions
ELSEWHERE_FACTOR = 1.0  # the others are shares of it


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
    >>> here.factor("a1") < here.factor("a2") < here.factor("b1")
    True
    """

    zone: str
    regions: Mapping[str, str] = field(default_factory=dict)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; the zone itself if it is not known."""
        return self.regions.get(zone, zone)

    def is_near(self, zone: str) -> bool:
        """Return whether ``zone`` is in the gateway's own region."""
        return self.region_of(zone) == self.region_of(self.zone)

    def factor(self, zone: str) -> float:
        """Return by how much a member's cost is multiplied for standing in ``zone``."""
        if zone == self.zone:
            return SAME_ZONE_FACTOR
        region = self.regions.get(self.zone)
        if region is not None and self.regions.get(zone) == region:
            return SAME_REGION_FACTOR
        return ELSEWHERE_FACTOR
