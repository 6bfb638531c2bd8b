"""Base of the operations that commit: a commit is acknowledged once it is known to stand.

Where replicas acknowledge commits, a member may be replaced while a commit waits for them, and may
then report success for a commit that was rolled back. It is therefore asked once more after its
answer, on the same connection, by a plain BEGIN: that takes no slot, and only a primary runs it.
The decision is made by :class:`rowanrail.members.leadership.CommitVerifier`.
"""

from rowanrail.gateway.work.connected import Stage
from rowanrail.gateway.work.freshness import note_commit
from rowanrail.gateway.work.operation import Operation
from rowanrail.gateway.work.refusals import replaced_answer, unconfirmed_answer
from rowanrail.members.channel import AnswerCallback
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal

__all__ = ["CommittingOperation"]

CONFIRMATION_TIMEOUT_SECONDS = 0.3  # six round trips between regions that are 20 ms apart one way
_CONFIRMATION_COMMANDS = [Command(CommandKind.BEGIN), Command(CommandKind.ROLLBACK)]


class CommittingOperation(Operation):
    """An operation whose commits are confirmed before they are acknowledged.

    The parameters are those of :class:`rowanrail.gateway.work.operation.Operation`.
    """

    _term: int | None = None  # in which the member proved to lead before it was sent the commit

    def send_commit(self, commands: list[Command], respond: AnswerCallback) -> bool:
        """Send commands of which the last one commits, as :meth:`send` does.

        If its member turns out to be replaced before it answers, the commit can't be confirmed any
        more: its outcome is unknown at once.
        """
        if not self.service.spec.confirms_commits:
            return self.send(commands, respond)
        instance, pending = self.member, self.service.pending_commits

        def on_answer(answer: Answer) -> None:
            pending.remove(instance, self._on_replaced)
            respond(answer)

        pending.add(instance, self._on_replaced)
        is_sent = self.send(commands, on_answer, following=len(_CONFIRMATION_COMMANDS))
        if not is_sent:
            pending.remove(instance, self._on_replaced)
        return is_sent

    def _on_replaced(self) -> None:
        if self.respond is not None:
            self.finish(replaced_answer(self.member))
            self.discard()

    def acknowledge(self, committed: Answer) -> None:
        """Answer a commit that its member reported as successful, if it is known to stand.

        Otherwise its outcome is unknown. An answer that is not confirmed raises no floor and proves
        no primary, since no log may have its position.
        """
        if self.service.spec.confirms_commits:
            self._request_confirmation(committed)
        else:
            self._finish_commit(committed, self.sent_at)

    def _finish_commit(self, committed: Answer, sent_at: float) -> None:
        self.release()
        note_commit(self.service, self.session, self.member, sent_at, committed.position)
        self.finish(committed)

    def _request_confirmation(self, committed: Answer) -> None:
        channel, pool, sent_at = self.channel, self.pool, self.sent_at
        assert channel is not None and pool is not None
        self.stage = Stage.WAITS_FOR_CONFIRMATION
        begun, asked_at = Answer(refusal=Refusal.LOST), self.clock.time()

        def on_begin(answer: Answer) -> None:
            nonlocal begun
            begun = answer

        def on_rollback(answer: Answer) -> None:
            timer.cancel()
            if answer.refusal is not None:
                channel.close()  # whether the transaction is still open is unknown
            if self.respond is None:
                self.release()
                return
            self.service.primary.note_begin_answer(self.member, asked_at, begun)
            self._on_confirmation(committed, begun, sent_at)

        def expire() -> None:
            pool.note_timeout()
            channel.close()  # answers both commands as lost

        if self.service.is_closed(pool.record):
            self._on_confirmation(committed, begun, sent_at)
            return
        timer = self.clock.call_later(CONFIRMATION_TIMEOUT_SECONDS, expire)
        channel.send(_CONFIRMATION_COMMANDS, [on_begin, on_rollback])

    def _on_confirmation(self, committed: Answer, begun: Answer, sent_at: float) -> None:
        verifier = self.service.policies.commit_confirmation
        if self._term is not None and verifier.stands(self._term, committed, begun):
            self._finish_commit(committed, sent_at)
            return
        self.release()
        self.finish(unconfirmed_answer(self.member, begun.refusal))
