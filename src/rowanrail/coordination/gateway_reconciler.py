"""Which gateways there are: the leader compares those it hears with those in the log.

Gateways share the members' connections by what the log says, so that each gateway must know of the
others; one that is gone must leave the log, or its share lies idle. Owns since when gateways of
the log have been missing; relies on :mod:`liveness` for what was heard and on the log for the rest.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from rowanrail.coordination.commands import Command, SetGateways
from rowanrail.coordination.liveness import Liveness
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import GatewayRecord
from rowanrail.kernel.errors import RowanrailError

__all__ = ["GATEWAY_TIMEOUT_SECONDS", "GatewayReconciler", "gateway_changes"]

COMPARE_SECONDS = 1.0  # between comparisons; reports of gateways come each second
# Missing for so long a gateway leaves the log. One that is silent for less may be alive with its
# connections, and would be counted twice while it hands them over; chosen.
GATEWAY_TIMEOUT_SECONDS = 8.0


def gateway_changes(
    heard: Mapping[str, GatewayRecord],
    known: Mapping[str, GatewayRecord],
    missing_seconds: Mapping[str, float],
) -> SetGateways | None:
    """Return what the log lacks of the gateways that there are, None if nothing.

    Parameters
    ----------
    heard : mapping of str to GatewayRecord
        Gateways that reported a short while ago, by name.
    known : mapping of str to GatewayRecord
        Gateways in the log.
    missing_seconds : mapping of str to float
        For how long gateways of the log have not been heard.

    Notes
    -----
    A leader that hears no gateway at all is cut off itself and takes none for gone.

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
    """Keeps the gateways of the log in step with those that are heard.

    Parameters
    ----------
    state : CoordinationState
        What the log holds.
    liveness : Liveness
        Which gateways were heard.
    propose : callable
        Makes a command durable.
    now : callable
        Returns the steady time in seconds.
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
        self._due = 0.0
        self._missing_since: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def tick(self) -> None:
        """Compare once in a while, as long as this node leads."""
        now = self._now()
        if now < self._due or self._task is not None:
            return
        self._due = now + COMPARE_SECONDS
        heard = self._liveness.gateways()
        missing = [name for name in self._state.gateways if name not in heard]
        self._missing_since = {name: self._missing_since.get(name, now) for name in missing}
        seconds = {name: now - since for name, since in self._missing_since.items()}
        change = gateway_changes(heard, self._state.gateways, seconds)
        if change is not None:
            self._task = asyncio.ensure_future(self._log(change))

    def stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def _log(self, change: SetGateways) -> None:
        try:
            await self._propose(change)
        except RowanrailError:
            pass  # the gateways are compared with the log again after COMPARE_SECONDS
        finally:
            self._task = None
