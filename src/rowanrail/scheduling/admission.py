"""Whether a statement that comes, or waits, can still be served in its time.

A refusal costs its client one of a few tries, so that nothing is refused that may still be served:
never while room is free, and never for a late answer alone, only if the answer would come after the
statement's time is over. What can't be served is refused as soon as that is known.
"""

import enum
from dataclasses import dataclass

from rowanrail.scheduling.forecast_error import CERTAIN_SHARE
from rowanrail.scheduling.retrying import retry_after_base

__all__ = [
    "Admit",
    "RejectionCause",
    "Forecast",
    "Reject",
    "Verdict",
    "WaitingMonitor",
    "decide_on_arrival",
    "decide_forwarding",
    "decide_while_waiting",
    "next_check",
]

# Usual times that must be left of a statement which has waited: nineteen of twenty answers take
# less, if their times vary as much as their mean. A write that comes late is in doubt, which costs
# its client more than a refusal.
LEFT_RUNS = 3
# Milliseconds that must be left at the least: the shortest statement and its way inside a region.
SHORTEST_RUN_MS = 10.0
# Of the time given. A member that is slow for the moment may be faster for the next statement, so
# that its usual time is held against a statement only when little is left.
LAST_SHARE = 0.1
# Of the time left, between two checks of a statement that waits: eight checks in 800 ms.
CHECK_SHARE = 0.25
LATE_CHECKS = 2  # in a row, after which a statement is given up; chosen
# Milliseconds between two checks at the least, but for the last one: a tenth of the strictest
# objective that callers asked for so far.
CHECK_INTERVAL_MS = 50.0
LEAST_CHECK_INTERVAL_MS = 1.0  # so that time passes between any two checks


class RejectionCause(enum.Enum):
    """Why a statement was rejected; a bounded set, for logs and metrics."""

    OVERLOADED = "crowded"
    PAST_DEADLINE = "hopeless"  # the name that logs and metrics have for it
    HOLDER_OVERLOADED = "holder-crowded"
    ROUND_TRIP_TOO_LONG = "way-too-long"
    NO_PRIMARY = "no-primary"
    NO_PLACE = "no-place"
    TENANT_LIMIT = "tenant-limit"


@dataclass(frozen=True, slots=True)
class Forecast:
    """What a statement can expect at one member.

    Parameters
    ----------
    wait : float
        Milliseconds until it may be sent: those ahead of it, an opening if it needs one.
    run_time : float
        Milliseconds from then to its answer.
    has_room : bool
        Whether it could be sent at once; nothing is refused while that is so.
    drain_interval : float
        Milliseconds after which the line of those who wait goes on by one; 0 if nobody knows.
    opening : float
        The part of ``wait`` that is the opening of a connection.
    """

    wait: float
    run_time: float
    has_room: bool = False
    drain_interval: float = 0.0
    opening: float = 0.0


@dataclass(frozen=True, slots=True)
class Admit:
    """The statement may wait, or run."""


@dataclass(frozen=True, slots=True)
class Reject:
    """The statement can't be served in its time, and has not run.

    Parameters
    ----------
    cause : RejectionCause
        For the client, the log and the metrics.
    retry_after_ms : float
        Milliseconds after which its client had better retry, not spread yet.
    """

    cause: RejectionCause
    retry_after_ms: float


Verdict = Admit | Reject


def decide_on_arrival(
    forecast: Forecast, left: float, whole: float, certain: float = CERTAIN_SHARE
) -> Verdict:
    """Judge a statement that comes.

    Parameters
    ----------
    forecast : Forecast
        What it can expect.
    left : float
        Milliseconds until its time is over.
    whole : float
        Milliseconds that it was given, and would be given again.
    certain : float
        See :attr:`ForecastError.reliable_share`.

    Returns
    -------
    Admit or Reject

    Examples
    --------
    >>> decide_on_arrival(Forecast(wait=900, run_time=10), left=800, whole=800)
    Admit()
    >>> decide_on_arrival(Forecast(wait=1400, run_time=10), left=800, whole=800)
    Reject(cause=<RejectionCause.OVERLOADED: 'crowded'>, retry_after_ms=1000.0)

    Nothing is refused while room is free:

    >>> decide_on_arrival(Forecast(wait=0, run_time=1000, has_room=True), left=800, whole=800)
    Admit()
    """
    if forecast.has_room or _may_be_in_time(forecast, left, certain):
        return Admit()
    return Reject(RejectionCause.OVERLOADED, retry_after_base(forecast.wait, whole))


