"""The failover duty: the shell around :mod:`rowanrail.coordination.failover`.

Only an established leader holds the duty. It samples each primary itself, as one vantage
point beside the gateways, asks statuses when a primary seems lost, makes its intent durable,
and then asks the platform to promote, with the intent's place in the log as fencing token.
"""

import asyncio
import enum
from abc import ABC, abstractmethod
from collections.abc import Callable

from rowanrail.consensus.node import ConsensusNode
from rowanrail.coordination.commands import IntendPromotion, Promotion
from rowanrail.coordination.events import PROMOTION_ANSWERED, PROMOTION_DECIDED, PROMOTION_WAITS
from rowanrail.coordination.failover import (
    Action,
    AttemptView,
    Decision,
    MemberView,
    ServiceView,
    decide,
    report_view,
)
from rowanrail.coordination.gateway_reconciler import GatewayReconciler
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.status_queries import StatusQueries, StatusReader, StatusReply
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import RowanrailError
from rowanrail.members.channel import MemberDriver
from rowanrail.members.leadership import LeadershipProof
from rowanrail.members.primary import PrimaryTracker
from rowanrail.members.primary_health import primary_health_report
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Command, CommandKind

CHECK_SECONDS = 0.1  # between checks of all services; a failover gap grows by half of it on average
OWN_SOURCE = "failover-duty"


class PromotionOutcome(enum.Enum):
    """What the platform said to an order to promote."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Promoter(ABC):
    """Port: asks the platform to make a member its service's primary."""

    @abstractmethod
    async def promote(self, service: str, instance: str, token: int) -> PromotionOutcome:
        """Send one order; without an answer it may still be carried out."""


class _PromotionAttempt:
    def __init__(self, instance: str, started_at: float) -> None:
        self.instance = instance
        self.started_at = started_at
        self.accepted: bool | None = None


