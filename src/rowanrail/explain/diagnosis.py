"""From log lines to the diagnosis of one request: its cause, and what happened around it.

For ``rowanrail explain``. Owns which lines concern a request, what its answer promised, and what
the logs do not show; the causes stand in :mod:`rowanrail.explain.causes`. Relies on lines that are
in the order of their time.
"""

import msgspec

from rowanrail.coordination import events as control_events
from rowanrail.explain.causes import cause_of
from rowanrail.explain.lines import LogLine
from rowanrail.gateway import events as gateway_events
from rowanrail.kernel import decisions
from rowanrail.model.statements import NO_EFFECT_REFUSALS, Refusal

AROUND_SECONDS = 6.0  # a replacement of a primary takes up to 4 s, with what led to it
SHOWN_LINES = 40  # about a screen

STATEMENT_EVENTS = {gateway_events.ANSWERED.number, gateway_events.REFUSED.number}
_PRIMARY_EVENTS = {
    gateway_events.PRIMARY_LOST.number,
    gateway_events.PRIMARY_PROVED.number,
    control_events.PROMOTION_DECIDED.number,
    control_events.PROMOTION_ANSWERED.number,
    control_events.PROMOTION_WAITS.number,
}


class Diagnosis(msgspec.Struct):
    """What became of a request.

    :param promise: what the answer promised the client.
    :param missing: what the logs at hand do not show.
    """

    request: str
    outcome: str
    cause: str
    promise: str
    statements: list[LogLine]
    around: list[LogLine]
    missing: list[str]


def diagnose(
    request: str, lines: list[LogLine], around_seconds: float = AROUND_SECONDS
) -> Diagnosis:
    """Return the diagnosis of a request's statements; ``lines`` are in the order of their time."""
    own = [
        line
        for line in lines
        if line.event in STATEMENT_EVENTS and line.fields.get("request") == request
    ]
    if not own:
        return Diagnosis(request, "unknown", _not_found(lines), "unknown", [], [], _gaps(lines))
    last = own[-1]
    seconds = float(last.fields.get("milliseconds", 0)) / 1000
    begin, end = last.time - seconds - around_seconds, last.time + around_seconds
    around = [line for line in lines if begin <= line.time <= end and _concerns(line, last)]
    outcome = str(last.fields.get("outcome", "?"))
    return Diagnosis(
        request,
        outcome,
        cause_of(last, around),
        _promise(outcome),
        own,
        around[:SHOWN_LINES],
        _gaps(lines, last),
    )


def _not_found(lines: list[LogLine]) -> str:
    if not lines:
        return "there is no line to read; name the logs of the proxies"
    return "no line names this request; perhaps it is in another process's log, or was left out"


_USELESS_AGAIN = (
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


def _concerns(line: LogLine, statement: LogLine) -> bool:
    """Whether a line may have decided about the statement."""
    if line.event in STATEMENT_EVENTS:
        return False
    if line.event in _PRIMARY_EVENTS:
        return line.fields.get("service") == statement.fields.get("service")
    if line.event in _TENANT_EVENTS:
        same = line.fields.get("session") == statement.fields.get("session")
        return same and line.process == statement.process
    if line.event >= control_events.NODE_STARTED.number:
        return line.event != control_events.DOCUMENT_REFUSED.number
    if line.event == gateway_events.LINK_LOST.number:
        return line.process == statement.process
    return line.process in (statement.process, statement.fields.get("via"))


def _promise(outcome: str) -> str:
    if outcome == "done":
        return "it succeeded"
    known = {refusal.value: refusal for refusal in Refusal}
    refusal = known.get(outcome)
    if refusal in NO_EFFECT_REFUSALS:
        return "nothing of it is kept; it may be sent again"
    if refusal in _USELESS_AGAIN:
        return "it did not run; sending it again will not help"
    return "nothing: it may or may not have run"


def _gaps(lines: list[LogLine], statement: LogLine | None = None) -> list[str]:
    """Return what the logs do not show."""
    missing = []
    if not any(line.event >= control_events.NODE_STARTED.number for line in lines):
        missing.append("no log of a control node: promotions and committed versions are unknown")
    left_out = [line for line in lines if line.event == decisions.LEFT_OUT.number]
    if statement is not None:
        left_out = [line for line in left_out if line.process == statement.process]
    other = sum(int(line.fields.get("other", 0)) for line in left_out)
    if other:
        missing.append(f"{other} lines beside informative ones were left out by the budget")
    return missing
