"""Which member is believed to be primary, and for how long it has failed.

The rules of one service's primary, as a state with transitions on plain values: the caller
(:class:`rowanrail.members.primary.PrimaryTracker`) reports what it saw and does what the verdict
says. It owns the believed member and the moments of its last proof and of its first failure; it
relies on nothing but the times that it is given, in seconds on one steady clock.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

__all__ = [
    "ALARM_SECONDS",
    "FAILING_SEARCH_PAUSE_SECONDS",
    "FAILOVER_OVERDUE_SECONDS",
    "SEARCH_INTERVAL_SECONDS",
    "PrimaryState",
]

# Seconds between two questions to all members while no primary is known; chosen.
SEARCH_INTERVAL_SECONDS = 0.1
# Seconds on top of that between two of them while the believed primary fails; chosen.
FAILING_SEARCH_PAUSE_SECONDS = 0.15
# Seconds of failing after which a primary is long lost: a successor stands within 1 to 2 s, and
# only a gateway that is cut off waits longer.
FAILOVER_OVERDUE_SECONDS = 2.0
ALARM_SECONDS = 0.26  # of failing, after which the control nodes are told at once; chosen
NEVER_PROVED = -1.0  # in place of the moment of a proof


@dataclass(slots=True)
class PrimaryState:
    """What is presumed of one service's primary; times are steady seconds.

    While the primary serves, another member's claim to lead changes nothing; and a member's silence
    counts only against the presumed primary, or against the service while none is.

    Parameters
    ----------
    presumed_primary : str
        The member that is taken for the primary; empty while none is known.
    proved_at : float
        Moment of the last proof; negative before the first one.
    failing_since : float
        Moment of the first failure since the last proof; 0 while there is none.
    is_alarmed : bool
        Whether the control nodes were told that it fails.

    Examples
    --------
    >>> state = PrimaryState()
    >>> state.note_members(["m1", "m2"], claims=["m1"]), state.presumed_primary
    (True, 'm1')
    >>> state.note_failure("m2", now=9.0), state.failing_since
    (None, 0.0)
    >>> state.note_failure("m1", now=10.0), state.raise_alarm(now=10.2), state.raise_alarm(10.3)
    (None, False, True)
    >>> state.is_failover_overdue(now=12.1), state.note_proof(now=12.2), state.end_failure()
    (True, None, True)
    >>> state.end_alarm(), state.believe("m2")
    (True, True)
    """

    presumed_primary: str = ""
    proved_at: float = NEVER_PROVED
    failing_since: float = 0.0
    is_alarmed: bool = False
    _search_at: float = 0.0

    def is_failover_overdue(self, now: float) -> bool:
        """Return whether it has failed for longer than finding or making a successor takes."""
        return bool(self.failing_since) and now - self.failing_since > FAILOVER_OVERDUE_SECONDS

    # What members say and do

    def note_members(self, instances: Collection[str], claims: Sequence[str]) -> bool:
        """Take the members there are; return whether another one is believed for its claim.

        Parameters
        ----------
        claims : sequence of str
            Those that call themselves primary. One that serves is proved; one that fails may have
            been replaced, so that a claim counts only then.
        """
        if self.presumed_primary not in instances:
            self.presumed_primary = ""
        if not claims or self.presumed_primary in claims:
            return False
        if self.presumed_primary and not self.failing_since:
            return False
        self.presumed_primary = claims[0]
        return True

    def note_not_primary(self, instance: str, now: float) -> bool:
        """Note that a member refused as one that isn't primary; return whether it was believed."""
        if self.presumed_primary != instance:
            return False
        self.presumed_primary = ""
        self._begin_failure(now)
        return True

    def note_failure(self, instance: str, now: float) -> None:
        """Note that a member doesn't answer."""
        if self.presumed_primary == instance or not self.presumed_primary:
            self._begin_failure(now)

    def _begin_failure(self, now: float) -> None:
        if not self.failing_since:
            self.failing_since = now

    # After a proof, in this order

    def note_proof(self, now: float) -> None:
        """Note that some member proved to be primary."""
        self.proved_at = now

    def end_failure(self) -> bool:
        """Note that the primary answers; return whether it had failed."""
        was_failing = bool(self.failing_since)
        self.failing_since = 0.0
        return was_failing

    def end_alarm(self) -> bool:
        """Return whether the control nodes are to be told that the failure is over."""
        was_alarmed = self.is_alarmed
        self.is_alarmed = False
        return was_alarmed

    def believe(self, instance: str) -> bool:
        """Take a member for the primary; return whether that is a change."""
        is_change = self.presumed_primary != instance
        self.presumed_primary = instance
        return is_change

    # Time

    def raise_alarm(self, now: float) -> bool:
        """Return whether the control nodes are to be told now that the primary fails."""
        is_lost = bool(self.failing_since) and now - self.failing_since >= ALARM_SECONDS
        if not is_lost or self.is_alarmed:
            return False
        self.is_alarmed = True
        return True

    def is_search_due(self, now: float) -> bool:
        """Return whether all members are asked again because the primary fails."""
        return bool(self.failing_since) and now >= self._search_at + FAILING_SEARCH_PAUSE_SECONDS

    def begin_search(self, now: float) -> bool:
        """Return whether all members may be asked now, which is taken to be done then."""
        if now < self._search_at:
            return False
        self._search_at = now + SEARCH_INTERVAL_SECONDS
        return True
