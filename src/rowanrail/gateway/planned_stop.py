"""Graceful stop of a gateway in phases, as shares of the time that the platform allows.

Assumes that the platform stops sending clients to a process that is not ready.
"""

import asyncio
import enum

from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.relay.serving import LinkServer
from rowanrail.gateway.sessions.frontend import Frontend

__all__ = ["StopPhase", "stop_gracefully", "stop_phase"]

# Shares of the stop time
LEAVE_SHARE = 0.37  # during which new clients are accepted, until the platform stops sending them
ABORT_SHARE = 0.5  # after which idle transactions are aborted
END_SHARE = 0.75  # after which running statements are aborted
STOP_CHECK_SECONDS = 0.05  # between checks for running work


class StopPhase(enum.Enum):
    """Phase of a graceful stop."""

    LEAVING = "leaving"  # accepts clients but is not ready
    FINISHING = "finishing"  # accepts no clients; sessions end once they are idle
    ABORTING = "aborting"  # idle transactions are aborted
    OVER = "over"  # everything is closed


def stop_phase(passed_seconds: float, stop_seconds: float, is_busy: bool) -> StopPhase:
    """Return the phase of a stop.

    Running statements may finish within the stop time. Transactions get half of it; the client of
    an aborted one can retry it at another gateway.

    Parameters
    ----------
    passed_seconds : float
        Time since the stop began.
    stop_seconds : float
        Time that the platform allows for the stop.
    is_busy : bool
        Whether any statement or transaction is in progress.

    Examples
    --------
    >>> [stop_phase(passed, 10.0, True).value for passed in (1.0, 4.0, 6.0, 8.0)]
    ['leaving', 'finishing', 'aborting', 'over']
    >>> stop_phase(4.0, 10.0, is_busy=False).value
    'over'
    """
    if passed_seconds < LEAVE_SHARE * stop_seconds:
        return StopPhase.LEAVING
    if not is_busy or passed_seconds >= END_SHARE * stop_seconds:
        return StopPhase.OVER
    if passed_seconds > ABORT_SHARE * stop_seconds:
        return StopPhase.ABORTING
    return StopPhase.FINISHING


async def stop_gracefully(
    gateway: Gateway, frontend: Frontend, holder: LinkServer, stop_seconds: float
) -> None:
    """Stop in phases: readiness first, then idle sessions, idle transactions, and the rest."""
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    gateway.stopping = True
    holder.announce_leaving()
    await asyncio.sleep(LEAVE_SHARE * stop_seconds)
    frontend.drain()
    while True:
        passed = loop.time() - begun_at
        match stop_phase(passed, stop_seconds, _is_busy(frontend, holder)):
            case StopPhase.OVER:
                break
            case StopPhase.ABORTING:
                gateway.abort_transactions()
                holder.end_idle_transactions()
                frontend.drain()
        await asyncio.sleep(STOP_CHECK_SECONDS)
    frontend.close()
    gateway.close()


def _is_busy(frontend: Frontend, holder: LinkServer) -> bool:
    return bool(frontend.busy_sessions() or holder.running_statements or holder.open_transactions)
