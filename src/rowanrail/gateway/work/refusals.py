"""Rules for statements that can't run now: deferral, rejection, and the time to retry.

Pure functions on plain values; the suffix of a name gives its unit. The causes are those of
:mod:`rowanrail.scheduling.admission`, retries are spread by :mod:`rowanrail.scheduling.retrying`.
"""

from rowanrail.gateway.work.attempts import RETRY_INTERVAL_SECONDS
from rowanrail.members.eligibility import Exclusion
from rowanrail.model.statements import Answer, Refusal
from rowanrail.model.trace import Rejection
from rowanrail.scheduling.admission import Forecast, Reject, RejectionCause
from rowanrail.scheduling.retrying import SHORTEST_RETRY_AFTER_MS, spread_evenly

__all__ = [
    "DEFERRAL_FRACTION",
    "NO_ANSWER_MESSAGE",
    "MIN_QUOTA_RETRY_AFTER_MS",
    "QUOTA_RETRY_SPREAD_FACTOR",
    "PRIMARY_RETRY_AFTER_MS",
    "MIN_REMAINING_SECONDS",
    "busy_answer",
    "deferral_seconds",
    "rejection_of_excluded",
    "rejection_of_deferred",
    "remaining_seconds",
    "quota_retry_after_ms",
    "has_time_to_retry",
    "primary_unavailable_reason",
    "rejection_record",
    "replaced_answer",
    "unconfirmed_answer",
    "base_retry_after_ms",
]

# Fraction of the latency objective for which a statement waits for a primary: until then a
# successor may still serve it in time. With 0.24, clients got less on five of eight days with a
# lost primary and the same on three, one run each.
DEFERRAL_FRACTION = 0.7
# Retry-After while the primary is lost: about the rest of a failover after the deferral.
PRIMARY_RETRY_AFTER_MS = 1000.0
# Lower bound of the Retry-After for clients over a tenant's limit: two intervals of its counter.
MIN_QUOTA_RETRY_AFTER_MS = 200.0
# Retries over a limit are spread between the computed Retry-After and this multiple of it, so that
# clients rejected in the same interval don't all retry in the same one.
QUOTA_RETRY_SPREAD_FACTOR = 2.0
# Lower bound of the time that a forwarded statement is given, so that one that is out of time still
# gets an answer.
MIN_REMAINING_SECONDS = 0.001
NO_ANSWER_MESSAGE = "no answer in time"

_NO_PRIMARY = Reject(RejectionCause.NO_PRIMARY, PRIMARY_RETRY_AFTER_MS)
_NO_PLACE = Reject(RejectionCause.NO_PLACE, 0.0)
# Retry-After where no member may run a statement until an operator or the configuration changes
# that; clients that have less time left give up at once.
EXCLUDED_RETRY_AFTER_MS = 2000.0
_REJECTIONS = {
    Exclusion.EVACUATED: Reject(RejectionCause.EVACUATED, PRIMARY_RETRY_AFTER_MS),
    Exclusion.OUTSIDE_REGIONS: Reject(RejectionCause.OUTSIDE_REGIONS, EXCLUDED_RETRY_AFTER_MS),
    Exclusion.WARMING_UP: Reject(RejectionCause.WARMING_UP, PRIMARY_RETRY_AFTER_MS),
    Exclusion.LEAVING: Reject(RejectionCause.LEAVING, PRIMARY_RETRY_AFTER_MS),
}


def deferral_seconds(objective_seconds: float) -> float:
    """Return how long after its arrival a statement that no member can run is deferred.

    Examples
    --------
    >>> deferral_seconds(objective_seconds=0.5)
    0.35
    """
    return DEFERRAL_FRACTION * objective_seconds


def has_time_to_retry(now_seconds: float, defer_until_seconds: float) -> bool:
    """Return whether the next retry falls within the deferral."""
    return now_seconds + RETRY_INTERVAL_SECONDS <= defer_until_seconds


def primary_unavailable_reason(failing_since_seconds: float, is_at_connection_limit: bool) -> str:
    """Return why the primary can't serve a deferred statement, empty if it may still wait.

    Parameters
    ----------
    failing_since_seconds : float
        Time since which the primary has not answered; 0 if it answers.
    is_at_connection_limit : bool
        Whether the primary is alive but has no connection left.
    """
    if failing_since_seconds:
        return "the primary is lost"
    return "the primary has no connection left" if is_at_connection_limit else ""


