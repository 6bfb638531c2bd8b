"""What a holder of connections tells about its load with each answer, and how it ages.

It travels with answers that are sent anyhow. What was told is a moment old when it comes and may be
wrong soon after, so that the sender takes the least that may still be true, forgets it after a
second, and sends a probe now and then, whose answer says when room is back.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from rowanrail.kernel.clock import Clock

__all__ = ["URGENCIES", "Assumed", "LoadBook", "LoadTeller", "ServiceLoad"]

URGENCIES = 3  # told one by one; routes of callers name no more so far
# Milliseconds for which what a holder told is assumed: about the time of a try, after which its
# backlog is another one.
ASSUMED_MS = 1000.0
# Milliseconds between two statements that are sent although they would be refused: ten answers a
# second tell within a tenth of a second that room is back.
PROBE_MS = 100.0
# Milliseconds for which a load that was worked out is told again; short beside what is told.
TOLD_AGAIN_MS = 10.0
LEAST_TOLD_MS = 20.0  # shorter waits change no decision
MOST_BOOKED = 1024  # services at holders: more than a gateway sends to; about 200 KB


class ServiceLoad(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The load of one service at the gateway that holds its connections.

    Parameters
    ----------
    waits : list of int
        Milliseconds that a statement of each urgency, from 0 on, would wait for room at the
        primary now; the last one also stands for all that are less urgent.
    reads : list of int
        The same at the member where a read would wait least.
    pace : int
        Statements a second by which the line at the primary goes on; 0 if it is not known.
    """

    waits: list[int] = []
    reads: list[int] = []
    pace: int = 0

    def wait(self, urgency: int, writes: bool) -> int:
        """Return the wait of a statement in milliseconds.

        Examples
        --------
        >>> load = ServiceLoad([0, 900], [0, 0])
        >>> load.wait(0, True), load.wait(1, True), load.wait(7, True), load.wait(1, False)
        (0, 900, 900, 0)
        """
        waits = self.waits if writes else self.reads
        return waits[min(max(urgency, 0), len(waits) - 1)] if waits else 0


def worth_telling(load: ServiceLoad) -> bool:
    """Return whether a load says more than that there is room.

    Examples
    --------
    >>> worth_telling(ServiceLoad([0, 5], [0, 0])), worth_telling(ServiceLoad([0, 500], [0, 0]))
    (False, True)
    """
    return max([*load.waits, *load.reads], default=0) >= LEAST_TOLD_MS


class LoadTeller:
    """What a holder tells about its services, worked out once for answers that leave together.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    measure : callable
        Returns the load of a service now, None if it is not known.
    """

    def __init__(self, clock: Clock, measure: Callable[[str], ServiceLoad | None]) -> None:
        self._clock = clock
        self._measure = measure
        self._told: dict[str, tuple[float, ServiceLoad | None]] = {}

    def tell(self, service: str) -> ServiceLoad | None:
        """Return the load of a service, None if there is room for all."""
        at, load = self._told.get(service, (-TOLD_AGAIN_MS, None))
        if self._clock.now - at < TOLD_AGAIN_MS:
            return load
        load = self._measure(service)
        if load is not None and not worth_telling(load):
            load = None
        self._told[service] = (self._clock.now, load)
        return load


@dataclass(frozen=True, slots=True)
class Assumed:
    """What a sender may assume of a holder.

    Parameters
    ----------
    wait : float
        Milliseconds of waiting there, at the least; 0 if nothing is known.
    pace : float
        Statements a second by which its line goes on; 0 if it is not known.
    """

    wait: float = 0.0
    pace: float = 0.0


@dataclass(slots=True)
class _Word:
    """The last that a holder told of a service, and when a probe was sent on its account."""

    load: ServiceLoad
    heard_at: float
    probed_at: float


class LoadBook:
    """What the holders told that a gateway sends to.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._words: dict[tuple[str, str], _Word] = {}

    def __len__(self) -> int:
        return len(self._words)

    def note(self, peer: str, service: str, load: ServiceLoad | None) -> None:
        """Take what a holder told; None says that there is room, or comes from an older one."""
        key = (peer, service)
        before = self._words.pop(key, None)
        if load is None:
            return
        if len(self._words) >= MOST_BOOKED:
            self._forget_old()
        if len(self._words) < MOST_BOOKED:
            probed_at = before.probed_at if before else self._clock.now
            self._words[key] = _Word(load, self._clock.now, probed_at)

    def forget(self, peer: str) -> None:
        """Assume nothing of a holder whose link is lost."""
        for key in [key for key in self._words if key[0] == peer]:
            del self._words[key]

    def assume(self, peer: str, service: str, urgency: int, writes: bool) -> Assumed:
        """Return what may be assumed of a holder for a statement now.

        Its line has gone on since it told: the wait is taken as shorter by the age of its word.
        """
        word = self._words.get((peer, service))
        if word is None:
            return Assumed()
        age = self._clock.now - word.heard_at
        if age > ASSUMED_MS:
            return Assumed()
        return Assumed(max(0.0, word.load.wait(urgency, writes) - age), word.load.pace)

    def may_probe(self, peer: str, service: str) -> bool:
        """Return whether a statement is to be sent in spite of what was told; notes that it is."""
        word = self._words.get((peer, service))
        if word is None:
            return True
        if self._clock.now - word.probed_at < PROBE_MS:
            return False
        word.probed_at = self._clock.now
        return True

    def _forget_old(self) -> None:
        limit = self._clock.now - ASSUMED_MS
        for key in [key for key, word in self._words.items() if word.heard_at < limit]:
            del self._words[key]


def rounded(waits: Sequence[float]) -> list[int]:
    """Return waits as they are told: whole milliseconds, none that changes no decision.

    Examples
    --------
    >>> rounded([3.2, 480.6])
    [0, 481]
    """
    return [round(wait) if wait >= LEAST_TOLD_MS else 0 for wait in waits]
