"""Admission control: whether a new or waiting statement can still meet its deadline.

A rejection uses up one of a client's few attempts, so a statement is rejected only if it cannot be
answered before its time limit: never while there is room, and never merely for a slow answer. A
statement that cannot be served is rejected as soon as that is known.
"""

import enum
from dataclasses import dataclass

from rowanrail.scheduling.forecast_error import INITIAL_RELIABLE_SHARE
from rowanrail.scheduling.retrying import retry_after_base

__all__ = [
    "Admit",
    "RejectionCause",
    "Forecast",
    "Reject",
    "AdmissionDecision",
    "WaitingMonitor",
    "decide_on_arrival",
    "decide_forwarding",
    "decide_while_waiting",
    "next_check",
]

# Run times that must remain before the deadline of a waiting statement. With exponentially
# distributed run times 95 % of the answers arrive within three means. A write that is sent too late
# leaves its client without a known outcome, which costs more than a rejection.
MIN_REMAINING_RUNS = 3
# ms; lower bound of the reserved time: the shortest statement and its round trip within a region.
MIN_RESERVED_MS = 10.0
# Upper bound of the reserved time, as a share of the time limit, so that a member that is slow at
# the moment causes rejections only shortly before the deadline.
MAX_RESERVED_SHARE = 0.1
# Interval between two checks of a waiting statement, as a share of its remaining time.
CHECK_INTERVAL_SHARE = 0.25
LATE_CHECKS_TO_REJECT = 2  # consecutive checks that must find a statement late
# ms; lower bound of that interval, except before the last check.
CHECK_INTERVAL_MS = 50.0
MIN_CHECK_INTERVAL_MS = 1.0  # lower bound of any interval, so that time passes between checks


class RejectionCause(enum.Enum):
    """Why a statement was rejected; the values are used in logs and metrics."""

    OVERLOADED = "crowded"
    PAST_DEADLINE = "hopeless"
    HOLDER_OVERLOADED = "holder-crowded"
    ROUND_TRIP_TOO_LONG = "way-too-long"
    NO_PRIMARY = "no-primary"
    NO_PLACE = "no-place"
    TENANT_LIMIT = "tenant-limit"
    EVACUATED = "evacuated"
    OUTSIDE_REGIONS = "outside-regions"
    WARMING_UP = "warming-up"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected wait and run time of a statement at one member.

    Parameters
    ----------
    wait : float
        Milliseconds until it can be sent: the statements ahead of it, and the opening of a
        connection if it needs one.
    run_time : float
        Milliseconds from sending it to its answer.
    has_room : bool
        Whether it could be sent immediately, in which case it is never rejected.
    drain_interval : float
        Milliseconds in which the queue advances by one statement; 0 if unknown.
    opening : float
        The part of ``wait`` that is spent on opening a connection.
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
    """The statement cannot be served before its deadline, and has not run.

    Parameters
    ----------
    cause : RejectionCause
        Reported to the client, the log and the metrics.
    retry_after_ms : float
        Milliseconds after which the client should retry, without jitter.
    """

    cause: RejectionCause
    retry_after_ms: float


AdmissionDecision = Admit | Reject


def decide_on_arrival(
    forecast: Forecast,
    remaining: float,
    time_limit: float,
    reliable_share: float = INITIAL_RELIABLE_SHARE,
) -> AdmissionDecision:
    """Decide whether a new statement is admitted.

    Parameters
    ----------
    forecast : Forecast
        Expected wait and run time at the member.
    remaining : float
        Milliseconds until its deadline.
    time_limit : float
        Milliseconds that it was given in total, and would be given again on a retry.
    reliable_share : float
        See :attr:`ForecastError.reliable_share`.

    Returns
    -------
    Admit or Reject

    Examples
    --------
    >>> decide_on_arrival(Forecast(wait=900, run_time=10), remaining=800, time_limit=800)
    Admit()
    >>> decide_on_arrival(Forecast(wait=1400, run_time=10), remaining=800, time_limit=800)
    Reject(cause=<RejectionCause.OVERLOADED: 'crowded'>, retry_after_ms=1000.0)

    Nothing is rejected while there is room:

    >>> slow = Forecast(wait=0, run_time=1000, has_room=True)
    >>> decide_on_arrival(slow, remaining=800, time_limit=800)
    Admit()
    """
    if forecast.has_room or _can_meet_deadline(forecast, remaining, reliable_share):
        return Admit()
    return Reject(RejectionCause.OVERLOADED, retry_after_base(forecast.wait, time_limit))


