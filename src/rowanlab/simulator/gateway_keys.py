"""Keys of simulated tenants, taken away and given back while clients use them."""

import random

from rowanlab.simulator.event_clock import EventClock
from rowanrail.gateway.gateway import Gateway
from rowanrail.model.routing import RoutingConfiguration
from rowanrail.tenants.model import Tenant, Tenants, key_digest

KEYS = {"k1": "t1", "k2": "t1", "k3": "t2", "k4": "t3", "k5": "t4"}
# Within which each gateway takes a change, as control nodes tell it at different moments.
SPREAD_SECONDS = 0.4
MOST_WITHDRAWN = len(KEYS) - 2  # so that somebody can write when the faults are over
SLACK_SECONDS = 0.05  # of a statement on its way between two gateways when the last takes it


class SimulatedKeys:
    """The keys in force, and since when each is withdrawn at every gateway.

    Parameters
    ----------
    base : RoutingConfiguration
        What each version holds beside its tenants.
    """

    def __init__(
        self, clock: EventClock, randomness: random.Random, base: RoutingConfiguration
    ) -> None:
        self._clock = clock
        self._random = randomness
        self._base = base
        self._version = base.version
        self._withdrawn: dict[str, float] = {}

    def configuration(self) -> RoutingConfiguration:
        """Return the newest configuration."""
        held = {key: name for key, name in KEYS.items() if key not in self._withdrawn}
        by_name = {name: Tenant(name) for name in KEYS.values()}
        tenants = Tenants(by_name, {key_digest(key): name for key, name in held.items()})
        return RoutingConfiguration(
            self._version,
            self._base.routes,
            self._base.services,
            self._base.idle_transaction_seconds,
            tenants=tenants,
        )

    def draw(self) -> str:
        """Return a key that a client names, withdrawn or not."""
        return self._random.choice(sorted(KEYS))

    def is_forbidden(self, key: str) -> bool:
        """Return whether every gateway has known for a while that a key is withdrawn."""
        since = self._withdrawn.get(key)
        return since is not None and self._clock.now > since + SPREAD_SECONDS + SLACK_SECONDS

    def change(self, gateways: list[Gateway]) -> None:
        """Take a key away, or give one back; each gateway learns it in its own time."""
        key = self.draw()
        if key in self._withdrawn:
            del self._withdrawn[key]
        elif len(self._withdrawn) < MOST_WITHDRAWN:
            self._withdrawn[key] = self._clock.now
        self._version += 1
        configuration = self.configuration()
        for gateway in gateways:
            delay = self._random.uniform(0.0, SPREAD_SECONDS)
            self._clock.call_later(delay, gateway.apply, configuration)
