"""State machine for one service's primary: which member it is presumed to be and whether it fails.

Performs no I/O and reads no clock: the caller (:class:`rowanrail.members.primary.PrimaryTracker`)
reports events with their time, in seconds on one monotonic clock, and acts on what the methods
return.
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

SEARCH_INTERVAL_SECONDS = 0.1  # minimum time between two searches among all members
FAILING_SEARCH_PAUSE_SECONDS = 0.15  # added to it while the presumed primary fails
# A failover takes 1 to 2 s, so a gateway that still has no primary after this is likely
# partitioned.
FAILOVER_OVERDUE_SECONDS = 2.0
ALARM_SECONDS = 0.26  # failure time after which the control nodes are alerted
NO_PROOF = -1.0  # value of ``proved_at`` before the first proof


@dataclass(slots=True)
class PrimaryState:
    """Presumed primary of one service and its failure state; times are monotonic seconds.

    While the primary answers samples, another member's claim to be primary is ignored. A member's
    failure counts only if it is the presumed primary, or if none is known.

    Parameters
    ----------
    presumed_primary : str
        Instance name of the presumed primary; empty while none is known.
    proved_at : float
        Moment of the last proof; negative before the first one.
    failing_since : float
        Moment of the first failure since the last proof; 0 while there is none.
    is_alarmed : bool
        Whether the control nodes have been alerted of the failure.

    Examples
    --------
    >>> state = PrimaryState()
    >>> state.note_members(["m1", "m2"], claims=["m1"]), state.presumed_primary
    (True, 'm1')
    >>> state.note_failure("m2", now=9.0), state.failing_since
    (None, 0.0)
    >>> state.note_failure("m1", now=10.0), state.raise_alarm(now=10.2), state.raise_alarm(10.3)
    (None, False, True)
    >>> state.is_failover_overdue(now=12.1), state.note_proof(now=12.2), state.clear_failure()
    (True, None, True)
    >>> state.clear_alarm(), state.set_presumed_primary("m2")
    (True, True)
    """

    presumed_primary: str = ""
    proved_at: float = NO_PROOF
    failing_since: float = 0.0
    is_alarmed: bool = False
    _search_at: float = 0.0

    def is_failover_overdue(self, now: float) -> bool:
        """Return whether the primary has failed for longer than a failover takes."""
        return bool(self.failing_since) and now - self.failing_since > FAILOVER_OVERDUE_SECONDS

    # Reports about members

    def note_members(
        self,
        instances: Collection[str],
        claims: Sequence[str],
        *,
        is_closed: bool = False,
        is_outdated: bool = False,
    ) -> bool:
        """Update the list of members; return whether the presumed primary changed to a claimant.

        Parameters
        ----------
        claims : sequence of str
            Members that announce themselves as primary. A claim is accepted only while no primary
            is known or the presumed one fails: one that answers is proved by its samples.
        is_closed : bool
            Whether the presumed primary may not be sampled, so that another's claim is accepted.
        is_outdated : bool
            Whether a claim is newer than the last proof of the presumed primary, which is not being
            sampled, so that the claim is accepted.
        """
        if self.presumed_primary not in instances:
            self.presumed_primary = ""
        if not claims or self.presumed_primary in claims:
            return False
        if self.presumed_primary and not (self.failing_since or is_closed or is_outdated):
            return False
        self.presumed_primary = claims[0]
        return True

    def forget_life(self, instance: str) -> None:
        """Forget what a member proved in an earlier life; it may no longer be primary."""
        if self.presumed_primary == instance:
            self.presumed_primary = ""
            self.proved_at = NO_PROOF

    def note_not_primary(self, instance: str, now: float) -> bool:
        """Record that a member refused a BEGIN as not primary; return whether it was presumed."""
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
        """Record the time of an answer that only a primary gives."""
        self.proved_at = now

    def clear_failure(self) -> bool:
        """Clear the failure; return whether there was one."""
        was_failing = bool(self.failing_since)
        self.failing_since = 0.0
        return was_failing

    def clear_alarm(self) -> bool:
        """Clear the alarm; return whether it was raised, so that its end must be reported."""
        was_alarmed = self.is_alarmed
        self.is_alarmed = False
        return was_alarmed

    def set_presumed_primary(self, instance: str) -> bool:
        """Set the presumed primary; return whether it changed."""
        is_change = self.presumed_primary != instance
        self.presumed_primary = instance
        return is_change

    # Timers

    def raise_alarm(self, now: float) -> bool:
        """Return whether the control nodes must be alerted now; true once for each failure."""
        is_lost = bool(self.failing_since) and now - self.failing_since >= ALARM_SECONDS
        if not is_lost or self.is_alarmed:
            return False
        self.is_alarmed = True
        return True

    def is_search_due(self, now: float) -> bool:
        """Return whether all members are asked again because the primary fails."""
        return bool(self.failing_since) and now >= self._search_at + FAILING_SEARCH_PAUSE_SECONDS

    def try_begin_search(self, now: float) -> bool:
        """Start a search unless the last one was too recent; return whether it was started."""
        if now < self._search_at:
            return False
        self._search_at = now + SEARCH_INTERVAL_SECONDS
        return True
