"""Plans of holders for simulated gateways, told to each in its own time, or never."""

import random

from rowanlab.simulator.event_clock import EventClock
from rowanlab.simulator.gateway_members import SERVICE
from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.relay.neighbours import Neighbour
from rowanrail.placement.hashed import Part, parts_of
from rowanrail.scheduling.plan import Holding, PartPlan, Plan

SPREAD_SECONDS = 0.5  # within which gateways hear of a plan
DEAF_SHARE = 0.3  # of the gateways, that miss it and go by an older one
EMPTY_SHARE = 0.1  # of the plans: all by the hash again


class SimulatedPlans:
    """Draws plans that name anybody, and gives each gateway some of them.

    Parameters
    ----------
    groups : dict of str to list of Neighbour
        The gateways that share connections.
    is_regional : bool
        Whether regions share, whose services have parts.
    """

    def __init__(
        self, clock: EventClock, groups: dict[str, list[Neighbour]], is_regional: bool
    ) -> None:
        self._clock = clock
        self._groups = groups
        self._parts = parts_of(SERVICE) if is_regional else [Part(SERVICE)]
        self._number = 0

    def change(self, gateways: list[Gateway], randomness: random.Random) -> None:
        """Draw a plan and tell it to most gateways."""
        self._number += 1
        plan = self._draw(randomness)
        for gateway in gateways:
            if randomness.random() >= DEAF_SHARE:
                delay = randomness.uniform(0.0, SPREAD_SECONDS)
                self._clock.call_later(delay, gateway.set_plan, plan)

    def _draw(self, randomness: random.Random) -> Plan:
        if randomness.random() < EMPTY_SHARE:
            return Plan(self._number)
        groups = {
            group: {part.key: self._draw_part(listed, randomness) for part in self._parts}
            for group, listed in self._groups.items()
        }
        addresses = {n.name: n.address for listed in self._groups.values() for n in listed}
        return Plan(self._number, groups, addresses)

    def _draw_part(self, listed: list[Neighbour], randomness: random.Random) -> PartPlan:
        names = [neighbour.name for neighbour in listed]
        holders = randomness.sample(names, randomness.randint(1, min(2, len(names))))
        share = randomness.uniform(0.1, 0.6) / len(holders)
        is_split = randomness.random() < 0.5
        return PartPlan([Holding(name, share) for name in holders], is_split=is_split)
