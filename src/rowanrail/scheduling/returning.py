"""When a client that was turned away comes back, and who is known to have come back.

The gateway that tells a time gives out the places; the gateway that the client talks to remembers
that it did. Both live in memory only: after a restart, or at another gateway, a client that comes
back counts as a newcomer, and its statement is served or refused like any other.
"""

import heapq
from collections import OrderedDict
from collections.abc import Hashable

from rowanrail.kernel.clock import Clock

__all__ = [
    "GOES_FIRST_AFTER",
    "SHORTEST_RETURN_MS",
    "Label",
    "ReturnTimes",
    "Returners",
    "client_label",
    "return_base",
    "spread",
]

# Milliseconds. Sooner than that a client's way and a new try cost more than waiting would have.
SHORTEST_RETURN_MS = 100.0
# Milliseconds. Clients try three times within 10 s: two returns leave each try about a second.
LONGEST_RETURN_MS = 3500.0
# Of the time that a try is given may pass in the line, so that a returned one is answered early.
LINE_SHARE = 0.5
# Milliseconds between two returns to a line whose pace is not known: 200 a second.
UNKNOWN_INTERVAL_MS = 5.0
# Of the time told is the jitter, so that gateways that begin together don't tell the same times.
JITTER_SHARE = 0.1
# Milliseconds that a client may be early: times are told in hundredths of a second.
EARLY_MS = 20.0
# Milliseconds after its time for which a client is remembered: one that comes later than that had
# something else to do, or gave up.
REMEMBERED_MS = 2000.0
# Returns that are remembered: 10 s of 400 refusals a second, about 1 MB.
MOST_REMEMBERED = 4096
MOST_LINES = 64  # before those are looked for whose places have all passed
# Times that a client was turned away running, after which it goes before newcomers. Callers try
# three times, so that this is their last try. After the first one a client stands in the line as a
# newcomer does: served in its place it comes late, and the newcomer with it.
GOES_FIRST_AFTER = 2
_GOLDEN = 0.6180339887498949  # its multiples fill an interval evenly, however many there are


def return_base(wait: float, whole: float) -> float:
    """Return in how many milliseconds a backlog has sunk to what a try can wait for.

    Parameters
    ----------
    wait : float
        Milliseconds that the backlog takes from now.
    whole : float
        Milliseconds that the next try is given.

    Examples
    --------
    >>> return_base(wait=1400, whole=800)
    1000.0
    >>> return_base(wait=0, whole=800), return_base(wait=60000, whole=800)
    (100.0, 3500.0)
    """
    return min(LONGEST_RETURN_MS, max(SHORTEST_RETURN_MS, wait - LINE_SHARE * whole))


def spread(number: int, low: float, high: float) -> float:
    """Return the place of the ``number``-th of any count of clients between two moments.

    Examples
    --------
    >>> [round(spread(number, 0, 100)) for number in range(5)]
    [0, 62, 24, 85, 47]
    """
    return low + (number * _GOLDEN) % 1.0 * (high - low)


class ReturnTimes:
    """Gives clients that are turned away successive places, so that they return one by one.

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

    def next(self, base: float, interval: float = 0.0, line: Hashable = None) -> float:
        """Return in how many milliseconds the next client that is turned away returns.

        Parameters
        ----------
        base : float
            Milliseconds until the first of them is welcome.
        interval : float
            Milliseconds between two of them: the pace of the line; 0 if it is not known.
        line : Hashable
            To which they return: urgent ones do not stand behind the places of others.

        Notes
        -----
        Past ``LONGEST_RETURN_MS`` there are no more places of one's own: the whole time until
        then is filled evenly.
        """
        now = self._clock.now
        at = max(now + base, self._next_at.get(line, 0.0))
        latest = now + LONGEST_RETURN_MS
        number, self._given = self._given, self._given + 1
        if at >= latest:
            return spread(number, min(base, LONGEST_RETURN_MS * (1 - JITTER_SHARE)), latest - now)
        if len(self._next_at) >= MOST_LINES:
            self._next_at = {known: free for known, free in self._next_at.items() if free > now}
        self._next_at[line] = at + (interval or UNKNOWN_INTERVAL_MS)
        return min(latest, at + spread(number, 0.0, JITTER_SHARE * base)) - now


Label = Hashable


def client_label(tenant: str, database: str, key: bytes, session: str) -> Label:
    """Return what a client is known by when it comes back.

    Parameters
    ----------
    key : bytes
        Digest of its key; it stays in memory. A client may come back on another session.
    session : str
        Label of its session, for clients without a key.

    Examples
    --------
    >>> client_label("anna", "orders", b"", "s1")
    ('anna', 'orders', 's1')
    """
    return (tenant, database, key or session)


class Returners:
    """Who was turned away a moment ago, and how many times running.

    A label stands for all clients that share a key; as each refusal is good for one return, they
    can't jump the line more often than they were turned away.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    most : int
        Returns that are remembered; beyond that the label that was turned away longest ago is
        forgotten.
    """

    def __init__(self, clock: Clock, most: int = MOST_REMEMBERED) -> None:
        self._clock = clock
        self._most = most
        # By label a heap of the moments told, each with the times turned away until then.
        self._due: OrderedDict[Label, list[tuple[float, int]]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def note(self, label: Label, return_in: float, times: int = 1) -> None:
        """Remember that a client was turned away and told when to come back.

        Parameters
        ----------
        times : int
            How many times running, this one included.
        """
        self._forget_old()
        while self._count >= self._most:
            self._drop(next(iter(self._due)))
        heapq.heappush(self._due.setdefault(label, []), (self._clock.now + return_in, times))
        self._due.move_to_end(label)
        self._count += 1

    def claim(self, label: Label) -> int:
        """Return how many times running a client was turned away that comes back as it was told.

        It is 0 for a newcomer. Each refusal counts once.
        """
        due = self._due.get(label)
        if due is None:
            return 0
        now = self._clock.now
        found = 0
        while due and not found and due[0][0] <= now + EARLY_MS:
            told, times = heapq.heappop(due)
            found = times if told >= now - REMEMBERED_MS else 0
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

    def _drop(self, label: Label) -> None:
        self._count -= len(self._due.pop(label))
