"""Replacement of primaries by the leader.

The rules of a failover are in :mod:`rowanrail.coordination.failover`, those of a planned move in
:mod:`rowanrail.coordination.moves`.

Only an established leader replaces primaries. It samples each primary itself, in addition to the
gateways' reports, and asks members for their statuses when a primary seems lost. It logs its
intent before it orders the platform to promote; the intent's log index is the fencing token.
"""

import asyncio
import enum
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine, Sequence

import msgspec

from rowanrail.consensus.errors import NotLeaderError
from rowanrail.consensus.node import ConsensusNode
from rowanrail.coordination.commands import IntendPromotion, Promotion
from rowanrail.coordination.events import (
    PROMOTION_ANSWERED,
    PROMOTION_DECIDED,
    PROMOTION_REPEATED,
    PROMOTION_WAITS,
)
from rowanrail.coordination.failover import (
    MAX_LEAVING_SECONDS,
    Action,
    AttemptView,
    Decision,
    MemberView,
    ServiceView,
    decide,
    describe_logs,
    is_promotion_pending,
    report_view,
)
from rowanrail.coordination.gateway_reconciler import GatewayReconciler
from rowanrail.coordination.lost_logs import JoinPositions
from rowanrail.coordination.moves import Demotion, Placement, decide_after_demotion
from rowanrail.coordination.order_settler import REPEAT_REASON, OrderSettler, PromotionAttempt
from rowanrail.coordination.orphaned_log_controller import OrphanedLogController
from rowanrail.coordination.primary_mover import PrimaryMover
from rowanrail.coordination.promotion_orders import PromotionOrder
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.status_queries import StatusQueries, StatusReader, StatusReply
from rowanrail.coordination.warm_up_sampling import WarmUpSampling
from rowanrail.kernel.clock import Clock
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import RowanrailError
from rowanrail.members.channel import MemberDriver
from rowanrail.members.departures import Departures
from rowanrail.members.leadership import LeadershipVerifier
from rowanrail.members.primary import PrimaryTracker
from rowanrail.members.primary_health import primary_health_report
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Command, CommandKind

CHECK_INTERVAL_SECONDS = 0.1  # delays a failover by half of it on average
LOCAL_SOURCE = "failover-duty"
_NO_DIRECTORY = (-1, -1, -1)  # revision, configuration version, revision of evacuations


class PromotionOutcome(enum.Enum):
    """The platform's answer to a promotion order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Promoter(ABC):
    """Orders the platform to make a member its service's primary."""

    @abstractmethod
    async def promote(self, service: str, instance: str, token: int) -> PromotionOutcome:
        """Send one promotion order; ``UNKNOWN`` means that it may still be carried out."""


