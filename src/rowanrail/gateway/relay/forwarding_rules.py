"""What becomes of a statement that was sent to another gateway which doesn't answer it.

The rules promise a client that nothing was kept only where that is certain. A read is asked for
again elsewhere, a write or a commit never is; a transaction whose holder is lost is over, since
what ran of it can't be moved.

Owns nothing; the functions take plain values, with times in milliseconds. Relies on ``work`` for
the share of an objective that a statement waits for somebody to run it. :mod:`forwarded` and
:mod:`forwarding` act on the verdicts.
"""

from dataclasses import dataclass

from rowanrail.gateway.work.attempts import SentRequest, refusal_without_answer
from rowanrail.gateway.work.refusals import DEFERRAL_FRACTION
from rowanrail.model.statements import Refusal

__all__ = [
    "HOLDER_RETRY_AFTER_MS",
    "HOLDER_LOOKUP_INTERVAL_MS",
    "LinkLost",
    "RetryLater",
    "RetryNow",
    "Refuse",
    "RejectNotRun",
    "Verdict",
    "after_link_loss",
    "after_not_served",
    "after_timeout",
    "may_persist",
    "without_holder",
]

HOLDER_LOOKUP_INTERVAL_MS = (
    10.0  # until a holder is looked for again: a link inside a zone opens within it
)
# Told to clients, in milliseconds, while no holder is known: about the time until one is found or
# the next gateway of the order takes over.
HOLDER_RETRY_AFTER_MS = 1000.0


@dataclass(frozen=True, slots=True)
class RetryNow:
    """Look for a holder at once: nothing of the statement is kept anywhere."""


@dataclass(frozen=True, slots=True)
class RetryLater:
    """Look for a holder again after ``HOLDER_LOOKUP_INTERVAL_MS``."""


@dataclass(frozen=True, slots=True)
class RejectNotRun:
    """Answer that nothing ran, and after how long to retry."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer with a refusal."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class LinkLost:
    """Answer with what the guard of lost links promises; assume nothing of the holder's load."""

    may_persist: bool


Verdict = RetryNow | RetryLater | RejectNotRun | Refuse | LinkLost


def may_persist(sent: SentRequest) -> bool:
    """Return whether the database may have kept something if the statement ran.

    Examples
    --------
    >>> [sent.value for sent in SentRequest if may_persist(sent)]
    ['write', 'commit']
    """
    return sent is SentRequest.WRITE or sent is SentRequest.COMMIT


def after_not_served(has_run: bool) -> RetryLater | Refuse:
    """Return what follows where the holder ran nothing of a statement and can't run it.

    What begins may begin elsewhere. A transaction of which something ran is over.

    Parameters
    ----------
    has_run : bool
        Whether a statement of the same transaction was answered before.

    Examples
    --------
    >>> after_not_served(has_run=True)
    Refuse(refusal=<Refusal.ABORTED: 'aborted'>)
    """
    return Refuse(Refusal.ABORTED) if has_run else RetryLater()


def after_link_loss(sent: SentRequest) -> RetryNow | LinkLost:
    """Return what follows where the link was lost while an answer was owed.

    Examples
    --------
    >>> after_link_loss(SentRequest.READ), after_link_loss(SentRequest.WRITE)
    (RetryNow(), LinkLost(may_persist=True))
    """
    return RetryNow() if sent is SentRequest.READ else LinkLost(may_persist(sent))


def after_timeout(sent: SentRequest, is_owed: bool) -> RejectNotRun | Refuse | LinkLost:
    """Return what follows at the end of a statement's time.

    Parameters
    ----------
    sent : SentRequest
        What the statement is.
    is_owed : bool
        Whether a holder has it and owes an answer; if not, nothing ran.

    Examples
    --------
    >>> after_timeout(SentRequest.WRITE, is_owed=True)
    Refuse(refusal=<Refusal.OUTCOME_UNKNOWN: 'outcome-unknown'>)
    """
    if not is_owed:
        return RejectNotRun()
    match sent:
        case SentRequest.READ | SentRequest.WRITE:
            return Refuse(refusal_without_answer(sent))
        case SentRequest.IN_TRANSACTION | SentRequest.COMMIT:
            return LinkLost(may_persist(sent))


def without_holder(now: float, began: float, objective: float) -> RetryLater | RejectNotRun:
    """Return what follows while no gateway is known to run a statement.

    It waits for one as long as a new primary would be waited for, so that a holder that is
    replaced costs clients a delay and no refusal.

    Parameters
    ----------
    now, began : float
        On the steady clock; ``began`` is when the client's statement came.
    objective : float
        Latency that its operation should stay within.

    Examples
    --------
    >>> without_holder(1100.0, 1000.0, objective=200.0), without_holder(1131.0, 1000.0, 200.0)
    (RetryLater(), RejectNotRun())
    """
    if now + HOLDER_LOOKUP_INTERVAL_MS > began + DEFERRAL_FRACTION * objective:
        return RejectNotRun()
    return RetryLater()
