"""Reconciles the gateways in the log with those that report to the leader.

Gateways share the members' connections according to the log. A new gateway must be added to it, and
one that is gone removed, or its share stays unused. Tracks since when each gateway in the log has
been silent; relies on :mod:`liveness` for the reports.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from rowanrail.coordination.commands import Command, SetGateways
from rowanrail.coordination.liveness import Liveness
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import GatewayRecord
from rowanrail.kernel.errors import RowanrailError

__all__ = ["GATEWAY_TIMEOUT_SECONDS", "GatewayReconciler", "gateway_changes"]

RECONCILE_INTERVAL_SECONDS = 1.0  # gateways report every second
# A gateway missing for this long is removed. One silent for less may still run and hold its
# connections, whose share would then be used twice.
GATEWAY_TIMEOUT_SECONDS = 8.0


def gateway_changes(
    heard: Mapping[str, GatewayRecord],
    known: Mapping[str, GatewayRecord],
    missing_seconds: Mapping[str, float],
) -> SetGateways | None:
    """Return the command that brings the log up to date, None if it is.

    Parameters
    ----------
    heard : mapping of str to GatewayRecord
        Gateways that reported recently, by name.
    known : mapping of str to GatewayRecord
        Gateways in the log, by name.
    missing_seconds : mapping of str to float
        For how long each missing gateway of the log has not reported.

    Notes
    -----
    A leader that hears no gateway at all is cut off itself, so that it removes none.

    Examples
    --------
    >>> here = GatewayRecord("g1", "a", "g1:1")
    >>> gateway_changes({"g1": here}, {}, {}).present == [here]
    True
    >>> gateway_changes({"g1": here}, {"g1": here, "g2": here}, {"g2": 8.5}).absent
    ['g2']
    >>> gateway_changes({}, {"g2": here}, {"g2": 8.5}) is None
    True
    """
    present = [record for name, record in heard.items() if known.get(name) != record]
    absent = [
        name for name, seconds in missing_seconds.items() if seconds > GATEWAY_TIMEOUT_SECONDS
    ]
    if present or (absent and heard):
        return SetGateways(present, absent)
    return None


class GatewayReconciler:
    """Proposes to add gateways that report and to remove those that stay silent.

    Parameters
    ----------
    state : CoordinationState
        The replicated state.
    liveness : Liveness
        Tells which gateways reported recently.
    propose : callable
        Appends a command to the log and waits until it is applied.
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        state: CoordinationState,
        liveness: Liveness,
        propose: Callable[[Command], Awaitable[object]],
        now: Callable[[], float],
    ) -> None:
        self._state = state
        self._liveness = liveness
        self._propose = propose
        self._now = now
        self._next_check_at = 0.0
        self._missing_since: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def tick(self) -> None:
        """Reconcile if the interval is over; called only while this node leads."""
        now = self._now()
        if now < self._next_check_at or self._task is not None:
            return
        self._next_check_at = now + RECONCILE_INTERVAL_SECONDS
        heard = self._liveness.gateways()
        missing = [name for name in self._state.gateways if name not in heard]
        self._missing_since = {name: self._missing_since.get(name, now) for name in missing}
        seconds = {name: now - since for name, since in self._missing_since.items()}
        change = gateway_changes(heard, self._state.gateways, seconds)
        if change is not None:
            self._task = asyncio.ensure_future(self._propose_change(change))

    def stop(self) -> None:
        """Cancel a proposal under way."""
        if self._task is not None:
            self._task.cancel()

    async def _propose_change(self, change: SetGateways) -> None:
        try:
            await self._propose(change)
        except RowanrailError:
            pass  # retried after RECONCILE_INTERVAL_SECONDS
        finally:
            self._task = None
