"""Records the outcome of clients' statements in the log (events 300 and 301) and in metrics."""

from collections.abc import Callable
from typing import Any

import msgspec

from rowanrail.gateway.events import ANSWERED, REFUSED
from rowanrail.gateway.sessions.access import AccessControl
from rowanrail.gateway.sessions.session import Session
from rowanrail.gateway.work.connected import Stage
from rowanrail.gateway.work.ports import AutocommitExecution, TransactionExecution
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.model.statements import Answer, Refusal, TypedStatement
from rowanrail.model.trace import Rejection, Trace

__all__ = ["OutcomeRecorder"]


class OutcomeRecorder:
    """Records the answer of each statement.

    Parameters
    ----------
    decisions : DecisionLog
        Gets a line for each answer of a member and for each refusal.
    access : AccessControl
        Provides the configuration's version, and records rejected clients.

    Attributes
    ----------
    on_outcome : callable
        Called with the kind of a statement, its outcome, its stage and its seconds.
    on_trace : callable
        Called with the tenant and the trace of a statement.
    """

    def __init__(self, decisions: DecisionLog, access: AccessControl) -> None:
        self.on_outcome: Callable[[str, str, str, float], None] = lambda *outcome: None
        self.on_trace: Callable[[str, Trace | None], None] = lambda tenant, trace: None
        self._decisions = decisions
        self._access = access

    def note(
        self,
        session: Session,
        statement: TypedStatement,
        answer: Answer,
        seconds: float,
        operation: AutocommitExecution | TransactionExecution | None,
    ) -> None:
        """Count and log the outcome of a statement that took ``seconds``."""
        outcome = answer.refusal.value if answer.refusal else "done"
        if answer.refusal is None and not answer.signature:
            return  # answered by the gateway itself, without a member
        trace = None if operation is None else operation.trace()
        stage = trace.stage if trace is not None else Stage.ACCEPTED.value
        self.on_outcome(statement.kind.value, outcome, stage, seconds)
        self.on_trace(session.identity.tenant, trace)
        if answer.refusal is Refusal.BUSY and trace is not None:
            self._access.note_rejected(session, trace.rejection)
        self._decisions.note(
            ANSWERED if answer.refusal is None else REFUSED,
            request=statement.request_id,
            session=session.label,
            tenant=session.identity.tenant,
            database=session.database,
            kind=statement.kind.value,
            outcome=outcome,
            reason=answer.message,
            milliseconds=round(seconds * 1000, 1),
            version=self._access.version,
            **_fields(trace),
        )


def _fields(trace: Trace | None) -> dict[str, Any]:
    """Return the log fields of a trace, with those of its rejection on the same level."""
    if trace is None:
        return {}
    fields = msgspec.structs.asdict(trace)
    rejection: Rejection | None = fields.pop("rejection")
    return fields if rejection is None else fields | msgspec.structs.asdict(rejection)