class FailoverController:
    """Watches the primaries while its node leads."""

    def __init__(
        self,
        node: ConsensusNode,
        service: CoordinationService,
        driver: MemberDriver,
        reader: StatusReader,
        promoter: Promoter,
        decisions: DecisionLog,
        proof: LeadershipProof,
        acknowledging_replicas: Callable[[str], int] = lambda service: 0,
    ) -> None:
        self._node = node
        self._service = service
        self._driver = driver
        self._queries = StatusQueries(driver, reader)
        self._promoter = promoter
        self._decisions = decisions
        self._proof = proof
        self._acknowledging_replicas = acknowledging_replicas
        self._trackers: dict[str, PrimaryTracker] = {}
        self._attempts: dict[str, _PromotionAttempt] = {}
        self._waiting_reasons: dict[str, str] = {}
        self._busy: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._holding_since: float | None = None
        self._known_revision = -1
        self._indexed_revision = -1
        self._by_service: dict[str, list[MemberRecord]] = {}
        self._reconciler = GatewayReconciler(
            service.state, service.liveness, service.propose, self._now
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop."""
        for task in (self._task, *self._tasks):
            if task is not None:
                task.cancel()
        self._reconciler.stop()
        self._release()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self._decisions.flush()
            if not self._node.raft.is_established_leader:
                self._release()
                continue
            if self._holding_since is None:
                self._holding_since = self._now()
            self._follow_directory()
            for name, tracker in self._trackers.items():
                tracker.tick(in_use=True)
                self._consider(name)
            self._reconciler.tick()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _release(self) -> None:
        self._holding_since = None
        self._known_revision = -1
        self._attempts.clear()
        for tracker in self._trackers.values():
            tracker.close()
        self._trackers.clear()

    def _members(self, service: str) -> list[MemberRecord]:
        state = self._service.state
        if state.revision != self._indexed_revision:
            self._indexed_revision = state.revision
            self._by_service = {}
            for member in state.members.values():
                self._by_service.setdefault(member.service, []).append(member)
        return self._by_service.get(service, [])

    def _follow_directory(self) -> None:
        state = self._service.state
        if state.revision == self._known_revision:
            return
        self._known_revision = state.revision
        services = {member.service for member in state.members.values()}
        for name in list(self._trackers):
            if name not in services:
                self._trackers.pop(name).close()
        for name in services:
            if name not in self._trackers:
                loop = asyncio.get_running_loop()
                self._trackers[name] = PrimaryTracker(name, self._driver, loop, self._proof)
            self._trackers[name].set_members(self._members(name))

    # Deciding

    def _consider(self, service: str) -> None:
        if service in self._busy:
            return
        if self._is_calm(service):
            self._waiting_reasons.pop(service, None)
            return
        decision = decide(self._view(service, {}))
        if decision.action is Action.WAIT:
            self._waiting_reasons.pop(service, None)
            return
        self._busy.add(service)
        task = asyncio.ensure_future(self._replace(service, decision))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_calm(self, service: str) -> bool:
        """Return whether nothing speaks for a replacement of the primary, which is the usual case.

        It saves reading all gateways' reports; :func:`decide` would say wait as well.
        """
        if self._trackers[service].failing_since or self._service.liveness.fails(service):
            return False
        return any(member.primary and not member.leaving for member in self._members(service))

    async def _replace(self, service: str, first: Decision) -> None:
        try:
            decision = await self._decide_with_statuses(service)
            if decision.action is Action.PROMOTE:
                await self._promote(service, decision)
            else:
                self._note_waiting(service, first.reason, decision.reason)
        except RowanrailError as error:
            self._note_waiting(service, first.reason, str(error))
        finally:
            self._busy.discard(service)

    async def _decide_with_statuses(self, service: str) -> Decision:
        statuses = await self._queries.query(self._members(service), Command(CommandKind.STATUS))
        must_pause = self._acknowledging_replicas(service) > 0
        if must_pause:
            statuses = await self._pause_replicas(service, statuses)
        decision = decide(self._view(service, statuses, statuses_fresh=True))
        if must_pause and decision.action is not Action.PROMOTE:
            await self._queries.query(self._replicas(service), Command(CommandKind.RESUME))
        return decision

    def _note_waiting(self, service: str, cause: str, reason: str) -> None:
        if self._waiting_reasons.get(service) != reason:
            self._waiting_reasons[service] = reason
            self._decisions.note(PROMOTION_WAITS, service=service, cause=cause, reason=reason)

    def _view(
        self, service: str, statuses: dict[str, StatusReply], statuses_fresh: bool = False
    ) -> ServiceView:
        now = self._now()
        liveness = self._service.liveness
        members = []
        for record in self._members(service):
            status = statuses.get(record.instance)
            members.append(
                MemberView(
                    record,
                    liveness.heartbeat_ago(record.instance),
                    status.leads if status else None,
                    status.term if status else 0,
                    status.received if status else None,
                )
            )
        health = primary_health_report(self._trackers[service], now)
        own = report_view(OWN_SOURCE, health, age=0.0)
        holding_since = now if self._holding_since is None else self._holding_since
        return ServiceView(
            service,
            members,
            [own, *liveness.views(service)],
            self._attempt_view(service, now),
            now - holding_since,
            1 + liveness.gateway_count,
            self._acknowledging_replicas(service),
            statuses_fresh,
        )

    def _attempt_view(self, service: str, now: float) -> AttemptView | None:
        attempt = self._attempts.get(service)
        if attempt is None:
            return None
        return AttemptView(attempt.instance, now - attempt.started_at, attempt.accepted)

    def _replicas(self, service: str) -> list[MemberRecord]:
        return [record for record in self._members(service) if not record.primary]

    async def _pause_replicas(
        self, service: str, statuses: dict[str, StatusReply]
    ) -> dict[str, StatusReply]:
        """Stop the replicas from receiving, so that nothing is acknowledged any more.

        What they hold then is all that ever was acknowledged. The promotion, or RESUME, ends it.
        """
        newest = max((status.term for status in statuses.values()), default=0)
        command = Command(CommandKind.PAUSE, str(newest + 1))
        paused = await self._queries.query(self._replicas(service), command)
        others = {
            instance: status
            for instance, status in statuses.items()
            if status.leads and instance not in paused
        }
        return paused | others

    # Acting

    async def _promote(self, service: str, decision: Decision) -> None:
        intent = IntendPromotion(service, decision.instance, decision.reason)
        promotion = await self._service.propose(intent)
        assert isinstance(promotion, Promotion)
        if not self._node.raft.is_established_leader:
            return
        attempt = _PromotionAttempt(decision.instance, self._now())
        self._attempts[service] = attempt
        self._decisions.note(
            PROMOTION_DECIDED,
            service=service,
            instance=decision.instance,
            token=promotion.token,
            term=self._node.raft.term,
            reason=decision.reason,
        )
        outcome = await self._promoter.promote(service, decision.instance, promotion.token)
        if outcome is not PromotionOutcome.UNKNOWN:
            attempt.accepted = outcome is PromotionOutcome.ACCEPTED
        self._decisions.note(
            PROMOTION_ANSWERED,
            service=service,
            instance=decision.instance,
            token=promotion.token,
            outcome=outcome.value,
            seconds=round(self._now() - attempt.started_at, 3),
        )