def rejection_of_deferred(refusal: Refusal | None, has_primary: bool) -> Reject | None:
    """Return the rejection of a statement that no member ran during its deferral.

    None if the refusal is to be passed on unchanged, because it is more specific than "busy".

    Parameters
    ----------
    refusal : Refusal or None
        The last refusal of the statement.
    has_primary : bool
        Whether a primary is known and answers. Without one, clients are told to retry after the
        expected end of the failover.

    Examples
    --------
    >>> rejection_of_deferred(Refusal.BUSY, has_primary=False)
    Reject(cause=<RejectionCause.NO_PRIMARY: 'no-primary'>, retry_after_ms=1000.0)
    >>> rejection_of_deferred(Refusal.ABORTED, has_primary=False)
    """
    if refusal is not Refusal.BUSY:
        return None
    return _NO_PLACE if has_primary else _NO_PRIMARY


def rejection_of_excluded(exclusion: Exclusion) -> Reject:
    """Return the rejection of a statement that no member may be sent.

    Examples
    --------
    >>> rejection_of_excluded(Exclusion.EVACUATED)
    Reject(cause=<RejectionCause.EVACUATED: 'evacuated'>, retry_after_ms=1000.0)
    """
    return _REJECTIONS[exclusion]


def base_retry_after_ms(base_ms: float) -> float:
    """Return the base of a rejection's Retry-After, raised to the shortest allowed value."""
    return max(base_ms, SHORTEST_RETRY_AFTER_MS)


def quota_retry_after_ms(number: int, wait_ms: float) -> float:
    """Return the Retry-After of the ``number``-th client over a tenant's limit.

    Parameters
    ----------
    number : int
        Running number of the rejection; determines its place in the spread.
    wait_ms : float
        Time until the limit admits operations again.

    Examples
    --------
    >>> [round(quota_retry_after_ms(number, wait_ms=0)) for number in range(3)]
    [200, 324, 247]
    """
    soonest = max(MIN_QUOTA_RETRY_AFTER_MS, wait_ms)
    return spread_evenly(number, soonest, QUOTA_RETRY_SPREAD_FACTOR * soonest)


def remaining_seconds(whole_seconds: float, waited_seconds: float) -> float:
    """Return the time that is left for a statement forwarded to another gateway."""
    return max(MIN_REMAINING_SECONDS, whole_seconds - waited_seconds)


def busy_answer(message: str, retry_after_ms: float | None = None) -> Answer:
    """Return the refusal of a statement that was not run for lack of capacity.

    Parameters
    ----------
    message : str
        Reason for the client.
    retry_after_ms : float or None
        Suggested delay before a retry, appended to the message.

    Examples
    --------
    >>> busy_answer("m1 is crowded for 900 ms", 350).message
    'm1 is crowded for 900 ms; retry in 0.35 s'
    """
    if retry_after_ms is not None:
        message = f"{message or 'busy'}; retry in {retry_after_ms / 1000:.2f} s"
    return Answer(refusal=Refusal.BUSY, message=message)


def replaced_answer(instance: str) -> Answer:
    """Return the answer to a commit whose member was replaced before it answered.

    Examples
    --------
    >>> replaced_answer("m1").message
    'm1 was replaced before it answered the commit'
    """
    message = f"{instance} was replaced before it answered the commit"
    return Answer(refusal=Refusal.OUTCOME_UNKNOWN, message=message)


def unconfirmed_answer(instance: str, refusal: Refusal | None) -> Answer:
    """Return the answer to a commit that its member reported, and that may have been rolled back.

    Parameters
    ----------
    instance : str
        The member.
    refusal : Refusal or None
        Its refusal of the BEGIN that was to confirm the commit; None if it leads in another term.

    Examples
    --------
    >>> unconfirmed_answer("m1", Refusal.NOT_PRIMARY).message
    'm1 reported the commit and did not confirm that it led until then: not-primary'
    >>> unconfirmed_answer("m1", None).refusal
    <Refusal.OUTCOME_UNKNOWN: 'outcome-unknown'>
    """
    reason = "it leads in another term" if refusal is None else refusal.value
    message = f"{instance} reported the commit and did not confirm that it led until then: {reason}"
    return Answer(refusal=Refusal.OUTCOME_UNKNOWN, message=message)


def rejection_record(
    cause: RejectionCause, forecast: Forecast, left_ms: float, urgency: int, retry_after_ms: float
) -> Rejection:
    """Return the log record of a rejection; times in milliseconds."""
    return Rejection(
        cause.value,
        round(forecast.wait),
        round(forecast.run_time),
        round(left_ms),
        urgency,
        round(retry_after_ms),
    )
