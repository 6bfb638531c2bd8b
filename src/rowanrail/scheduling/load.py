"""What a holder of connections reports of its load with each answer, and how that ages.

It travels with answers that are sent anyhow. A report is a moment old when it comes and may be
wrong soon after, so that the sender takes the least that may still be true, forgets it after a
second, and sends a probe now and then, whose answer says when room is back.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from rowanrail.kernel.clock import Clock

__all__ = [
    "URGENCY_LEVELS",
    "LoadEstimate",
    "PeerLoads",
    "LoadReporter",
    "ServiceLoad",
    "LoadSubject",
    "round_waits",
    "worth_reporting",
]

URGENCY_LEVELS = 3  # reported one by one; routes of callers name no more so far
# Milliseconds for which a report of a holder is assumed to hold: about the time of a try, after
# which its backlog is another one.
ASSUMED_MS = 1000.0
# Milliseconds between two statements that are sent although they would be refused: ten answers a
# second tell within a tenth of a second that room is back.
PROBE_MS = 100.0
# Milliseconds for which a load that was worked out is reported again; short beside the times in it.
REPORTED_AGAIN_MS = 10.0
# Milliseconds for which a report is taken as it is: until the answer to the next probe is here,
# 40 ms away. A standing queue is refilled as it goes on, so that it is as long as before.
FRESH_MS = PROBE_MS + 50.0
LEAST_REPORTED_MS = 20.0  # shorter waits change no decision
# Reports that are kept: those of 100 tenants at 10 holders; about 300 KB.
MOST_BOOKED = 1024


class LoadSubject(NamedTuple):
    """What a report is of: a tenant's statements of one service.

    A tenant's burst waits behind its own share, so that each tenant's wait is another one.
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
    drain_rate : int
        Statements a second by which the wait queue of the primary goes on; 0 if it is not known.
    """

    waits: list[int] = []
    reads: list[int] = []
    drain_rate: int = 0

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


def worth_reporting(load: ServiceLoad) -> bool:
    """Return whether a load says more than that there is room.

    Examples
    --------
    >>> worth_reporting(ServiceLoad([0, 5], [0, 0])), worth_reporting(ServiceLoad([0, 500], [0, 0]))
    (False, True)
    """
    return max([*load.waits, *load.reads], default=0) >= LEAST_REPORTED_MS


class LoadReporter:
    """What a holder reports of its services, worked out once for answers that leave together.

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
        self._worked_out_at = -REPORTED_AGAIN_MS
        self._reported: dict[tuple[str, str], ServiceLoad | None] = {}

    def report(self, service: str, tenant: str) -> ServiceLoad | None:
        """Return the load of a service for a tenant, None if there is room."""
        if self._clock.now - self._worked_out_at >= REPORTED_AGAIN_MS:
            self._reported.clear()
            self._worked_out_at = self._clock.now
        if (service, tenant) not in self._reported:
            load = self._measure(service, tenant)
            is_worth = load is not None and worth_reporting(load)
            self._reported[service, tenant] = load if is_worth else None
        return self._reported[service, tenant]


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """What a sender may assume of a holder.

    Parameters
    ----------
    wait : float
        Milliseconds that an answer takes there, at the least; 0 if nothing is known.
    drain_rate : float
        Statements a second by which its wait queue goes on; 0 if it is not known.
    """

    wait: float = 0.0
    drain_rate: float = 0.0


@dataclass(slots=True)
class _LastReport:
    """The last report of a holder on a subject, and when a probe was sent on its account."""

    load: ServiceLoad
    heard_at: float
    probed_at: float


class PeerLoads:
    """The last reports of the holders that a gateway sends to.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[LoadSubject, _LastReport] = {}

    def __len__(self) -> int:
        return len(self._reports)

    def note(self, subject: LoadSubject, load: ServiceLoad | None) -> None:
        """Take a report of a holder; None says that there is room, or comes from an older one."""
        before = self._reports.pop(subject, None)
        if load is None:
            return
        if len(self._reports) >= MOST_BOOKED:
            self._forget_old()
        if len(self._reports) < MOST_BOOKED:
            probed_at = before.probed_at if before else self._clock.now
            self._reports[subject] = _LastReport(load, self._clock.now, probed_at)

    def forget(self, peer: str) -> None:
        """Assume nothing of a holder whose link is lost."""
        for subject in [subject for subject in self._reports if subject.peer == peer]:
            del self._reports[subject]

    def estimate(self, subject: LoadSubject, urgency: int, writes: bool) -> LoadEstimate:
        """Return what may be assumed of a holder for a statement now.

        If no probe has renewed its report, the queue may have gone on without being refilled: the
        time is taken as shorter by what the report is too old.
        """
        last = self._reports.get(subject)
        if last is None:
            return LoadEstimate()
        age = self._clock.now - last.heard_at
        if age > ASSUMED_MS:
            return LoadEstimate()
        time = last.load.wait(urgency, writes) - max(0.0, age - FRESH_MS)
        return LoadEstimate(max(0.0, time), last.load.drain_rate)

    def try_probe(self, subject: LoadSubject) -> bool:
        """Return whether a statement is sent in spite of the last report; notes that it is."""
        last = self._reports.get(subject)
        if last is None:
            return True
        if self._clock.now - last.probed_at < PROBE_MS:
            return False
        last.probed_at = self._clock.now
        return True

    def _forget_old(self) -> None:
        limit = self._clock.now - ASSUMED_MS
        for subject in [known for known, last in self._reports.items() if last.heard_at < limit]:
            del self._reports[subject]


def round_waits(waits: Sequence[float]) -> list[int]:
    """Return waits as they are reported: whole milliseconds, none that changes no decision.

    Examples
    --------
    >>> round_waits([3.2, 480.6])
    [0, 481]
    """
    return [round(wait) if wait >= LEAST_REPORTED_MS else 0 for wait in waits]
