"""What to do about a forwarded statement that its holder does not answer.

A client is told that nothing was committed only if that is certain. Reads are retried at another
gateway; writes and commits never are. A transaction whose holder is lost is aborted, since its
state can't be moved.

Owns nothing; the functions take plain values, with times in milliseconds. Relies on ``work`` for
the share of an objective that a statement may wait for a gateway to run it.
:mod:`forwarded_call` and :mod:`forwarding` act on the decisions.
"""

from dataclasses import dataclass

from rowanrail.gateway.work.attempts import Sent, unanswered
from rowanrail.gateway.work.refusals import DEFER_SHARE
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


def may_persist(sent: Sent) -> bool:
    """Return whether the statement, if it ran, may have changed the database for good.

    Examples
    --------
    >>> [sent.value for sent in Sent if may_persist(sent)]
    ['write', 'commit']
    """
    return sent is Sent.WRITE or sent is Sent.COMMIT


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


def after_link_loss(sent: Sent) -> RetryNow | LinkLost:
    """Return what to do if the link was lost while a call was pending.

    Examples
    --------
    >>> after_link_loss(Sent.READ), after_link_loss(Sent.WRITE)
    (RetryNow(), LinkLost(may_persist=True))
    """
    return RetryNow() if sent is Sent.READ else LinkLost(may_persist(sent))


def after_timeout(sent: Sent, is_pending: bool) -> RejectNotRun | Refuse | LinkLost:
    """Return what to do when a statement's deadline has passed.

    Parameters
    ----------
    sent : Sent
        Kind of statement.
    is_pending : bool
        Whether it was sent to a holder that has not answered; if not, nothing ran.

    Examples
    --------
    >>> after_timeout(Sent.WRITE, is_pending=True)
    Refuse(refusal=<Refusal.OUTCOME_UNKNOWN: 'outcome-unknown'>)
    """
    if not is_pending:
        return RejectNotRun()
    match sent:
        case Sent.READ | Sent.WRITE:
            return Refuse(unanswered(sent))
        case Sent.IN_TRANSACTION | Sent.COMMIT:
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
    if now + HOLDER_LOOKUP_INTERVAL_MS > began + DEFER_SHARE * objective:
        return RejectNotRun()
    return RetryLater()
