"""Until when a process uses the members of evacuated zones. No I/O.

Statements that another member can run leave an evacuated zone at once. What only one member can
run, because it is the primary or has the statement's open transaction, may go on for a part of the
time that is allowed, in which the control nodes move the primary; then the zone is closed. The
leader of the control nodes knows of an evacuation before it is acknowledged, and has more time.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["GATEWAY_GRACE_SHARE", "LEADER_GRACE_SHARE", "EvacuatedZones", "grace_seconds"]

# Shares of the time that is allowed. At a gateway, the rest covers the time until it knows of the
# evacuation.
GATEWAY_GRACE_SHARE = 0.4
LEADER_GRACE_SHARE = 0.7


def grace_seconds(evacuation_ms: float, share: float) -> float:
    """Return for how long a zone stays open for what only its members can run.

    Parameters
    ----------
    evacuation_ms : float
        Time from the acknowledgement of an evacuation until nothing may be sent to the zone.
    share : float
        Share of this time in which the process still uses the zone.

    Examples
    --------
    >>> grace_seconds(5000, GATEWAY_GRACE_SHARE), grace_seconds(5000, LEADER_GRACE_SHARE)
    (2.0, 3.5)
    """
    return share * evacuation_ms / 1000


@dataclass(frozen=True, slots=True)
class EvacuatedZones:
    """The evacuated zones, each with the time at which it is closed.

    Parameters
    ----------
    ordered_ms : mapping of str to int
        Evacuated zones, with the Unix milliseconds of the order.
    closing_at : mapping of str to float
        Monotonic seconds from which nothing at all is sent to a zone.

    Examples
    --------
    >>> zones = EvacuatedZones().updated({"a": 500}, now=10.0, grace=2.0)
    >>> zones.updated({"a": 500, "b": 900}, now=11.0, grace=2.0).closing_at
    {'a': 12.0, 'b': 13.0}
    >>> zones.updated({}, 11.0, 2.0).updated({"a": 700}, now=30.0, grace=2.0).closing_at
    {'a': 32.0}
    """

    ordered_ms: Mapping[str, int] = field(default_factory=dict)
    closing_at: Mapping[str, float] = field(default_factory=dict)

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return frozenset(self.ordered_ms)

    def updated(self, ordered_ms: Mapping[str, int], now: float, grace: float) -> "EvacuatedZones":
        """Return the zones after a change; those of a known order keep their time.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        grace : float
            Seconds until a newly evacuated zone is closed.
        """
        closing_at = {
            zone: self.closing_at[zone] if self.ordered_ms.get(zone) == at_ms else now + grace
            for zone, at_ms in ordered_ms.items()
        }
        return EvacuatedZones(dict(ordered_ms), closing_at)

    def closed(self, now: float) -> frozenset[str]:
        """Return the zones that are closed at ``now``, in monotonic seconds."""
        return frozenset(zone for zone, at in self.closing_at.items() if now >= at)
