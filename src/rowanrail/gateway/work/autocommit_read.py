"""Execution of an autocommit read at any member whose log has reached the read's floor.

A read has no side effects, so it may be retried at any member;
:mod:`rowanrail.gateway.work.attempts` says what follows a refusal.
"""

from collections.abc import Callable

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.work.attempts import (
    ReadStep,
    SentRequest,
    has_attempts_left,
    refusal_without_answer,
    step_after_read,
)
from rowanrail.gateway.work.commands import commands_for
from rowanrail.gateway.work.connected import Stage
from rowanrail.gateway.work.freshness import earliest_sample_time, prefetch_sample
from rowanrail.gateway.work.operation import Operation
from rowanrail.gateway.work.ports import StatementExecutor
from rowanrail.gateway.work.refusals import NO_ANSWER_MESSAGE, PRIMARY_RETRY_AFTER_MS, busy_answer
from rowanrail.members.channel import AnswerCallback, Channel
from rowanrail.model.position import ORIGIN, Position
from rowanrail.model.routing import Consistency
from rowanrail.model.statements import Answer, Refusal, TypedStatement
from rowanrail.scheduling.admission import RejectionCause


class AutocommitRead(Operation):
    """An autocommit read: determines its floor, then runs at a member that has reached it."""

    def start(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Start the read; ``respond`` is called once, with the answer."""
        self.statement = statement
        self.excluded: set[str] = set()
        self._late_members: set[str] = set()  # left because the read would be late there
        self.begin_statement(respond)
        self._failures = 0
        self._earliest_sample_time = earliest_sample_time(self.route, self.arrived_at)
        self._begin_read()

    def _begin_read(self) -> None:
        if self.wait_for_any_warm_up(self._begin_read) or self.reject_if_all_excluded():
            return
        if self.route.consistency is Consistency.PRIMARY and self._forward_to_primary_holder():
            return  # replication lag exceeds the round trip to the primary's region
        self._request_floor()

    def forward_to(self, executor: StatementExecutor | None) -> bool:
        """Forward the read if an executor is given; return whether it was forwarded."""
        return self._forward(executor, self.statement, writes=False)

    def _forward_to_primary_holder(self) -> bool:
        return self._forward(self.find_primary_holder(), self.statement, writes=False)

    def _may_be_held_elsewhere(self, pool: MemberPool) -> bool:
        # A restricted statement may have to skip the holder in its own group.
        return self.service.is_remote(pool) or self.regions is not None

    def _forward_to_member_holder(self, instance: str) -> bool:
        """Forward the read to the gateway that holds the connections to a remote member."""
        respond, sent_at = self.respond, self.clock.time()
        assert respond is not None

        def record_and_respond(answer: Answer) -> None:
            self.service.estimates.note_remote_answer(instance, self.latency_class, answer, sent_at)
            respond(answer)

        self.respond = record_and_respond
        if self.forward_to_holder(self.statement, False, instance):
            self.service.estimates.note_sent_remote(instance)
            return True
        self.respond = respond
        return False

    def _request_floor(self) -> None:
        self.stage = Stage.WAITS_FOR_SAMPLE
        if self.reject_without_sample(self._earliest_sample_time):
            return
        prefetch_sample(self.service, self.route, self.clock.time())
        tracker = self.service.primary
        if not tracker.has_sample_since(self._earliest_sample_time) and tracker.is_failover_overdue:
            if not self.forward_to_detour(self.statement, writes=False):
                self.refuse_if_primary_long_lost()
            return
        tracker.wait_for_position(self._earliest_sample_time, self._on_floor)

    def _on_floor(self, position: Position | None) -> None:
        if self.respond is None:
            return
        if position is None:
            if self.reject_without_sample(self._earliest_sample_time):
                return
            self.reject(
                RejectionCause.NO_PRIMARY,
                "no primary confirms its position",
                PRIMARY_RETRY_AFTER_MS,
            )
            return
        own = self.session.floors.get(self.service.spec.name, ORIGIN)
        self.floor = max(position, own)
        self._choose_member()

    def _choose_member(self) -> None:
        self.attempts += 1
        pool = self.service.choose_member(self.excluded, self.read_requirements())
        if pool is None or not has_attempts_left(self.attempts):
            if self.service.primary.failing_since and self.forward_to_detour(
                self.statement, writes=False
            ):
                return
            self.excluded.clear()
            self.attempts = 0
            if self.wait_for_any_warm_up(self._begin_read) or self.reject_if_all_excluded():
                return
            self.retry_later(self._request_floor, busy_answer("no member can serve the read"))
            return
        available = self.pool_with_capacity(pool, self.excluded)
        if available is None:
            return
        pool = available
        if self._may_be_held_elsewhere(pool) and self._forward_to_member_holder(
            pool.record.instance
        ):
            return
        self.acquire(pool, self._on_connection)
        self.limit_connection_wait()

    def sample_callback(self) -> Callable[[Position | None], None] | None:
        """Return the callback that waits for the floor of the read."""
        return self._on_floor

    def _on_connection(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            self.try_next_member()
            return
        commands = self.service.policies.state_replay.commands(channel, self.session)
        commands += commands_for(self.statement, self.floor, channel, self.session, self.names)
        self.limit_answer_time()
        if not self.send(commands, self._on_answer):
            self.stop_attempt_timer()
            self.release()
            self.try_next_member()

    def try_next_member(self) -> None:
        """Exclude the current member and continue at another one."""
        if self.pool is not None:
            self.excluded.add(self.pool.record.instance)
        self._choose_member()

    def try_less_loaded_member(self, pool: MemberPool) -> bool:
        """Move to a less loaded member, but leave each member at most once.

        Otherwise a read that is late at two members, each of which has capacity but no connection
        for it, would alternate between them forever.
        """
        self._late_members.add(pool.record.instance)
        available = self.find_pool_with_capacity(self.excluded | self._late_members)
        if available is None:
            return False
        if not (
            self._may_be_held_elsewhere(available)
            and self._forward_to_member_holder(available.record.instance)
        ):
            self.acquire(available, self._on_connection)
        return True

    def _on_answer(self, answer: Answer) -> None:
        self.stop_attempt_timer()
        if self.respond is None:
            self.release()
            return
        assert self.pool is not None
        self.note_answer(answer)
        if answer.refusal is None:
            self.pool.note_answer()
            self.release(1000 * (self.clock.time() - self.sent_at))
            self.finish(answer)
            return
        self._on_refusal(answer, answer.refusal)

    def _on_refusal(self, answer: Answer, refusal: Refusal) -> None:
        assert self.pool is not None
        instance = self.pool.record.instance
        if refusal is Refusal.FAILED:
            self.pool.note_error()
            self._failures += 1
        elif refusal is Refusal.UNKNOWN_NAME and self.channel is not None:
            self.channel.prepared.clear()
        self.release()
        match step_after_read(
            refusal, self._failures, instance == self.service.primary.presumed_primary
        ):
            case ReadStep.ANSWER:
                self.finish(answer)
            case ReadStep.NEXT_MEMBER:
                self.try_next_member()
            case ReadStep.NEW_SAMPLE:
                self._earliest_sample_time = self.clock.time()
                self.excluded.clear()
                self._request_floor()
            case ReadStep.PRIMARY:
                self.excluded.add(instance)
                self._try_primary()

    def _try_primary(self) -> None:
        if self._forward_to_primary_holder():
            return
        primary = self.service.primary_pool()
        if (
            primary is not None
            and primary.record.instance not in self.excluded
            and self.service.exclusion(primary.record, self.regions) is None
        ):
            self.attempts += 1
            if self.can_wait_at(primary):
                self.acquire(primary, self._on_connection)
            else:
                self.reject_overloaded(primary)
            return
        self._choose_member()

    def on_timeout(self) -> None:
        """Reject a read that was not sent; otherwise report the time-out and close its connection.

        A read that was sent may still be running at the member.
        """
        self.service.primary.cancel_wait(self._on_floor)
        if self.channel is None:
            self.refuse_deferred(busy_answer(NO_ANSWER_MESSAGE))
            return
        self.finish(
            Answer(refusal=refusal_without_answer(SentRequest.READ), message=NO_ANSWER_MESSAGE)
        )
        self.discard()
