"""Whether a statement that comes, or waits, can still be served in its time."""

from dataclasses import dataclass

__all__ = ["Admit", "Forecast", "Reject", "Verdict"]


@dataclass(frozen=True, slots=True)
class Forecast:
    """What a statement can expect at one member.

    Parameters
    ----------
    wait : float
        Milliseconds until it may be sent: those ahead of it, an opening if it needs one.
    run : float
        Milliseconds from then to its answer.
    has_room : bool
        Whether it could be sent at once; nothing is refused while that is so.
    opening : float
        The part of ``wait`` that is the opening of a connection.
    """

    wait: float
    run: float
    has_room: bool = False
    opening: float = 0.0


@dataclass(frozen=True, slots=True)
class Admit:
    """The statement may wait, or run."""


@dataclass(frozen=True, slots=True)
class Reject:
    """The statement can't be served in its time, and has not run.

    Parameters
    ----------
    reason : str
        For the client and the log.
    return_in : float
        Milliseconds after which its client had better come back.
    """

    reason: str
    return_in: float


Verdict = Admit | Reject
