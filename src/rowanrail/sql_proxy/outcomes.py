"""Rules for what became of a request: whether it is sent again, did not run, or is unknown.

For writes, transactions and the group's rounds, which ask here and do what the verdict says. Owns
nothing: pure functions on plain values; times are seconds of the event loop. A request counts as
not run only if it was never sent, if the member refused it, or if a tombstone keeps it out for
good; see also the guard ``OutcomeClassification`` in :mod:`rowanrail.sql_proxy.policies`.
"""

import enum

__all__ = [
    "DUPLICATE_KEY_CODE",
    "GROUP_RETRY_AFTER_SECONDS",
    "NO_SUCH_TABLE_CODE",
    "READ_ONLY_ERROR_CODES",
    "MAXIMUM_BACKOFF_SECONDS",
    "INITIAL_BACKOFF_SECONDS",
    "WRITE_RETRY_SECONDS",
    "LostCommitAction",
    "is_read_only_error",
    "is_in_progress",
    "lost_commit_action",
    "may_retry_write",
    "next_backoff",
    "primary_wait_deadline",
]

# MySQL's error codes that rules depend on.
DUPLICATE_KEY_CODE = 1062
NO_SUCH_TABLE_CODE = 1146
# The member itself says that it is no primary (any more); nothing ran.
READ_ONLY_ERROR_CODES = frozenset({1290, 1792, 1836, 3100})

# Seconds after which a caller is told to retry whose group has no primary, no majority, no fresh
# member or too many open transactions. Chosen.
GROUP_RETRY_AFTER_SECONDS = 1.0
# Seconds between two tries of a write. Chosen.
WRITE_RETRY_SECONDS = 0.01
# Seconds between two rounds of questions whether a majority holds a write: the first pause, which
# doubles, and the longest. Chosen.
INITIAL_BACKOFF_SECONDS = 0.005
MAXIMUM_BACKOFF_SECONDS = 0.05


class LostCommitAction(enum.Enum):
    """What follows when a commit was sent and its answer did not come."""

    RESOLVE = "resolve"  # it has a record: the record, or a tombstone, says what became of it
    ROLLED_BACK = "rolled-back"  # nothing was written, so that nothing can last
    UNKNOWN = "unknown"  # it may have been committed


def is_read_only_error(code: int) -> bool:
    """Return whether a member refused a write because it is no primary: it is sent again."""
    return code in READ_ONLY_ERROR_CODES


def is_in_progress(code: int, message: str) -> bool:
    """Return whether a request with the same id runs elsewhere and has not committed yet.

    Parameters
    ----------
    code : int
        The member's error code for the insertion of the record, which can't be read either.
    message : str
        The member's message; it names the table, so that a duplicate of the caller's own tables
        is not taken for this.

    Examples
    --------
    >>> is_in_progress(DUPLICATE_KEY_CODE, "Duplicate entry for key 'rowanrail_requests.PRIMARY'")
    True
    >>> is_in_progress(DUPLICATE_KEY_CODE, "Duplicate entry for key 'cues.PRIMARY'")
    False
    """
    return code == DUPLICATE_KEY_CODE and "rowanrail" in message


def lost_commit_action(is_recorded: bool, has_written: bool) -> LostCommitAction:
    """Return what follows when a commit was sent and its answer did not come.

    Parameters
    ----------
    is_recorded : bool
        Whether the transaction holds the record of a request id.
    has_written : bool
        Whether the transaction ran any statement that writes.
    """
    if is_recorded:
        return LostCommitAction.RESOLVE
    return LostCommitAction.UNKNOWN if has_written else LostCommitAction.ROLLED_BACK


def may_retry_write(now: float, deadline: float) -> bool:
    """Return whether a write with a request id has time for another try."""
    return now + WRITE_RETRY_SECONDS < deadline


def primary_wait_deadline(now: float, deadline: float, failover_wait_seconds: float) -> float:
    """Return until when a statement waits for a primary: no longer than the group allows."""
    return min(deadline, now + failover_wait_seconds)


def next_backoff(pause_seconds: float) -> float:
    """Return the pause after one of ``pause_seconds`` between two rounds of questions.

    Examples
    --------
    >>> next_backoff(0.005), next_backoff(0.04)
    (0.01, 0.05)
    """
    return min(2 * pause_seconds, MAXIMUM_BACKOFF_SECONDS)
