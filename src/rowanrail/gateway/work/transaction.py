"""Execution of a transaction on one connection, from its first statement to its end.

A transaction has no effect at the member without its commit, so it can be aborted at any time.
"""

from collections.abc import Callable

import msgspec

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
    busy_retry_delay_seconds,
    client_refusal,
    may_retry_in_transaction,
    refusal_without_answer,
)
from rowanrail.gateway.work.commands import commands_for
from rowanrail.gateway.work.committing import CommittingOperation
from rowanrail.gateway.work.connected import Stage
from rowanrail.gateway.work.freshness import earliest_sample_time, prefetch_sample
from rowanrail.gateway.work.ports import OtherGateways, StatementExecutor, TransactionExecution
from rowanrail.gateway.work.refusals import NO_ANSWER_MESSAGE, busy_answer
from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import AnswerCallback, Channel
from rowanrail.members.eligibility import Exclusion
from rowanrail.model.data_regions import intersect_regions
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


class Transaction(CommittingOperation):
    """A transaction on one connection.

    BEGIN is sent to a member only when the first statement arrives, so a transaction that is idle
    right after its BEGIN holds no connection.
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
        self._freshness_reference = clock.time()
        self._has_begun = False
        self._excluded: set[str] = set()
        self._late_members: set[str] = set()  # left because the transaction would be late there
        self._busy_retries = 0
        self._reclaim_reason = ""
        self._forwarded: TransactionExecution | None = None

    def run(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Run a read, a write or the commit; ``respond`` is called once, with the answer."""
        if self._forwarded is not None:
            self._forwarded.run(statement, respond)
            return
        self.statement = statement
        self._late_members.clear()
        self._busy_retries = 0
        self.begin_statement(respond)
        if self.pool is not None:
            self.pool.connections.idle_transactions.remove(self)
        if self._reclaim_reason:
            self.failed = True
            self.finish(Answer(refusal=Refusal.ABORTED, message=self._reclaim_reason))
        elif self.read_only and is_write(statement, self.session):
            self.failed = True
            self.end()
            self.finish(Answer(refusal=Refusal.NOT_PRIMARY, message="the transaction only reads"))
        elif self._has_begun:
            self._run_statement()
        else:
            self._begin()

    @property
    def continues(self) -> bool:
        """Whether the transaction has begun at the member."""
        return self._has_begun

    @property
    def latency_class(self) -> str:
        """Name of the class of statements with about the same execution time."""
        return self.route.name if self.read_only else f"{self.route.name} transactions"

    @property
    def _sent_request(self) -> SentRequest:
        """Kind of the last request; determines the outcome if its answer is lost."""
        commits = self.statement.kind is StatementKind.COMMIT and self.wrote
        return SentRequest.COMMIT if commits else SentRequest.IN_TRANSACTION

    def sample_callback(self) -> Callable[[Position | None], None] | None:
        """Return the callback that waits for the floor of the transaction."""
        return self._on_floor

    # Beginning at a member

    def _begin(self) -> None:
        if not self.read_only:
            self.acquire_primary(self._begin, self._on_connection)
            return
        if self.wait_for_any_warm_up(self._begin):
            return
        if self.reject_if_all_excluded():
            self.failed = True
            return
        if self.route.consistency is Consistency.PRIMARY and self.forward_to(
            self.find_primary_holder()
        ):
            return
        self.stage = Stage.WAITS_FOR_SAMPLE
        since = earliest_sample_time(self.route, self._freshness_reference)
        if self.reject_without_sample(since):
            self.failed = True
            return
        prefetch_sample(self.service, self.route, self.clock.time())
        if self.service.primary.has_sample_since(since) or not self.refuse_if_primary_long_lost():
            self.service.primary.wait_for_position(since, self._on_floor)

    def _on_floor(self, position: Position | None) -> None:
        if self.respond is None:
            return
        own = self.session.floors.get(self.service.spec.name, ORIGIN)
        self.floor = None if position is None else max(position, own)
        pool = self.service.choose_member(self._excluded, self.read_requirements())
        if position is None or pool is None:
            self._excluded.clear()
            if self.wait_for_any_warm_up(self._begin):
                return
            self.retry_later(self._begin, busy_answer("no member can serve the transaction"))
            return
        available = self.pool_with_capacity(pool, self._excluded)
        if available is None:
            return
        pool = available
        if self.forward_to(self.find_remote_holder(pool.record.instance)):
            return
        self.attempts += 1
        self.acquire(pool, self._on_connection)
        self.limit_connection_wait()

    def forward_to(self, executor: StatementExecutor | None) -> bool:
        """Forward the transaction from its first statement on; return whether it was forwarded."""
        respond = self.respond
        if executor is None or respond is None:
            return False
        self._forwarded = executor.transaction(self.route, self.session, self.read_only)
        self.remote_execution = self._forwarded
        self.respond = None
        self.stop_timers()
        self._forwarded.run(self.statement, respond)
        return True

    def finish(self, answer: Answer) -> None:
        """Answer the statement, also at the gateway to which the transaction was forwarded."""
        if self._forwarded is not None:
            self._forwarded.finish(answer)
        super().finish(answer)

    def _on_connection(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            if self.read_only:
                self._exclude_member()
            elif self.reject_if_primary_excluded():
                return
            else:
                self.service.primary.note_refused_connection(answer)
            self.retry_later(self._begin, busy_answer(answer.message))
            return
        pool = self.pool
        assert pool is not None
        if not self._may_begin():
            self.unsent_commands = self.service.warm_up.commands_to_begin(pool.record)
            self._wait_to_begin()
            return
        kind = CommandKind.BEGIN_READ if self.read_only else CommandKind.BEGIN
        commands = self.service.policies.state_replay.commands(channel, self.session)
        commands.append(Command(kind, floor=self.floor))
        channel.in_transaction = True
        if self.read_only:
            self.limit_answer_time()
        if not self.send(commands, self._on_begin_answer):
            self._wait_to_begin()
        elif self.service.spec.limits_warm_up:
            self.service.warm_up.note_begun(pool.record, channel)

    def _may_begin(self) -> bool:
        """Return whether the member may be sent another transaction while it warms up."""
        if not self.service.spec.limits_warm_up:
            return True
        assert self.pool is not None
        return self.service.warm_up.may_begin(self.pool.record)

    def _wait_to_begin(self) -> None:
        """Begin at another member, or later: the member warms up and gets no more now."""
        pool, channel = self.pool, self.channel
        assert pool is not None and channel is not None
        self.stop_attempt_timer()
        channel.in_transaction = False
        self.release()
        if self.read_only:
            self.try_next_member()
        else:
            self.wait_for_warm_up(pool, self._begin)

    def _exclude_member(self) -> None:
        if self.pool is not None:
            self._excluded.add(self.pool.record.instance)

    def try_next_member(self) -> None:
        """Exclude the current member and begin at another one."""
        self._exclude_member()
        self._begin()

    def try_less_loaded_member(self, pool: MemberPool) -> bool:
        """Move a read-only transaction to a less loaded member, but leave each at most once.

        See :meth:`rowanrail.gateway.work.autocommit_read.AutocommitRead.try_less_loaded_member`.
        """
        self._late_members.add(pool.record.instance)
        available = (
            self.find_pool_with_capacity(self._excluded | self._late_members)
            if self.read_only
            else None
        )
        if available is None or self.service.is_remote(available):
            return False
        self.acquire(available, self._on_connection)
        return True

    def _on_begin_answer(self, answer: Answer) -> None:
        assert self.pool is not None
        self.stop_attempt_timer()
        instance = self.pool.record.instance
        if answer.refusal is not None:
            self.note_answer(answer)
        if answer.refusal is None:
            self._has_begun = True
            if not self.read_only:
                self.service.primary.note_proof(instance, self.sent_at, answer.position)
                self._term = None if answer.position is None else answer.position.term
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
        answer = _client_answer(answer, SentRequest.IN_TRANSACTION)
        if answer.refusal is Refusal.BEHIND and instance == self.service.primary.presumed_primary:
            self._freshness_reference = self.clock.time()
        self.retry_later(self._begin, answer)

    # Statements

    def restrict(self, regions: frozenset[str]) -> None:
        """Restrict the further statements to regions, also where they are forwarded."""
        allowed = intersect_regions(self.route.regions, regions)
        self.route = msgspec.structs.replace(self.route, regions=allowed)
        if self._forwarded is not None:
            self._forwarded.restrict(regions)

    def _run_statement(self) -> None:
        if self.channel is None or self.channel.closed:
            self._fail(Answer(refusal=Refusal.LOST, message="the connection was lost"))
            return
        if self._abort_if_excluded():
            return
        if self.statement.kind is StatementKind.COMMIT:
            commands = [
                Command(CommandKind.STATEMENT, self.statement.text, self.statement.request_id)
            ]
            send = self.send_commit if self.wrote else self.send
            if not send(commands, self._on_commit_answer):
                self._wait_to_run()
            return
        if is_write(self.statement, self.session):
            self.wrote = True
        commands = replay_new_values(self.channel, self.session)
        commands += commands_for(self.statement, None, self.channel, self.session, self.names)
        if self.read_only:
            self.limit_answer_time()
        if not self.send(commands, self._on_statement_answer):
            self._wait_to_run()

    def _wait_to_run(self) -> None:
        """Run the statement later, or abort: the member warms up and gets no more now."""
        pool = self.pool
        assert pool is not None
        self.stop_attempt_timer()
        if self.defer_for_warm_up(pool, self._retry_statement):
            return
        self.failed = True
        self.end()
        self.reject_warming_up(pool)

    def _abort_if_excluded(self) -> bool:
        """Abort the transaction if its member may not be sent the statement; return whether."""
        assert self.pool is not None
        record = self.pool.record
        exclusion = self.service.exclusion(record, self.regions, in_transaction=True)
        if exclusion is None or exclusion is Exclusion.WARMING_UP:
            return False  # a member that warms up gets the statement later
        self.failed = True
        self.end()
        message = f"{record.instance} is excluded: {exclusion.value}"
        self.finish(Answer(refusal=Refusal.ABORTED, message=message))
        return True

    def _on_statement_answer(self, answer: Answer) -> None:
        self.stop_attempt_timer()
        self.note_answer(answer)
        if answer.refusal is None:
            if self.read_only and self.pool is not None:
                self.pool.note_answer()
            if self.pool is not None and self.channel is not None:
                self.pool.note_idle_transaction(self)  # until the next statement
            self.finish(answer)
            return
        if self._schedule_busy_retry(answer):
            return
        self._fail(answer)

    def _schedule_busy_retry(self, answer: Answer) -> bool:
        """Schedule a retry if the statement was refused as busy; return whether one follows."""
        if self.respond is None or not may_retry_in_transaction(
            answer.refusal, answer.state, self._busy_retries
        ):
            return False
        self._busy_retries += 1
        self.clock.call_later(busy_retry_delay_seconds(self._busy_retries), self._retry_statement)
        return True

    def _retry_statement(self) -> None:
        if self.respond is not None:
            self._run_statement()

    def _fail(self, answer: Answer) -> None:
        """Abort the transaction after a failed statement."""
        assert self.pool is not None
        if answer.refusal is Refusal.NOT_PRIMARY:
            self.service.primary.note_not_primary(self.pool.record.instance)
        if answer.refusal is Refusal.FAILED and self.read_only:
            self.pool.note_error()
        self.failed = True
        self.end()
        self.finish(_client_answer(answer, SentRequest.IN_TRANSACTION))

    def _on_commit_answer(self, answer: Answer) -> None:
        assert self.pool is not None
        instance = self.pool.record.instance
        if answer.refusal is None:
            if self.channel is not None:
                self.channel.in_transaction = False
            if self.wrote:
                self.acknowledge(answer)
            else:
                self.release()
                self.finish(answer)
            return
        if self._schedule_busy_retry(answer):
            return
        if answer.refusal is Refusal.NOT_PRIMARY:
            self.service.primary.note_not_primary(instance)
        self.end()
        self.finish(_client_answer(answer, self._sent_request))

    # End

    def reclaim(self, reason: str) -> None:
        """Roll back for others that wait for the connection; the next statement reports it."""
        self._reclaim_reason = reason
        self.end()

    def end(self) -> None:
        """Roll back at the member and return the connection to its pool."""
        if self._forwarded is not None:
            self._forwarded.end()
            return
        if self.pool is not None:
            self.pool.connections.idle_transactions.remove(self)
        channel = self.channel
        if channel is None:
            return
        assert self.pool is not None
        if channel.closed:
            self.release()
            return
        pool, service = self.pool, self.service
        if (
            channel.busy
            or service.is_closed(pool.record)
            or not service.take_places(pool.record, 1, continues=True)
        ):
            self.discard()  # the member rolls back what a closed connection had open
            return
        self.channel = None

        def rolled_back(answer: Answer) -> None:
            channel.in_transaction = False
            if answer.refusal is not None:
                channel.close()
            # The rollback may have undone values set within the transaction.
            channel.session_state_unknown = bool(channel.session_values)
            pool.release(channel)

        channel.send([Command(CommandKind.ROLLBACK)], [rolled_back])

    def on_timeout(self) -> None:
        """Fail the transaction; nothing was sent if it holds no connection."""
        self.service.primary.cancel_wait(self._on_floor)
        self.failed = True
        if self.channel is None:
            self.refuse_deferred(busy_answer(NO_ANSWER_MESSAGE))
            return
        self.finish(
            Answer(refusal=refusal_without_answer(self._sent_request), message=NO_ANSWER_MESSAGE)
        )
        self.discard()


def _client_answer(answer: Answer, sent: SentRequest) -> Answer:
    """Return the client's answer for a member's refusal."""
    assert answer.refusal is not None
    refusal = client_refusal(answer.refusal, sent)
    if refusal is answer.refusal:
        return answer
    return Answer(refusal=refusal, message=answer.message)
