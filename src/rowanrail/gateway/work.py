"""Where a session's work is done: at members through this gateway's own connections."""

from collections.abc import Callable
from typing import Protocol

from rowanrail.gateway.channel import Respond
from rowanrail.gateway.clock import Clock
from rowanrail.gateway.lone_read import LoneRead
from rowanrail.gateway.lone_write import LoneWrite
from rowanrail.gateway.model import Answer, Route, Trace, TypedStatement
from rowanrail.gateway.service import Service
from rowanrail.gateway.session_values import PreparedNames, SessionValues
from rowanrail.gateway.transaction import Transaction

__all__ = ["LocalWork", "SingleStatement", "Work", "WorkInTransaction"]


class _Traced(Protocol):
    """Work that can say how far it came, and that ends when its client leaves."""

    def trace(self) -> Trace:
        """Return what decided about the statement so far."""

    def finish(self, answer: Answer) -> None:
        """Give the statement's answer, once."""


class SingleStatement(_Traced, Protocol):
    """A read or write on its own."""

    def start(self, statement: TypedStatement, respond: Respond) -> None:
        """Begin; ``respond`` gets the answer once."""


class WorkInTransaction(_Traced, Protocol):
    """A transaction, from its first statement to its end."""

    def run(self, statement: TypedStatement, respond: Respond) -> None:
        """Run a read, a write or the commit."""

    def end(self) -> None:
        """Roll back, if it is open."""


class Work(Protocol):
    """A place where statements of one service run."""

    def single(self, route: Route, session: SessionValues, writes: bool) -> SingleStatement:
        """Return the work for one read or write."""

    def transaction(
        self, route: Route, session: SessionValues, read_only: bool
    ) -> WorkInTransaction:
        """Return the work for a transaction."""


class LocalWork:
    """Statements of one service on this gateway's own connections.

    Parameters
    ----------
    service : Service
        The members.
    names : PreparedNames
        Names under which this gateway prepares shapes at members.
    clock : Clock
        Time and timers.
    find_detour : callable
        Returns work at a gateway that reaches the primary, if this one does not and one is known.
    """

    __slots__ = ("_clock", "_find_detour", "_names", "_service")

    def __init__(
        self,
        service: Service,
        names: PreparedNames,
        clock: Clock,
        find_detour: Callable[[], "Work | None"] = lambda: None,
    ) -> None:
        self._service = service
        self._names = names
        self._clock = clock
        self._find_detour = find_detour

    def single(self, route: Route, session: SessionValues, writes: bool) -> SingleStatement:
        """See :meth:`Work.single`."""
        kind = LoneWrite if writes else LoneRead
        single = kind(self._service, route, session, self._names, self._clock)
        single.find_detour = self._find_detour
        return single

    def transaction(self, route: Route, session: SessionValues, read_only: bool) -> Transaction:
        """See :meth:`Work.transaction`."""
        transaction = Transaction(
            self._service, route, session, self._names, self._clock, read_only
        )
        transaction.find_detour = self._find_detour
        return transaction
