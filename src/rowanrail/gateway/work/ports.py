"""Ports of work: where statements of a service run, whichever gateway that is at.

For sessions, which don't know whether a statement runs here or at another gateway. Owns the
protocols; :class:`rowanrail.gateway.work.local.LocalExecutor` and
:class:`rowanrail.gateway.relay.forwarding.ForwardedWork` keep them.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rowanrail.gateway.session_context import SessionContext
from rowanrail.members.channel import AnswerCallback
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, TypedStatement
from rowanrail.model.trace import Trace

__all__ = [
    "NO_OTHERS",
    "OtherGateways",
    "AutocommitExecution",
    "StatementExecutor",
    "TransactionExecution",
]


class _Traced(Protocol):
    """Work that can say how far it came, and that ends when its client leaves."""

    def trace(self) -> Trace:
        """Return what decided about the statement so far."""

    def finish(self, answer: Answer) -> None:
        """Give the statement's answer, once."""


class AutocommitExecution(_Traced, Protocol):
    """A read or write on its own."""

    def start(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Begin; ``respond`` gets the answer once."""


class TransactionExecution(_Traced, Protocol):
    """A transaction, from its first statement to its end."""

    def run(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Run a read, a write or the commit."""

    def end(self) -> None:
        """Roll back, if it is open."""


class StatementExecutor(Protocol):
    """Where statements of one service run."""

    def autocommit(
        self, route: Route, session: SessionContext, writes: bool
    ) -> AutocommitExecution:
        """Return the work for one read or write."""

    def transaction(
        self, route: Route, session: SessionContext, read_only: bool
    ) -> TransactionExecution:
        """Return the work for a transaction."""


def _no_detour() -> None:
    return None


def _no_remote_holder(tenant: str, instance: str) -> None:
    return None


@dataclass(frozen=True, slots=True)
class OtherGateways:
    """Where statements of one service may run if not on this gateway's connections.

    Parameters
    ----------
    find_detour : callable
        Returns work at a gateway that reaches the primary, None if none is known.
    find_remote_holder : callable
        Gets a tenant and a member's instance, empty for the primary. Returns work at the gateway
        that holds the tenant's connections to that member, None if the member is in this region.
    """

    find_detour: Callable[[], StatementExecutor | None] = _no_detour
    find_remote_holder: Callable[[str, str], StatementExecutor | None] = _no_remote_holder


NO_OTHERS = OtherGateways()
