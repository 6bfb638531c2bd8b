"""Rules for requests that find no free connection: whether to queue, and when to retry.

Pure functions; times are in seconds. The wait queue is bounded, and a request that would miss its
deadline is refused at once, so that the caller has time to retry elsewhere.
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

# Seconds for opening a connection; the deadline of the statement may be earlier.
CONNECT_TIMEOUT_SECONDS = 2.0
# Weight of the latest statement in the exponential moving average of a member's latency.
LATENCY_SMOOTHING_FACTOR = 0.1
# Initial estimate of a member's latency in seconds.
INITIAL_LATENCY_SECONDS = 0.005
# Minimum retry-after in seconds, and the pause after a failed connection attempt to a member.
MINIMUM_RETRY_AFTER_SECONDS = 0.05
# Number of distinct retry-after values among consecutive refusals.
RETRY_SPREAD_STEPS = 16


def expected_wait_seconds(
    waiting: int, leased: int, limit: int, slots: int, latency_seconds: float
) -> float:
    """Return the expected queueing delay in seconds of a request that arrives now.

    Parameters
    ----------
    waiting, leased : int
        Number of requests that wait for a connection; number of connections in use.
    limit, slots : int
        Maximum number of connections; maximum number of concurrent statements at the member.
    latency_seconds : float
        Smoothed statement latency of the member.

    Examples
    --------
    >>> expected_wait_seconds(waiting=6, leased=4, limit=8, slots=4, latency_seconds=0.02)
    0.03
    """
    parallel = max(1, min(limit, slots))
    ahead = waiting + max(0, leased - parallel)
    return ahead * latency_seconds / parallel


def would_miss_deadline(now: float, wait_seconds: float, deadline: float) -> bool:
    """Return whether a request is refused at once because it would wait beyond its deadline."""
    return now + wait_seconds > deadline


def has_queue_room(waiting: int, queue_length: int) -> bool:
    """Return whether the queue accepts a request while ``waiting`` others are queued."""
    return waiting < queue_length


def displaces_last(last_priority: int, priority: int) -> bool:
    """Return whether an arriving request replaces the last one in a full wait queue.

    One of the two is refused as not run.

    Parameters
    ----------
    last_priority : int
        Priority of the queued request that would be served last; lower numbers are served first.
    priority : int
        Priority of the arriving request.

    Examples
    --------
    >>> displaces_last(last_priority=2, priority=1), displaces_last(last_priority=2, priority=2)
    (True, False)
    """
    return priority < last_priority


def retry_after_seconds(refusals: int, wait_seconds: float) -> float:
    """Return the retry-after of a refusal in seconds.

    Two to four times the expected wait, and at least ``MINIMUM_RETRY_AFTER_SECONDS``, spread by the
    number of the refusal so that callers that are refused together do not retry together.

    Parameters
    ----------
    refusals : int
        Number of refusals of the pool, this one included.
    wait_seconds : float
        Expected queueing delay now.

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
    """Return the moving average of a member's latency after a statement of ``seconds``."""
    return latency_seconds + LATENCY_SMOOTHING_FACTOR * (seconds - latency_seconds)
