"""Retry times for rejected clients, and recognition of the clients that retry.

The gateway that rejects assigns the retry times (:class:`RetryTimes`); the gateway that the client
talks to remembers them (:class:`RetryingClients`). Both keep their state in memory: after a
restart, or at another gateway, a client that retries counts as a new arrival.
"""

import heapq
from collections import OrderedDict
from collections.abc import Hashable

from rowanrail.kernel.clock import Clock

__all__ = [
    "PRIORITY_AFTER_REJECTIONS",
    "SHORTEST_RETRY_AFTER_MS",
    "ClientLabel",
    "RetryTimes",
    "RetryingClients",
    "client_label",
    "retry_after_base",
    "spread_evenly",
]

# An earlier retry costs more in round trips than waiting in the queue would have.
SHORTEST_RETRY_AFTER_MS = 100.0
# Clients make three attempts within 10 s; two such delays leave about a second for each attempt.
LONGEST_RETRY_AFTER_MS = 3500.0
# Share of an attempt's time limit that it may spend in the queue.
QUEUE_WAIT_SHARE = 0.5
# Interval between two retries at a queue whose drain rate is unknown.
UNKNOWN_INTERVAL_MS = 5.0
# Share of the delay that is jitter, so that gateways that start together assign different times.
JITTER_SHARE = 0.1
# Tolerance for clients that retry early, as delays are rounded to hundredths of a second.
EARLY_MS = 20.0
# Time after its retry time for which a client is still recognized.
REMEMBERED_MS = 2000.0
# Bounds memory to about 1 MB: the rejections of 10 s at 400 a second.
MAX_REMEMBERED = 4096
MAX_QUEUES = 64  # above it, queues whose retry times have all passed are dropped
# Consecutive rejections after which a client goes before new arrivals. Clients make three attempts,
# so this is the last one. Priority on the second attempt would delay new arrivals instead.
PRIORITY_AFTER_REJECTIONS = 2
_GOLDEN_RATIO = 0.6180339887498949  # its multiples modulo 1 fill the unit interval evenly


def retry_after_base(wait: float, time_limit: float) -> float:
    """Return the milliseconds until a retry can be served within its time limit, without jitter.

    Parameters
    ----------
    wait : float
        Milliseconds that it takes to drain the queue.
    time_limit : float
        Milliseconds that the next attempt is given.

    Examples
    --------
    >>> retry_after_base(wait=1400, time_limit=800)
    1000.0
    >>> retry_after_base(wait=0, time_limit=800), retry_after_base(wait=60000, time_limit=800)
    (100.0, 3500.0)
    """
    return min(
        LONGEST_RETRY_AFTER_MS, max(SHORTEST_RETRY_AFTER_MS, wait - QUEUE_WAIT_SHARE * time_limit)
    )


def spread_evenly(number: int, low: float, high: float) -> float:
    """Return the ``number``-th point of a low-discrepancy sequence between two bounds.

    Examples
    --------
    >>> [round(spread_evenly(number, 0, 100)) for number in range(5)]
    [0, 62, 24, 85, 47]
    """
    return low + (number * _GOLDEN_RATIO) % 1.0 * (high - low)


class RetryTimes:
    """Assigns rejected clients successive retry times, so that they return one by one.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    """

    __slots__ = ("_clock", "_assigned", "_next_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_at: dict[Hashable, float] = {}
        self._assigned = 0

    def next_delay(self, base: float, interval: float = 0.0, queue: Hashable = None) -> float:
        """Return the milliseconds after which the next rejected client should retry.

        Parameters
        ----------
        base : float
            Milliseconds until the first retry can be served.
        interval : float
            Milliseconds between two retries: the drain interval of the queue; 0 if unknown.
        queue : Hashable
            Identifies the queue; retry times are assigned for each one independently.

        Notes
        -----
        When all times up to ``LONGEST_RETRY_AFTER_MS`` are taken, further retries are spread evenly
        over that period.
        """
        now = self._clock.now
        at = max(now + base, self._next_at.get(queue, 0.0))
        latest = now + LONGEST_RETRY_AFTER_MS
        number, self._assigned = self._assigned, self._assigned + 1
        if at >= latest:
            return spread_evenly(
                number, min(base, LONGEST_RETRY_AFTER_MS * (1 - JITTER_SHARE)), latest - now
            )
        if len(self._next_at) >= MAX_QUEUES:
            self._next_at = {known: free for known, free in self._next_at.items() if free > now}
        self._next_at[queue] = at + (interval or UNKNOWN_INTERVAL_MS)
        return min(latest, at + spread_evenly(number, 0.0, JITTER_SHARE * base)) - now


ClientLabel = Hashable


def client_label(tenant: str, database: str, key: bytes, session: str) -> ClientLabel:
    """Return the label by which a client is recognized when it retries.

    Parameters
    ----------
    key : bytes
        Digest of the client's key; kept in memory only. A client with a key may retry on another
        session.
    session : str
        Label of the session, used for clients without a key.

    Examples
    --------
    >>> client_label("anna", "orders", b"", "s1")
    ('anna', 'orders', 's1')
    """
    return (tenant, database, key or session)


class RetryingClients:
    """Recently rejected clients, with their numbers of consecutive rejections.

    All clients that share a key share a label. Each rejection grants one retry, so together they
    get priority no more often than they were rejected.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    capacity : int
        Rejections that are remembered; above it the least recently rejected label is evicted.
    """

    def __init__(self, clock: Clock, capacity: int = MAX_REMEMBERED) -> None:
        self._clock = clock
        self._capacity = capacity
        # By label, a heap of (retry time, consecutive rejections).
        self._due: OrderedDict[ClientLabel, list[tuple[float, int]]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def note(self, label: ClientLabel, retry_after: float, times: int = 1) -> None:
        """Remember a rejected client, which is to retry after some milliseconds.

        Parameters
        ----------
        times : int
            Number of consecutive rejections, including this one.
        """
        self._evict_expired()
        while self._count >= self._capacity:
            self._drop(next(iter(self._due)))
        heapq.heappush(self._due.setdefault(label, []), (self._clock.now + retry_after, times))
        self._due.move_to_end(label)
        self._count += 1

    def claim(self, label: ClientLabel) -> int:
        """Return the consecutive rejections of a client that retries at its time, and forget them.

        Returns 0 for a new arrival, or if it retries too early or too late.
        """
        due = self._due.get(label)
        if due is None:
            return 0
        now = self._clock.now
        found = 0
        while due and not found and due[0][0] <= now + EARLY_MS:
            retry_at, times = heapq.heappop(due)
            found = times if retry_at >= now - REMEMBERED_MS else 0
            self._count -= 1
        if not due:
            del self._due[label]
        return found

    def _evict_expired(self) -> None:
        """Drop the least recently rejected labels whose last retry time has expired."""
        limit = self._clock.now - REMEMBERED_MS
        while self._due:
            label = next(iter(self._due))
            if max(self._due[label])[0] >= limit:
                return
            self._drop(label)

    def _drop(self, label: ClientLabel) -> None:
        self._count -= len(self._due.pop(label))
