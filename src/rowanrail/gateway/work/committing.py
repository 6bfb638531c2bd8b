"""Base of the operations that commit: a commit is acknowledged once it is known to stand.

Where replicas acknowledge commits, a member may be replaced while a commit waits for them, and may
then report success for a commit that was rolled back. It is therefore asked once more after its
answer, on the same connection, by a plain BEGIN: that takes no slot, and only a primary runs it.
The decision is made by :class:`rowanrail.members.leadership.CommitVerifier`.
"""

from collections.abc import Callable

from rowanrail.gateway.work.connected import Stage
from rowanrail.gateway.work.freshness import note_commit
from rowanrail.gateway.work.operation import Operation
from rowanrail.gateway.work.refusals import replaced_answer, unconfirmed_answer
from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import AnswerCallback, Channel
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal

__all__ = ["CommittingOperation", "LeadershipQuery"]

CONFIRMATION_TIMEOUT_SECONDS = 0.3  # six round trips between regions that are 20 ms apart one way
_QUERY_COMMANDS = [Command(CommandKind.BEGIN), Command(CommandKind.ROLLBACK)]


class LeadershipQuery:
    """Asks the member of a leased connection whether it leads, by a plain BEGIN and a ROLLBACK.

    Parameters
    ----------
    channel : Channel
        The connection, on which nothing is outstanding; closed if the member doesn't answer.
    clock : Scheduler
        Timers.
    on_silence : callable
        Called if the member doesn't answer in time.
    respond : callable
        Called once with the answer to the BEGIN, after the ROLLBACK was answered.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Scheduler,
        on_silence: Callable[[], None],
        respond: AnswerCallback,
    ) -> None:
        self._channel = channel
        self._on_silence = on_silence
        self._respond = respond
        self._begun = Answer(refusal=Refusal.LOST)
        self._timer = clock.call_later(CONFIRMATION_TIMEOUT_SECONDS, self._expire)

    def start(self) -> None:
        """Send the commands."""
        self._channel.send(_QUERY_COMMANDS, [self._on_begin, self._on_rollback])

    def _on_begin(self, answer: Answer) -> None:
        self._begun = answer

    def _on_rollback(self, answer: Answer) -> None:
        self._timer.cancel()
        if answer.refusal is not None:
            self._channel.close()  # whether the transaction is still open is unknown
        self._respond(self._begun)

    def _expire(self) -> None:
        self._on_silence()
        self._channel.close()  # answers both commands as lost


class CommittingOperation(Operation):
    """An operation whose commits are confirmed before they are acknowledged.

    The parameters are those of :class:`rowanrail.gateway.work.operation.Operation`.
    """

    _term: int | None = None  # in which the member proved to lead before it was sent the commit
    _needs_confirmation = False  # by the configuration in force when the commit was sent

    def send_commit(self, commands: list[Command], respond: AnswerCallback) -> bool:
        """Send commands of which the last one commits, as :meth:`send` does.

        If its member turns out to be replaced before it answers, the commit can't be confirmed any
        more: its outcome is unknown at once.
        """
        self._needs_confirmation = self.service.spec.confirms_commits
        if not self._needs_confirmation:
            return self.send(commands, respond)
        instance, pending = self.member, self.service.pending_commits

        def on_answer(answer: Answer) -> None:
            pending.remove(instance, self._on_replaced)
            respond(answer)

        pending.add(instance, self._on_replaced)
        is_sent = self.send(commands, on_answer, following=len(_QUERY_COMMANDS))
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
        if self._needs_confirmation:
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
        if self.service.is_closed(pool.record):
            self._on_confirmation(committed, Answer(refusal=Refusal.LOST), sent_at)
            return
        asked_at = self.clock.time()

        def on_begun(begun: Answer) -> None:
            if self.respond is None:
                self.release()
                return
            self.service.primary.note_begin_answer(self.member, asked_at, begun)
            self._on_confirmation(committed, begun, sent_at)

        LeadershipQuery(channel, self.clock, pool.note_timeout, on_begun).start()

    def _on_confirmation(self, committed: Answer, begun: Answer, sent_at: float) -> None:
        verifier = self.service.policies.commit_confirmation
        if self._term is not None and verifier.stands(self._term, committed, begun):
            self._finish_commit(committed, sent_at)
            return
        self.release()
        self.finish(unconfirmed_answer(self.member, begun.refusal))
