"""Where a session's work is done: at members through this gateway's own connections."""

from collections.abc import Callable

from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_values import PreparedNames, SessionValues
from rowanrail.gateway.work.autocommit_read import LoneRead
from rowanrail.gateway.work.autocommit_write import LoneWrite
from rowanrail.gateway.work.transaction import Transaction
from rowanrail.gateway.work.work_port import SingleStatement, Work, WorkInTransaction
from rowanrail.kernel.clock import Scheduler
from rowanrail.model.routing import Route

__all__ = ["LocalWork", "SingleStatement", "Work", "WorkInTransaction"]


class LocalWork:
    """Statements of one service on this gateway's own connections.

    Parameters
    ----------
    service : Service
        The members.
    names : PreparedNames
        Names under which this gateway prepares shapes at members.
    clock : Scheduler
        Time and timers.
    find_detour : callable
        Returns work at a gateway that reaches the primary, if this one does not and one is known.
    find_home : callable
        Returns work at the gateway that holds a tenant's connections to a member of another
        region, the primary if none is named.
    """

    __slots__ = ("_clock", "_find_detour", "_find_home", "_names", "_service")

    def __init__(
        self,
        service: Service,
        names: PreparedNames,
        clock: Scheduler,
        find_detour: Callable[[], Work | None] = lambda: None,
        find_home: Callable[..., Work | None] = lambda tenant, instance="": None,
    ) -> None:
        self._service = service
        self._names = names
        self._clock = clock
        self._find_detour = find_detour
        self._find_home = find_home

    def single(self, route: Route, session: SessionValues, writes: bool) -> SingleStatement:
        """See :meth:`Work.single`."""
        kind = LoneWrite if writes else LoneRead
        single = kind(self._service, route, session, self._names, self._clock)
        single.find_detour = self._find_detour
        single.find_home = self._find_home
        return single

    def transaction(self, route: Route, session: SessionValues, read_only: bool) -> Transaction:
        """See :meth:`Work.transaction`."""
        transaction = Transaction(
            self._service, route, session, self._names, self._clock, read_only
        )
        transaction.find_detour = self._find_detour
        transaction.find_home = self._find_home
        return transaction

    def doubts(self) -> dict[str, int]:
        """Return the members of which this gateway's statements found trouble, see Reply."""
        return self._service.estimates.weights.reduced()

    def note_doubts(self, doubts: dict[str, int]) -> None:
        """Take what another gateway told of the members that it doubts."""
        self._service.estimates.weights.note_reported(doubts)
