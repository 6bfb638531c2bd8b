"""Rules for sampling: when to sample, on which connection, and when to give up.

Pure functions for :class:`rowanrail.members.sampler.MemberSampler`. Samples prefer pooled
connections, because a dedicated connection takes a place at the member that another gateway may
need, most of all when all gateways start at once.
"""

import enum

__all__ = [
    "DEDICATED_CONNECTION_SECONDS",
    "OPEN_TIMEOUT_SECONDS",
    "SAMPLE_TIMEOUT_SECONDS",
    "SampleTimeoutAction",
    "is_sample_due",
    "may_close_dedicated",
    "retry_at",
    "sample_timeout_action",
    "should_use_pool",
]

SAMPLE_TIMEOUT_SECONDS = 0.3  # six round trips between regions that are 20 ms apart one way
LEASE_WAIT_SECONDS = 0.1  # wait for a pooled connection before a dedicated one is opened
OPEN_TIMEOUT_SECONDS = 0.8  # below the 1 s after which TCP retransmits a lost SYN
RETRY_FAILED_SECONDS = 0.3  # delay before a member that failed is sampled again
RETRY_CONNECTION_LIMIT_SECONDS = 0.1  # shorter, as other clients close connections all the time
DEDICATED_CONNECTION_SECONDS = 5.0  # minimum lifetime of a dedicated connection to the primary


class SampleTimeoutAction(enum.Enum):
    """What to do about a sample that is still outstanding."""

    WAIT = "wait"
    OPEN_DEDICATED = "open its own connection"
    SUSPECT = "note a failure, and go on"
    GIVE_UP = "note a failure, close the connection and try again later"


def sample_timeout_action(
    elapsed_seconds: float, is_waiting_for_lease: bool, is_open: bool
) -> SampleTimeoutAction:
    """Return what to do about a sample that is still outstanding.

    An exhausted pool may be the first sign that the member no longer answers, so a dedicated
    connection is opened after a short wait. A busy member is slow to accept connections, and a
    second attempt would only queue behind the first: a slow open is reported as a failure early
    but abandoned late.

    Parameters
    ----------
    elapsed_seconds : float
        Time since the sample was requested.
    is_waiting_for_lease : bool
        Whether it waits for a connection of the pool.
    is_open : bool
        Whether its connection is open.

    Examples
    --------
    >>> sample_timeout_action(0.2, is_waiting_for_lease=True, is_open=False).name
    'OPEN_DEDICATED'
    >>> [sample_timeout_action(seconds, False, is_open=False).name for seconds in (0.3, 0.4, 0.9)]
    ['WAIT', 'SUSPECT', 'GIVE_UP']
    >>> sample_timeout_action(0.4, False, is_open=True).name
    'GIVE_UP'
    """
    if is_waiting_for_lease and elapsed_seconds > LEASE_WAIT_SECONDS:
        return SampleTimeoutAction.OPEN_DEDICATED
    if elapsed_seconds <= SAMPLE_TIMEOUT_SECONDS:
        return SampleTimeoutAction.WAIT
    if is_open or elapsed_seconds > OPEN_TIMEOUT_SECONDS:
        return SampleTimeoutAction.GIVE_UP
    return SampleTimeoutAction.SUSPECT


def is_sample_due(
    has_waiters: bool, in_use: bool, seconds_since_proof: float, monitor_seconds: float
) -> bool:
    """Return whether to sample the primary.

    Parameters
    ----------
    has_waiters : bool
        Whether a read waits for a sample.
    in_use : bool
        Whether the service receives statements, so that a failed primary must be detected.
    seconds_since_proof : float
        Time since the last proof.
    monitor_seconds : float
        Sampling interval when no read waits.
    """
    return has_waiters or in_use and seconds_since_proof > monitor_seconds


def should_use_pool(
    is_presumed_primary: bool, is_failing: bool, is_at_connection_limit: bool, can_lease: bool
) -> bool:
    """Return whether to sample a member on a pooled connection.

    Parameters
    ----------
    is_presumed_primary : bool
        Whether the member is the presumed primary, to which the pool has connections.
    is_failing : bool
        Whether the member is failing, in which case pooled connections may be stuck as well.
    is_at_connection_limit : bool
        Whether the member refused the last dedicated connection for lack of a free one.
    can_lease : bool
        Whether the pool has a connection available.
    """
    if not is_presumed_primary or is_failing:
        return False
    return is_at_connection_limit or can_lease


def may_close_dedicated(
    is_wanted: bool,
    is_presumed_primary: bool,
    is_open: bool,
    open_seconds: float,
    pool_available: bool,
) -> bool:
    """Return whether a dedicated sampling connection may be closed.

    Parameters
    ----------
    is_wanted : bool
        Whether reads wait for a sample, the primary is failing, or none is known.
    is_presumed_primary : bool
        Whether the connection leads to the presumed primary.
    is_open : bool
        Whether the connection is open.
    open_seconds : float
        Time since it was opened.
    pool_available : bool
        Whether a pooled connection could be used instead.
    """
    if is_wanted:
        return False
    if not is_presumed_primary:
        return True
    return is_open and open_seconds > DEDICATED_CONNECTION_SECONDS and pool_available


def retry_at(now: float, is_at_connection_limit: bool) -> float:
    """Return the time in seconds at which to retry a member that could not be sampled.

    A member that failed waits longer, to avoid hammering a dead port.

    Examples
    --------
    >>> retry_at(10.0, is_at_connection_limit=True), retry_at(10.0, is_at_connection_limit=False)
    (10.1, 10.3)
    """
    return now + (
        RETRY_CONNECTION_LIMIT_SECONDS if is_at_connection_limit else RETRY_FAILED_SECONDS
    )
