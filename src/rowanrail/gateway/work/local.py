"""Execution of statements on this gateway's own connections to members.

Used for the gateway's own clients and for statements that other gateways forward here.
"""

from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import PreparedStatementNames, SessionContext
from rowanrail.gateway.work.autocommit_read import AutocommitRead
from rowanrail.gateway.work.autocommit_write import AutocommitWrite
from rowanrail.gateway.work.ports import NO_OTHER_GATEWAYS, AutocommitExecution, OtherGateways
from rowanrail.gateway.work.transaction import Transaction
from rowanrail.kernel.clock import Scheduler
from rowanrail.model.routing import Route

__all__ = ["LocalExecutor"]


class LocalExecutor:
    """Runs statements of one service on this gateway's own connections.

    Parameters
    ----------
    service : Service
        The service's members.
    names : PreparedStatementNames
        The gateway's names of prepared statements.
    clock : Scheduler
        Time and timers.
    others : OtherGateways
        Executors at other gateways, used if a member can't be reached from here.
    """

    __slots__ = ("_clock", "_names", "_others", "_service")

    def __init__(
        self,
        service: Service,
        names: PreparedStatementNames,
        clock: Scheduler,
        others: OtherGateways = NO_OTHER_GATEWAYS,
    ) -> None:
        self._service = service
        self._names = names
        self._clock = clock
        self._others = others

    def autocommit(
        self, route: Route, session: SessionContext, writes: bool
    ) -> AutocommitExecution:
        """Return the execution of one autocommit read or write; it isn't started yet."""
        kind = AutocommitWrite if writes else AutocommitRead
        return kind(self._service, route, session, self._names, self._clock, self._others)

    def transaction(self, route: Route, session: SessionContext, read_only: bool) -> Transaction:
        """Return the execution of a transaction; it starts with its first statement."""
        return Transaction(
            self._service, route, session, self._names, self._clock, self._others, read_only
        )

    def regions_of(self, route: Route, tenant: str) -> frozenset[str] | None:
        """Return the regions in which a tenant's statement may run now, None for any."""
        return self._service.regions_of(route, tenant)

    def reduced_weights(self) -> dict[str, int]:
        """Return the members with reduced weight at this gateway, in hundredths of the full one."""
        return self._service.estimates.weights.reduced_weights()

    def note_reported_weights(self, reduced: dict[str, int]) -> None:
        """Record the reduced weights that another gateway reported, in hundredths."""
        self._service.estimates.weights.note_reported(reduced)
