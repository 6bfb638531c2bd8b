"""Handles members' announcements at the leader: changes, removals, new lives, readmission.

A member is displaced when another instance announces itself at its address, or when a removal may
be that of its earlier life. Tracks the displaced members that still announce themselves, and lives
of which :mod:`lives` wants proof. Relies on the state for what the log holds, on
:mod:`liveness` for heartbeats, and on the log to make a change durable.
"""

from collections.abc import Awaitable, Callable

from msgspec import UNSET

from rowanrail.coordination.commands import Announce, Command, Readmit, Remove, ReplaceLife
from rowanrail.coordination.events import (
    MEMBER_READMITTED,
    MEMBER_STARTED_AGAIN,
    REMOVAL_DOUBTED,
)
from rowanrail.coordination.feature_level import LIVES_LEVEL
from rowanrail.coordination.liveness import Liveness
from rowanrail.coordination.lives import (
    LifeClaims,
    LifeOrder,
    is_replacement_proven,
    is_return_proven,
    recordable,
)
from rowanrail.coordination.state import CoordinationState
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.model.members import MemberRecord

__all__ = ["AnnouncementHandler"]

MEMBER_SILENCE_SECONDS = 3.0  # more than two heartbeat intervals of 1.2 s


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
    check : callable
        Returns why an announcement is rejected, None if it isn't.
    decisions : DecisionLog
        Writes the log lines.
    """

    def __init__(
        self,
        state: CoordinationState,
        liveness: Liveness,
        propose: Callable[[Command], Awaitable[object]],
        now: Callable[[], float],
        check: Callable[[MemberRecord], Exception | None],
        decisions: DecisionLog,
    ) -> None:
        self._state = state
        self._liveness = liveness
        self._propose = propose
        self._check = check
        self._decisions = decisions
        self._claims = LifeClaims(now)

    async def handle(self, record: MemberRecord) -> None:
        """Handle a member's announcement, which also counts as a heartbeat.

        The log holds only the sequence of a member's last change; whether an announcement is late
        is judged by the newest sequence heard of its life. A late one counts only if the member is
        leaving.

        :raises RowanrailError: if it is rejected or was not committed.
        """
        record = recordable(record, self._state.feature_level)
        rejection = self._check(record)
        if rejection is not None:
            # Not ignored: the node that got it may have known an older state or a lower feature
            # level, and would acknowledge what is not recorded.
            raise rejection
        order = self._state.order_of(record)
        if order is LifeOrder.UNPROVEN:
            await self._handle_unproven(record)
            return
        is_late = not record.leaving and self._is_late(record, order)
        self._liveness.record_heartbeat(record.instance, record.sequence, record.started_ms)
        if self._state.needs_announcement(record):
            if not is_late:
                await self._propose(Announce(record))
                if order is LifeOrder.LATER:
                    self._log_start(record)
        elif record.instance in self._state.displaced:
            await self._handle_displaced(record, is_late)

    def _is_late(self, record: MemberRecord, order: LifeOrder) -> bool:
        """Return whether a later announcement of the same life arrived."""
        starts = {record.started_ms}
        known = self._state.members.get(record.instance)
        if order is LifeOrder.SAME and known is not None:
            starts.add(known.started_ms)  # 0 until its start is recorded
        instance, sequence = record.instance, record.sequence
        return any(self._liveness.is_late(instance, sequence, start) for start in starts)

    async def handle_removal(self, instance: str, start: int = 0) -> None:
        """Handle a member's announcement that it has ended.

        Parameters
        ----------
        start : int
            Start of the life that ended, in Unix milliseconds; 0 if it is not reported.
        """
        if self._state.feature_level < LIVES_LEVEL:
            start = 0
        self._claims.forget(instance)
        if start:
            self._claims.note_end(instance, start)
        if self._state.is_earlier_start(instance, start):
            return
        if not self._state.has_ended(instance, start):
            await self._remove(instance, start)
        if instance not in self._state.displaced:  # else late announcements must be distinguished
            self._liveness.forget_member(instance)

    async def _handle_unproven(self, record: MemberRecord) -> None:
        """Handle an announcement of a life that may be an earlier one than the known one."""
        instance, start = record.instance, record.started_ms
        if self._state.is_over(record):
            return
        if record.leaving:
            self._claims.note_end(instance, start)
            # The known life may have ended, and this one have been sent its statements.
            is_earlier = self._state.is_earlier_start(instance, start)
            if instance in self._state.members and not is_earlier:
                await self._remove(instance, start)
            return
        if is_replacement_proven(*self._claims.note(record, self._known_silent(instance))):
            self._claims.forget(instance)
            self._liveness.record_heartbeat(instance, record.sequence, start)
            await self._propose(ReplaceLife(record))
            self._log_start(record)

    async def _remove(self, instance: str, start: int) -> None:
        known = self._state.members.get(instance)
        await self._propose(Remove(instance, start or UNSET))
        if known is not None and instance in self._state.displaced:
            self._decisions.note(REMOVAL_DOUBTED, instance=instance, service=known.service)

    def _log_start(self, record: MemberRecord) -> None:
        self._decisions.note(
            MEMBER_STARTED_AGAIN,
            instance=record.instance,
            service=record.service,
            start_ms=record.started_ms,
            earlier_ms=self._state.earlier_starts.get(record.instance, 0),
        )

    def _known_silent(self, instance: str) -> float:
        """Return for how many seconds the known life of a member has sent no heartbeat."""
        known = self._state.members.get(instance) or self._state.displaced.get(instance)
        if known is None:
            return float("inf")
        return self._liveness.heartbeat_ago(instance, known.started_ms)

    async def _handle_displaced(self, record: MemberRecord, is_late: bool) -> None:
        if record.leaving:
            # Removed for good, so that a delayed earlier announcement can't readmit it.
            await self._propose(Remove(record.instance, record.start_ms))
        elif not is_late and self._state.may_readmit(record) and self._is_running(record):
            self._claims.forget(record.instance)
            await self._propose(Readmit(record))
            self._decisions.note(
                MEMBER_READMITTED, instance=record.instance, service=record.service
            )

    def _is_running(self, record: MemberRecord) -> bool:
        """Return whether a displaced member sends heartbeats and the one at its address doesn't.

        A heartbeat delayed by a network partition may arrive after its sender has ended and a new
        instance has taken the address, and seem to be new. Only a running member keeps sending.
        """
        announcements, seconds = self._claims.note(record)
        occupant = self._state.member_at_address(record)
        if occupant is None and record.started_ms:
            return is_return_proven(announcements, seconds)
        silent = (
            self._liveness.heartbeat_ago(occupant.instance, occupant.started_ms)
            if occupant
            else float("inf")
        )
        return min(seconds, silent) >= MEMBER_SILENCE_SECONDS
