"""From lines to the story of one request: its cause first, then what happened around it."""

import msgspec

from rowanrail.coordination import events as control_events
from rowanrail.explain.lines import LogLine
from rowanrail.explain.turned_away import why_turned_away
from rowanrail.gateway import events as gateway_events
from rowanrail.gateway.work.operation import Stage
from rowanrail.kernel import decisions
from rowanrail.model.statements import NOT_RUN, Refusal

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


class Story(msgspec.Struct):
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


def tell(request: str, lines: list[LogLine], around_seconds: float = AROUND_SECONDS) -> Story:
    """Return the story of a request's statements; ``lines`` are in the order of their time."""
    own = [
        line
        for line in lines
        if line.event in STATEMENT_EVENTS and line.fields.get("request") == request
    ]
    if not own:
        return Story(request, "unknown", _not_found(lines), "unknown", [], [], _gaps(lines))
    last = own[-1]
    seconds = float(last.fields.get("milliseconds", 0)) / 1000
    begin, end = last.time - seconds - around_seconds, last.time + around_seconds
    around = [line for line in lines if begin <= line.time <= end and _concerns(line, last)]
    outcome = str(last.fields.get("outcome", "?"))
    return Story(
        request,
        outcome,
        _cause(last, around),
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
    if refusal in NOT_RUN:
        return "nothing of it is kept; it may be sent again"
    if refusal in _USELESS_AGAIN:
        return "it did not run; sending it again will not help"
    return "nothing: it may or may not have run"


def _cause(statement: LogLine, around: list[LogLine]) -> str:
    fields = statement.fields
    outcome, reason = fields.get("outcome"), fields.get("reason", "")
    service, member = fields.get("service", "?"), fields.get("member") or "no member"
    via = fields.get("via")
    if via:
        member = f"{member} through {via}"
    if outcome == "done":
        return f"it ran at {member} in {fields.get('milliseconds')} ms"
    turned_away = why_turned_away(fields)
    if fields.get("stage") == Stage.WAITS_FOR_HOLDER.value and not turned_away:
        return f"no gateway of its zone held connections to {service} in time ({reason})"
    if via and not fields.get("member") and fields.get("stage") == Stage.SENT.value:
        return f"it was sent to gateway {via}, whose link was lost ({reason})"
    if outcome == Refusal.DENIED.value:
        return f"its key is no longer tenant {fields.get('tenant')}'s ({reason})"
    over = _over_limit(statement, around)
    if over:
        return over
    lost = _primary_trouble(statement, around)
    if outcome == Refusal.UNKNOWN_DATABASE.value:
        return _missing_route(statement, around)
    if outcome == Refusal.BEHIND.value:
        return f"the log of {member} lacked the position that the read must see{lost}"
    if outcome == Refusal.OUTCOME_UNKNOWN.value:
        return f"it was sent to {member} and its answer did not come ({reason}){lost}"
    if fields.get("stage") == "waits-for-connection" and not lost:
        short = f"{member} of {service} had no connection free in time ({reason})"
        return f"{short}: {turned_away}" if turned_away else short
    if turned_away:
        return f"{reason}: {turned_away}{lost}"
    if fields.get("stage") == "sent" and outcome == Refusal.BUSY.value:
        return f"{member} of {service} had too much to do and refused it{lost}"
    if lost:
        return f"it could not run{lost}"
    return f"{reason or outcome} (stage {fields.get('stage', '?')}, at {member})"


def _missing_route(statement: LogLine, around: list[LogLine]) -> str:
    """Return which version lacked the route, and on whose word it is the newest."""
    fields = statement.fields
    cause = f"version {fields.get('version')} has no route for {fields.get('database')}"
    for line in around:
        same = line.process == statement.process and line.time == statement.time
        if line.event != gateway_events.ROUTE_MISSING.number or not same:
            continue
        control, heard = line.fields.get("control"), line.fields.get("heard_ms")
        if heard is not None:
            return f"{cause}; control node {control} had called it the newest {heard} ms before"
    return cause


def _over_limit(statement: LogLine, around: list[LogLine]) -> str:
    """Return how far a tenant was over its limit when it was refused for that."""
    for line in around:
        if line.event != gateway_events.OVER_QUOTA.number or line.time != statement.time:
            continue
        seen = line.fields
        return (
            f"tenant {seen.get('tenant')} may begin {seen.get('limit')} operations in a window; "
            f"{seen.get('fleet')} had begun at all gateways and {seen.get('asked')} were asked for "
            f"in a second, as known {seen.get('age_ms')} ms before"
        )
    return ""


def _primary_trouble(statement: LogLine, around: list[LogLine]) -> str:
    failing = float(statement.fields.get("primary_failing_for") or 0)
    begin = statement.time - float(statement.fields.get("milliseconds", 0)) / 1000
    lost = [
        line
        for line in around
        if line.event == gateway_events.PRIMARY_LOST.number and line.time <= statement.time + 1
    ]
    decided = [line for line in around if line.event == control_events.PROMOTION_DECIDED.number]
    if not failing and not (lost and lost[-1].time > begin - 1) and not decided:
        return ""
    service = statement.fields.get("service", "?")
    text = f": the primary of {service} was lost"
    if failing:
        text += f" (for {failing} s at {statement.fields.get('via') or 'this proxy'})"
    if decided:
        order = decided[-1].fields
        when = decided[-1].time - statement.time
        text += (
            f"; {order.get('instance')} was promoted under token {order.get('token')}, "
            f"{abs(when):.1f} s {'after' if when > 0 else 'before'} the answer, "
            f"because {order.get('reason')}"
        )
    else:
        text += "; no order to replace it is in these logs"
    return text


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
