"""Handles members' announcements at the leader: changes, removals, readmission.

A member is displaced when another instance announces itself at its address. Tracks the displaced
members that still announce themselves. Relies on the state for what the log holds, on
:mod:`liveness` for heartbeats, and on the log to make a change durable.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from rowanrail.coordination.commands import Announce, Command, Readmit, Remove
from rowanrail.coordination.liveness import Liveness
from rowanrail.coordination.state import CoordinationState
from rowanrail.model.members import MemberRecord

__all__ = ["AnnouncementHandler"]

MEMBER_SILENCE_SECONDS = 3.0  # more than two heartbeat intervals of 1.2 s


@dataclass(slots=True)
class _ReturningMember:
    """When a displaced member announced itself again, first and last; in seconds."""

    since: float
    heard_at: float


class AnnouncementHandler:
    """Proposes commands for announcements that change the state.

    Parameters
    ----------
    state : CoordinationState
        The replicated state.
    liveness : Liveness
        Records the heartbeats.
    propose : callable
        Appends a command to the log and waits until it is applied.
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        state: CoordinationState,
        liveness: Liveness,
        propose: Callable[[Command], Awaitable[object]],
        now: Callable[[], float],
    ) -> None:
        self._state = state
        self._liveness = liveness
        self._propose = propose
        self._now = now
        self._returning: dict[str, _ReturningMember] = {}

    async def handle(self, record: MemberRecord) -> None:
        """Handle a member's announcement, which also counts as a heartbeat.

        The log holds only the sequence of a member's last change; whether an announcement is late
        is judged by the newest sequence heard. A late one counts only if the member is leaving.
        """
        is_late = self._liveness.is_late(record.instance, record.sequence) and not record.leaving
        self._liveness.record_heartbeat(record.instance, record.sequence)
        if record.instance in self._state.displaced:
            await self._handle_displaced(record, is_late)
        elif not is_late and self._state.needs_announcement(record):
            await self._propose(Announce(record))

    async def handle_removal(self, instance: str) -> None:
        """Handle a member's announcement that it has ended."""
        self._liveness.forget_member(instance)
        self._returning.pop(instance, None)
        if not self._state.has_ended(instance):
            await self._propose(Remove(instance))

    async def _handle_displaced(self, record: MemberRecord, is_late: bool) -> None:
        if record.leaving:
            # Removed for good, so that a delayed earlier announcement can't readmit it.
            await self._propose(Remove(record.instance))
        elif not is_late and self._state.may_readmit(record) and self._is_address_free(record):
            await self._propose(Readmit(record))

    def _is_address_free(self, record: MemberRecord) -> bool:
        """Return whether a displaced member sends heartbeats and the one at its address doesn't.

        A heartbeat delayed by a network partition may arrive after its sender has ended and a new
        instance has taken the address, and seem to be new. Only a running member keeps sending.
        """
        occupant = self._state.member_at_address(record)
        silent = self._liveness.heartbeat_ago(occupant.instance) if occupant else float("inf")
        if min(self._returning_seconds(record.instance), silent) < MEMBER_SILENCE_SECONDS:
            return False
        del self._returning[record.instance]
        return True

    def _returning_seconds(self, instance: str) -> float:
        """Return for how long a displaced member has announced itself again; update its times."""
        now = self._now()
        claim = self._returning.get(instance)
        if claim is None or now - claim.heard_at > MEMBER_SILENCE_SECONDS:
            displaced = self._state.displaced
            self._returning = {i: kept for i, kept in self._returning.items() if i in displaced}
            claim = self._returning[instance] = _ReturningMember(now, now)
        claim.heard_at = now
        return now - claim.since
