"""The proxy's guards, as plug-ins of kind ``proxy-guard``.

Each guard carries one guarantee. A scenario of the simulator takes it away and must
then find the guarantee broken. Guards are pure: no I/O and no clock of their own.
"""

from collections.abc import Sequence

from rowanrail.kernel.errors import CallerError, NotRunError, OutcomeUnknownError
from rowanrail.kernel.registry import register
from rowanrail.model.position import Position
from rowanrail.sql_proxy.backend import MemberRole, MemberStatus


@register("proxy-guard", "freshness")
class Freshness:
    """A member serves a session only at or past the session's position."""

    def is_fresh(self, committed: Position, floor: Position) -> bool:
        """Return whether a member that committed up to ``committed`` may serve.

        Comparing (term, index) is enough: a committed entry of a later term implies, by
        log matching, every entry that a majority held in earlier terms.
        """
        return committed >= floor

    def acknowledged_floor(self, statuses: Sequence[MemberStatus], members: int) -> Position | None:
        """Return a position that covers every write acknowledged before the statuses.

        An acknowledged write is held by a majority, so by at least ``majority - silent`` of
        those that answered. Return None if too few answered.
        """
        voters = [status for status in statuses if status.role is not MemberRole.LEARNER]
        holders = members // 2 + 1 - (members - len(voters))
        if holders < 1:
            return None
        received = sorted((status.received for status in voters), reverse=True)
        return received[holders - 1]


@register("proxy-guard", "term-confirmation")
class TermConfirmation:
    """A write is acknowledged once a majority holds it and is still in its term."""

    def is_confirmed(
        self, position: Position, statuses: Sequence[MemberStatus], members: int
    ) -> bool:
        """Return whether statuses, all taken after the commit, confirm ``position``."""
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
        """Return whether a majority has left the term, so that no confirmation can come."""
        return sum(1 for status in statuses if status.term > position.term) > members // 2


@register("proxy-guard", "pinning")
class Pinning:
    """A transaction keeps its back-end connection from its beginning to its end."""

    def keeps_connection(self) -> bool:
        """Return whether an open transaction holds on to its connection."""
        return True


@register("proxy-guard", "late-answer-discard")
class LateAnswerDiscard:
    """A connection whose answer is late is closed: the answer must reach nobody else."""

    def is_reusable(self, answered: bool) -> bool:
        """Return whether a connection may serve another request."""
        return answered


@register("proxy-guard", "outcome-classification")
class OutcomeClassification:
    """Only what was never sent, or what the back end itself refused, counts as not run."""

    def connection_lost_error(
        self, message: str, *, sent: bool, retry_after_seconds: float, step: str, peer: str
    ) -> CallerError:
        """Return the caller's error for a request whose connection was lost."""
        if sent:
            return OutcomeUnknownError(message, step=step, peer=peer)
        return NotRunError(message, retry_after_seconds=retry_after_seconds, step=step, peer=peer)


@register("proxy-guard", "request-record")
class RequestRecord:
    """A request id is recorded in the same database transaction as the work."""

    def records_requests(self) -> bool:
        """Return whether ids are recorded and looked up."""
        return True


@register("proxy-guard", "leaving-check")
class LeavingCheck:
    """A leaving member gets no new work."""

    def accepts_work(self, leaving: bool) -> bool:
        """Return whether a member may get new work."""
        return not leaving


@register("proxy-guard", "drain-wait")
class DrainWait:
    """A planned stop waits for what is in flight."""

    def must_wait(self, busy: bool, in_transaction: bool) -> bool:
        """Return whether a session must be waited for."""
        return busy or in_transaction
