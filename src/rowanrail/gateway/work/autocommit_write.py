"""Execution of an autocommit write at the primary.

A write that may have run is never sent again; :mod:`rowanrail.gateway.work.attempts` says which
refusals mean that it did not run.
"""

from rowanrail.gateway.work.attempts import (
    SentRequest,
    WriteStep,
    refusal_without_answer,
    step_after_write,
)
from rowanrail.gateway.work.commands import commands_for
from rowanrail.gateway.work.freshness import note_commit
from rowanrail.gateway.work.operation import Operation
from rowanrail.gateway.work.ports import StatementExecutor
from rowanrail.gateway.work.refusals import NO_ANSWER_MESSAGE, busy_answer
from rowanrail.members.channel import AnswerCallback, Channel
from rowanrail.model.statements import Answer, Refusal, TypedStatement


class AutocommitWrite(Operation):
    """An autocommit write at the primary; never sent again if it may have run."""

    def start(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Start the write; ``respond`` is called once, with the answer."""
        self.statement = statement
        self.begin_statement(respond)
        self._acquire_primary()

    def _acquire_primary(self) -> None:
        self.acquire_primary(self._acquire_primary, self._on_connection)

    def forward_to(self, executor: StatementExecutor | None) -> bool:
        """Forward the write if an executor is given; return whether it was forwarded."""
        return self._forward(executor, self.statement, writes=True)

    def _on_connection(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            if self.reject_if_primary_excluded():
                return
            self.service.primary.note_refused_connection(answer)
            self.retry_later(self._acquire_primary, busy_answer(answer.message))
            return
        commands = self.service.policies.state_replay.commands(channel, self.session)
        commands += commands_for(self.statement, None, channel, self.session, self.names)
        if not self.send(commands, self._on_answer):
            self._wait_for_place()

    def _wait_for_place(self) -> None:
        pool = self.pool
        assert pool is not None
        self.release()
        self.wait_for_warm_up(pool, self._acquire_primary)

    @property
    def latency_class(self) -> str:
        """Name of the class of statements with about the same execution time."""
        return f"{self.route.name} writes"

    def _on_answer(self, answer: Answer) -> None:
        if self.respond is None:
            self.release()
            return
        assert self.pool is not None
        self.note_answer(answer)
        instance = self.pool.record.instance
        if answer.refusal is None:
            self.release()
            note_commit(self.service, self.session, instance, self.sent_at, answer.position)
            self.finish(answer)
            return
        if answer.refusal is Refusal.UNKNOWN_NAME and self.channel is not None:
            self.channel.prepared.clear()
        self.release()
        if answer.refusal is Refusal.NOT_PRIMARY:
            self.service.primary.note_not_primary(instance)
        match step_after_write(answer.refusal):
            case WriteStep.ANSWER:
                self.finish(answer)
            case WriteStep.RETRY:
                self.retry_later(self._acquire_primary, answer)
            case WriteStep.UNKNOWN:
                refusal = refusal_without_answer(SentRequest.WRITE)
                self.finish(Answer(refusal=refusal, message="the connection was lost"))

    def on_timeout(self) -> None:
        """Reject a write that was not sent; otherwise its outcome is unknown."""
        if self.channel is None:
            self.refuse_deferred(busy_answer(NO_ANSWER_MESSAGE))
            return
        self.finish(
            Answer(refusal=refusal_without_answer(SentRequest.WRITE), message=NO_ANSWER_MESSAGE)
        )
        self.discard()
