"""Limits of statements and transactions: timeouts and the number of open transactions.

Pure functions; times are seconds of the event loop. The limits keep a caller from occupying
connections that others need.
"""

__all__ = [
    "DEFAULT_DEADLINE_SECONDS",
    "MAXIMUM_SESSION_SETTINGS",
    "REAPER_INTERVAL_SECONDS",
    "may_begin_transaction",
    "rollback_reason",
    "statement_timeout_seconds",
]

# Statement timeout in seconds for sessions whose database no group serves.
DEFAULT_DEADLINE_SECONDS = 5.0
# Maximum number of session variables, which are set again on each connection of a session.
MAXIMUM_SESSION_SETTINGS = 50
# Seconds between checks for transactions that are idle or open for too long.
REAPER_INTERVAL_SECONDS = 0.5


def statement_timeout_seconds(group_limit_seconds: float, requested_ms: int | None) -> float:
    """Return the timeout of a statement in seconds.

    Parameters
    ----------
    group_limit_seconds : float
        Maximum timeout of the group.
    requested_ms : int or None
        Timeout that the caller requests in milliseconds, None for the group's maximum.

    Examples
    --------
    >>> [statement_timeout_seconds(5.0, requested_ms=ms) for ms in (250, 60000)]
    [0.25, 5.0]
    """
    return (
        group_limit_seconds
        if requested_ms is None
        else min(group_limit_seconds, requested_ms / 1000)
    )


def may_begin_transaction(open_transactions: int, limit: int) -> bool:
    """Return whether another transaction may begin."""
    return open_transactions < limit


def rollback_reason(
    idle_seconds: float, idle_limit: float, open_seconds: float, open_limit: float
) -> str:
    """Return the reason for rolling back a transaction, an empty string if there is none.

    Parameters
    ----------
    idle_seconds, idle_limit : float
        Seconds since the last statement, and the maximum.
    open_seconds, open_limit : float
        Seconds since the transaction began, and the maximum.

    Examples
    --------
    >>> rollback_reason(idle_seconds=11.0, idle_limit=10.0, open_seconds=11.0, open_limit=60.0)
    'idle for more than 10 s'
    """
    if idle_seconds > idle_limit:
        return f"idle for more than {idle_limit:g} s"
    if open_seconds > open_limit:
        return f"open for more than {open_limit:g} s"
    return ""
