"""After how long a rejected client is told to retry, and which clients are known to retry.

The gateway that rejects gives out the moments (:class:`RetryTimes`); the gateway that the client
talks to remembers that it did (:class:`RetryingClients`). Both live in memory only: after a
restart, or at another gateway, a client that retries counts as a new arrival, and its statement is
served or refused like any other. Relies on the clock alone.
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

# Milliseconds. Sooner than that a client's way and a new try cost more than waiting would have.
SHORTEST_RETRY_AFTER_MS = 100.0
# Milliseconds. Clients try three times within 10 s: two retries leave each try about a second.
LONGEST_RETRY_AFTER_MS = 3500.0
# Of the time that a try is given, that may pass in the wait queue, so that a retry is answered
# early.
QUEUE_WAIT_SHARE = 0.5
# Milliseconds between two retries at a queue whose pace is not known: 200 a second.
UNKNOWN_INTERVAL_MS = 5.0
# Of the Retry-After is jitter, so that gateways that begin together don't give the same times.
JITTER_SHARE = 0.1
# Milliseconds that a client may be early: times are given in hundredths of a second.
EARLY_MS = 20.0
# Milliseconds after its time for which a client is remembered: one that comes later than that had
# something else to do, or gave up.
REMEMBERED_MS = 2000.0
# Rejections that are remembered: 10 s of 400 refusals a second, about 1 MB.
MOST_REMEMBERED = 4096
MOST_QUEUES = 64  # before those are dropped whose moments have all passed; chosen
# Rejections running, after which a client goes before new arrivals. Callers try
# three times, so that this is their last try. After the first one a client waits as a new
# arrival does: served before others it comes late, and those others with it.
PRIORITY_AFTER_REJECTIONS = 2
_GOLDEN = 0.6180339887498949  # its multiples fill an interval evenly, however many there are


def retry_after_base(wait: float, whole: float) -> float:
    """Return in how many milliseconds a backlog has sunk to what a try can wait for.

    Parameters
    ----------
    wait : float
        Milliseconds that the backlog takes from now.
    whole : float
        Milliseconds that the next try is given.

    Examples
    --------
    >>> retry_after_base(wait=1400, whole=800)
    1000.0
    >>> retry_after_base(wait=0, whole=800), retry_after_base(wait=60000, whole=800)
    (100.0, 3500.0)
    """
    return min(
        LONGEST_RETRY_AFTER_MS, max(SHORTEST_RETRY_AFTER_MS, wait - QUEUE_WAIT_SHARE * whole)
    )


def spread_evenly(number: int, low: float, high: float) -> float:
    """Return the moment of the ``number``-th of any count of clients between two moments.

    Examples
    --------
    >>> [round(spread_evenly(number, 0, 100)) for number in range(5)]
    [0, 62, 24, 85, 47]
    """
    return low + (number * _GOLDEN) % 1.0 * (high - low)


class RetryTimes:
    """Gives rejected clients successive moments, so that they retry one by one.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    """

    __slots__ = ("_clock", "_given", "_next_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_at: dict[Hashable, float] = {}
        self._given = 0

    def next_delay(self, base: float, interval: float = 0.0, queue: Hashable = None) -> float:
        """Return in how many milliseconds the next rejected client retries.

        Parameters
        ----------
        base : float
            Milliseconds until the first of them is welcome.
        interval : float
            Milliseconds between two of them: the pace of the queue; 0 if it is not known.
        queue : Hashable
            At which they retry: urgent ones do not wait behind the moments of others.

        Notes
        -----
        Past ``LONGEST_RETRY_AFTER_MS`` there are no more moments of one's own: the whole time
        until then is filled evenly.
        """
        now = self._clock.now
        at = max(now + base, self._next_at.get(queue, 0.0))
        latest = now + LONGEST_RETRY_AFTER_MS
        number, self._given = self._given, self._given + 1
        if at >= latest:
            return spread_evenly(
                number, min(base, LONGEST_RETRY_AFTER_MS * (1 - JITTER_SHARE)), latest - now
            )
        if len(self._next_at) >= MOST_QUEUES:
            self._next_at = {known: free for known, free in self._next_at.items() if free > now}
        self._next_at[queue] = at + (interval or UNKNOWN_INTERVAL_MS)
        return min(latest, at + spread_evenly(number, 0.0, JITTER_SHARE * base)) - now


ClientLabel = Hashable


def client_label(tenant: str, database: str, key: bytes, session: str) -> ClientLabel:
    """Return what a client is known by when it retries.

    Parameters
    ----------
    key : bytes
        Digest of its key; it stays in memory. A client may retry on another session.
    session : str
        Label of its session, for clients without a key.

    Examples
    --------
    >>> client_label("anna", "orders", b"", "s1")
    ('anna', 'orders', 's1')
    """
    return (tenant, database, key or session)


class RetryingClients:
    """Who was rejected a moment ago, and how many times running.

    A label stands for all clients that share a key; as each rejection is good for one retry, they
    can't go first more often than they were rejected.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    most : int
        Rejections that are remembered; beyond that the label that was rejected longest ago is
        forgotten.
    """

    def __init__(self, clock: Clock, most: int = MOST_REMEMBERED) -> None:
        self._clock = clock
        self._most = most
        # By label a heap of the moments given, each with the rejections running until then.
        self._due: OrderedDict[ClientLabel, list[tuple[float, int]]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def note(self, label: ClientLabel, retry_after: float, times: int = 1) -> None:
        """Remember that a client was rejected, and after how many milliseconds it is to retry.

        Parameters
        ----------
        times : int
            How many times running, this one included.
        """
        self._forget_old()
        while self._count >= self._most:
            self._drop(next(iter(self._due)))
        heapq.heappush(self._due.setdefault(label, []), (self._clock.now + retry_after, times))
        self._due.move_to_end(label)
        self._count += 1

    def claim(self, label: ClientLabel) -> int:
        """Return how many times running a client was rejected that retries when it was told to.

        It is 0 for a new arrival. Each rejection counts once.
        """
        due = self._due.get(label)
        if due is None:
            return 0
        now = self._clock.now
        found = 0
        while due and not found and due[0][0] <= now + EARLY_MS:
            given, times = heapq.heappop(due)
            found = times if given >= now - REMEMBERED_MS else 0
            self._count -= 1
        if not due:
            del self._due[label]
        return found

    def _forget_old(self) -> None:
        """Forget labels at the front whose last moment has passed long ago."""
        limit = self._clock.now - REMEMBERED_MS
        while self._due:
            label = next(iter(self._due))
            if max(self._due[label])[0] >= limit:
                return
            self._drop(label)

    def _drop(self, label: ClientLabel) -> None:
        self._count -= len(self._due.pop(label))