def decide_while_waiting(
    forecast: Forecast,
    remaining: float,
    time_limit: float,
    reliable_share: float = INITIAL_RELIABLE_SHARE,
) -> AdmissionDecision:
    """Decide whether a queued statement keeps waiting.

    ``forecast.wait`` counts only the statements that are still ahead of it. Shortly before its
    deadline it is rejected even if there is room, as its answer would probably come too late and
    leave its outcome unknown.

    Examples
    --------
    >>> decide_while_waiting(Forecast(wait=300, run_time=10), remaining=200, time_limit=800)
    Admit()
    >>> decide_while_waiting(Forecast(wait=400, run_time=10), remaining=200, time_limit=800)
    Reject(cause=<RejectionCause.PAST_DEADLINE: 'hopeless'>, retry_after_ms=100.0)
    >>> sendable = Forecast(wait=0, run_time=20, has_room=True)
    >>> decide_while_waiting(sendable, remaining=50, time_limit=800)
    Reject(cause=<RejectionCause.PAST_DEADLINE: 'hopeless'>, retry_after_ms=100.0)
    """
    is_too_late = remaining <= _reserved_time(forecast.run_time, time_limit)
    if not is_too_late and (
        forecast.has_room or _can_meet_deadline(forecast, remaining, reliable_share)
    ):
        return Admit()
    return Reject(RejectionCause.PAST_DEADLINE, retry_after_base(forecast.wait, time_limit))


def decide_forwarding(
    reported_wait: float, round_trip: float, remaining: float, time_limit: float
) -> AdmissionDecision:
    """Decide whether a statement is forwarded to another gateway.

    Parameters
    ----------
    reported_wait : float
        Lower bound, in milliseconds, of the time to an answer there, estimated from that gateway's
        reports; 0 if unknown.
    round_trip : float
        Milliseconds to that gateway and back.
    remaining, time_limit : float
        See :func:`decide_on_arrival`.

    Examples
    --------
    >>> decide_forwarding(reported_wait=0, round_trip=80, remaining=60, time_limit=800).cause
    <RejectionCause.ROUND_TRIP_TOO_LONG: 'way-too-long'>
    >>> decide_forwarding(reported_wait=800, round_trip=80, remaining=800, time_limit=800).cause
    <RejectionCause.HOLDER_OVERLOADED: 'holder-crowded'>
    >>> decide_forwarding(reported_wait=0, round_trip=80, remaining=800, time_limit=800)
    Admit()
    """
    if remaining <= round_trip:
        return Reject(
            RejectionCause.ROUND_TRIP_TOO_LONG, retry_after_base(reported_wait, time_limit)
        )
    if reported_wait + round_trip <= remaining:
        return Admit()
    return Reject(RejectionCause.HOLDER_OVERLOADED, retry_after_base(reported_wait, time_limit))


class WaitingMonitor:
    """Repeatedly checks one queued statement against its deadline.

    Forecasts fluctuate when a member answers slowly or urgent statements arrive, so a statement is
    rejected only after consecutive late checks, or at the last check before its deadline.

    Parameters
    ----------
    time_limit : float
        Milliseconds that the statement was given.

    Examples
    --------
    >>> monitor = WaitingMonitor(time_limit=800)
    >>> decisions = [monitor.check(Forecast(wait, 10), 300, 1.0) for wait in (400, 200, 400, 400)]
    >>> [type(decision).__name__ for decision in decisions]
    ['Admit', 'Admit', 'Admit', 'Reject']
    """

    __slots__ = ("_late_checks", "_time_limit")

    def __init__(self, time_limit: float) -> None:
        self._time_limit = time_limit
        self._late_checks = 0

    def check(
        self, forecast: Forecast, remaining: float, reliable_share: float
    ) -> AdmissionDecision:
        """Check the statement again; see :func:`decide_while_waiting`."""
        decision = decide_while_waiting(forecast, remaining, self._time_limit, reliable_share)
        if isinstance(decision, Admit):
            self._late_checks = 0
            return decision
        self._late_checks += 1
        is_last = remaining <= _reserved_time(forecast.run_time, self._time_limit)
        return decision if is_last or self._late_checks >= LATE_CHECKS_TO_REJECT else Admit()

    def next_check(self, forecast: Forecast, remaining: float) -> float:
        """Return the milliseconds until the next check; see :func:`next_check`."""
        return next_check(remaining, forecast.run_time, self._time_limit)


def next_check(remaining: float, run_time: float, time_limit: float) -> float:
    """Return the milliseconds until a queued statement is checked again.

    The last check happens when the statement could not be answered in time if it were sent later.

    Examples
    --------
    >>> next_check(remaining=800, run_time=20, time_limit=800)
    200.0
    >>> next_check(remaining=80, run_time=20, time_limit=800)
    20
    """
    until_last = remaining - _reserved_time(run_time, time_limit)
    return max(
        MIN_CHECK_INTERVAL_MS,
        min(max(CHECK_INTERVAL_MS, CHECK_INTERVAL_SHARE * remaining), until_last),
    )


def _reserved_time(run_time: float, time_limit: float) -> float:
    """Return the milliseconds before the deadline in which a statement is not sent any more."""
    return max(MIN_RESERVED_MS, min(MIN_REMAINING_RUNS * run_time, MAX_RESERVED_SHARE * time_limit))


def _can_meet_deadline(forecast: Forecast, remaining: float, reliable_share: float) -> bool:
    return reliable_share * forecast.wait + forecast.run_time <= remaining
