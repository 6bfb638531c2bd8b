"""How slow a member is while it is cold after its start.

A value made from what the member announced, in steady milliseconds; answers of its own soon tell
more than it does.
"""

from dataclasses import dataclass

__all__ = ["WarmUp"]

# Factor on what a statement takes right after the start. Members tell for how long they are slow,
# not how slow: it lasts only until their own answers tell, and errs on the side of callers.
COLD_SLOWNESS = 3.0


@dataclass(frozen=True, slots=True)
class WarmUp:
    """A member that becomes warm in even steps.

    Parameters
    ----------
    cold_ms : float
        Milliseconds for which it was still to be slow when it was heard.
    heard_at : float
        Milliseconds on the steady clock at which that was.

    Examples
    --------
    >>> warming = WarmUp(cold_ms=4000, heard_at=100)
    >>> warming.slowdown(100), warming.slowdown(2100), warming.slowdown(9000)
    (3.0, 2.0, 1.0)
    """

    cold_ms: float
    heard_at: float

    def slowdown(self, now: float) -> float:
        """Return the factor on what statements take there."""
        if self.cold_ms <= 0:
            return 1.0
        left = max(0.0, self.heard_at + self.cold_ms - now) / self.cold_ms
        return 1 + (COLD_SLOWNESS - 1) * left
