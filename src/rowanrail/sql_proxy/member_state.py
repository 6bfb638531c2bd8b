"""What a proxy knows of one member: its last status, and whether it counts as failing.

Filled by the member's monitor, and by whoever sees a connection to it break; asked for every choice
of a member. Owns the last status and the doubt about it; no I/O and no clock of its own. A member
counts as failing from the first question or connection that goes unanswered until it answers the
next question: what it said before may not hold any more.
"""

from rowanrail.model.position import ORIGIN, Position
from rowanrail.sql_proxy.backend import MemberRole, MemberStatus

__all__ = [
    "RECONNECT_DELAY_SECONDS",
    "STATUS_TIMEOUT_SECONDS",
    "MemberState",
]

# Seconds for the answer to a question, the opening of a connection for it included; a member that
# takes longer counts as failing. Chosen.
STATUS_TIMEOUT_SECONDS = 0.3
# Seconds: the longest pause before a failing member is asked again; half of it is the shortest, so
# that proxies do not ask together. Chosen.
RECONNECT_DELAY_SECONDS = 0.1


class MemberState:
    """The last status of a member, and whether it still answers.

    Examples
    --------
    >>> known = MemberState()
    >>> known.update(MemberStatus(MemberRole.PRIMARY, 3, ORIGIN, ORIGIN, False, "i"), now=1.0)
    >>> known.is_primary, known.term
    (True, 3)
    >>> known.mark_unreachable()
    >>> known.is_primary, known.term
    (False, 3)
    """

    def __init__(self) -> None:
        self.last_status: MemberStatus | None = None
        self.last_status_at = float("-inf")
        self.reachable = False

    @property
    def term(self) -> int:
        """Term that the member last reported; 0 if it has reported none."""
        return self.last_status.term if self.last_status else 0

    @property
    def committed(self) -> Position:
        """Last committed position known of the member."""
        return self.last_status.committed if self.last_status else ORIGIN

    @property
    def is_primary(self) -> bool:
        """Whether the member last said that it is the primary, and still answers."""
        return self._is(MemberRole.PRIMARY)

    @property
    def is_replica(self) -> bool:
        """Whether the member last said that it is a replica, and still answers."""
        return self._is(MemberRole.REPLICA)

    @property
    def is_leaving(self) -> bool:
        """Whether the member itself last said that it is leaving."""
        return self.last_status is not None and self.last_status.leaving

    def _is(self, role: MemberRole) -> bool:
        return self.reachable and self.last_status is not None and self.last_status.role is role

    def matches_incarnation(self, incarnation: str) -> bool:
        """Return whether what is known holds for the start of the member that is named.

        A member that was restarted may have lost what it had committed before.
        """
        return self.last_status is not None and self.last_status.incarnation == incarnation

    def update(self, status: MemberStatus | None, now: float) -> None:
        """Note the answer to a question; None if there was none in time.

        The last status stays when a member stops answering: its term still counts for which
        primary was replaced, and reports name it.
        """
        self.reachable = status is not None
        if status is not None:
            self.last_status = status
            self.last_status_at = now

    def mark_unreachable(self) -> None:
        """Count the member as failing until it answers the next question."""
        self.reachable = False
