"""Planned moves of primaries by the leader; the rules are in :mod:`rowanrail.coordination.moves`.

Owns the steps of a move up to the order to promote, the demotions that are not yet followed by a
new primary, and the delays between attempts. All of it is in the leader's memory; the log has the
former primary of each promotion that was planned, from which the next leader continues.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from rowanrail.coordination.commands import IntendPromotion, Promotion
from rowanrail.coordination.events import (
    MOVE_BEGAN,
    MOVE_CAUGHT_UP,
    MOVE_DEMOTED,
    MOVE_RETURNED,
    MOVE_WAITS,
)
from rowanrail.coordination.failover import MemberView, ServiceView
from rowanrail.coordination.moves import (
    CATCH_UP_SECONDS,
    MAX_LAG_SECONDS,
    WAIT_FOR_SUCCESSOR_SECONDS,
    Demotion,
    Placement,
    choose_successor,
    is_possible_successor,
    retry_delay_seconds,
)
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.status_queries import (
    QUERY_TIMEOUT_SECONDS,
    MemberLine,
    StatusQueries,
    StatusReply,
)
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import RowanrailError
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.statements import Command, CommandKind

__all__ = ["MOVE_OUTCOMES", "PrimaryMover"]

# The primary moved; it leads again; it did not answer the demotion.
MOVE_OUTCOMES = ("completed", "returned", "unanswered")

DEMOTION_SECONDS = 0.5  # wait for the answer to a demotion
LAG_CHECK_SECONDS = 0.05  # between two rounds of statuses before a demotion
CATCH_UP_CHECK_SECONDS = 0.01  # between two statuses of the successor after it


@dataclass(frozen=True, slots=True)
class _Demoted:
    """A primary that answered its demotion."""

    former: str
    position: Position
    at: float


class PrimaryMover:
    """Moves primaries that must not stay, without losing an acknowledged commit.

    Parameters
    ----------
    service : CoordinationService
        Holds the replicated state.
    queries : StatusQueries
        Sends commands to members.
    decisions : DecisionLog
        Writes the log lines.
    members : callable
        Returns the records of a service's members.
    is_closed : callable
        Returns whether nothing may be sent to a member, as its zone is evacuated.
    view : callable
        Returns the view of a service for the given statuses.
    order : callable
        Orders a promotion that is in the log: service, promotion, reason.
    is_leading : callable
        Returns whether this node is the established leader.
    placement : callable
        Returns where primaries may be.
    now : callable
        Returns the monotonic time in seconds.
    note_void : callable
        Records by its fencing token that an order in the log was never sent.
    """

    def __init__(
        self,
        service: CoordinationService,
        queries: StatusQueries,
        decisions: DecisionLog,
        members: Callable[[str], list[MemberRecord]],
        is_closed: Callable[[MemberRecord], bool],
        view: Callable[[str, dict[str, StatusReply]], ServiceView],
        order: Callable[[str, Promotion, str], Awaitable[None]],
        is_leading: Callable[[], bool],
        placement: Callable[[], Placement],
        now: Callable[[], float],
        note_void: Callable[[int], None],
    ) -> None:
        self._service = service
        self._queries = queries
        self._decisions = decisions
        self._members = members
        self._is_closed = is_closed
        self._view = view
        self._order = order
        self._is_leading = is_leading
        self._placement = placement
        self._now = now
        self._note_void = note_void
        self.counts: Counter[str] = Counter()
        self._reasons: dict[str, str] = {}
        self._reasons_of = (-1, -1, -1)
        self.reset()

    def reset(self) -> None:
        """Forget the moves under way, as the node no longer leads."""
        self._demoted: dict[str, _Demoted] = {}
        self._leaderless_since: dict[str, float] = {}
        self._completed: dict[str, int] = {}  # fencing tokens of moves
        self._silent_since: dict[str, float] = {}  # of primaries
        self._refused_at: dict[str, float] = {}  # of members
        self._retry_at: dict[str, float] = {}
        self._failures: Counter[str] = Counter()
        self._waiting: dict[str, str] = {}

    # What is known

    @property
    def reasons(self) -> dict[str, str]:
        """Why primaries must move, by service."""
        state = self._service.state
        known = (state.revision, state.version, state.evacuations.revision)
        if known != self._reasons_of:
            self._reasons_of = known
            placement = self._placement()
            self._reasons = {
                member.service: reason
                for member in state.members.values()
                if member.primary and (reason := placement.reason_to_move(member))
            }
        return self._reasons

    def due_reason(self, service: str) -> str:
        """Return why a service's primary is to be moved now, empty if it is not."""
        reason = self.reasons.get(service, "")
        if not reason:
            self._waiting.pop(service, None)
            if self._silent_since:
                self._silent_since.pop(self._primary(service), None)
            return ""
        return reason if self._now() >= self._retry_at.get(service, 0.0) else ""

    def unanswered_for(self, service: str) -> float:
        """Return for how many seconds the primary has not answered status queries."""
        since = self._silent_since.get(self._primary(service))
        return 0.0 if since is None else self._now() - since

    def _primary(self, service: str) -> str:
        """Return the instance that announces itself as primary, empty if none does."""
        return next((m.instance for m in self._members(service) if m.primary), "")

    def demotion(self, service: str) -> Demotion | None:
        """Return the demotion that is not yet followed by a new primary, None without one.

        A leader that took over learns it from the log: a planned promotion, and no member that
        announces itself as primary, nor one that did so after it.
        """
        promotion = self._service.state.promotions.get(service)
        demoted = self._demoted.get(service)
        if demoted is None and (promotion is None or not promotion.former):
            return None
        primary = next((m for m in self._members(service) if m.primary), None)
        if demoted is not None:
            if primary is not None and primary.instance != demoted.former:
                self._note_leader(service, primary.instance)
                return None
            intended = promotion.instance if promotion else ""
            ago = self._now() - demoted.at
            return Demotion(demoted.former, intended, ago, demoted.position)
        assert promotion is not None and isinstance(promotion.former, str)
        if primary is not None:
            self._leaderless_since.pop(service, None)
            if primary.instance != promotion.former:
                self._completed[service] = promotion.token
            return None
        if self._completed.get(service) == promotion.token:
            return None
        since = self._leaderless_since.setdefault(service, self._now())
        return Demotion(promotion.former, promotion.instance, self._now() - since)

    def askable(self, service: str, demotion: Demotion | None = None) -> list[MemberRecord]:
        """Return the members to which something may be sent.

        After a demotion also the former primary and its successor: their zone was open before it.
        """
        needed = (demotion.former, demotion.intended) if demotion is not None else ()
        return [
            record
            for record in self._members(service)
            if record.instance in needed or not self._is_closed(record)
        ]

    def note_statuses(self, service: str, statuses: dict[str, StatusReply]) -> None:
        """Learn from a round of statuses which member leads and whether the primary answers."""
        for instance, status in statuses.items():
            if status.leads:
                self._note_leader(service, instance)
            self._silent_since.pop(instance, None)

    def note_refused(self, instance: str) -> None:
        """Record that a member refused a status query for lack of room, so that it is alive."""
        self._refused_at[instance] = self._now()
        self._silent_since.pop(instance, None)

    def _is_silent(self, record: MemberRecord) -> bool:
        """Return whether a member was asked in the last round and neither answered nor refused."""
        refused_ago = self._now() - self._refused_at.get(record.instance, -1e9)
        return refused_ago >= QUERY_TIMEOUT_SECONDS and not self._is_closed(record)

    def _note_leader(self, service: str, instance: str) -> None:
        """End a demotion, as a member leads again."""
        self._leaderless_since.pop(service, None)
        demoted = self._demoted.pop(service, None)
        if demoted is None:
            return
        if instance == demoted.former:
            self._note_failure(service, "returned")
        else:
            self.counts["completed"] += 1
            self._failures.pop(service, None)

    def _note_failure(self, service: str, outcome: str) -> None:
        self.counts[outcome] += 1
        self._failures[service] += 1
        delay = retry_delay_seconds(self._failures[service])
        self._retry_at[service] = self._now() + delay

    def note_return(self, service: str, former: str) -> None:
        """Log that the demoted primary is promoted again."""
        self._decisions.note(MOVE_RETURNED, service=service, former=former)

    def _wait(self, service: str, reason: str, cause: str) -> None:
        self._retry_at[service] = self._now() + WAIT_FOR_SUCCESSOR_SECONDS
        if self._waiting.get(service) != cause:
            self._waiting[service] = cause
            self._decisions.note(MOVE_WAITS, service=service, cause=reason, reason=cause)

    # The steps

    async def move(self, service: str, reason: str) -> None:
        """Move a service's primary, up to the answer to the order to promote.

        What is left undone is decided by
        :func:`~rowanrail.coordination.moves.decide_after_demotion`.
        """
        lines: list[MemberLine] = []
        try:
            found = await self._find_successor(service, reason)
            if found is None:
                return
            former, successor, term = found
            lines = [self._queries.connect(member.record) for member in (former, successor)]
            if not all([await line.opens() for line in lines]):
                self._wait(service, reason, "no connection to the primary or its successor")
                return
            await self._replace(service, reason, former, successor, term, *lines)
        except RowanrailError as error:
            self._wait(service, reason, str(error))
        finally:
            for line in lines:
                line.close()

    async def _find_successor(
        self, service: str, reason: str
    ) -> tuple[MemberView, MemberView, int] | None:
        """Return the primary, a member that has what it had at the first status, and a newer term.

        That member is receiving, so that it has the rest shortly after the demotion.
        """
        known = self._view(service, {}).members
        former = next((m for m in known if m.record.primary), None)
        if former is None or not any(is_possible_successor(m, former) for m in known):
            self._wait(service, reason, "no member may succeed")
            return None
        if self._is_closed(former.record):
            self._wait(service, reason, "the zone of the primary is closed")
            return None
        deadline = self._now() + MAX_LAG_SECONDS
        position: Position | None = None
        while True:
            statuses = await self._queries.query(
                self.askable(service), Command(CommandKind.STATUS), self.note_refused
            )
            self.note_statuses(service, statuses)
            members = self._view(service, statuses).members
            former = next((m for m in members if m.record.primary), None)
            if former is None or former.received is None:
                if former is not None and self._is_silent(former.record):
                    self._silent_since.setdefault(former.record.instance, self._now())
                self._wait(service, reason, "the primary does not answer")
                return None
            if self._is_demoted(service, former, members):
                position = former.received
                self._demoted[service] = _Demoted(former.record.instance, position, self._now())
                return None
            if not former.leads or sum(m.leads is True for m in members) > 1:
                self._wait(service, reason, "the members do not agree on the primary")
                return None
            position = position or former.received
            successor = choose_successor(members, former, position)
            if successor is not None:
                return former, successor, 1 + max(member.term for member in members)
            if self._now() >= deadline:
                self._wait(service, reason, "no member that may succeed receives its commits")
                return None
            await asyncio.sleep(LAG_CHECK_SECONDS)

    def _is_demoted(self, service: str, former: MemberView, members: list[MemberView]) -> bool:
        """Return whether the primary was demoted by a move, and has not announced it yet."""
        promotion = self._service.state.promotions.get(service)
        was_intended = promotion is not None and promotion.former == former.record.instance
        return was_intended and not any(member.leads for member in members)

    async def _replace(
        self,
        service: str,
        reason: str,
        former: MemberView,
        successor: MemberView,
        term: int,
        former_line: MemberLine,
        successor_line: MemberLine,
    ) -> None:
        """Demote the primary and promote its successor once that has its last position.

        The intent is logged before the demotion: its commit doesn't prolong the pause of writes.
        """
        old, new = former.record.instance, successor.record.instance
        promotion = await self._service.propose(IntendPromotion(service, new, reason, old))
        assert isinstance(promotion, Promotion)
        if not self._is_leading():
            return
        self._decisions.note(
            MOVE_BEGAN,
            service=service,
            former=old,
            instance=new,
            token=promotion.token,
            reason=reason,
        )
        position = await self._demote(former.record, term, former_line)
        if position is None:
            self._note_void(promotion.token)
            self._wait(service, reason, "the primary does not answer the demotion")
            self._note_failure(service, "unanswered")
            return
        demoted = self._demoted[service] = _Demoted(old, position, self._now())
        last = f"{position.term}.{position.index}"
        self._decisions.note(MOVE_DEMOTED, service=service, former=old, instance=new, position=last)
        if not await self._has_received(successor_line, position) or not self._is_leading():
            self._note_void(promotion.token)
            return
        self._decisions.note(
            MOVE_CAUGHT_UP,
            service=service,
            former=old,
            instance=new,
            position=last,
            seconds=round(self._now() - demoted.at, 3),
        )
        await self._order(service, promotion, reason)

    async def _demote(self, record: MemberRecord, term: int, line: MemberLine) -> Position | None:
        """Demote the primary; return the last position of its log, None if it may still lead."""
        reply = await line.ask(Command(CommandKind.DEMOTE, str(term)), DEMOTION_SECONDS)
        if reply is None or reply.leads:
            statuses = await self._queries.query(
                [record], Command(CommandKind.STATUS), self.note_refused
            )
            reply = statuses.get(record.instance)
        return None if reply is None or reply.leads else reply.received

    async def _has_received(self, line: MemberLine, position: Position) -> bool:
        """Wait until a member has a position; return whether it received it in time."""
        deadline = self._now() + CATCH_UP_SECONDS
        while self._now() < deadline:
            status = await line.ask(Command(CommandKind.STATUS))
            if status is None:
                return False
            if status.received >= position:
                return True
            await asyncio.sleep(CATCH_UP_CHECK_SECONDS)
        return False
