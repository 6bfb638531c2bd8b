"""A transaction: one connection from its first statement to its end.

For :class:`rowanrail.gateway.work.local.LocalExecutor`. Owns whether it has begun, written and
failed, and who runs it if another gateway does. Relies on the member, which keeps nothing of a
transaction without its commit.
"""

from collections.abc import Callable

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import (
    PreparedStatementNames,
    SessionContext,
    is_write,
    replay_new_values,
)
from rowanrail.gateway.work.attempts import (
    SentRequest,
    busy_pause_seconds,
    client_refusal,
    may_retry_in_transaction,
    refusal_without_answer,
)
from rowanrail.gateway.work.commands import commands_for
from rowanrail.gateway.work.connected import Stage
from rowanrail.gateway.work.freshness import note_commit, oldest_sample, prefetch
from rowanrail.gateway.work.operation import Operation
from rowanrail.gateway.work.ports import OtherGateways, StatementExecutor, TransactionExecution
from rowanrail.gateway.work.refusals import NO_ANSWER_MESSAGE, busy_answer
from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import AnswerCallback, Channel
from rowanrail.model.position import ORIGIN, Position
from rowanrail.model.routing import Consistency, Route
from rowanrail.model.statements import (
    Answer,
    Command,
    CommandKind,
    Refusal,
    StatementKind,
    TypedStatement,
)


