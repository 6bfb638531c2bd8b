"""What a holder of connections tells about its load with each answer, and how it ages.

It travels with answers that are sent anyhow. What was told is a moment old when it comes and may be
wrong soon after, so that the sender takes the least that may still be true, forgets it after a
second, and sends a probe now and then, whose answer says when room is back.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from rowanrail.kernel.clock import Clock

__all__ = [
    "URGENCIES",
    "Assumed",
    "LoadBook",
    "LoadTeller",
    "ServiceLoad",
    "Subject",
    "rounded",
    "worth_telling",
]

URGENCIES = 3  # told one by one; routes of callers name no more so far
# Milliseconds for which what a holder told is assumed: about the time of a try, after which its
# backlog is another one.
ASSUMED_MS = 1000.0
# Milliseconds between two statements that are sent although they would be refused: ten answers a
# second tell within a tenth of a second that room is back.
PROBE_MS = 100.0
# Milliseconds for which a load that was worked out is told again; short beside what is told.
TOLD_AGAIN_MS = 10.0
# Milliseconds for which a word is taken as it was told: until the answer to the next probe is here,
# 40 ms away. A line that stands is refilled as it goes on, so that it is as long as before.
FRESH_MS = PROBE_MS + 50.0
LEAST_TOLD_MS = 20.0  # shorter waits change no decision
# Words that are kept: those of 100 tenants at 10 holders; about 300 KB.
MOST_BOOKED = 1024


class Subject(NamedTuple):
    """Of what a holder told: a tenant's statements of one service.

    A tenant's rush stands behind its own share, so that each tenant's wait is another one.
    """

    peer: str
    service: str
    tenant: str = ""


class ServiceLoad(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The load of one service at the gateway that holds its connections, for one tenant.

    Parameters
    ----------
    waits : list of int
        Milliseconds that a statement of each urgency, from 0 on, certainly takes at the primary,
        waiting for room and running; 0 where there is room. The last one also stands for all that
        are less urgent.
    reads : list of int
        The same at the member where a read takes least.
    pace : int
        Statements a second by which the line at the primary goes on; 0 if it is not known.
    """

    waits: list[int] = []
    reads: list[int] = []
    pace: int = 0

    def wait(self, urgency: int, writes: bool) -> int:
        """Return the time of a statement in milliseconds.

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
        Returns the load of a service for a tenant now, None if there is room.
    """

    def __init__(self, clock: Clock, measure: Callable[[str, str], ServiceLoad | None]) -> None:
        self._clock = clock
        self._measure = measure
        self._worked_out_at = -TOLD_AGAIN_MS
        self._told: dict[tuple[str, str], ServiceLoad | None] = {}

    def tell(self, service: str, tenant: str) -> ServiceLoad | None:
        """Return the load of a service for a tenant, None if there is room."""
        if self._clock.now - self._worked_out_at >= TOLD_AGAIN_MS:
            self._told.clear()
            self._worked_out_at = self._clock.now
        if (service, tenant) not in self._told:
            load = self._measure(service, tenant)
            is_told = load is not None and worth_telling(load)
            self._told[service, tenant] = load if is_told else None
        return self._told[service, tenant]


@dataclass(frozen=True, slots=True)
class Assumed:
    """What a sender may assume of a holder.

    Parameters
    ----------
    wait : float
        Milliseconds that an answer takes there, at the least; 0 if nothing is known.
    pace : float
        Statements a second by which its line goes on; 0 if it is not known.
    """

    wait: float = 0.0
    pace: float = 0.0


@dataclass(slots=True)
class _Word:
    """The last that a holder told of a subject, and when a probe was sent on its account."""

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
        self._words: dict[Subject, _Word] = {}

    def __len__(self) -> int:
        return len(self._words)

    def note(self, subject: Subject, load: ServiceLoad | None) -> None:
        """Take what a holder told; None says that there is room, or comes from an older one."""
        before = self._words.pop(subject, None)
        if load is None:
            return
        if len(self._words) >= MOST_BOOKED:
            self._forget_old()
        if len(self._words) < MOST_BOOKED:
            probed_at = before.probed_at if before else self._clock.now
            self._words[subject] = _Word(load, self._clock.now, probed_at)

    def forget(self, peer: str) -> None:
        """Assume nothing of a holder whose link is lost."""
        for subject in [subject for subject in self._words if subject.peer == peer]:
            del self._words[subject]

    def assume(self, subject: Subject, urgency: int, writes: bool) -> Assumed:
        """Return what may be assumed of a holder for a statement now.

        If no probe has renewed its word, the line may have gone on without being refilled: the
        time is taken as shorter by what its word is too old.
        """
        word = self._words.get(subject)
        if word is None:
            return Assumed()
        age = self._clock.now - word.heard_at
        if age > ASSUMED_MS:
            return Assumed()
        time = word.load.wait(urgency, writes) - max(0.0, age - FRESH_MS)
        return Assumed(max(0.0, time), word.load.pace)

    def may_probe(self, subject: Subject) -> bool:
        """Return whether a statement is to be sent in spite of what was told; notes that it is."""
        word = self._words.get(subject)
        if word is None:
            return True
        if self._clock.now - word.probed_at < PROBE_MS:
            return False
        word.probed_at = self._clock.now
        return True

    def _forget_old(self) -> None:
        limit = self._clock.now - ASSUMED_MS
        for subject in [known for known, word in self._words.items() if word.heard_at < limit]:
            del self._words[subject]


def rounded(waits: Sequence[float]) -> list[int]:
    """Return waits as they are told: whole milliseconds, none that changes no decision.

    Examples
    --------
    >>> rounded([3.2, 480.6])
    [0, 481]
    """
    return [round(wait) if wait >= LEAST_TOLD_MS else 0 for wait in waits]
