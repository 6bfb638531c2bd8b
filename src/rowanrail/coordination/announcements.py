"""How the leader handles members' announcements: changes, late ones, ends, returns.

A member is displaced when another instance announces itself at its address. Owns which displaced
members go on to announce themselves. Relies on the state for what the log
holds, on :mod:`liveness` for heartbeats, and on the log to make a change durable.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from rowanrail.coordination.commands import Announce, Command, Readmit, Remove
from rowanrail.coordination.liveness import Liveness
from rowanrail.coordination.state import CoordinationState
from rowanrail.model.members import MemberRecord

__all__ = ["AnnouncementHandler"]

MEMBER_SILENCE_SECONDS = 3.0  # more than two heartbeats of a member, which come each 1.2 s


@dataclass(slots=True)
class _ReturningMember:
    """When a displaced member first announced itself again, and when last; seconds."""

    since: float
    heard_at: float


class AnnouncementHandler:
    """Turns members' announcements into commands of the log, where they are news.

    Parameters
    ----------
    state : CoordinationState
        What the log holds.
    liveness : Liveness
        Gets the heartbeats.
    propose : callable
        Makes a command durable.
    now : callable
        Returns the steady time in seconds.
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
        """Take what a member announces of itself.

        The log holds the sequence of a member's last change only, so that the newest one heard
        says whether an announcement is late. A late one counts only if the member is leaving.
        """
        is_late = self._liveness.is_late(record.instance, record.sequence) and not record.leaving
        self._liveness.record_heartbeat(record.instance, record.sequence)
        if record.instance in self._state.displaced:
            await self._handle_displaced(record, is_late)
        elif not is_late and self._state.needs_announcement(record):
            await self._propose(Announce(record))

    async def handle_removal(self, instance: str) -> None:
        """Take a member's announcement that it has ended."""
        self._liveness.forget_member(instance)
        self._returning.pop(instance, None)
        if not self._state.has_ended(instance):
            await self._propose(Remove(instance))

    async def _handle_displaced(self, record: MemberRecord, is_late: bool) -> None:
        if record.leaving:
            # No earlier announcement may bring it back.
            await self._propose(Remove(record.instance))
        elif not is_late and self._state.may_readmit(record) and self._is_address_free(record):
            await self._propose(Readmit(record))

    def _is_address_free(self, record: MemberRecord) -> bool:
        """Return whether a displaced member sends heartbeats and the one at its address none.

        A heartbeat that a network cut delayed may arrive after its sender has ended and a new
        life of the member has registered at the address, and look newer than it is. Only a
        member that runs goes on to send them.
        """
        occupant = self._state.member_at_address(record)
        silent = self._liveness.heartbeat_ago(occupant.instance) if occupant else float("inf")
        if min(self._returning_seconds(record.instance), silent) < MEMBER_SILENCE_SECONDS:
            return False
        del self._returning[record.instance]
        return True

    def _returning_seconds(self, instance: str) -> float:
        """Return for how long a displaced member has announced itself again, now included."""
        now = self._now()
        claim = self._returning.get(instance)
        if claim is None or now - claim.heard_at > MEMBER_SILENCE_SECONDS:
            displaced = self._state.displaced
            self._returning = {i: kept for i, kept in self._returning.items() if i in displaced}
            claim = self._returning[instance] = _ReturningMember(now, now)
        claim.heard_at = now
        return now - claim.since
