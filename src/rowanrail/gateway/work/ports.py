"""Protocols of statement execution, at this gateway or at another one.

Sessions rely on these protocols alone. They are implemented by
:class:`rowanrail.gateway.work.local.LocalExecutor` and
:class:`rowanrail.gateway.relay.forwarding.ForwardedWork`.
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
    "NO_OTHER_GATEWAYS",
    "OtherGateways",
    "AutocommitExecution",
    "StatementExecutor",
    "TransactionExecution",
]


class _Execution(Protocol):
    """Execution that reports its progress, and that can be ended early."""

    def trace(self) -> Trace:
        """Return how far the statement has come, for the log."""

    def finish(self, answer: Answer) -> None:
        """Answer the statement; ignored if it was answered before."""


class AutocommitExecution(_Execution, Protocol):
    """Execution of one autocommit read or write."""

    def start(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Start the statement; ``respond`` is called once, with the answer."""


class TransactionExecution(_Execution, Protocol):
    """Execution of a transaction, from its first statement to its end."""

    def run(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Run a read, a write or the commit."""

    def restrict(self, regions: frozenset[str]) -> None:
        """Restrict its further statements to regions."""

    def end(self) -> None:
        """Roll the transaction back if it is open."""


class StatementExecutor(Protocol):
    """Runs statements of one service."""

    def autocommit(
        self, route: Route, session: SessionContext, writes: bool
    ) -> AutocommitExecution:
        """Return the execution of one autocommit read or write; it isn't started yet."""

    def transaction(
        self, route: Route, session: SessionContext, read_only: bool
    ) -> TransactionExecution:
        """Return the execution of a transaction; it starts with its first statement."""


def _no_detour(regions: frozenset[str] | None) -> None:
    return None


def _no_remote_holder(tenant: str, instance: str, regions: frozenset[str] | None) -> None:
    return None


def _no_sender(tenant: str, instance: str) -> None:
    return None


@dataclass(frozen=True, slots=True)
class OtherGateways:
    """Finds executors at other gateways for statements of one service.

    Parameters
    ----------
    find_detour : callable
        Called with the statement's regions. Returns an executor at a gateway in one of them that
        reaches the primary, None if none is known.
    find_remote_holder : callable
        Called with a tenant, a member's instance, empty for the primary, and the statement's
        regions. Returns an executor at the gateway that holds the tenant's connections to that
        member, None if the member is in this region.
    find_sender : callable
        Called with a tenant and the instance of a member that warms up. Returns an executor at a
        gateway that may send to it, None if none is reachable.
    """

    find_detour: Callable[[frozenset[str] | None], StatementExecutor | None] = _no_detour
    find_remote_holder: Callable[[str, str, frozenset[str] | None], StatementExecutor | None] = (
        _no_remote_holder
    )
    find_sender: Callable[[str, str], StatementExecutor | None] = _no_sender


NO_OTHER_GATEWAYS = OtherGateways()
