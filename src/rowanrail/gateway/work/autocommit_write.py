"""An autocommit write, at the primary; what may have run is never sent again.

For :class:`rowanrail.gateway.work.local.LocalExecutor`. Owns nothing beyond the statement.
Relies on :mod:`rowanrail.gateway.work.attempts` for which refusals mean that nothing ran.
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
    """An autocommit write, at the primary; what may have run is never sent again."""

    def start(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Begin."""
        self.statement = statement
        self.begin_statement(respond)
        self._find_primary()

    def _find_primary(self) -> None:
        self.acquire_primary(self._find_primary, self._with_channel)

    def move_to(self, work: StatementExecutor | None) -> bool:
        """See :meth:`Operation.move_to`."""
        return self._hand_to(work, self.statement, writes=True)

    def _with_channel(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            self.service.primary.note_refused_connection(answer)
            self.retry_later(self._find_primary, busy_answer(answer.message))
            return
        commands = self.service.policies.state_replay.commands(channel, self.session)
        commands += commands_for(self.statement, None, channel, self.session, self.names)
        self.send(commands, self._answered)

    @property
    def kind(self) -> str:
        """See :meth:`Operation.kind`."""
        return f"{self.route.name} writes"

    def _answered(self, answer: Answer) -> None:
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
                self.retry_later(self._find_primary, answer)
            case WriteStep.UNKNOWN:
                refusal = refusal_without_answer(SentRequest.WRITE)
                self.finish(Answer(refusal=refusal, message="the connection was lost"))

    def on_timeout(self) -> None:
        """See :meth:`Operation.on_timeout`."""
        if self.channel is None:
            self.refuse_unplaced(busy_answer(NO_ANSWER_MESSAGE))
            return
        self.finish(
            Answer(refusal=refusal_without_answer(SentRequest.WRITE), message=NO_ANSWER_MESSAGE)
        )
        self.discard()
