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
from rowanrail.gateway.work.committing import CommittingOperation
from rowanrail.gateway.work.ports import StatementExecutor
from rowanrail.gateway.work.refusals import NO_ANSWER_MESSAGE, busy_answer
from rowanrail.members.channel import AnswerCallback, Channel
from rowanrail.model.statements import Answer, Refusal, TypedStatement


class AutocommitWrite(CommittingOperation):
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
        if not self._may_commit():
            self._wait_for_proof()
            return
        commands = self.service.policies.state_replay.commands(channel, self.session)
        commands += commands_for(self.statement, None, channel, self.session, self.names)
        if not self.send_commit(commands, self._on_answer):
            self._wait_for_place()

    def _may_commit(self) -> bool:
        """Return whether a commit can be confirmed; record the term in which the member leads."""
        if not self.service.spec.confirms_commits:
            return True
        self._term = self.service.primary.proved_term(self.member)
        return self._term is not None

    def _wait_for_proof(self) -> None:
        """Retry once the member has proved to lead, so that its commits can be confirmed."""
        self.release()
        self.service.primary.request_sample()
        self.retry_later(
            self._acquire_primary, busy_answer(f"{self.member} has not proved yet that it leads")
        )

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
            self.acknowledge(answer)
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
