"""Rules for the attempts of a statement at members: time limits, retries, and refusals.

Pure functions on plain values; the suffix of a name gives its unit. A refusal in
:data:`rowanrail.model.statements.NO_EFFECT_REFUSALS` is only returned for a statement that left
no effect.
"""

import enum

from rowanrail.model.statements import Refusal, SessionState
from rowanrail.scheduling.admission import Forecast

__all__ = [
    "MAX_BUSY_RETRIES",
    "MAX_READ_FAILURES",
    "MIN_READ_ATTEMPT_SECONDS",
    "FIRST_CONNECTION_TIMEOUT_SECONDS",
    "QUEUE_WAIT_FRACTION",
    "MAX_READ_ATTEMPTS",
    "READ_ATTEMPT_LATENCY_FACTOR",
    "READ_ATTEMPT_FRACTION",
    "ReadStep",
    "RETRY_INTERVAL_SECONDS",
    "SentRequest",
    "WriteStep",
    "read_attempt_timeout_seconds",
    "busy_retry_delay_seconds",
    "has_attempts_left",
    "can_meet_objective",
    "may_retry_in_transaction",
    "client_refusal",
    "step_after_read",
    "step_after_write",
    "refusal_without_answer",
]

# Fraction of the latency objective that a read may wait in a member's queue before it is sent to
# another member; the rest is left for its execution.
QUEUE_WAIT_FRACTION = 0.5
# Fraction of the latency objective after which a read leaves a member that has not answered; the
# rest is left for the next member.
READ_ATTEMPT_FRACTION = 0.6
# Multiple of the member's usual latency after which a read leaves it, if that is sooner.
READ_ATTEMPT_LATENCY_FACTOR = 8
# Lower bound of the latency-based limit: reads without any fault can take that long.
MIN_READ_ATTEMPT_SECONDS = 0.4
# Wait for the first connection to a member. After a power failure members still count the
# connections of gateways that are gone, and may accept no new ones for a few seconds.
FIRST_CONNECTION_TIMEOUT_SECONDS = 0.15
# Attempts of a read before it restarts with a new floor: each of three members twice.
MAX_READ_ATTEMPTS = 6
# Failures of a read before its client gets the error. Healthy members fail some requests; a read
# that fails at three members is assumed to be at fault itself.
MAX_READ_FAILURES = 3
# Retries of a statement in a transaction after the member had no free slot: after 20, 40 and 60 ms.
MAX_BUSY_RETRIES = 3
# Delay before a statement that did not run is retried: about one round trip within a region.
RETRY_INTERVAL_SECONDS = 0.02


class ReadStep(enum.Enum):
    """Next step after a member refused an autocommit read."""

    ANSWER = "answer"  # pass the refusal on to the client
    NEXT_MEMBER = "next-member"
    NEW_SAMPLE = "new-sample"  # the primary itself lacks the floor
    PRIMARY = "primary"  # a replica lacks the floor


class WriteStep(enum.Enum):
    """Next step after the primary refused an autocommit write."""

    ANSWER = "answer"  # pass the refusal on to the client
    RETRY = "retry"  # it had no effect: send it again after a delay
    UNKNOWN = "unknown"  # it may have run: never send it again


class SentRequest(enum.Enum):
    """Kind of a request sent to a member; determines the outcome if its answer is lost."""

    READ = "read"  # autocommit: may run again at any member
    WRITE = "write"  # autocommit: may have been committed
    IN_TRANSACTION = "in-transaction"  # has no effect without a commit
    COMMIT = "commit"  # of a transaction with writes: may have been committed


def read_attempt_timeout_seconds(objective_seconds: float, usual_seconds: float) -> float:
    """Return how long a member may take to answer a read before another member is tried.

    Detects a member that accepts requests without answering, and tolerates one that is only slow.

    Parameters
    ----------
    objective_seconds : float
        Latency objective of the route.
    usual_seconds : float
        Usual latency of the member; 0 if it has not answered yet, which gives the minimum.

    Examples
    --------
    >>> read_attempt_timeout_seconds(objective_seconds=1.0, usual_seconds=0.01)
    0.4
    >>> read_attempt_timeout_seconds(objective_seconds=1.0, usual_seconds=0.2)
    0.6
    """
    usual = max(MIN_READ_ATTEMPT_SECONDS, READ_ATTEMPT_LATENCY_FACTOR * usual_seconds)
    return min(READ_ATTEMPT_FRACTION * objective_seconds, usual)


