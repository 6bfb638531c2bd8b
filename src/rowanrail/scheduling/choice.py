"""Which member serves a read soonest, by what is seen of each."""

from dataclasses import dataclass

__all__ = ["Candidate"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """What is known of a member that may serve a read.

    Parameters
    ----------
    instance : str
        Identity of one life of the member.
    wait : float
        Milliseconds until a statement may be sent there.
    run : float
        Milliseconds from then to its answer, the way there and back included.
    is_primary : bool
        Whether it is believed to lead, so that all writes need its slots.
    error_share : float
        Share of its latest answers that were errors of its own, 0 to 1.
    is_suspect : bool
        Whether it failed a moment ago, so that it is tried by one request at a time.
    slowness : float
        Factor on ``run`` while it is cold after its start; 1 for a warm one.
    has_room : bool
        Whether a statement could be sent at once.
    """

    instance: str
    wait: float
    run: float
    is_primary: bool = False
    error_share: float = 0.0
    is_suspect: bool = False
    slowness: float = 1.0
    has_room: bool = True
