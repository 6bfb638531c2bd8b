"""Slowdown of a member that warms up after its start.

Computed from the time that the member announced; its own answer times soon give a better estimate.
"""

from dataclasses import dataclass

__all__ = ["WarmUp"]

# Factor on run times right after the start. Members announce for how long they are slow, but not by
# how much; the estimate is pessimistic, as it is only used until there are answers.
COLD_SLOWDOWN = 3.0


@dataclass(frozen=True, slots=True)
class WarmUp:
    """A member whose slowdown decreases linearly while it warms up.

    Parameters
    ----------
    cold_ms : float
        Milliseconds for which it was announced to remain slow.
    heard_at : float
        Milliseconds on the steady clock at which that was announced.

    Examples
    --------
    >>> warm_up = WarmUp(cold_ms=4000, heard_at=100)
    >>> warm_up.slowdown(100), warm_up.slowdown(2100), warm_up.slowdown(9000)
    (3.0, 2.0, 1.0)
    """

    cold_ms: float
    heard_at: float

    def slowdown(self, now: float) -> float:
        """Return the factor on the member's run times."""
        if self.cold_ms <= 0:
            return 1.0
        remaining = max(0.0, self.heard_at + self.cold_ms - now) / self.cold_ms
        return 1 + (COLD_SLOWDOWN - 1) * remaining