def decide_while_waiting(
    forecast: Forecast, left: float, whole: float, certain: float = CERTAIN_SHARE
) -> Verdict:
    """Judge a statement that waits for room since a while.

    Its wait is what is left of it: only those count that are still ahead. Room that comes when it
    could hardly be answered any more is of no use: it would be sent and left in doubt.

    Examples
    --------
    >>> decide_while_waiting(Forecast(wait=300, run_time=10), left=200, whole=800)
    Admit()
    >>> decide_while_waiting(Forecast(wait=400, run_time=10), left=200, whole=800)
    Reject(cause=<RejectionCause.PAST_DEADLINE: 'hopeless'>, retry_after_ms=100.0)
    >>> decide_while_waiting(Forecast(wait=0, run_time=20, has_room=True), left=50, whole=800)
    Reject(cause=<RejectionCause.PAST_DEADLINE: 'hopeless'>, retry_after_ms=100.0)
    """
    is_nearly_over = left <= _last_moment(forecast.run_time, whole)
    if not is_nearly_over and (forecast.has_room or _may_be_in_time(forecast, left, certain)):
        return Admit()
    return Reject(RejectionCause.PAST_DEADLINE, retry_after_base(forecast.wait, whole))


def decide_forwarding(reported_wait: float, way: float, left: float, whole: float) -> Verdict:
    """Judge a statement that would be sent to another gateway.

    Parameters
    ----------
    reported_wait : float
        Milliseconds that an answer certainly takes there, as may be assumed of its report; 0
        if nothing is known.
    way : float
        Milliseconds there and back.
    left, whole : float
        See :func:`decide_on_arrival`.

    Examples
    --------
    >>> decide_forwarding(reported_wait=0, way=80, left=60, whole=800).cause
    <RejectionCause.ROUND_TRIP_TOO_LONG: 'way-too-long'>
    >>> decide_forwarding(reported_wait=800, way=80, left=800, whole=800).cause
    <RejectionCause.HOLDER_OVERLOADED: 'holder-crowded'>
    >>> decide_forwarding(reported_wait=0, way=80, left=800, whole=800)
    Admit()
    """
    if left <= way:
        return Reject(RejectionCause.ROUND_TRIP_TOO_LONG, retry_after_base(reported_wait, whole))
    if reported_wait + way <= left:
        return Admit()
    return Reject(RejectionCause.HOLDER_OVERLOADED, retry_after_base(reported_wait, whole))


class WaitingMonitor:
    """Judges one waiting statement again and again.

    A forecast jumps for a moment when a member answers slowly or urgent statements come, so that
    a statement is given up only if two checks in a row found it too late, or at the last one.

    Parameters
    ----------
    whole : float
        Milliseconds that the statement was given.

    Examples
    --------
    >>> watch = WaitingMonitor(whole=800)
    >>> [type(watch.check(Forecast(wait, 10), 300, 1.0)).__name__ for wait in (400, 200, 400, 400)]
    ['Admit', 'Admit', 'Admit', 'Reject']
    """

    __slots__ = ("_late_checks", "_whole")

    def __init__(self, whole: float) -> None:
        self._whole = whole
        self._late_checks = 0

    def check(self, forecast: Forecast, left: float, certain: float) -> Verdict:
        """Judge the statement again; see :func:`decide_while_waiting`."""
        verdict = decide_while_waiting(forecast, left, self._whole, certain)
        if isinstance(verdict, Admit):
            self._late_checks = 0
            return verdict
        self._late_checks += 1
        is_last = left <= _last_moment(forecast.run_time, self._whole)
        return verdict if is_last or self._late_checks >= LATE_CHECKS else Admit()

    def next_check(self, forecast: Forecast, left: float) -> float:
        """Return after how many milliseconds it is judged again; see :func:`next_check`."""
        return next_check(left, forecast.run_time, self._whole)


def next_check(left: float, run: float, whole: float) -> float:
    """Return after how many milliseconds a waiting statement is judged again.

    The last check comes when it could not be answered any more if it were sent later.

    Examples
    --------
    >>> next_check(left=800, run=20, whole=800)
    200.0
    >>> next_check(left=80, run=20, whole=800)
    20
    """
    last = left - _last_moment(run, whole)
    return max(LEAST_CHECK_INTERVAL_MS, min(max(CHECK_INTERVAL_MS, CHECK_SHARE * left), last))


def _last_moment(run: float, whole: float) -> float:
    """Return with how much of its time left a statement had better not be sent any more."""
    return max(SHORTEST_RUN_MS, min(LEFT_RUNS * run, LAST_SHARE * whole))


def _may_be_in_time(forecast: Forecast, left: float, certain: float) -> bool:
    return certain * forecast.wait + forecast.run_time <= left
