"""When a member is sampled, on whose connection, and when a sample is given up.

Functions on plain values, without state, for
:class:`rowanrail.members.sampler.MemberSampler`. Samples go on connections that are
open for statements where one is free: connections are scarce, most of all when all gateways start
at once, and one that is borrowed is one fewer at the member.
"""

import enum

__all__ = [
    "OPEN_TIMEOUT_SECONDS",
    "OWN_CONNECTION_SECONDS",
    "SAMPLE_TIMEOUT_SECONDS",
    "LateSample",
    "is_needless",
    "is_sample_due",
    "judge_late",
    "may_borrow",
    "retry_at",
]

SAMPLE_TIMEOUT_SECONDS = 0.3  # six times a round trip between regions of 20 ms one way
LOAN_WAIT_SECONDS = 0.1  # of waiting for a connection of the pool; chosen
OPEN_TIMEOUT_SECONDS = 0.8  # an opening packet that was lost is sent again only after a second
RETRY_OPEN_SECONDS = 0.3  # before a member that refused a connection is tried again; chosen
RETRY_CROWDED_SECONDS = 0.1  # connections of others end all the time; chosen
# Seconds for which a connection of its own is kept, though the pool could lend one; chosen.
OWN_CONNECTION_SECONDS = 5.0


class LateSample(enum.Enum):
    """What becomes of a sample that was asked for and isn't there."""

    WAIT = "wait"
    OPEN_OWN = "open its own connection"
    SUSPECT = "note a failure, and go on"
    GIVE_UP = "note a failure, close the connection and try again later"


def judge_late(late_seconds: float, waits_for_loan: bool, is_open: bool) -> LateSample:
    """Return what becomes of a sample that isn't there.

    That all connections of the pool are in use for long may be the first sign that the member is
    silent, so that another one is opened. A member in demand takes its time to open one, and
    another one would only stand further back in its queue: an opening counts against the member
    early, and is given up late.

    Parameters
    ----------
    late_seconds : float
        Since the sample was asked for.
    waits_for_loan : bool
        Whether it waits for a connection of the pool.
    is_open : bool
        Whether its connection is open.

    Examples
    --------
    >>> judge_late(0.2, waits_for_loan=True, is_open=False).name
    'OPEN_OWN'
    >>> [judge_late(seconds, False, is_open=False).name for seconds in (0.3, 0.4, 0.9)]
    ['WAIT', 'SUSPECT', 'GIVE_UP']
    >>> judge_late(0.4, False, is_open=True).name
    'GIVE_UP'
    """
    if waits_for_loan and late_seconds > LOAN_WAIT_SECONDS:
        return LateSample.OPEN_OWN
    if late_seconds <= SAMPLE_TIMEOUT_SECONDS:
        return LateSample.WAIT
    if is_open or late_seconds > OPEN_TIMEOUT_SECONDS:
        return LateSample.GIVE_UP
    return LateSample.SUSPECT


def is_sample_due(
    is_awaited: bool, in_use: bool, unproved_seconds: float, monitor_seconds: float
) -> bool:
    """Return whether the primary is asked for a sample.

    Parameters
    ----------
    is_awaited : bool
        Whether a read waits for one.
    in_use : bool
        Whether statements come, so that the loss of the primary must be noticed.
    unproved_seconds : float
        Since the last proof.
    monitor_seconds : float
        After which one is asked for though no read waits.
    """
    return is_awaited or in_use and unproved_seconds > monitor_seconds


def may_borrow(is_believed: bool, is_failing: bool, is_crowded: bool, can_lend: bool) -> bool:
    """Return whether a sample goes on a connection of the pool.

    Parameters
    ----------
    is_believed : bool
        Whether the member is believed to be primary: statements have connections to it.
    is_failing : bool
        Whether it fails: then the pool's connections may be those that it leaves unanswered.
    is_crowded : bool
        Whether it had no connection left a moment ago, so that only the pool has some.
    can_lend : bool
        Whether the pool has one at hand.
    """
    if not is_believed or is_failing:
        return False
    return is_crowded or can_lend


def is_needless(
    is_wanted: bool, is_believed: bool, is_open: bool, open_seconds: float, can_borrow: bool
) -> bool:
    """Return whether a connection that was opened for samples may be closed.

    Parameters
    ----------
    is_wanted : bool
        Whether reads wait, the primary fails, or none is known.
    is_believed : bool
        Whether its member is believed to be primary.
    open_seconds : float
        For how long it has been open.
    can_borrow : bool
        Whether a connection of the pool would do.
    """
    if is_wanted:
        return False
    if not is_believed:
        return True
    return is_open and open_seconds > OWN_CONNECTION_SECONDS and can_borrow


def retry_at(now: float, is_crowded: bool) -> float:
    """Return from when a member that could not be sampled is tried again.

    One that failed waits longer, so that a dead port isn't hammered.

    Examples
    --------
    >>> retry_at(10.0, is_crowded=True), retry_at(10.0, is_crowded=False)
    (10.1, 10.3)
    """
    return now + (RETRY_CROWDED_SECONDS if is_crowded else RETRY_OPEN_SECONDS)