class FailoverController:
    """Checks the primaries of all services while its node leads, and replaces lost ones.

    Parameters
    ----------
    node : ConsensusNode
        Provides whether this node leads.
    service : CoordinationService
        Holds the replicated state and the gateways' reports.
    driver : MemberDriver
        Opens connections to members.
    reader : StatusReader
        Parses members' statuses.
    promoter : Promoter
        Sends promotion orders.
    decisions : DecisionLog
        Writes the log lines.
    verifier : LeadershipVerifier
        Rule by which a sample proves that a member leads.
    acknowledging_replicas : callable
        Returns how many replicas of a service must hold a commit before it is acknowledged.
    placement : callable
        Returns where primaries may be.
    warm_up_seconds : callable
        Returns for how long the commands to a service's members are limited; 0 without a limit.
    is_closed : callable
        Returns whether nothing may be sent to a member, as its zone is evacuated.
    """

    def __init__(
        self,
        node: ConsensusNode,
        service: CoordinationService,
        driver: MemberDriver,
        reader: StatusReader,
        promoter: Promoter,
        decisions: DecisionLog,
        verifier: LeadershipVerifier,
        acknowledging_replicas: Callable[[str], int] = lambda service: 0,
        placement: Callable[[], Placement] = Placement,
        warm_up_seconds: Callable[[str], float] = lambda service: 0.0,
        is_closed: Callable[[MemberRecord], bool] = lambda record: False,
    ) -> None:
        self._node = node
        self._service = service
        self._driver = driver
        self._queries = StatusQueries(driver, reader)
        self._promoter = promoter
        self._decisions = decisions
        self._verifier = verifier
        self._acknowledging_replicas = acknowledging_replicas
        self._placement = placement
        self._settler = OrderSettler(
            node,
            service,
            self._queries,
            lambda name: self.mover.askable(name),
            self._may_ask,
            acknowledging_replicas,
            self._repeat_order,
            decisions,
            self._now,
        )
        self.mover = PrimaryMover(
            service,
            self._queries,
            decisions,
            self._members,
            is_closed,
            self._view,
            self._order,
            lambda: node.raft.is_established_leader,
            placement,
            self._now,
            self._settler.note_void,
        )
        self._is_closed = is_closed
        self._orphaned_logs = OrphanedLogController(
            service,
            self._queries,
            self._all_askable,
            acknowledging_replicas,
            decisions,
            self._now,
        )
        self._trackers: dict[str, PrimaryTracker] = {}
        self._joined: dict[str, JoinPositions] = {}
        self._warm_up_seconds = warm_up_seconds
        self._sampling: WarmUpSampling | None = None
        self._attempts: dict[str, PromotionAttempt] = {}
        self._waiting_reasons: dict[str, str] = {}
        self._compared_logs: dict[str, list[str]] = {}  # in the last decision on a failover
        self._in_progress: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._leading_since: float | None = None
        self._departures = Departures()
        self._known_directory = _NO_DIRECTORY
        self._indexed_revision = -1
        self._members_by_service: dict[str, list[MemberRecord]] = {}
        self._reconciler = GatewayReconciler(
            service.state, service.liveness, service.propose, self._now
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def oldest_order_seconds(self) -> float:
        """For how long the leader has known the oldest order without a known outcome."""
        return self._settler.oldest_order_seconds

    @property
    def oldest_pause_seconds(self) -> float:
        """For how long the replica has been paused that the leader paused first."""
        return self._settler.oldest_pause_seconds

    def start(self) -> None:
        """Start the periodic checks."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Cancel the checks and all promotions under way."""
        for task in (self._task, *self._tasks):
            if task is not None:
                task.cancel()
        self._reconciler.stop()
        self._reset()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._decisions.flush()
            # Also at followers: the next leader counts from when it learned of a departure.
            self._departures = self._departures.updated(
                self._service.state.leaving.values(), self._now()
            )
            if not self._node.raft.is_established_leader:
                self._reset()
                continue
            if self._leading_since is None:
                self._leading_since = self._now()
            has_changed = self._update_trackers()
            for name, tracker in self._trackers.items():
                tracker.tick(in_use=True)
                if has_changed or self._joined[name].awaits_sample:
                    self._update_join_positions(name, tracker)
                self._check_service(name)
            self._orphaned_logs.tick()
            self._reconciler.tick()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _reset(self) -> None:
        self._leading_since = None
        self._known_directory = _NO_DIRECTORY
        self._attempts.clear()
        self._compared_logs.clear()
        self.mover.reset()
        self._settler.reset()
        self._orphaned_logs.reset()
        for tracker in self._trackers.values():
            tracker.close()
        self._trackers.clear()
        self._joined.clear()

    def _members(self, service: str) -> list[MemberRecord]:
        state = self._service.state
        if state.revision != self._indexed_revision:
            self._indexed_revision = state.revision
            self._members_by_service = {}
            for member in state.members.values():
                self._members_by_service.setdefault(member.service, []).append(member)
        return self._members_by_service.get(service, [])

    def _update_trackers(self) -> bool:
        """Apply the members, configuration and evacuations; return whether any has changed."""
        state = self._service.state
        known = state.revision, state.version, state.evacuations.revision
        if known == self._known_directory:
            return False
        self._known_directory = known
        self._warm_up_sampling().update()
        services = {member.service for member in state.members.values()}
        services = {name for name in services if self._service.is_configured(name)}
        for name in list(self._trackers):
            if name not in services:
                self._trackers.pop(name).close()
                self._joined.pop(name, None)
        for name in services:
            if name not in self._trackers:
                loop = asyncio.get_running_loop()
                tracker = PrimaryTracker(name, self._driver, loop, self._verifier)
                tracker.set_sample_limit(self._warm_up_sampling())
                tracker.is_closed = self._is_closed
                self._trackers[name] = tracker
            self._trackers[name].set_members(self._members(name))
        return True

    def _update_join_positions(self, service: str, tracker: PrimaryTracker) -> None:
        newest = tracker.sample.position if tracker.sample is not None else None
        joined = self._joined.setdefault(service, JoinPositions())
        joined.update(
            self._members(service),
            self._service.state.earlier_starts,
            newest,
            self._has_taken_over_log,
        )

    def _has_taken_over_log(self, record: MemberRecord) -> bool:
        """Return whether a member began with a log that may have acknowledged commits."""
        must_keep = self._acknowledging_replicas(record.service) > 0
        return must_keep and self._service.state.has_taken_over_log(record)

    def _warm_up_sampling(self) -> WarmUpSampling:
        """Return the limits on commands to warming members; made in the running event loop."""
        if self._sampling is None:
            self._sampling = WarmUpSampling(
                self._service.state,
                self._warm_up_seconds,
                self._is_own_sample_failing,
                Clock(asyncio.get_running_loop()),
                lambda: time.time() * 1000,
            )
        return self._sampling

    def _is_own_sample_failing(self, service: str) -> bool:
        return bool(self._trackers[service].failing_since)

    # Deciding

    def _check_service(self, service: str) -> None:
        if service in self._in_progress:
            return
        demotion = self.mover.demotion(service)
        if demotion is None and self._is_healthy(service):
            self._waiting_reasons.pop(service, None)
            self._settle_or_move(service)
            return
        decision = self._decide(self._view(service, {}), demotion)
        if decision.action is not Action.WAIT:
            if self._may_ask(service):
                self._begin(service, self._replace_primary(service, decision, demotion))
            return
        self._waiting_reasons.pop(service, None)
        if demotion is None:
            self._settle_or_move(service)

    def _may_ask(self, service: str) -> bool:
        return self._warm_up_sampling().may_ask_statuses(service, self._members(service))

    @staticmethod
    def _decide(view: ServiceView, demotion: Demotion | None) -> Decision:
        return decide(view) if demotion is None else decide_after_demotion(view, demotion)

    def _settle_or_move(self, service: str) -> None:
        """Begin the next step for a service whose primary need not be replaced by force.

        A move waits for earlier orders: one that is carried out after it would undo it.
        """
        reason = self.mover.due_reason(service)
        is_settled = self._settler.is_settled(service)
        if is_settled and not reason:
            return
        attempt = self._attempt_view(service, self._now())
        if attempt and is_promotion_pending(self._view(service, {}), attempt):
            return
        if is_settled:
            self._begin(service, self.mover.move(service, reason))
            return
        step = self._settler.next_step(service, self._attempts.get(service))
        if step is not None:
            self._begin(service, step)

    def _begin(self, service: str, work: Coroutine[None, None, None]) -> None:
        """Run a move or a failover; there is one of them for each service at a time."""
        self._in_progress.add(service)
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

        def end(done: asyncio.Task[None]) -> None:
            self._in_progress.discard(service)
            self._tasks.discard(done)

        task.add_done_callback(end)

    def _is_healthy(self, service: str) -> bool:
        """Return whether there is no sign of a lost primary.

        This is the usual case, in which :func:`decide` would wait; it saves reading all reports.
        """
        if self._trackers[service].failing_since or self._service.liveness.has_failure_report(
            service
        ):
            return False
        return any(
            member.primary and not member.leaving and not self._is_closed(member)
            for member in self._members(service)
        )

    async def _replace_primary(
        self, service: str, first: Decision, demotion: Demotion | None
    ) -> None:
        try:
            decision = await self._decide_with_statuses(service, demotion)
            if decision.action is Action.PROMOTE:
                await self._promote(service, decision, demotion)
            else:
                self._log_waiting(service, first.reason, decision.reason)
                if demotion is None:
                    await self._settle_if_led(service, decision)
                    await self._move_if_overdue(service)
        except RowanrailError as error:
            self._log_waiting(service, first.reason, str(error))

    async def _settle_if_led(self, service: str, decision: Decision) -> None:
        """Begin to settle earlier orders as soon as a member says that it leads.

        The samples and reports by which the primary counts as lost are up to seconds older.
        """
        if decision.instance and not self._settler.is_settled(service):
            step = self._settler.next_step(service, self._attempts.get(service))
            if step is not None:
                await step

    async def _move_if_overdue(self, service: str) -> None:
        """Try the planned move of a leaving primary that could not be replaced by force.

        A replica may have received all of its log since then, while others are still silent.
        """
        reason = self.mover.due_reason(service)
        if reason and self._leaving_for(service) >= MAX_LEAVING_SECONDS:
            await self.mover.move(service, reason)

    async def _decide_with_statuses(self, service: str, demotion: Demotion | None) -> Decision:
        members = self.mover.askable(service, demotion)
        is_planned = demotion is not None or any(m.primary and m.leaving for m in members)
        on_refused = self.mover.note_refused if is_planned else None
        statuses = await self._queries.query(members, Command(CommandKind.STATUS), on_refused)
        self.mover.note_statuses(service, statuses)
        # A demoted primary that answers acknowledges nothing, and replicas must still receive.
        is_demoted = demotion is not None and demotion.former in statuses
        must_pause = self._acknowledging_replicas(service) > 0 and not is_demoted
        decision = self._compare_logs(service, statuses, demotion)
        # Paused replicas don't catch up, so that they are paused only for a promotion.
        if not must_pause or decision.action is not Action.PROMOTE:
            return decision
        statuses = await self._pause_replicas(service, statuses)
        decision = self._compare_logs(service, statuses, demotion)
        if decision.action is not Action.PROMOTE:
            leading = [instance for instance, status in statuses.items() if status.leads]
            await self._settler.resume(service, leading[0] if len(leading) == 1 else "")
        return decision

    def _compare_logs(
        self, service: str, statuses: dict[str, StatusReply], demotion: Demotion | None
    ) -> Decision:
        view = self._view(service, statuses, statuses_fresh=True)
        self._compared_logs[service] = describe_logs(view)
        return self._decide(view, demotion)

    def _log_waiting(self, service: str, cause: str, reason: str) -> None:
        if self._waiting_reasons.get(service) != reason:
            self._waiting_reasons[service] = reason
            self._decisions.note(
                PROMOTION_WAITS,
                service=service,
                cause=cause,
                reason=reason,
                logs=self._compared_logs.get(service, []),
            )

    def _view(
        self, service: str, statuses: dict[str, StatusReply], statuses_fresh: bool = False
    ) -> ServiceView:
        """Return the input to the rules.

        :raises NotLeaderError: if this node stopped leading, or the service left the configuration.
        """
        tracker = self._trackers.get(service)
        if tracker is None:
            raise NotLeaderError(self._node.leader_address(), f"replace the primary of {service}")
        now = self._now()
        liveness = self._service.liveness
        placement = self._placement()
        members = []
        for record in self._members(service):
            status = statuses.get(record.instance)
            members.append(
                MemberView(
                    record,
                    liveness.heartbeat_ago(record.instance, record.started_ms),
                    status.leads if status else None,
                    status.term if status else 0,
                    status.received if status else None,
                    bool(status and self._joined[service].is_incomplete(record, status.received)),
                    placement.may_serve(record),
                    placement.is_warming(record, time.time() * 1000),
                    self._is_closed(record),
                )
            )
        health = primary_health_report(tracker, now)
        own = report_view(LOCAL_SOURCE, health, age=0.0)
        holding_since = now if self._leading_since is None else self._leading_since
        return ServiceView(
            service,
            members,
            [own, *liveness.report_views(service)],
            self._attempt_view(service, now),
            now - holding_since,
            1 + liveness.gateway_count,
            self._acknowledging_replicas(service),
            statuses_fresh,
            self.mover.unanswered_for(service),
            self._leaving_for(service),
            tuple(self._service.state.orphaned_logs.of_service(service)),
            self._is_primary_known(service),
        )

    def _is_primary_known(self, service: str) -> bool:
        """Return whether the service has, or had, a primary whose log is known to this node."""
        if service in self._service.state.promotions:
            return True
        return any(record.primary for record in self._members(service))

    def _leaving_for(self, service: str) -> float:
        """Return for how many seconds this node has known that the primary leaves, else 0."""
        primary = next((m for m in self._members(service) if m.primary and m.leaving), None)
        return 0.0 if primary is None else self._departures.seconds(primary.instance, self._now())

    def _attempt_view(self, service: str, now: float) -> AttemptView | None:
        attempt = self._attempts.get(service)
        if attempt is None:
            return None
        return AttemptView(attempt.order.instance, now - attempt.started_at, attempt.accepted)

    def _all_askable(self, service: str) -> list[MemberRecord] | None:
        """Return the members of a service, None if one of them must not be asked now."""
        members = self._members(service)
        is_closed = any(self._is_closed(record) for record in members)
        if is_closed or not self._warm_up_sampling().may_ask_statuses(service, members):
            return None
        return members

    def _replicas(self, service: str) -> list[MemberRecord]:
        return [record for record in self.mover.askable(service) if not record.primary]

    async def _pause_replicas(
        self, service: str, statuses: dict[str, StatusReply]
    ) -> dict[str, StatusReply]:
        """Pause replication, so that no further commit is acknowledged; return new statuses.

        What the replicas hold while paused is all that was ever acknowledged. A promotion or
        RESUME ends the pause.
        """
        newest = max((status.term for status in statuses.values()), default=0)
        paused = await self._settler.pause(service, self._replicas(service), newest + 1)
        others = {
            instance: status
            for instance, status in statuses.items()
            if status.leads and instance not in paused
        }
        return paused | others

    # Acting

    async def _promote(self, service: str, decision: Decision, demotion: Demotion | None) -> None:
        intent = IntendPromotion(service, decision.instance, decision.reason)
        if demotion is not None:
            intent = msgspec.structs.replace(intent, former=demotion.former)
            if decision.instance == demotion.former:
                self.mover.note_return(service, demotion.former)
        promotion = await self._service.propose(intent)
        assert isinstance(promotion, Promotion)
        if self._node.raft.is_established_leader:
            logs = self._compared_logs.get(service, [])
            await self._order(service, promotion, decision.reason, logs)

    async def _order(
        self, service: str, promotion: Promotion, reason: str, logs: Sequence[str] = ()
    ) -> None:
        """Order a promotion that is in the log; ``logs`` are those that were compared."""
        self._decisions.note(
            PROMOTION_DECIDED,
            service=service,
            instance=promotion.instance,
            token=promotion.token,
            term=self._node.raft.term,
            reason=reason,
            logs=list(logs),
        )
        await self._call_platform(service, promotion)

    async def _repeat_order(self, service: str, promotion: Promotion) -> None:
        """Send an order that makes earlier ones void."""
        self._decisions.note(
            PROMOTION_REPEATED,
            service=service,
            instance=promotion.instance,
            token=promotion.token,
            reason=REPEAT_REASON,
        )
        await self._call_platform(service, promotion)

    async def _call_platform(self, service: str, promotion: Promotion) -> None:
        order = PromotionOrder(promotion.instance, promotion.token)
        attempt = self._attempts[service] = PromotionAttempt(order, self._now())
        self._settler.watch(service, attempt)
        outcome = await self._promoter.promote(service, promotion.instance, promotion.token)
        attempt.ended_at = self._now()
        if outcome is not PromotionOutcome.UNKNOWN:
            attempt.accepted = outcome is PromotionOutcome.ACCEPTED
        if outcome is PromotionOutcome.REFUSED:
            self._settler.note_void(promotion.token)
        self._decisions.note(
            PROMOTION_ANSWERED,
            service=service,
            instance=promotion.instance,
            token=promotion.token,
            outcome=outcome.value,
            seconds=round(self._now() - attempt.started_at, 3),
        )
