"""Diagnosis of one request from log lines sorted by time.

For ``rowanrail explain``. Selects the lines that are relevant to a request, says what its answer
guaranteed the client and which information the logs lack. The causes are in
:mod:`rowanrail.explain.causes`.
"""

import msgspec

from rowanrail.coordination import events as control_events
from rowanrail.explain.causes import describe_cause
from rowanrail.explain.lines import LogLine
from rowanrail.gateway import events as gateway_events
from rowanrail.kernel import decisions
from rowanrail.model.statements import NO_EFFECT_REFUSALS, Refusal

CONTEXT_SECONDS = 6.0  # covers a failover of up to 4 s and the events that led to it
MAXIMUM_CONTEXT_LINES = 40  # about one screen

STATEMENT_EVENTS = {gateway_events.ANSWERED.number, gateway_events.REFUSED.number}
_SERVICE_EVENTS = {
    gateway_events.PRIMARY_LOST.number,
    gateway_events.PRIMARY_PROVED.number,
    control_events.PROMOTION_DECIDED.number,
    control_events.PROMOTION_ANSWERED.number,
    control_events.PROMOTION_WAITS.number,
    control_events.MEMBER_STARTED_AGAIN.number,
    control_events.REMOVAL_DOUBTED.number,
    control_events.MEMBER_READMITTED.number,
}
_UNRELATED_EVENTS = {
    control_events.DOCUMENT_REFUSED.number,
    control_events.ANNOUNCEMENT_REJECTED.number,
    control_events.MEMBER_LIMIT_REACHED.number,
}


class Diagnosis(msgspec.Struct):
    """The outcome of a request, its cause and the events that led to it.

    :param promise: what the answer guaranteed the client.
    :param missing: information that the given logs lack.
    """

    request: str
    outcome: str
    cause: str
    promise: str
    statements: list[LogLine]
    around: list[LogLine]
    missing: list[str]


def diagnose(
    request: str, lines: list[LogLine], context_seconds: float = CONTEXT_SECONDS
) -> Diagnosis:
    """Return the diagnosis of a request; ``lines`` must be sorted by time."""
    answers = [
        line
        for line in lines
        if line.event in STATEMENT_EVENTS and line.fields.get("request") == request
    ]
    if not answers:
        return Diagnosis(
            request,
            "unknown",
            _request_not_found(lines),
            "unknown",
            [],
            [],
            _missing_information(lines),
        )
    last = answers[-1]
    seconds = float(last.fields.get("milliseconds", 0)) / 1000
    begin, end = last.time - seconds - context_seconds, last.time + context_seconds
    context = [line for line in lines if begin <= line.time <= end and _is_relevant(line, last)]
    outcome = str(last.fields.get("outcome", "?"))
    return Diagnosis(
        request,
        outcome,
        describe_cause(last, context),
        _guarantee(outcome),
        answers,
        context[:MAXIMUM_CONTEXT_LINES],
        _missing_information(lines, last),
    )


def _request_not_found(lines: list[LogLine]) -> str:
    if not lines:
        return "no log lines were read; pass the log files of the proxies"
    return (
        "no log line names this request; its line may be in the log of another process, or may "
        "have been dropped"
    )


_NOT_RETRYABLE = (
    Refusal.INVALID,
    Refusal.UNKNOWN_DATABASE,
    Refusal.TOO_LARGE,
    Refusal.DENIED,
)
_TENANT_EVENTS = (
    gateway_events.KEY_UNKNOWN.number,
    gateway_events.KEY_WITHDRAWN.number,
    gateway_events.OVER_QUOTA.number,
)


def _is_relevant(line: LogLine, statement: LogLine) -> bool:
    """Return whether a line may explain the statement's answer."""
    if line.event in STATEMENT_EVENTS:
        return False
    if line.event in _SERVICE_EVENTS:
        return line.fields.get("service") == statement.fields.get("service")
    if line.event in _TENANT_EVENTS:
        is_same_session = line.fields.get("session") == statement.fields.get("session")
        return is_same_session and line.process == statement.process
    if line.event >= control_events.NODE_STARTED.number:
        return line.event not in _UNRELATED_EVENTS
    if line.event == gateway_events.LINK_LOST.number:
        return line.process == statement.process
    return line.process in (statement.process, statement.fields.get("via"))


def _guarantee(outcome: str) -> str:
    if outcome == "done":
        return "it succeeded"
    refusals = {refusal.value: refusal for refusal in Refusal}
    refusal = refusals.get(outcome)
    if refusal in NO_EFFECT_REFUSALS:
        return "it had no effect and may be retried"
    if refusal in _NOT_RETRYABLE:
        return "it did not run; retrying will not help"
    return "none: it may or may not have run"


def _missing_information(lines: list[LogLine], statement: LogLine | None = None) -> list[str]:
    """Return which information the logs lack."""
    missing = []
    if not any(line.event >= control_events.NODE_STARTED.number for line in lines):
        missing.append("no log of a control node: promotions and committed versions are unknown")
    dropped = [line for line in lines if line.event == decisions.LINES_DROPPED.number]
    if statement is not None:
        dropped = [line for line in dropped if line.process == statement.process]
    other = sum(int(line.fields.get("other", 0)) for line in dropped)
    if other:
        missing.append(
            f"{other} lines above the informational level were dropped, because the log exceeded "
            "its rate limit or buffer"
        )
    return missing
