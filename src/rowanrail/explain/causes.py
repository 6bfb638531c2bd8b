"""The table of causes: what a request's last log line and those around it say of its answer.

For :mod:`rowanrail.explain.diagnosis`. Owns the causes in the order in which they are tried, each
with its condition, its sentence and the rule that decided. A new kind of refusal gets a row, before
the rows whose condition holds of it too. Relies on the log fields of events 300, 301, 314, 332, 333
and 420.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from rowanrail.coordination import events as control_events
from rowanrail.explain.lines import LogLine
from rowanrail.explain.rejections import why_rejected
from rowanrail.gateway import events as gateway_events
from rowanrail.gateway.work.connected import Stage
from rowanrail.model.statements import Refusal

__all__ = ["CAUSES", "CauseRule", "Evidence", "cause_of"]

ROUNDING_SECONDS = 0.0015  # log times are whole milliseconds; two lines may be rounded apart


@dataclass(frozen=True)
class Evidence:
    """What is known of one answer.

    Parameters
    ----------
    statement : LogLine
        Of the answer.
    around : list of LogLine
        What may have decided about it.
    """

    statement: LogLine
    around: list[LogLine]

    @property
    def fields(self) -> dict[str, Any]:
        """Fields of the statement's line."""
        return self.statement.fields

    @property
    def outcome(self) -> Any:
        """What the client was told."""
        return self.fields.get("outcome")

    @property
    def reason(self) -> Any:
        """The answer's message."""
        return self.fields.get("reason", "")

    @property
    def stage(self) -> Any:
        """How far the statement came, see :class:`rowanrail.gateway.work.connected.Stage`."""
        return self.fields.get("stage")

    @property
    def service(self) -> Any:
        """The service that it was for."""
        return self.fields.get("service", "?")

    @property
    def via(self) -> Any:
        """The gateway that it was sent to, if that is another one."""
        return self.fields.get("via")

    @property
    def member(self) -> str:
        """The member that was tried last, and through which gateway."""
        member = self.fields.get("member") or "no member"
        return f"{member} through {self.via}" if self.via else str(member)

    @cached_property
    def rejected(self) -> str:
        """What admission decided, empty if it decided nothing."""
        return why_rejected(self.fields)

    @cached_property
    def over_limit(self) -> str:
        """How far its tenant was over a limit, empty if it was not refused for that."""
        return _over_limit(self.statement, self.around)

    @cached_property
    def lost(self) -> str:
        """What was wrong with the primary, empty if nothing is known."""
        return _primary_trouble(self.statement, self.around)


@dataclass(frozen=True, slots=True)
class CauseRule:
    """One cause.

    Parameters
    ----------
    name : str
        Short name, for readers of the table.
    rule : str
        Path of the function that decided, for readers of the code; empty if none did. Not printed.
    holds : callable
        Whether it is the cause, if none before it is.
    sentence : callable
        What is printed.
    """

    name: str
    rule: str
    holds: Callable[[Evidence], bool]
    sentence: Callable[[Evidence], str]


def _connection_sentence(known: Evidence) -> str:
    short = f"{known.member} of {known.service} had no connection free in time ({known.reason})"
    return f"{short}: {known.rejected}" if known.rejected else short


