"""Rules for which member of a group serves a statement, and what a read must see.

For the group, its services and the runner of reads, which ask here and do what the verdict says.
Owns nothing: pure functions on plain values; times are seconds of the event loop. Relies on the
guards in :mod:`rowanrail.sql_proxy.policies` for whether a position is fresh enough.
"""

import enum
from collections.abc import Sequence

from rowanrail.config.model import GroupConsistency

__all__ = [
    "PRIMARY_POLL_SECONDS",
    "READ_RETRY_SECONDS",
    "REPLICA_WAIT_SECONDS",
    "FloorSource",
    "ReadAction",
    "current_primary",
    "expected_completion_seconds",
    "floor_source",
    "is_recent_floor",
    "may_retry_read",
    "action_without_replica",
]

# Seconds that a read waits for a replica that has what it must see, before the primary serves it.
# Chosen.
REPLICA_WAIT_SECONDS = 0.03
# Seconds between two tries of a read. Chosen.
READ_RETRY_SECONDS = 0.005
# Seconds between two rounds of questions while a primary is searched for; the answer of any member
# ends the pause. Chosen.
PRIMARY_POLL_SECONDS = 0.02


class FloorSource(enum.Enum):
    """Where the position comes from that a read must see."""

    SESSION = "session"  # the session's own position
    RECENT = "recent"  # a position of a majority, at most as old as the group allows
    QUORUM = "quorum"  # a position of a majority, queried after the read arrived


class ReadAction(enum.Enum):
    """What a read does that no replica serves."""

    PRIMARY = "primary"
    WAIT = "wait"  # ask the members and try again in a moment
    REFUSE = "refuse"  # it did not run


def floor_source(consistency: GroupConsistency, has_position: bool) -> FloorSource:
    """Return where the position of a read comes from.

    Parameters
    ----------
    consistency : GroupConsistency
        What the group promises.
    has_position : bool
        Whether the session has seen anything of the group. A session that has seen nothing asks
        first, so that what it reads never goes back.

    Examples
    --------
    >>> floor_source(GroupConsistency.SESSION, has_position=True).value
    'session'
    >>> floor_source(GroupConsistency.SESSION, has_position=False).value
    'quorum'
    """
    match consistency:
        case GroupConsistency.STRICT:
            return FloorSource.QUORUM
        case GroupConsistency.BOUNDED:
            return FloorSource.RECENT
        case _:
            return FloorSource.SESSION if has_position else FloorSource.QUORUM


def is_recent_floor(age_seconds: float, maximum_staleness_seconds: float) -> bool:
    """Return whether a majority's position asked for so long ago still serves a bounded read."""
    return age_seconds <= maximum_staleness_seconds


def current_primary(terms: Sequence[int], claims: Sequence[bool]) -> int | None:
    """Return which member is the primary, None if none is.

    It is the one that claims to be in the highest term, unless a majority is known to have reached
    a higher one: a primary that was replaced and does not know it yet gets no work.

    Parameters
    ----------
    terms : sequence of int
        Term that each member last reported; 0 if it has reported none.
    claims : sequence of bool
        Whether each member answers and last said that it is the primary.

    Examples
    --------
    >>> current_primary([3, 4, 4], [True, True, False])
    1
    >>> current_primary([3, 4, 4], [True, False, False]) is None
    True
    """
    best: int | None = None
    for position, claimed in enumerate(claims):
        if claimed and (best is None or terms[position] > terms[best]):
            best = position
    if best is None or terms[best] < sorted(terms, reverse=True)[len(terms) // 2]:
        return None
    return best


def expected_completion_seconds(
    latency_seconds: float, outstanding: int, limit: int, slots: int
) -> float:
    """Return the seconds that a statement can expect at a member; the least of them serves a read.

    Parameters
    ----------
    latency_seconds : float
        The member's usual latency.
    outstanding : int
        Requests that run there or wait for it.
    limit, slots : int
        Connections that this proxy may open; statements that the member runs at once.

    Examples
    --------
    >>> expected_completion_seconds(0.01, outstanding=0, limit=8, slots=4)
    0.01
    >>> expected_completion_seconds(0.01, outstanding=7, limit=8, slots=4)
    0.02
    """
    rounds = (outstanding + 1) / max(1, min(limit, slots))
    return latency_seconds * max(1.0, rounds)


def may_retry_read(now: float, deadline: float) -> bool:
    """Return whether a read that failed or found no member has time for another try."""
    return now + READ_RETRY_SECONDS < deadline


def action_without_replica(primary_is_fresh: bool, now: float, deadline: float) -> ReadAction:
    """Return what a read does that no replica serves.

    Parameters
    ----------
    primary_is_fresh : bool
        Whether there is a primary and it has applied what the read must see.
    now, deadline : float
        Loop time in seconds.
    """
    if primary_is_fresh:
        return ReadAction.PRIMARY
    return ReadAction.WAIT if may_retry_read(now, deadline) else ReadAction.REFUSE
