"""The proxy's guards: plug-ins of kind ``proxy-guard`` that each enforce one guarantee.

Simulator scenarios replace a guard by one without effect and expect to detect a violation of its
guarantee. Guards do no I/O and read no clock.
"""

from collections.abc import Sequence

from rowanrail.kernel.errors import CallerError, NotRunError, OutcomeUnknownError
from rowanrail.kernel.registry import register
from rowanrail.model.position import Position
from rowanrail.sql_proxy.backend import MemberRole, MemberStatus


@register("proxy-guard", "freshness")
class Freshness:
    """A member serves a session only if it has committed up to the session's position."""

    def is_fresh(self, committed: Position, floor: Position) -> bool:
        """Return whether a member that has committed up to ``committed`` satisfies ``floor``.

        Comparing (term, index) is sufficient: by log matching, a committed entry of a later term
        implies every entry that a majority held in earlier terms.
        """
        return committed >= floor

    def acknowledged_floor(self, statuses: Sequence[MemberStatus], members: int) -> Position | None:
        """Return a position that covers every write acknowledged before the status queries.

        A majority holds each acknowledged write, so at least ``majority - unanswered`` of the
        members that answered do. Return None if too few answered.
        """
        voters = [status for status in statuses if status.role is not MemberRole.LEARNER]
        holders = members // 2 + 1 - (members - len(voters))
        if holders < 1:
            return None
        received = sorted((status.received for status in voters), reverse=True)
        return received[holders - 1]


@register("proxy-guard", "term-confirmation")
class TermConfirmation:
    """A write is acknowledged only if a majority holds it and is still in its term."""

    def is_confirmed(
        self, position: Position, statuses: Sequence[MemberStatus], members: int
    ) -> bool:
        """Return whether statuses, all queried after the commit, confirm ``position``."""
        holders = sum(
            1
            for status in statuses
            if status.role is not MemberRole.LEARNER
            and status.term == position.term
            and status.received >= position
        )
        return holders > members // 2

    def is_superseded(
        self, position: Position, statuses: Sequence[MemberStatus], members: int
    ) -> bool:
        """Return whether a majority has moved to a later term, which rules out a confirmation."""
        return sum(1 for status in statuses if status.term > position.term) > members // 2


@register("proxy-guard", "pinning")
class Pinning:
    """A transaction keeps its back-end connection until it ends."""

    def keeps_connection(self) -> bool:
        """Return whether an open transaction keeps its connection between statements."""
        return True


@register("proxy-guard", "late-answer-discard")
class LateAnswerDiscard:
    """A connection with an outstanding answer is closed, so that no other request reads it."""

    def is_reusable(self, answered: bool) -> bool:
        """Return whether a connection may be reused, given whether all answers were read."""
        return answered


@register("proxy-guard", "outcome-classification")
class OutcomeClassification:
    """Only a request that was never sent or that the back end refused counts as not run."""

    def connection_lost_error(
        self, message: str, *, sent: bool, retry_after_seconds: float, step: str, peer: str
    ) -> CallerError:
        """Return the error to the caller of a request whose connection was lost."""
        if sent:
            return OutcomeUnknownError(message, step=step, peer=peer)
        return NotRunError(message, retry_after_seconds=retry_after_seconds, step=step, peer=peer)


@register("proxy-guard", "request-record")
class RequestRecord:
    """A request id is recorded in the same database transaction as the request's writes."""

    def records_requests(self) -> bool:
        """Return whether request ids are recorded and looked up."""
        return True


@register("proxy-guard", "leaving-check")
class LeavingCheck:
    """A leaving member gets no new work."""

    def accepts_work(self, leaving: bool) -> bool:
        """Return whether a member may get new work."""
        return not leaving


@register("proxy-guard", "drain-wait")
class DrainWait:
    """A graceful shutdown waits for running statements and open transactions."""

    def must_wait(self, busy: bool, in_transaction: bool) -> bool:
        """Return whether a shutdown must wait for a session."""
        return busy or in_transaction
