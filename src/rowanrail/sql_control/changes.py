"""Rules for what becomes of an operator's change, and of a request that only the leader serves.

For the replicated state, which decides by them at every node alike, and for the service, which
tries again by them. Owns nothing: pure functions on plain values; times are seconds of the event
loop. Relies on the guard ``ExpectedVersion`` in :mod:`rowanrail.sql_control.policies`.
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

# Seconds for the leader's reply to a request that another node passes on. Chosen.
LEADER_REPLY_TIMEOUT_SECONDS = 3.0
# Seconds for which an operator's request waits for a leader, tries included: within the 12 s that
# the command line gives a control node. Chosen.
LEADER_WAIT_TIMEOUT_SECONDS = 8.0
# Seconds between two tries. Chosen.
LEADER_RETRY_INTERVAL_SECONDS = 0.1


def change_verdict(is_current_version: bool, is_explicit: bool, is_empty: bool) -> Verdict:
    """Return what becomes of a change that was not applied before.

    Parameters
    ----------
    is_current_version : bool
        Whether it was made against the version in force, by the guard ``ExpectedVersion``.
    is_explicit : bool
        Whether the operator named that version. If not, the service makes the change again
        against the newer one, so that operators who do not care never see a conflict.
    is_empty : bool
        Whether it changes nothing.

    Examples
    --------
    >>> change_verdict(is_current_version=False, is_explicit=True, is_empty=False).value
    'conflict'
    """
    if not is_current_version:
        return Verdict.CONFLICT if is_explicit else Verdict.REBASE
    return Verdict.UNCHANGED if is_empty else Verdict.ACCEPTED


def outcome_of_resend(recorded_digest: str, recorded: Outcome, digest: str) -> Outcome:
    """Return the outcome of a change whose id was used before.

    Parameters
    ----------
    recorded_digest : str
        Digest of the first request with this id.
    recorded : Outcome
        Its outcome: a resend gets the same, whatever happened since.
    digest : str
        Digest of the request at hand; another one is other work under a used id.
    """
    if recorded_digest != digest:
        return Outcome(Verdict.REUSED_ID, recorded.version)
    return recorded


def may_retry(now: float, deadline: float) -> bool:
    """Return whether a request that no leader served has time for another try."""
    return now + LEADER_RETRY_INTERVAL_SECONDS < deadline
