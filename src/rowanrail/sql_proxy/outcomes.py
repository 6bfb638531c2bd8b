"""Rules for the outcome of failed requests: retried, not run, or unknown.

Pure functions; times are seconds of the event loop. A request counts as not run only if it was
never sent, if the member refused it, or if a tombstone prevents it from ever committing; see also
the guard ``OutcomeClassification`` in :mod:`rowanrail.sql_proxy.policies`.
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

# MySQL error codes.
DUPLICATE_KEY_CODE = 1062
NO_SUCH_TABLE_CODE = 1146
# The member is read-only because it is not the primary; the statement did not run.
READ_ONLY_ERROR_CODES = frozenset({1290, 1792, 1836, 3100})

# Retry-after in seconds for callers of a group that has no primary, no majority, no fresh member or
# too many open transactions.
GROUP_RETRY_AFTER_SECONDS = 1.0
# Seconds between two attempts of a write.
WRITE_RETRY_SECONDS = 0.01
# Bounds in seconds of the exponential backoff between two queries whether a majority holds a write.
INITIAL_BACKOFF_SECONDS = 0.005
MAXIMUM_BACKOFF_SECONDS = 0.05


class LostCommitAction(enum.Enum):
    """How to handle a commit that was sent but not answered."""

    RESOLVE = "resolve"  # look up the request's record, or prevent the commit with a tombstone
    ROLLED_BACK = "rolled-back"  # nothing was written: report the transaction as rolled back
    UNKNOWN = "unknown"  # it may have committed: report the outcome as unknown


def is_read_only_error(code: int) -> bool:
    """Return whether a member refused a write because it is not the primary; it may be retried."""
    return code in READ_ONLY_ERROR_CODES


def is_in_progress(code: int, message: str) -> bool:
    """Return whether another request with the same id is running and has not committed yet.

    Parameters
    ----------
    code : int
        Error code of the insertion of the record, which is not readable either.
    message : str
        Error message of the member. It names the table, which distinguishes the request table from
        the caller's own tables.

    Examples
    --------
    >>> is_in_progress(DUPLICATE_KEY_CODE, "Duplicate entry for key 'rowanrail_requests.PRIMARY'")
    True
    >>> is_in_progress(DUPLICATE_KEY_CODE, "Duplicate entry for key 'cues.PRIMARY'")
    False
    """
    return code == DUPLICATE_KEY_CODE and "rowanrail" in message


def lost_commit_action(is_recorded: bool, has_written: bool) -> LostCommitAction:
    """Return how to handle a commit that was sent but not answered.

    Parameters
    ----------
    is_recorded : bool
        Whether the transaction contains the record of a request id.
    has_written : bool
        Whether the transaction ran a statement that writes.
    """
    if is_recorded:
        return LostCommitAction.RESOLVE
    return LostCommitAction.UNKNOWN if has_written else LostCommitAction.ROLLED_BACK


def may_retry_write(now: float, deadline: float) -> bool:
    """Return whether there is time for another attempt of a write with a request id."""
    return now + WRITE_RETRY_SECONDS < deadline


def primary_wait_deadline(now: float, deadline: float, failover_wait_seconds: float) -> float:
    """Return the deadline for a statement's wait for a primary, bounded by the group's limit."""
    return min(deadline, now + failover_wait_seconds)


def next_backoff(pause_seconds: float) -> float:
    """Return the pause that follows one of ``pause_seconds``: twice as long, up to the maximum.

    Examples
    --------
    >>> next_backoff(0.005), next_backoff(0.04)
    (0.01, 0.05)
    """
    return min(2 * pause_seconds, MAXIMUM_BACKOFF_SECONDS)
