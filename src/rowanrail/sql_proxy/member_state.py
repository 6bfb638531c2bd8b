"""State of one member as a proxy knows it: the last status and whether it is reachable.

A member is unreachable from the first status query or connection that fails until it answers a
status query again, since its last status may be outdated.
"""

from rowanrail.model.position import ORIGIN, Position
from rowanrail.sql_proxy.backend import MemberRole, MemberStatus

__all__ = [
    "RECONNECT_DELAY_SECONDS",
    "STATUS_TIMEOUT_SECONDS",
    "MemberState",
]

# Timeout of a status query in seconds, including the connection setup.
STATUS_TIMEOUT_SECONDS = 0.3
# Maximum pause in seconds before an unreachable member is queried again. The minimum is half of it,
# so that proxies do not query at the same moment.
RECONNECT_DELAY_SECONDS = 0.1


class MemberState:
    """The last status of a member and whether it is reachable.

    Examples
    --------
    >>> state = MemberState()
    >>> state.update(MemberStatus(MemberRole.PRIMARY, 3, ORIGIN, ORIGIN, False, "i"), now=1.0)
    >>> state.is_primary, state.term
    (True, 3)
    >>> state.mark_unreachable()
    >>> state.is_primary, state.term
    (False, 3)
    """

    def __init__(self) -> None:
        self.last_status: MemberStatus | None = None
        self.last_status_at = float("-inf")
        self.reachable = False

    @property
    def term(self) -> int:
        """Last reported term; 0 before the first status."""
        return self.last_status.term if self.last_status else 0

    @property
    def committed(self) -> Position:
        """Last reported committed position."""
        return self.last_status.committed if self.last_status else ORIGIN

    @property
    def is_primary(self) -> bool:
        """Whether the member is reachable and last reported itself as primary."""
        return self._is(MemberRole.PRIMARY)

    @property
    def is_replica(self) -> bool:
        """Whether the member is reachable and last reported itself as replica."""
        return self._is(MemberRole.REPLICA)

    @property
    def is_leaving(self) -> bool:
        """Whether the member last reported that it is leaving."""
        return self.last_status is not None and self.last_status.leaving

    def _is(self, role: MemberRole) -> bool:
        return self.reachable and self.last_status is not None and self.last_status.role is role

    def matches_incarnation(self, incarnation: str) -> bool:
        """Return whether the last status is of the given incarnation of the member.

        A restarted member may have lost transactions that it had committed before.
        """
        return self.last_status is not None and self.last_status.incarnation == incarnation

    def update(self, status: MemberStatus | None, now: float) -> None:
        """Record the answer to a status query, None if there was none.

        The last status of an unreachable member is kept, because reports contain it and its term
        is needed to detect superseded primaries.
        """
        self.reachable = status is not None
        if status is not None:
            self.last_status = status
            self.last_status_at = now

    def mark_unreachable(self) -> None:
        """Mark the member as unreachable until it answers a status query."""
        self.reachable = False
