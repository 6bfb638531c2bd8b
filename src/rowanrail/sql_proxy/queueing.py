"""Rules for requests that find no connection free: wait, refuse, and when to retry.

For the pool of one member, which asks here and does what the verdict says. Owns nothing: pure
functions on plain values, in seconds. They keep the wait queue bounded and refuse at once what
would be late, so that its caller still has time to go elsewhere.
"""

__all__ = [
    "INITIAL_LATENCY_SECONDS",
    "LATENCY_SMOOTHING_FACTOR",
    "MINIMUM_RETRY_AFTER_SECONDS",
    "CONNECT_TIMEOUT_SECONDS",
    "RETRY_SPREAD_STEPS",
    "displaces_last",
    "expected_wait_seconds",
    "has_queue_room",
    "retry_after_seconds",
    "smoothed_latency",
    "would_miss_deadline",
]

# Seconds for a connection to open; a statement's deadline may end it sooner. Chosen.
CONNECT_TIMEOUT_SECONDS = 2.0
# Weight of the newest statement in a member's usual latency. Chosen.
LATENCY_SMOOTHING_FACTOR = 0.1
# Seconds taken for a member's usual latency before its first answer. Chosen.
INITIAL_LATENCY_SECONDS = 0.005
# Seconds: the soonest retry, and how long a member that refused a connection is left alone. Chosen.
MINIMUM_RETRY_AFTER_SECONDS = 0.05
# Different retry times of requests that are refused together. Chosen.
RETRY_SPREAD_STEPS = 16


def expected_wait_seconds(
    waiting: int, leased: int, limit: int, slots: int, latency_seconds: float
) -> float:
    """Return how long a request that arrives now is likely to wait.

    Parameters
    ----------
    waiting, leased : int
        Requests that wait for a connection; connections that are in use.
    limit, slots : int
        Connections that may be open; statements that the member runs at once.
    latency_seconds : float
        The member's usual latency.

    Examples
    --------
    >>> expected_wait_seconds(waiting=6, leased=4, limit=8, slots=4, latency_seconds=0.02)
    0.03
    """
    parallel = max(1, min(limit, slots))
    ahead = waiting + max(0, leased - parallel)
    return ahead * latency_seconds / parallel


def would_miss_deadline(now: float, wait_seconds: float, deadline: float) -> bool:
    """Return whether a request is refused at once, since its connection would come too late."""
    return now + wait_seconds > deadline


def has_queue_room(waiting: int, queue_length: int) -> bool:
    """Return whether one more request may wait, beside ``waiting`` others."""
    return waiting < queue_length


def displaces_last(last_priority: int, priority: int) -> bool:
    """Return whether a request takes the place of the last one in a full wait queue.

    Either it or that one is refused at once; nothing was sent of either.

    Parameters
    ----------
    last_priority : int
        Priority of the request that would be served last; a lower number is more urgent.
    priority : int
        Priority of the request that has just come.

    Examples
    --------
    >>> displaces_last(last_priority=2, priority=1), displaces_last(last_priority=2, priority=2)
    (True, False)
    """
    return priority < last_priority


def retry_after_seconds(refusals: int, wait_seconds: float) -> float:
    """Return after how many seconds a refused caller is told to retry.

    Twice the expected wait, spread by the number of the refusal over that and twice that, so that
    callers that were refused together do not retry together.

    Parameters
    ----------
    refusals : int
        Number of this refusal of the pool.
    wait_seconds : float
        Expected wait at this moment.

    Examples
    --------
    >>> retry_after_seconds(refusals=16, wait_seconds=0.5), retry_after_seconds(8, 0.5)
    (1.0, 1.5)
    >>> retry_after_seconds(refusals=16, wait_seconds=0.0)
    0.05
    """
    spread = 1 + (refusals % RETRY_SPREAD_STEPS) / RETRY_SPREAD_STEPS
    return spread * max(MINIMUM_RETRY_AFTER_SECONDS, 2 * wait_seconds)


def smoothed_latency(latency_seconds: float, seconds: float) -> float:
    """Return a member's usual latency after a statement that took ``seconds``."""
    return latency_seconds + LATENCY_SMOOTHING_FACTOR * (seconds - latency_seconds)
