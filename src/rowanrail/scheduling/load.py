"""Load reports of gateways that hold connections, sent with their answers, and their expiry.

A report is out of date by the time it arrives, so the sender uses the lower bound of what may still
hold, discards it after a second, and now and then sends a statement as a probe, whose answer tells
when there is room again.
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
    "is_worth_reporting",
    "round_waits",
]

URGENCY_LEVELS = 3  # reported separately
# Lifetime of a report: about the duration of an attempt, after which the queue is a different one.
REPORT_LIFETIME_MS = 1000.0
# Interval between two statements that are sent despite a report, so that room is noticed within a
# tenth of a second.
PROBE_MS = 100.0
# Time for which a computed load is reported again; short compared with the times in it.
REPORT_CACHE_MS = 10.0
# Time for which a report is used as it is: until the answer to the next probe, with a round trip of
# 40 ms. A standing queue refills meanwhile.
FRESH_MS = PROBE_MS + 50.0
MIN_REPORTED_MS = 20.0  # shorter waits change no decision
# Bounds memory to about 300 KB: the reports for 100 tenants at 10 holders.
MAX_REPORTS = 1024


class LoadSubject(NamedTuple):
    """What a report is about: a tenant's statements for one service at one gateway.

    Waits differ between tenants, as a tenant's burst waits behind its own share.
    """

    peer: str
    service: str
    tenant: str = ""


class ServiceLoad(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Load of one service, for one tenant, at the gateway that holds its connections.

    Parameters
    ----------
    waits : list of int
        Lower bound in milliseconds of the time to an answer at the primary, waiting and running,
        for each urgency from 0 on; 0 where there is room. The last one also applies to all less
        urgent statements.
    reads : list of int
        The same for reads, at the member where they take least.
    drain_rate : int
        Statements per second by which the queue of the primary advances; 0 if unknown.
    """

    waits: list[int] = []
    reads: list[int] = []
    drain_rate: int = 0

    def wait(self, urgency: int, writes: bool) -> int:
        """Return the time to an answer in milliseconds.

        Examples
        --------
        >>> load = ServiceLoad([0, 900], [0, 0])
        >>> load.wait(0, True), load.wait(1, True), load.wait(7, True), load.wait(1, False)
        (0, 900, 900, 0)
        """
        waits = self.waits if writes else self.reads
        return waits[min(max(urgency, 0), len(waits) - 1)] if waits else 0


def is_worth_reporting(load: ServiceLoad) -> bool:
    """Return whether any wait of a load is long enough to affect a decision.

    Examples
    --------
    >>> is_worth_reporting(ServiceLoad([0, 5], [0, 0]))
    False
    >>> is_worth_reporting(ServiceLoad([0, 500], [0, 0]))
    True
    """
    return max([*load.waits, *load.reads], default=0) >= MIN_REPORTED_MS


class LoadReporter:
    """Reports the load of a holder's services, cached for answers that are sent together.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    measure : callable
        Returns the current load of a service for a tenant, None if there is room.
    """

    def __init__(self, clock: Clock, measure: Callable[[str, str], ServiceLoad | None]) -> None:
        self._clock = clock
        self._measure = measure
        self._computed_at = -REPORT_CACHE_MS
        self._reports: dict[tuple[str, str], ServiceLoad | None] = {}

    def report(self, service: str, tenant: str) -> ServiceLoad | None:
        """Return the load of a service for a tenant, None if there is room."""
        if self._clock.now - self._computed_at >= REPORT_CACHE_MS:
            self._reports.clear()
            self._computed_at = self._clock.now
        if (service, tenant) not in self._reports:
            load = self._measure(service, tenant)
            is_relevant = load is not None and is_worth_reporting(load)
            self._reports[service, tenant] = load if is_relevant else None
        return self._reports[service, tenant]


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """A sender's estimate of the load at a holder.

    Parameters
    ----------
    wait : float
        Lower bound of the milliseconds to an answer; 0 if unknown.
    drain_rate : float
        Statements per second by which its queue advances; 0 if unknown.
    """

    wait: float = 0.0
    drain_rate: float = 0.0


@dataclass(slots=True)
class _LastReport:
    """The last report on a subject, and when a probe was last sent because of it."""

    load: ServiceLoad
    heard_at: float
    probed_at: float


class PeerLoads:
    """The last reports of the gateways to which this one sends statements.

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
        """Record a report; None means that there is room, or that an older version sent none."""
        before = self._reports.pop(subject, None)
        if load is None:
            return
        if len(self._reports) >= MAX_REPORTS:
            self._evict_expired()
        if len(self._reports) < MAX_REPORTS:
            probed_at = before.probed_at if before else self._clock.now
            self._reports[subject] = _LastReport(load, self._clock.now, probed_at)

    def forget(self, peer: str) -> None:
        """Discard the reports of a holder whose link is lost."""
        for subject in [subject for subject in self._reports if subject.peer == peer]:
            del self._reports[subject]

    def estimate(self, subject: LoadSubject, urgency: int, writes: bool) -> LoadEstimate:
        """Return the estimated load for a statement that is sent now.

        When no probe has renewed a report, its queue may have drained without being refilled, so
        the wait is reduced by the excess age of the report.
        """
        last = self._reports.get(subject)
        if last is None:
            return LoadEstimate()
        age = self._clock.now - last.heard_at
        if age > REPORT_LIFETIME_MS:
            return LoadEstimate()
        answer_time = last.load.wait(urgency, writes) - max(0.0, age - FRESH_MS)
        return LoadEstimate(max(0.0, answer_time), last.load.drain_rate)

    def try_probe(self, subject: LoadSubject) -> bool:
        """Return whether a statement is sent as a probe despite the report, and record that."""
        last = self._reports.get(subject)
        if last is None:
            return True
        if self._clock.now - last.probed_at < PROBE_MS:
            return False
        last.probed_at = self._clock.now
        return True

    def _evict_expired(self) -> None:
        limit = self._clock.now - REPORT_LIFETIME_MS
        for subject in [known for known, last in self._reports.items() if last.heard_at < limit]:
            del self._reports[subject]


def round_waits(waits: Sequence[float]) -> list[int]:
    """Return waits as whole milliseconds, with 0 for those that change no decision.

    Examples
    --------
    >>> round_waits([3.2, 480.6])
    [0, 481]
    """
    return [round(wait) if wait >= MIN_REPORTED_MS else 0 for wait in waits]
