"""Rules for what can't run now: how long it is deferred, when it is rejected, when to retry.

For the kinds of work and for limits of tenants, which ask here and do what the verdict says. Owns
nothing: pure functions on plain values, in the unit that a name ends with. Relies on
:mod:`rowanrail.scheduling.admission` for the causes and on
:mod:`rowanrail.scheduling.retrying` for the spreading of retries.
"""

from rowanrail.gateway.work.attempts import MEMBER_RETRY_SECONDS
from rowanrail.model.statements import Answer, Refusal
from rowanrail.model.trace import Rejection
from rowanrail.scheduling.admission import Forecast, Reject, RejectionCause
from rowanrail.scheduling.retrying import SHORTEST_RETRY_AFTER_MS, spread

__all__ = [
    "DEFERRAL_FRACTION",
    "NO_ANSWER_MESSAGE",
    "LIMIT_RETRY_AFTER_MS",
    "LIMIT_SPREAD_FACTOR",
    "PRIMARY_RETRY_AFTER_MS",
    "SHORTEST_LEFT_SECONDS",
    "busy_answer",
    "defer_seconds",
    "rejection_of_deferred",
    "left_seconds",
    "limit_retry_after_ms",
    "may_defer",
    "primary_unavailable_reason",
    "rejection_record",
    "shortest_retry_after_ms",
]

# Of the objective: how long a statement waits for a primary, since until then a successor may
# still serve it in time. With 0.24 in place of 0.7 callers got less on five of eight days with a
# lost primary, the same on three (one run each).
DEFERRAL_FRACTION = 0.7
# Milliseconds, told to clients while a primary is lost: about what is left of finding and
# promoting a successor after they were deferred.
PRIMARY_RETRY_AFTER_MS = 1000.0
# Milliseconds, told at the least to clients over a tenant's limit: two steps of its count.
LIMIT_RETRY_AFTER_MS = 200.0
# Their times are spread from the one that follows from the limit to this many times it, so that
# those who were rejected at one step of the count don't retry at one step. Chosen.
LIMIT_SPREAD_FACTOR = 2.0
# Seconds that a statement is left at the least when it is handed on: one that is out of time still
# gets its answer.
SHORTEST_LEFT_SECONDS = 0.001
NO_ANSWER_MESSAGE = "no answer in time"

_NO_PRIMARY = Reject(RejectionCause.NO_PRIMARY, PRIMARY_RETRY_AFTER_MS)
_NO_PLACE = Reject(RejectionCause.NO_PLACE, 0.0)


def defer_seconds(objective_seconds: float) -> float:
    """Return how long after its arrival a statement that nothing can run is deferred.

    Examples
    --------
    >>> defer_seconds(objective_seconds=0.5)
    0.35
    """
    return DEFERRAL_FRACTION * objective_seconds


def may_defer(now_seconds: float, defer_until_seconds: float) -> bool:
    """Return whether there is time for another try, a retry interval from now."""
    return now_seconds + MEMBER_RETRY_SECONDS <= defer_until_seconds


def primary_unavailable_reason(failing_since_seconds: float, is_crowded: bool) -> str:
    """Return why a deferred statement is rejected for its primary, empty if it may wait on.

    Parameters
    ----------
    failing_since_seconds : float
        Moment since when the primary has not answered; 0 if it does.
    is_crowded : bool
        Whether it is alive and has no connection left.
    """
    if failing_since_seconds:
        return "the primary is lost"
    return "the primary has no connection left" if is_crowded else ""


def rejection_of_deferred(refusal: Refusal | None, has_primary: bool) -> Reject | None:
    """Return the rejection of a statement that no member took while it could be deferred.

    None passes the refusal on as it is: it says more than that there was no room.

    Parameters
    ----------
    refusal : Refusal or None
        The last one that the statement met.
    has_primary : bool
        Whether a primary is known and does not fail. Without one clients are told to retry when a
        successor can be there.

    Examples
    --------
    >>> rejection_of_deferred(Refusal.BUSY, has_primary=False)
    Reject(cause=<RejectionCause.NO_PRIMARY: 'no-primary'>, retry_after_ms=1000.0)
    >>> rejection_of_deferred(Refusal.ABORTED, has_primary=False)
    """
    if refusal is not Refusal.BUSY:
        return None
    return _NO_PLACE if has_primary else _NO_PRIMARY


def shortest_retry_after_ms(base_ms: float) -> float:
    """Return the Retry-After that a rejection starts from; 0 if nothing speaks for a time."""
    return max(base_ms, SHORTEST_RETRY_AFTER_MS)


def limit_retry_after_ms(number: int, wait_ms: float) -> float:
    """Return the Retry-After of the ``number``-th client that is over a tenant's limit.

    Parameters
    ----------
    wait_ms : float
        Time after which the limit has room again.

    Examples
    --------
    >>> [round(limit_retry_after_ms(number, wait_ms=0)) for number in range(3)]
    [200, 324, 247]
    """
    soonest = max(LIMIT_RETRY_AFTER_MS, wait_ms)
    return spread(number, soonest, LIMIT_SPREAD_FACTOR * soonest)


def left_seconds(whole_seconds: float, waited_seconds: float) -> float:
    """Return the seconds that are left to the gateway that a statement is handed to."""
    return max(SHORTEST_LEFT_SECONDS, whole_seconds - waited_seconds)


def busy_answer(message: str, retry_after_ms: float | None = None) -> Answer:
    """Return the refusal of a statement that was not run for want of room.

    Parameters
    ----------
    retry_after_ms : float or None
        Milliseconds after which the client had better retry.

    Examples
    --------
    >>> busy_answer("m1 is crowded for 900 ms", 350).message
    'm1 is crowded for 900 ms; retry in 0.35 s'
    """
    if retry_after_ms is not None:
        message = f"{message or 'busy'}; retry in {retry_after_ms / 1000:.2f} s"
    return Answer(refusal=Refusal.BUSY, message=message)


def rejection_record(
    cause: RejectionCause, forecast: Forecast, left_ms: float, urgency: int, retry_after_ms: float
) -> Rejection:
    """Return what is logged of a statement that is rejected; times in milliseconds."""
    return Rejection(
        cause.value,
        round(forecast.wait),
        round(forecast.run_time),
        round(left_ms),
        urgency,
        round(retry_after_ms),
    )
