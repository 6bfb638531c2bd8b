"""The evacuated zones at a gateway, and when each is closed.

Keeps what control nodes sent last, and logs changes. The times are those of
:mod:`rowanrail.members.evacuated_zones`.
"""

from rowanrail.directory.messages import NO_EVACUATIONS, Evacuations
from rowanrail.gateway.events import EVACUATIONS_APPLIED, ZONE_CLOSED
from rowanrail.gateway.services.service import Service
from rowanrail.kernel.clock import Scheduler
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.members.evacuated_zones import (
    GATEWAY_GRACE_SHARE,
    EvacuatedZones,
    grace_seconds,
)

__all__ = ["ZoneEvacuations"]


class ZoneEvacuations:
    """Applies evacuations to services.

    Parameters
    ----------
    clock : Scheduler
        Monotonic time in seconds.
    decisions : DecisionLog
        Log of evacuations and closed zones.
    evacuation_ms : float
        Milliseconds after the acknowledgement of an evacuation until nothing more may be sent.
    """

    def __init__(self, clock: Scheduler, decisions: DecisionLog, evacuation_ms: float) -> None:
        self._clock = clock
        self._decisions = decisions
        self._grace_seconds = grace_seconds(evacuation_ms, GATEWAY_GRACE_SHARE)
        self._known = NO_EVACUATIONS
        self._zones = EvacuatedZones()
        self._logged_closed: frozenset[str] = frozenset()

    @property
    def evacuated(self) -> frozenset[str]:
        """The zones whose members get no new statements."""
        return self._zones.zones

    @property
    def closed(self) -> frozenset[str]:
        """The evacuated zones to which nothing at all is sent."""
        return self._zones.closed(self._clock.time())

    def update(self, evacuations: Evacuations, has_started: bool) -> bool:
        """Replace the evacuations; return whether they changed.

        Parameters
        ----------
        has_started : bool
            Whether the gateway was there before they changed. If not, it doesn't know how much of
            the allowed time has passed, and closes the zones at once.
        """
        if evacuations == self._known:
            return False
        self._known = evacuations
        grace = self._grace_seconds if has_started else 0.0
        self._zones = self._zones.updated(evacuations.zones, self._clock.time(), grace)
        self._decisions.note(
            EVACUATIONS_APPLIED,
            revision=evacuations.revision,
            zones=sorted(evacuations.zones),
            ended=sorted(evacuations.ended),
        )
        return True

    def apply_to(self, service: Service) -> None:
        """Apply the evacuations to a service."""
        # First, as statements that leave a zone may be sent to one that has returned.
        service.set_ended_evacuations(self._known.ended)
        service.set_evacuated(self._zones.zones, self._zones.closing_at)

    def tick(self) -> None:
        """Log zones that have been closed since the last call."""
        closed = self.closed
        if closed != self._logged_closed:
            for zone in sorted(closed - self._logged_closed):
                self._decisions.note(ZONE_CLOSED, zone=zone)
            self._logged_closed = closed
