"""Statements that wait for room at a member: who runs next, and who need not wait any longer."""

from dataclasses import dataclass

__all__ = ["Entry"]


@dataclass(frozen=True, slots=True)
class Entry:
    """A statement that waits for room at one member.

    Parameters
    ----------
    urgency : int
        Priority of its route, 0 for the most urgent; the system's own samples have -1.
    tenant : str or None
        Whose connection it needs; None if anybody's will do, "" where connections belong to nobody.
    arrived : float
        Milliseconds on the steady clock at which it came.
    deadline : float
        Milliseconds on the steady clock after which its answer would come too late.
    weight : float
        Share of its tenant among tenants of the same urgency.
    returned : bool
        Whether its client was turned away a moment ago and has come back as it was told.
    """

    urgency: int
    tenant: str | None
    arrived: float
    deadline: float = float("inf")
    weight: float = 1.0
    returned: bool = False
