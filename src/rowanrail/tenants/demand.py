"""What the gateways of a region, and the other regions, ask for: summed by one gateway of it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from rowanrail.kernel.clock import Clock

__all__ = ["DemandBook"]

# A gateway's last word counts for as long as a window: what it let begin still does.
GATEWAY_MS = 5000.0
# Another region's counts for longer, since its clients go on where it is only cut off; twice
# the time for which regions lose each other on most days.
REGION_MS = 10000.0


@dataclass(frozen=True, slots=True)
class _Told:
    demand: Mapping[str, int]
    at: float


class DemandBook:
    """The last word of each gateway of the own region and of each other region.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._gateways: dict[str, _Told] = {}
        self._regions: dict[str, _Told] = {}

    def note_gateway(self, name: str, demand: Mapping[str, int]) -> None:
        """Note what the clients of a gateway of this region asked for in the last window."""
        self._gateways[name] = _Told(demand, self._clock.now)

    def note_region(self, name: str, demand: Mapping[str, int]) -> None:
        """Note what the clients of another region asked for in the last window."""
        self._regions[name] = _Told(demand, self._clock.now)

    def region(self) -> dict[str, int]:
        """Return the sums of this region."""
        self._gateways = self._since(self._gateways, GATEWAY_MS)
        return _sums(self._gateways.values())

    def fleet(self) -> dict[str, int]:
        """Return the sums of all regions."""
        self._regions = self._since(self._regions, REGION_MS)
        own = _Told(self.region(), self._clock.now)
        return _sums([own, *self._regions.values()])

    def _since(self, told: dict[str, _Told], age: float) -> dict[str, _Told]:
        limit = self._clock.now - age
        return {name: word for name, word in told.items() if word.at >= limit}


def _sums(words: Iterable[_Told]) -> dict[str, int]:
    sums: dict[str, int] = {}
    for word in words:
        for tenant, number in word.demand.items():
            sums[tenant] = sums.get(tenant, 0) + number
    return sums
