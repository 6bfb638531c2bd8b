"""An autocommit read: a floor, then any member whose log holds it.

For :class:`rowanrail.gateway.work.local.LocalExecutor`. Owns the members that are excluded and how
often the read failed. Relies on :mod:`rowanrail.gateway.work.attempts` for what follows a refusal;
a read changes nothing, so that it may run anywhere, again and again.
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
from rowanrail.gateway.work.freshness import oldest_sample, prefetch
from rowanrail.gateway.work.operation import Operation
from rowanrail.gateway.work.refusals import NO_ANSWER_MESSAGE, PRIMARY_RETRY_AFTER_MS, busy_answer
from rowanrail.members.channel import AnswerCallback, Channel
from rowanrail.model.position import ORIGIN, Position
from rowanrail.model.routing import Consistency
from rowanrail.model.statements import Answer, Refusal, TypedStatement
from rowanrail.scheduling.admission import RejectionCause


class AutocommitRead(Operation):
    """An autocommit read: a floor, then any member whose log holds it."""

    def start(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Begin."""
        self.statement = statement
        self.excluded: set[str] = set()
        self._left: set[str] = set()  # members that it left since it would have been late there
        self.begin_statement(respond)
        self._errors = 0
        self._asked_since = oldest_sample(self.route, self.arrived_at)
        if self.route.consistency is Consistency.PRIMARY and self._go_to_holder():
            return  # replicas lag by more than a sample takes to come from that region
        self._need_floor()

    def _go_to_holder(self) -> bool:
        return self.hand_to_holder(self.statement, writes=False)

    def _go_to_remote(self, instance: str) -> bool:
        """Have the holder in a remote member's region run the read."""
        respond, sent_at = self.respond, self.clock.time()
        assert respond is not None

        def answered(answer: Answer) -> None:
            self.service.estimates.note_remote_answer(instance, self.kind, answer, sent_at)
            respond(answer)

        self.respond = answered
        if self.hand_to_holder(self.statement, False, instance):
            self.service.estimates.note_sent_remote(instance)
            return True
        self.respond = respond
        return False

    def _need_floor(self) -> None:
        self.stage = Stage.WAITS_FOR_SAMPLE
        prefetch(self.service, self.route, self.clock.time())
        tracker = self.service.primary
        if not tracker.has_sample_since(self._asked_since) and tracker.is_failover_overdue:
            if not self.hand_over(self.statement, writes=False):
                self.reject_long_lost()
            return
        tracker.wait_for_position(self._asked_since, self._with_floor)

    def _with_floor(self, position: Position | None) -> None:
        if self.respond is None:
            return
        if position is None:
            self.reject(
                RejectionCause.NO_PRIMARY,
                "no primary confirms its position",
                PRIMARY_RETRY_AFTER_MS,
            )
            return
        own = self.session.floors.get(self.service.spec.name, ORIGIN)
        self.floor = max(position, own)
        self._choose()

    def _choose(self) -> None:
        self.attempts += 1
        pool = self.service.choose_member(self.excluded, self.wanted())
        if pool is None or not has_attempts_left(self.attempts):
            if self.service.primary.failing_since and self.hand_over(self.statement, writes=False):
                return
            self.excluded.clear()
            self.attempts = 0
            self.retry_later(self._need_floor, busy_answer("no member can serve the read"))
            return
        roomy = self.prompt_or_roomier(pool, self.excluded)
        if roomy is None:
            return
        pool = roomy
        if self.service.is_remote(pool) and self._go_to_remote(pool.record.instance):
            return
        self.acquire(pool, self._with_channel)
        self.limit_opening()

    def floor_callback(self) -> Callable[[Position | None], None] | None:
        """See :meth:`Operation.floor_callback`."""
        return self._with_floor

    def _with_channel(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            self.try_next_member()
            return
        commands = self.service.policies.state_replay.commands(channel, self.session)
        commands += commands_for(self.statement, self.floor, channel, self.session, self.names)
        self.limit_answer()
        self.send(commands, self._answered)

    def try_next_member(self) -> None:
        """See :meth:`Operation.try_next_member`."""
        if self.pool is not None:
            self.excluded.add(self.pool.record.instance)
        self._choose()

    def try_roomier(self, pool: MemberPool) -> bool:
        """See :meth:`Operation.try_roomier`; it leaves each member once at the most.

        Two members can both have room and no connection for it. A read that is late at each of
        them would go from one to the other without end, and the gateway would do nothing else.
        """
        self._left.add(pool.record.instance)
        roomy = self.roomier(self.excluded | self._left)
        if roomy is None:
            return False
        if not (self.service.is_remote(roomy) and self._go_to_remote(roomy.record.instance)):
            self.acquire(roomy, self._with_channel)
        return True

    def _answered(self, answer: Answer) -> None:
        self.end_attempt()
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
        self._refused(answer, answer.refusal)

    def _refused(self, answer: Answer, refusal: Refusal) -> None:
        assert self.pool is not None
        instance = self.pool.record.instance
        if refusal is Refusal.FAILED:
            self.pool.note_error()
            self._errors += 1
        elif refusal is Refusal.UNKNOWN_NAME and self.channel is not None:
            self.channel.prepared.clear()
        self.release()
        match step_after_read(
            refusal, self._errors, instance == self.service.primary.presumed_primary
        ):
            case ReadStep.ANSWER:
                self.finish(answer)
            case ReadStep.NEXT_MEMBER:
                self.try_next_member()
            case ReadStep.NEW_SAMPLE:
                self._asked_since = self.clock.time()
                self.excluded.clear()
                self._need_floor()
            case ReadStep.PRIMARY:
                self.excluded.add(instance)
                self._ask_primary()

    def _ask_primary(self) -> None:
        if self._go_to_holder():
            return
        primary = self.service.primary_pool()
        if primary is not None and primary.record.instance not in self.excluded:
            self.attempts += 1
            if self.may_wait_at(primary):
                self.acquire(primary, self._with_channel)
            else:
                self.reject_crowded(primary)
            return
        self._choose()

    def on_timeout(self) -> None:
        """See :meth:`Operation.on_timeout`. A read that was sent may still run."""
        self.service.primary.cancel_wait(self._with_floor)
        if self.channel is None:
            self.refuse_unplaced(busy_answer(NO_ANSWER_MESSAGE))
            return
        self.finish(
            Answer(refusal=refusal_without_answer(SentRequest.READ), message=NO_ANSWER_MESSAGE)
        )
        self.discard()