class Transaction(Operation):
    """A transaction: its connection from the first statement to the end.

    It begins at the member with its first statement, so that one that is idle right after BEGIN
    holds no connection.
    """

    def __init__(
        self,
        service: Service,
        route: Route,
        session: SessionContext,
        names: PreparedStatementNames,
        clock: Scheduler,
        others: OtherGateways,
        read_only: bool,
    ) -> None:
        super().__init__(service, route, session, names, clock, others)
        self.read_only = read_only
        self.wrote = False
        self.failed = False
        self._begun_at = clock.time()
        self._begun = False
        self._excluded: set[str] = set()
        self._busy_retries = 0
        self._reclaimed_for = ""
        self._moved: TransactionExecution | None = None

    def run(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Run a read, a write or the commit."""
        if self._moved is not None:
            self._moved.run(statement, respond)
            return
        self.statement = statement
        self._busy_retries = 0
        self.begin_statement(respond)
        if self.pool is not None:
            self.pool.connections.idle_transactions.remove(self)
        if self._reclaimed_for:
            self.failed = True
            self.finish(Answer(refusal=Refusal.ABORTED, message=self._reclaimed_for))
        elif self.read_only and is_write(statement, self.session):
            self.failed = True
            self.end()
            self.finish(Answer(refusal=Refusal.NOT_PRIMARY, message="the transaction only reads"))
        elif self._begun:
            self._run_statement()
        else:
            self._begin()

    @property
    def kind(self) -> str:
        """See :meth:`Operation.kind`."""
        return self.route.name if self.read_only else f"{self.route.name} transactions"

    @property
    def _sent(self) -> SentRequest:
        """What was sent last; it decides what the client is told if the answer is lost."""
        commits = self.statement.kind is StatementKind.COMMIT and self.wrote
        return SentRequest.COMMIT if commits else SentRequest.IN_TRANSACTION

    def floor_callback(self) -> Callable[[Position | None], None] | None:
        """See :meth:`Operation.floor_callback`."""
        return self._with_floor

    # The beginning at a member

    def _begin(self) -> None:
        if not self.read_only:
            self.acquire_primary(self._begin, self._with_channel)
            return
        if self.route.consistency is Consistency.PRIMARY and self.move_to(
            self.others.find_remote_holder(self.tenant, "")
        ):
            return
        self.stage = Stage.WAITS_FOR_SAMPLE
        since = oldest_sample(self.route, self._begun_at)
        prefetch(self.service, self.route, self.clock.time())
        if self.service.primary.has_sample_since(since) or not self.reject_long_lost():
            self.service.primary.wait_for_position(since, self._with_floor)

    def _with_floor(self, position: Position | None) -> None:
        if self.respond is None:
            return
        own = self.session.floors.get(self.service.spec.name, ORIGIN)
        self.floor = None if position is None else max(position, own)
        pool = self.service.choose_member(self._excluded, self.wanted())
        if position is None or pool is None:
            self._excluded.clear()
            self.retry_later(self._begin, busy_answer("no member can serve the transaction"))
            return
        roomy = self.prompt_or_roomier(pool, self._excluded)
        if roomy is None:
            return
        pool = roomy
        if self.move_to(self.others.find_remote_holder(self.tenant, pool.record.instance)):
            return
        self.attempts += 1
        self.acquire(pool, self._with_channel)
        self.limit_opening()

    def move_to(self, work: StatementExecutor | None) -> bool:
        """Have another gateway run the transaction from its first statement, if one is named."""
        respond = self.respond
        if work is None or respond is None:
            return False
        self._moved = work.transaction(self.route, self.session, self.read_only)
        self.remote = self._moved
        self.respond = None
        self.stop_timers()
        self._moved.run(self.statement, respond)
        return True

    def finish(self, answer: Answer) -> None:
        """See :meth:`Operation.finish`."""
        if self._moved is not None:
            self._moved.finish(answer)
        super().finish(answer)

    def _with_channel(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            if self.read_only:
                self._exclude_member()
            else:
                self.service.primary.note_refused_connection(answer)
            self.retry_later(self._begin, busy_answer(answer.message))
            return
        kind = CommandKind.BEGIN_READ if self.read_only else CommandKind.BEGIN
        commands = self.service.policies.state_replay.commands(channel, self.session)
        commands.append(Command(kind, floor=self.floor))
        channel.in_transaction = True
        if self.read_only:
            self.limit_answer()
        self.send(commands, self._begin_answered)

    def _exclude_member(self) -> None:
        if self.pool is not None:
            self._excluded.add(self.pool.record.instance)

    def try_next_member(self) -> None:
        """See :meth:`Operation.try_next_member`."""
        self._exclude_member()
        self._begin()

    def try_roomier(self, pool: MemberPool) -> bool:
        """See :meth:`Operation.try_roomier`."""
        roomy = self.roomier(self._excluded | {pool.record.instance}) if self.read_only else None
        if roomy is None or self.service.is_remote(roomy):
            return False
        self.acquire(roomy, self._with_channel)
        return True

    def _begin_answered(self, answer: Answer) -> None:
        assert self.pool is not None
        self.end_attempt()
        instance = self.pool.record.instance
        if answer.refusal is not None:
            self.note_answer(answer)
        if answer.refusal is None:
            self._begun = True
            if not self.read_only:
                self.service.primary.note_proof(instance, self.sent_at, answer.position)
            if self.respond is None:
                self.end()
            else:
                self._run_statement()
            return
        if self.channel is not None:
            self.channel.in_transaction = False
        self.release()
        if self.respond is None:
            return
        if answer.refusal is Refusal.NOT_PRIMARY:
            self.service.primary.note_not_primary(instance)
        else:
            self._excluded.add(instance)
        answer = _for_client(answer, SentRequest.IN_TRANSACTION)
        if answer.refusal is Refusal.BEHIND and instance == self.service.primary.presumed_primary:
            self._begun_at = self.clock.time()
        self.retry_later(self._begin, answer)

    # Statements

    def _run_statement(self) -> None:
        if self.statement.kind is StatementKind.COMMIT:
            commands = [
                Command(CommandKind.STATEMENT, self.statement.text, self.statement.request_id)
            ]
            self.send(commands, self._commit_answered)
            return
        assert self.channel is not None
        if is_write(self.statement, self.session):
            self.wrote = True
        commands = replay_new_values(self.channel, self.session)
        commands += commands_for(self.statement, None, self.channel, self.session, self.names)
        if self.read_only:
            self.limit_answer()
        self.send(commands, self._statement_answered)

    def _statement_answered(self, answer: Answer) -> None:
        self.end_attempt()
        self.note_answer(answer)
        if answer.refusal is None:
            if self.read_only and self.pool is not None:
                self.pool.note_answer()
            if self.pool is not None and self.channel is not None:
                self.pool.note_idle_transaction(self)  # until its next statement, perhaps at once
            self.finish(answer)
            return
        if self._retries(answer):
            return
        self._fail(answer)

    def _retries(self, answer: Answer) -> bool:
        """Send the statement again in a moment if that may help; return whether it will be."""
        if self.respond is None or not may_retry_in_transaction(
            answer.refusal, answer.state, self._busy_retries
        ):
            return False
        self._busy_retries += 1
        self.clock.call_later(busy_pause_seconds(self._busy_retries), self._retry_statement)
        return True

    def _retry_statement(self) -> None:
        if self.respond is None:
            return
        if self.channel is None or self.channel.closed:
            self._fail(Answer(refusal=Refusal.LOST, message="the connection was lost"))
            return
        self._run_statement()

    def _fail(self, answer: Answer) -> None:
        """End at a failed statement: nothing of a transaction without its commit is kept."""
        assert self.pool is not None
        if answer.refusal is Refusal.NOT_PRIMARY:
            self.service.primary.note_not_primary(self.pool.record.instance)
        if answer.refusal is Refusal.FAILED and self.read_only:
            self.pool.note_error()
        self.failed = True
        self.end()
        self.finish(_for_client(answer, SentRequest.IN_TRANSACTION))

    def _commit_answered(self, answer: Answer) -> None:
        assert self.pool is not None
        instance = self.pool.record.instance
        if answer.refusal is None:
            if self.channel is not None:
                self.channel.in_transaction = False
            self.release()
            if self.wrote:
                note_commit(self.service, self.session, instance, self.sent_at, answer.position)
            self.finish(answer)
            return
        if self._retries(answer):
            return
        if answer.refusal is Refusal.NOT_PRIMARY:
            self.service.primary.note_not_primary(instance)
        self.end()
        self.finish(_for_client(answer, self._sent))

    # The end

    def reclaim(self, reason: str) -> None:
        """See :meth:`rowanrail.gateway.pools.idle_transactions.IdleTransaction.reclaim`."""
        self._reclaimed_for = reason
        self.end()

    def end(self) -> None:
        """Roll back at the member and give the connection back."""
        if self._moved is not None:
            self._moved.end()
            return
        if self.pool is not None:
            self.pool.connections.idle_transactions.remove(self)
        channel = self.channel
        if channel is None:
            return
        if channel.closed:
            self.release()
            return
        if channel.busy:
            self.discard()
            return
        pool = self.pool
        self.channel = None
        assert pool is not None

        def rolled_back(answer: Answer) -> None:
            channel.in_transaction = False
            if answer.refusal is not None:
                channel.close()
            # A value set inside of a transaction may be undone with it.
            channel.session_state_unknown = bool(channel.session_values)
            pool.release(channel)

        channel.send([Command(CommandKind.ROLLBACK)], [rolled_back])

    def on_timeout(self) -> None:
        """See :meth:`Operation.on_timeout`."""
        self.service.primary.cancel_wait(self._with_floor)
        self.failed = True
        if self.channel is None:
            self.refuse_unplaced(busy_answer(NO_ANSWER_MESSAGE))
            return
        self.finish(Answer(refusal=refusal_without_answer(self._sent), message=NO_ANSWER_MESSAGE))
        self.discard()


def _for_client(answer: Answer, sent: SentRequest) -> Answer:
    """Return what the client is told of a member's refusal."""
    assert answer.refusal is not None
    refusal = client_refusal(answer.refusal, sent)
    if refusal is answer.refusal:
        return answer
    return Answer(refusal=refusal, message=answer.message)
