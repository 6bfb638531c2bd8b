"""What to do about a forwarded statement that its holder does not answer.

A client is told that nothing was committed only if that is certain. Reads are retried at another
gateway; writes and commits never are. A transaction whose holder is lost is aborted, since its
state can't be moved.

Owns nothing; the functions take plain values, with times in milliseconds. Relies on ``work`` for
the share of an objective that a statement may wait for a gateway to run it.
:mod:`forwarded_call` and :mod:`forwarding` act on the decisions.
"""

from dataclasses import dataclass

from rowanrail.gateway.work.attempts import SentRequest, refusal_without_answer
from rowanrail.gateway.work.refusals import DEFERRAL_FRACTION
from rowanrail.model.statements import Refusal

__all__ = [
    "HOLDER_LOOKUP_INTERVAL_MS",
    "HOLDER_RETRY_AFTER_MS",
    "Decision",
    "LinkLost",
    "Refuse",
    "RejectNotRun",
    "RetryLater",
    "RetryNow",
    "after_link_loss",
    "after_not_served",
    "after_timeout",
    "may_persist",
    "without_holder",
]

HOLDER_LOOKUP_INTERVAL_MS = 10.0  # long enough for a link inside a zone to open
# Retry delay that clients get while no holder is known: about the time until one is found or the
# next gateway in the order takes over.
HOLDER_RETRY_AFTER_MS = 1000.0


@dataclass(frozen=True, slots=True)
class RetryNow:
    """Look up a holder and send the statement at once: it has had no effect."""


@dataclass(frozen=True, slots=True)
class RetryLater:
    """Look up a holder again after ``HOLDER_LOOKUP_INTERVAL_MS``."""


@dataclass(frozen=True, slots=True)
class RejectNotRun:
    """Answer that nothing ran, with a retry delay."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer with the given refusal."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class LinkLost:
    """Answer as the ``LinkOutcome`` policy says, and forget the load that the holder reported."""

    may_persist: bool


Decision = RetryNow | RetryLater | RejectNotRun | Refuse | LinkLost


def may_persist(sent: SentRequest) -> bool:
    """Return whether the statement, if it ran, may have changed the database for good.

    Examples
    --------
    >>> [sent.value for sent in SentRequest if may_persist(sent)]
    ['write', 'commit']
    """
    return sent is SentRequest.WRITE or sent is SentRequest.COMMIT


def after_not_served(has_run: bool) -> RetryLater | Refuse:
    """Return what to do if the holder did not run a statement and can't run it.

    A single statement or a new transaction may start at another gateway. A transaction that has
    run a statement is aborted.

    Parameters
    ----------
    has_run : bool
        Whether an earlier statement of the same transaction was answered.

    Examples
    --------
    >>> after_not_served(has_run=True)
    Refuse(refusal=<Refusal.ABORTED: 'aborted'>)
    """
    return Refuse(Refusal.ABORTED) if has_run else RetryLater()


def after_link_loss(sent: SentRequest) -> RetryNow | LinkLost:
    """Return what to do if the link was lost while a call was pending.

    Examples
    --------
    >>> after_link_loss(SentRequest.READ), after_link_loss(SentRequest.WRITE)
    (RetryNow(), LinkLost(may_persist=True))
    """
    return RetryNow() if sent is SentRequest.READ else LinkLost(may_persist(sent))


def after_timeout(sent: SentRequest, is_pending: bool) -> RejectNotRun | Refuse | LinkLost:
    """Return what to do when a statement's deadline has passed.

    Parameters
    ----------
    sent : SentRequest
        Kind of statement.
    is_pending : bool
        Whether it was sent to a holder that has not answered; if not, nothing ran.

    Examples
    --------
    >>> after_timeout(SentRequest.WRITE, is_pending=True)
    Refuse(refusal=<Refusal.OUTCOME_UNKNOWN: 'outcome-unknown'>)
    """
    if not is_pending:
        return RejectNotRun()
    match sent:
        case SentRequest.READ | SentRequest.WRITE:
            return Refuse(refusal_without_answer(sent))
        case SentRequest.IN_TRANSACTION | SentRequest.COMMIT:
            return LinkLost(may_persist(sent))


def without_holder(now: float, began: float, objective: float) -> RetryLater | RejectNotRun:
    """Return what to do while no gateway is known to run a statement.

    The statement waits as long as it would wait for a new primary, so that the replacement of a
    holder delays clients instead of rejecting them.

    Parameters
    ----------
    now, began : float
        Times on the monotonic clock; ``began`` is the arrival of the client's statement.
    objective : float
        Latency objective of its operation.

    Examples
    --------
    >>> without_holder(1100.0, 1000.0, objective=200.0), without_holder(1131.0, 1000.0, 200.0)
    (RetryLater(), RejectNotRun())
    """
    if now + HOLDER_LOOKUP_INTERVAL_MS > began + DEFERRAL_FRACTION * objective:
        return RejectNotRun()
    return RetryLater()