def can_meet_objective(forecast: Forecast, objective_seconds: float, waited_ms: float) -> bool:
    """Return whether a member's queue is short enough to answer a read within the objective.

    Parameters
    ----------
    forecast : Forecast
        Expected wait and execution time of the read at the member.
    objective_seconds : float
        Latency objective of the route.
    waited_ms : float
        Time since the read arrived.

    Examples
    --------
    >>> can_meet_objective(Forecast(wait=150, run_time=10), objective_seconds=0.4, waited_ms=50)
    True
    >>> can_meet_objective(Forecast(wait=160, run_time=10), objective_seconds=0.4, waited_ms=50)
    False
    """
    return (
        forecast.has_room
        or forecast.wait <= QUEUE_WAIT_FRACTION * objective_seconds * 1000 - waited_ms
    )


def has_attempts_left(attempts: int) -> bool:
    """Return whether a read may make its ``attempts``-th attempt.

    Otherwise it restarts with a new floor and all members.
    """
    return attempts <= MAX_READ_ATTEMPTS


def step_after_read(refusal: Refusal, failures: int, from_primary: bool) -> ReadStep:
    """Return the next step after a member refused an autocommit read.

    A read has no side effects, so any refusal allows another attempt, unless the result would be
    the same at every member (invalid, or out of time).

    Parameters
    ----------
    refusal : Refusal
        The member's answer.
    failures : int
        Number of members that failed the read, including this one.
    from_primary : bool
        Whether the member is the presumed primary.

    Examples
    --------
    >>> step_after_read(Refusal.LOST, failures=0, from_primary=False)
    <ReadStep.NEXT_MEMBER: 'next-member'>
    >>> step_after_read(Refusal.FAILED, failures=3, from_primary=False)
    <ReadStep.ANSWER: 'answer'>
    """
    match refusal:
        case Refusal.TIMEOUT | Refusal.INVALID:
            return ReadStep.ANSWER
        case Refusal.BEHIND:
            # A primary behind the floor has lost commits, so the sample is invalid.
            return ReadStep.NEW_SAMPLE if from_primary else ReadStep.PRIMARY
        case Refusal.FAILED if failures >= MAX_READ_FAILURES:
            return ReadStep.ANSWER
    return ReadStep.NEXT_MEMBER


def step_after_write(refusal: Refusal) -> WriteStep:
    """Return the next step after the primary refused an autocommit write.

    A write is retried only if it certainly did not run.

    Examples
    --------
    >>> step_after_write(Refusal.NOT_PRIMARY)
    <WriteStep.RETRY: 'retry'>
    >>> step_after_write(Refusal.LOST)
    <WriteStep.UNKNOWN: 'unknown'>
    """
    match refusal:
        case Refusal.LOST:
            return WriteStep.UNKNOWN
        case Refusal.NOT_PRIMARY | Refusal.BUSY | Refusal.UNKNOWN_NAME:
            return WriteStep.RETRY
    return WriteStep.ANSWER


def may_retry_in_transaction(
    refusal: Refusal | None, state: SessionState | None, retries: int
) -> bool:
    """Return whether a statement of a transaction may be retried on its connection.

    This requires that the member had no free slot for it and reports the transaction as still open:
    the statement did not run, and the earlier ones are intact.

    Parameters
    ----------
    refusal : Refusal or None
        The member's answer.
    state : SessionState or None
        State of the transaction at the member; None if the connection is lost.
    retries : int
        Retries of this statement so far.
    """
    return (
        refusal is Refusal.BUSY and state is SessionState.TRANSACTION and retries < MAX_BUSY_RETRIES
    )


def busy_retry_delay_seconds(retries: int) -> float:
    """Return the delay before a retry (1 for the first) of a statement refused as busy."""
    return RETRY_INTERVAL_SECONDS * retries


def refusal_without_answer(sent: SentRequest) -> Refusal:
    """Return the client's refusal for a request whose answer did not arrive in time.

    Examples
    --------
    >>> refusal_without_answer(SentRequest.COMMIT).value
    'outcome-unknown'
    >>> refusal_without_answer(SentRequest.IN_TRANSACTION).value
    'aborted'
    """
    match sent:
        case SentRequest.READ:
            return Refusal.TIMEOUT
        case SentRequest.IN_TRANSACTION:
            return Refusal.ABORTED
        case SentRequest.WRITE | SentRequest.COMMIT:
            return Refusal.OUTCOME_UNKNOWN


def client_refusal(refusal: Refusal, sent: SentRequest) -> Refusal:
    """Return the client's refusal for a member's refusal.

    A lost connection is reported as a missing answer; other refusals are passed on unchanged.

    Examples
    --------
    >>> client_refusal(Refusal.LOST, SentRequest.IN_TRANSACTION).value
    'aborted'
    >>> client_refusal(Refusal.NOT_PRIMARY, SentRequest.IN_TRANSACTION).value
    'not-primary'
    """
    return refusal_without_answer(sent) if refusal is Refusal.LOST else refusal