_WORK = "rowanrail.gateway.work"
CAUSES = (
    CauseRule(
        "it succeeded",
        "",
        lambda known: known.outcome == "done",
        lambda known: f"it ran at {known.member} in {known.fields.get('milliseconds')} ms",
    ),
    CauseRule(
        "no holder of the service's connections",
        "rowanrail.gateway.relay.forwarding_rules.without_holder",
        lambda known: known.stage == Stage.WAITS_FOR_HOLDER.value and not known.rejected,
        lambda known: (
            f"no gateway of its zone held connections to {known.service} in time ({known.reason})"
        ),
    ),
    CauseRule(
        "the link to the gateway it was sent to was lost",
        "rowanrail.gateway.policies.LinkOutcome.refusal",
        lambda known: (
            bool(known.via) and not known.fields.get("member") and known.stage == Stage.SENT.value
        ),
        lambda known: f"it was sent to gateway {known.via}, whose link was lost ({known.reason})",
    ),
    CauseRule(
        "its key was withdrawn",
        "rowanrail.gateway.policies.KeyCheck.is_same_identity",
        lambda known: known.outcome == Refusal.DENIED.value,
        lambda known: (
            f"its key is no longer tenant {known.fields.get('tenant')}'s ({known.reason})"
        ),
    ),
    CauseRule(
        "its tenant was over the limit",
        "rowanrail.tenants.quota.QuotaLimiter.admit",
        lambda known: bool(known.over_limit),
        lambda known: known.over_limit,
    ),
    CauseRule(
        "no route",
        "rowanrail.gateway.sessions.access.AccessControl.refuse_unknown_database",
        lambda known: known.outcome == Refusal.UNKNOWN_DATABASE.value,
        lambda known: _missing_route(known.statement, known.around),
    ),
    CauseRule(
        "the member's log lacked the floor",
        f"{_WORK}.attempts.step_after_read",
        lambda known: known.outcome == Refusal.BEHIND.value,
        lambda known: (
            f"the log of {known.member} lacked the position that the read must see{known.lost}"
        ),
    ),
    CauseRule(
        "its outcome is unknown",
        f"{_WORK}.attempts.refusal_without_answer",
        lambda known: known.outcome == Refusal.OUTCOME_UNKNOWN.value,
        lambda known: (
            f"it was sent to {known.member} and its answer did not come ({known.reason})"
            f"{known.lost}"
        ),
    ),
    CauseRule(
        "no connection free, with a primary that is well",
        "rowanrail.scheduling.admission.decide_while_waiting",
        lambda known: known.stage == Stage.WAITS_FOR_CONNECTION.value and not known.lost,
        _connection_sentence,
    ),
    CauseRule(
        "rejected by admission; explain.rejections names the rule of each cause",
        "rowanrail.scheduling.admission.decide_on_arrival",
        lambda known: bool(known.rejected),
        lambda known: f"{known.reason}: {known.rejected}{known.lost}",
    ),
    CauseRule(
        "the member had too much to do",
        f"{_WORK}.attempts.step_after_write",
        lambda known: known.stage == Stage.SENT.value and known.outcome == Refusal.BUSY.value,
        lambda known: (
            f"{known.member} of {known.service} had too much to do and refused it{known.lost}"
        ),
    ),
    CauseRule(
        "the primary was lost",
        f"{_WORK}.refusals.primary_unavailable_reason",
        lambda known: bool(known.lost),
        lambda known: f"it could not run{known.lost}",
    ),
    CauseRule(
        "anything else",
        "",
        lambda known: True,
        lambda known: (
            f"{known.reason or known.outcome} "
            f"(stage {known.fields.get('stage', '?')}, at {known.member})"
        ),
    ),
)


def cause_of(statement: LogLine, around: list[LogLine]) -> str:
    """Return the first cause of the table that holds, in words.

    Parameters
    ----------
    statement : LogLine
        Of the request's last answer.
    around : list of LogLine
        What may have decided about it, in the order of time.
    """
    known = Evidence(statement, around)
    return next(cause.sentence(known) for cause in CAUSES if cause.holds(known))


def _missing_route(statement: LogLine, around: list[LogLine]) -> str:
    """Return which version lacked the route, and which control node called it the newest."""
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
    """Return how far a tenant was over its limit when it was refused for that.

    The limit is logged between the statement's arrival and its answer. The lines of a session's
    earlier statements say nothing of this one.
    """
    begin = (
        statement.time - float(statement.fields.get("milliseconds", 0)) / 1000 - ROUNDING_SECONDS
    )
    for line in around:
        if line.event != gateway_events.OVER_QUOTA.number:
            continue
        if not begin <= line.time <= statement.time:
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
