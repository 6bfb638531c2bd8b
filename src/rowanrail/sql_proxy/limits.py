"""Rules for how long a statement may take, and how many transactions may be open for how long.

For sessions and the services of a group, which ask here and do what the verdict says. Owns nothing:
pure functions on plain values; times are seconds of the event loop. They keep one caller from
holding a connection of which all others need a part.
"""

__all__ = [
    "DEFAULT_DEADLINE_SECONDS",
    "MAXIMUM_SESSION_SETTINGS",
    "REAPER_INTERVAL_SECONDS",
    "may_begin_transaction",
    "rollback_reason",
    "statement_timeout_seconds",
]

# Seconds for a statement of a session whose database no group serves. Chosen.
DEFAULT_DEADLINE_SECONDS = 5.0
# Session variables that are set anew on each connection that serves a session. Chosen.
MAXIMUM_SESSION_SETTINGS = 50
# Seconds between checks for transactions that are idle or open for too long. Chosen.
REAPER_INTERVAL_SECONDS = 0.5


def statement_timeout_seconds(group_limit_seconds: float, requested_ms: int | None) -> float:
    """Return the seconds that a statement may take.

    Parameters
    ----------
    group_limit_seconds : float
        What the group allows.
    requested_ms : int or None
        What the caller asks for; None if it asks for nothing. It can only shorten the time.

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
    """Return whether one more transaction may begin at a proxy."""
    return open_transactions < limit


def rollback_reason(
    idle_seconds: float, idle_limit: float, open_seconds: float, open_limit: float
) -> str:
    """Return why a transaction is rolled back, an empty string if it may go on.

    Parameters
    ----------
    idle_seconds, idle_limit : float
        Seconds since its last statement ended, and how many are allowed.
    open_seconds, open_limit : float
        Seconds since it began, and how many are allowed.

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
