"""Rules for the attempts of a statement at members: how long, how many, and what an answer means.

For the kinds of work (reads, writes, transactions), which ask here and do what the verdict says.
Owns nothing: pure functions on plain values, in the unit that a name ends with. Relies on the
promises of :class:`rowanrail.model.statements.Refusal`: nothing that may have run is called
"not run".
"""

import enum

from rowanrail.model.statements import Refusal, SessionState
from rowanrail.scheduling.admission import Forecast

__all__ = [
    "BUSY_RETRIES",
    "ERROR_ATTEMPTS",
    "MINIMUM_ATTEMPT_SECONDS",
    "OPEN_ATTEMPT_SECONDS",
    "PROMPT_SHARE",
    "READ_ATTEMPTS",
    "READ_ATTEMPT_LATENCIES",
    "READ_ATTEMPT_SHARE",
    "ReadStep",
    "MEMBER_RETRY_SECONDS",
    "SentRequest",
    "WriteStep",
    "answer_limit_seconds",
    "busy_pause_seconds",
    "has_attempts_left",
    "is_prompt",
    "may_retry_in_transaction",
    "client_refusal",
    "step_after_read",
    "step_after_write",
    "refusal_without_answer",
]

# Of the objective: a read goes elsewhere rather than wait for longer, which leaves as much for its
# run. Chosen.
PROMPT_SHARE = 0.5
# Of the objective, after which a silent member is given up for a read: leaves 0.4 of it for the
# next member. Chosen.
READ_ATTEMPT_SHARE = 0.6
# Usual latencies of the member, after which the same happens if that is sooner. Chosen.
READ_ATTEMPT_LATENCIES = 8
# Seconds that a member has at the least: the slowest reads take that long, also on a calm day.
MINIMUM_ATTEMPT_SECONDS = 0.4
# Seconds for the first connection to a member: after a loss of power members still count the
# connections of gateways that are gone and open none for 3 s; reads that waited for them in turn
# came too late.
OPEN_ATTEMPT_SECONDS = 0.15
# Members asked for one read before it begins anew with a new floor: twice each of three members.
READ_ATTEMPTS = 6
# Members that may fail a read before its client gets the error. Members in good health fail part
# of their requests; one that three members fail is taken for a fault of the read itself. Chosen.
ERROR_ATTEMPTS = 3
# Times that a statement of a transaction is sent again after the member had no slot for it: after
# 20, 40 and 60 ms, when slots have come free.
BUSY_RETRIES = 3
# Seconds between two tries of what could not run: about a round trip inside a region.
MEMBER_RETRY_SECONDS = 0.02


class ReadStep(enum.Enum):
    """What follows a member's refusal of an autocommit read."""

    ANSWER = "answer"  # the client gets it
    NEXT_MEMBER = "next-member"
    NEW_SAMPLE = "new-sample"  # the primary itself lacks the floor
    PRIMARY = "primary"  # a replica lacks the floor


class WriteStep(enum.Enum):
    """What follows the primary's refusal of an autocommit write."""

    ANSWER = "answer"  # the client gets it
    RETRY = "retry"  # nothing of it is kept: it is sent again in a moment
    UNKNOWN = "unknown"  # it may have run: it is never sent again


class SentRequest(enum.Enum):
    """What was sent to a member, by what its client may do if no answer comes."""

    READ = "read"  # on its own: runs anywhere, again and again
    WRITE = "write"  # on its own: may have been committed
    IN_TRANSACTION = "in-transaction"  # nothing of it is kept without a commit
    COMMIT = "commit"  # of a transaction that wrote: may have been committed


def answer_limit_seconds(objective_seconds: float, usual_seconds: float) -> float:
    """Return how long a member may take to answer a read before it is given up.

    Protects readers from a member that takes work and leaves it unanswered, without giving up one
    that is merely slow.

    Parameters
    ----------
    objective_seconds : float
        Latency that the route asks for.
    usual_seconds : float
        The member's usual latency; 0 if it has not answered yet, which leaves it the minimum.

    Examples
    --------
    >>> answer_limit_seconds(objective_seconds=1.0, usual_seconds=0.01)
    0.4
    >>> answer_limit_seconds(objective_seconds=1.0, usual_seconds=0.2)
    0.6
    """
    usual = max(MINIMUM_ATTEMPT_SECONDS, READ_ATTEMPT_LATENCIES * usual_seconds)
    return min(READ_ATTEMPT_SHARE * objective_seconds, usual)


def is_prompt(forecast: Forecast, objective_seconds: float, waited_ms: float) -> bool:
    """Return whether a member has room soon enough for an answer within the objective.

    Parameters
    ----------
    forecast : Forecast
        What the read can expect at the member.
    objective_seconds : float
        Latency that the route asks for.
    waited_ms : float
        Time that has passed since the read came.

    Examples
    --------
    >>> is_prompt(Forecast(wait=150, run_time=10), objective_seconds=0.4, waited_ms=50)
    True
    >>> is_prompt(Forecast(wait=160, run_time=10), objective_seconds=0.4, waited_ms=50)
    False
    """
    return forecast.has_room or forecast.wait <= PROMPT_SHARE * objective_seconds * 1000 - waited_ms


def has_attempts_left(attempts: int) -> bool:
    """Return whether a read may be tried at a member, this attempt counted.

    After the last one the read begins anew, with a new floor and all members.
    """
    return attempts <= READ_ATTEMPTS


def step_after_read(refusal: Refusal, failures: int, from_primary: bool) -> ReadStep:
    """Return what follows a member's refusal of an autocommit read.

    A read changes nothing, so that another member may run it whatever became of it at this one.
    Its client gets what would be the same anywhere (it is invalid, its time is over).

    Parameters
    ----------
    refusal : Refusal
        The member's.
    failures : int
        Members that failed the read, this one included.
    from_primary : bool
        Whether the member is the one that is believed to lead.

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
            # If the primary lacks the floor commits were rolled back, and the sample is void.
            return ReadStep.NEW_SAMPLE if from_primary else ReadStep.PRIMARY
        case Refusal.FAILED if failures >= ERROR_ATTEMPTS:
            return ReadStep.ANSWER
    return ReadStep.NEXT_MEMBER


def step_after_write(refusal: Refusal) -> WriteStep:
    """Return what follows the primary's refusal of an autocommit write.

    Only what certainly did not run is sent again.

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
    """Return whether a statement of a transaction is sent again on the same connection.

    Only if the member had no slot for it and says that the transaction is still open: what came
    before it stands, and nothing of it has run.

    Parameters
    ----------
    refusal, state : Refusal or None, SessionState or None
        The member's answer; the state is None if the connection is lost.
    retries : int
        How often this statement was sent again so far.
    """
    return refusal is Refusal.BUSY and state is SessionState.TRANSACTION and retries < BUSY_RETRIES


def busy_pause_seconds(retries: int) -> float:
    """Return how long to wait before the given retry (1 for the first) of a busy statement."""
    return MEMBER_RETRY_SECONDS * retries


def refusal_without_answer(sent: SentRequest) -> Refusal:
    """Return what the client is told of a statement whose answer did not come in time.

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
    """Return what the client is told of a member's refusal, if the connection may be what was lost.

    Other refusals are passed on as they are.

    Examples
    --------
    >>> client_refusal(Refusal.LOST, SentRequest.IN_TRANSACTION).value
    'aborted'
    >>> client_refusal(Refusal.NOT_PRIMARY, SentRequest.IN_TRANSACTION).value
    'not-primary'
    """
    return refusal_without_answer(sent) if refusal is Refusal.LOST else refusal
