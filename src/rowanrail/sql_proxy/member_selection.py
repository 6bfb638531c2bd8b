"""Rules that select the member that serves a statement, and the position that a read must see.

Pure functions; times are seconds of the event loop. Whether a position is fresh enough is decided
by the guards in :mod:`rowanrail.sql_proxy.policies`.
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

# Seconds that a read waits for a replica to reach its floor before it falls back to the primary.
REPLICA_WAIT_SECONDS = 0.03
# Seconds between two attempts of a read.
READ_RETRY_SECONDS = 0.005
# Seconds between two polls of all members while a statement waits for a primary; any member's
# answer ends the pause.
PRIMARY_POLL_SECONDS = 0.02


class FloorSource(enum.Enum):
    """Source of the floor, the position that a read must see."""

    SESSION = "session"  # the session's own position
    RECENT = "recent"  # a position of a majority, at most as old as the group allows
    QUORUM = "quorum"  # a position of a majority, queried after the read arrived


class ReadAction(enum.Enum):
    """What to do with a read that no replica can serve."""

    PRIMARY = "primary"
    WAIT = "wait"  # poll the members and retry after READ_RETRY_SECONDS
    REFUSE = "refuse"  # reject the read as not run


def floor_source(consistency: GroupConsistency, has_position: bool) -> FloorSource:
    """Return the source of a read's floor.

    Parameters
    ----------
    consistency : GroupConsistency
        The consistency level of the group.
    has_position : bool
        Whether the session has a position for the group. The first read of a session without one
        queries a majority, so that later reads never return older data.

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
    """Return whether a cached position of a majority is recent enough for a bounded read."""
    return age_seconds <= maximum_staleness_seconds


def current_primary(terms: Sequence[int], claims: Sequence[bool]) -> int | None:
    """Return the index of the primary, None if there is none.

    The primary is the member that claims the role in the highest term, unless a majority is known
    to have reached a higher term: a superseded primary that has not noticed gets no work.

    Parameters
    ----------
    terms : sequence of int
        Last reported term of each member; 0 if it has reported none.
    claims : sequence of bool
        Whether each member is reachable and last reported itself as primary.

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
    """Return the expected completion time of a statement at a member, in seconds.

    Parameters
    ----------
    latency_seconds : float
        Smoothed statement latency of the member.
    outstanding : int
        Number of requests that run at the member or wait for it.
    limit, slots : int
        Maximum number of connections of this proxy; maximum number of concurrent statements at the
        member.

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
    """Return whether there is time for another attempt of a read before its deadline."""
    return now + READ_RETRY_SECONDS < deadline


def action_without_replica(primary_is_fresh: bool, now: float, deadline: float) -> ReadAction:
    """Return what to do with a read that no replica can serve.

    Parameters
    ----------
    primary_is_fresh : bool
        Whether there is a primary that has applied the read's floor.
    now, deadline : float
        Event loop times in seconds.
    """
    if primary_is_fresh:
        return ReadAction.PRIMARY
    return ReadAction.WAIT if may_retry_read(now, deadline) else ReadAction.REFUSE
