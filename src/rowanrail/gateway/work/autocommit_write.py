"""A single write, at the primary; what was sent is never sent again."""

from rowanrail.gateway.work.attempts import Sent, WriteStep, step_after_write, unanswered
from rowanrail.gateway.work.freshness import note_commit
from rowanrail.gateway.work.operation import Operation, Stage
from rowanrail.gateway.work.refusals import LATE, busy
from rowanrail.members.channel import Channel, Respond
from rowanrail.model.statements import Answer, Refusal, TypedStatement


class LoneWrite(Operation):
    """A single write, at the primary; what was sent is never sent again."""

    def start(self, statement: TypedStatement, respond: Respond) -> None:
        """Begin."""
        self.statement = statement
        self.begin_statement(respond)
        self._find_primary()

    def _find_primary(self) -> None:
        self.stage = Stage.WAITS_FOR_PRIMARY
        pool = self.service.primary_pool()
        if self.hand_home(self.statement, writes=True):
            return
        if self.service.primary.failing_since and self.hand_over(self.statement, writes=True):
            return
        if self.refuse_long_lost():
            return
        if pool is None or pool.is_failing:
            self.service.primary.request_sample()
            self.retry_later(self._find_primary, busy("no primary is known"))
            return
        if not self.may_wait_at(pool):
            self.refuse_crowded(pool)
            return
        self.acquire(pool, self._with_channel)

    def _with_channel(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            self.service.primary.note_refused_connection(answer)
            self.retry_later(self._find_primary, busy(answer.message))
            return
        commands = self.replay(channel)
        commands += self.command(self.statement, None)
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
                refusal = unanswered(Sent.WRITE)
                self.finish(Answer(refusal=refusal, message="the connection was lost"))

    def on_timeout(self) -> None:
        """See :meth:`Operation.on_timeout`."""
        if self.channel is None:
            self.refuse_unplaced(busy(LATE))
            return
        self.finish(Answer(refusal=unanswered(Sent.WRITE), message=LATE))
        self.discard()
