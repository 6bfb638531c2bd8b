"""Rules for configuration changes and for retrying requests to the leader.

The replicated state applies them on every node, so they depend on nothing but their arguments.
Times are seconds of the event loop's clock.
"""

from rowanrail.sql_control.messages import Outcome, Verdict

__all__ = [
    "LEADER_REPLY_TIMEOUT_SECONDS",
    "LEADER_RETRY_INTERVAL_SECONDS",
    "LEADER_WAIT_TIMEOUT_SECONDS",
    "change_verdict",
    "may_retry",
    "outcome_of_resend",
]

LEADER_REPLY_TIMEOUT_SECONDS = 3.0  # for a request that a node forwards to the leader
# Including retries. Shorter than the command line's timeout of 12 s for a control node.
LEADER_WAIT_TIMEOUT_SECONDS = 8.0
LEADER_RETRY_INTERVAL_SECONDS = 0.1


def change_verdict(is_current_version: bool, is_explicit: bool, is_empty: bool) -> Verdict:
    """Return the verdict on a change whose id is new.

    Parameters
    ----------
    is_current_version : bool
        Whether the change is based on the current version, as decided by ``ExpectedVersion``.
    is_explicit : bool
        Whether the operator named the base version. If not, the service rebases the change on the
        newer version, so that the operator sees no conflict.
    is_empty : bool
        Whether the change has no effect.

    Examples
    --------
    >>> change_verdict(is_current_version=False, is_explicit=True, is_empty=False).value
    'conflict'
    """
    if not is_current_version:
        return Verdict.CONFLICT if is_explicit else Verdict.REBASE
    return Verdict.UNCHANGED if is_empty else Verdict.ACCEPTED


def outcome_of_resend(recorded_digest: str, recorded: Outcome, digest: str) -> Outcome:
    """Return the outcome of a change whose id has been used.

    Parameters
    ----------
    recorded_digest : str
        Digest of the first request with this id.
    recorded : Outcome
        Outcome of that request, which a resend gets again.
    digest : str
        Digest of the new request; a different digest means that the id was reused.
    """
    if recorded_digest != digest:
        return Outcome(Verdict.REUSED_ID, recorded.version)
    return recorded


def may_retry(now: float, deadline: float) -> bool:
    """Return whether a request that no leader served can be retried before its deadline."""
    return now + LEADER_RETRY_INTERVAL_SECONDS < deadline
