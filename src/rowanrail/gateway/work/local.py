"""Work of sessions at members, through this gateway's own connections.

For sessions of this gateway's clients and for statements that other gateways send here. Owns which
kind of work a statement becomes; relies on :mod:`rowanrail.gateway.services` for the members.
"""

from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import PreparedStatementNames, SessionContext
from rowanrail.gateway.work.autocommit_read import AutocommitRead
from rowanrail.gateway.work.autocommit_write import AutocommitWrite
from rowanrail.gateway.work.ports import NO_OTHERS, AutocommitExecution, OtherGateways
from rowanrail.gateway.work.transaction import Transaction
from rowanrail.kernel.clock import Scheduler
from rowanrail.model.routing import Route

__all__ = ["LocalExecutor"]


class LocalExecutor:
    """Statements of one service on this gateway's own connections.

    Parameters
    ----------
    service : Service
        The members.
    names : PreparedStatementNames
        Names under which this gateway prepares shapes at members.
    clock : Scheduler
        Time and timers.
    others : OtherGateways
        Where they may run if not here.
    """

    __slots__ = ("_clock", "_names", "_others", "_service")

    def __init__(
        self,
        service: Service,
        names: PreparedStatementNames,
        clock: Scheduler,
        others: OtherGateways = NO_OTHERS,
    ) -> None:
        self._service = service
        self._names = names
        self._clock = clock
        self._others = others

    def autocommit(
        self, route: Route, session: SessionContext, writes: bool
    ) -> AutocommitExecution:
        """See :meth:`StatementExecutor.autocommit`."""
        kind = AutocommitWrite if writes else AutocommitRead
        return kind(self._service, route, session, self._names, self._clock, self._others)

    def transaction(self, route: Route, session: SessionContext, read_only: bool) -> Transaction:
        """See :meth:`StatementExecutor.transaction`."""
        return Transaction(
            self._service, route, session, self._names, self._clock, self._others, read_only
        )

    def reduced_weights(self) -> dict[str, int]:
        """Return the members that lost weight here, and how much is left, in hundredths."""
        return self._service.estimates.weights.reduced_weights()

    def note_reported_weights(self, doubts: dict[str, int]) -> None:
        """Take the members that lost weight at another gateway, and how much is left there."""
        self._service.estimates.weights.note_reported(doubts)
