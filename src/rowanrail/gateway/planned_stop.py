"""The planned stop of a gateway: who may still come, what may still run, and until when.

For the process. Owns the phases of a stop as shares of the time that it may take; relies on the
platform to send no more clients to a process that does not call itself ready.
"""

import asyncio
import enum

from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.relay.serving import LinkServer
from rowanrail.gateway.sessions.frontend import Frontend

__all__ = ["StopPhase", "stop_gracefully", "stop_phase"]

# Of the time to stop: until then clients still come that don't know better. Chosen.
LEAVE_SHARE = 0.37
ABORT_SHARE = 0.5  # of the time to stop: how long open transactions may go on; chosen
END_SHARE = 0.75  # of the time to stop: when statements that still run are cut; chosen
STOP_CHECK_SECONDS = 0.05  # between checks of what still runs


class StopPhase(enum.Enum):
    """What a gateway that stops still does."""

    LEAVING = "leaving"  # takes clients, calls itself not ready
    FINISHING = "finishing"  # takes none; sessions end as soon as they are idle
    ABORTING = "aborting"  # idle transactions are ended, too
    OVER = "over"  # all is closed


def stop_phase(passed_seconds: float, stop_seconds: float, is_busy: bool) -> StopPhase:
    """Return what a gateway still does some time after its stop began.

    Statements under way are finished for their clients as long as the time to stop allows, and
    transactions get half of it: one that is ended is the client's to begin again elsewhere.

    Parameters
    ----------
    passed_seconds : float
        Since the stop began.
    stop_seconds : float
        That the platform gives it.
    is_busy : bool
        Whether any statement or transaction is under way here.

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
    """Stop as planned: unwelcome first, then idle sessions, then transactions, then all."""
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
