"""The table of causes, which maps log lines to the reason for a request's answer.

The causes are tried in order, and the first whose condition matches is reported. A new kind of
refusal gets a row before all rows whose condition matches it too. Uses the log fields of events
300, 301, 314, 332, 333 and 420.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from rowanrail.coordination import events as control_events
from rowanrail.explain.lines import LogLine
from rowanrail.explain.rejections import describe_rejection
from rowanrail.gateway import events as gateway_events
from rowanrail.gateway.work.connected import Stage
from rowanrail.model.statements import Refusal

__all__ = ["CAUSES", "CauseRule", "Evidence", "describe_cause"]

ROUNDING_SECONDS = 0.0015  # log times are rounded to whole milliseconds


@dataclass(frozen=True)
class Evidence:
    """The log lines that explain one answer.

    Parameters
    ----------
    statement : LogLine
        The line of the answer itself.
    context : list of LogLine
        Lines of other events that may have determined it.
    """

    statement: LogLine
    context: list[LogLine]

    @property
    def fields(self) -> dict[str, Any]:
        """Fields of the statement's line."""
        return self.statement.fields

    @property
    def outcome(self) -> Any:
        """Outcome that was reported to the client."""
        return self.fields.get("outcome")

    @property
    def reason(self) -> Any:
        """Message of the answer."""
        return self.fields.get("reason", "")

    @property
    def stage(self) -> Any:
        """Last :class:`rowanrail.gateway.work.connected.Stage` that the statement reached."""
        return self.fields.get("stage")

    @property
    def service(self) -> Any:
        """Service that the statement addressed."""
        return self.fields.get("service", "?")

    @property
    def via(self) -> Any:
        """Gateway that the statement was forwarded to, None if it was not forwarded."""
        return self.fields.get("via")

    @property
    def member(self) -> str:
        """Member that was tried last, with the gateway through which it was reached."""
        member = self.fields.get("member") or "no member"
        return f"{member} through {self.via}" if self.via else str(member)

    @cached_property
    def rejection(self) -> str:
        """Why admission control rejected the statement, empty if it didn't."""
        return describe_rejection(self.fields)

    @cached_property
    def exceeded_limit(self) -> str:
        """Which limit the tenant exceeded and by how much, empty if none."""
        return _describe_exceeded_limit(self.statement, self.context)

    @cached_property
    def primary_failure(self) -> str:
        """What is known of a failure of the primary, empty if nothing."""
        return _describe_primary_failure(self.statement, self.context)


@dataclass(frozen=True, slots=True)
class CauseRule:
    """One row of the table of causes.

    Parameters
    ----------
    name : str
        Short name; documentation only.
    rule : str
        Path of the function that decided, empty if none did; documentation only.
    matches : callable
        Condition, tried only if no earlier row matches.
    message : callable
        Returns the text that is printed.
    """

    name: str
    rule: str
    matches: Callable[[Evidence], bool]
    message: Callable[[Evidence], str]


def _no_connection_message(evidence: Evidence) -> str:
    text = (
        f"{evidence.member} of {evidence.service} had no free connection in time "
        f"({evidence.reason})"
    )
    return f"{text}: {evidence.rejection}" if evidence.rejection else text


_WORK = "rowanrail.gateway.work"
CAUSES = (
    CauseRule(
        "succeeded",
        "",
        lambda evidence: evidence.outcome == "done",
        lambda evidence: f"it ran at {evidence.member} in {evidence.fields.get('milliseconds')} ms",
    ),
    CauseRule(
        "no gateway of the zone holds connections to the service",
        "rowanrail.gateway.relay.forwarding_rules.without_holder",
        lambda evidence: evidence.stage == Stage.WAITS_FOR_HOLDER.value and not evidence.rejection,
        lambda evidence: (
            f"no gateway in its zone held connections to {evidence.service} in time "
            f"({evidence.reason})"
        ),
    ),
    CauseRule(
        "connection lost to the gateway it was forwarded to",
        "rowanrail.gateway.policies.LinkOutcome.refusal",
        lambda evidence: (
            bool(evidence.via)
            and not evidence.fields.get("member")
            and evidence.stage == Stage.SENT.value
        ),
        lambda evidence: (
            f"it was forwarded to gateway {evidence.via} and the connection to that gateway was "
            f"lost ({evidence.reason})"
        ),
    ),
    CauseRule(
        "tenant key revoked",
        "rowanrail.gateway.policies.KeyCheck.is_same_identity",
        lambda evidence: evidence.outcome == Refusal.DENIED.value,
        lambda evidence: (
            f"its key no longer belongs to tenant {evidence.fields.get('tenant')} "
            f"({evidence.reason})"
        ),
    ),
    CauseRule(
        "tenant limit exceeded",
        "rowanrail.tenants.quota.QuotaLimiter.admit",
        lambda evidence: bool(evidence.exceeded_limit),
        lambda evidence: evidence.exceeded_limit,
    ),
    CauseRule(
        "no route",
        "rowanrail.gateway.sessions.access.AccessControl.refuse_unknown_database",
        lambda evidence: evidence.outcome == Refusal.UNKNOWN_DATABASE.value,
        lambda evidence: _describe_missing_route(evidence.statement, evidence.context),
    ),
    CauseRule(
        "member's log behind the position that the read requires",
        f"{_WORK}.attempts.step_after_read",
        lambda evidence: evidence.outcome == Refusal.BEHIND.value,
        lambda evidence: (
            f"the log of {evidence.member} had not reached the position that the read requires"
            f"{evidence.primary_failure}"
        ),
    ),
    CauseRule(
        "commit not confirmed",
        "rowanrail.members.leadership.CommitVerifier.stands",
        lambda evidence: (
            evidence.outcome == Refusal.OUTCOME_UNKNOWN.value
            and evidence.stage == Stage.WAITS_FOR_CONFIRMATION.value
        ),
        lambda evidence: (
            f"{evidence.member} reported that it was committed, and it isn't known whether that "
            f"member still led ({evidence.reason}); a successor may have rolled the commit back"
            f"{evidence.primary_failure}"
        ),
    ),
    CauseRule(
        "outcome unknown",
        f"{_WORK}.attempts.refusal_without_answer",
        lambda evidence: evidence.outcome == Refusal.OUTCOME_UNKNOWN.value,
        lambda evidence: (
            f"it was sent to {evidence.member} and no answer was received ({evidence.reason})"
            f"{evidence.primary_failure}"
        ),
    ),
    CauseRule(
        "no free connection while the primary is healthy",
        "rowanrail.scheduling.admission.decide_while_waiting",
        lambda evidence: (
            evidence.stage == Stage.WAITS_FOR_CONNECTION.value and not evidence.primary_failure
        ),
        _no_connection_message,
    ),
    CauseRule(
        "rejected by admission control; explain.rejections names the rule of each rejection",
        "rowanrail.scheduling.admission.decide_on_arrival",
        lambda evidence: bool(evidence.rejection),
        lambda evidence: f"{evidence.reason}: {evidence.rejection}{evidence.primary_failure}",
    ),
    CauseRule(
        "member overloaded",
        f"{_WORK}.attempts.step_after_write",
        lambda evidence: (
            evidence.stage == Stage.SENT.value and evidence.outcome == Refusal.BUSY.value
        ),
        lambda evidence: (
            f"{evidence.member} of {evidence.service} was overloaded and refused it"
            f"{evidence.primary_failure}"
        ),
    ),
    CauseRule(
        "primary failed",
        f"{_WORK}.refusals.primary_unavailable_reason",
        lambda evidence: bool(evidence.primary_failure),
        lambda evidence: f"it could not run{evidence.primary_failure}",
    ),
    CauseRule(
        "other",
        "",
        lambda evidence: True,
        lambda evidence: (
            f"{evidence.reason or evidence.outcome} "
            f"(stage {evidence.fields.get('stage', '?')}, at {evidence.member})"
        ),
    ),
)


def describe_cause(statement: LogLine, context: list[LogLine]) -> str:
    """Return the message of the first cause that matches.

    Parameters
    ----------
    statement : LogLine
        The line of the request's last answer.
    context : list of LogLine
        Lines of other events that may have determined it, in the order of time.
    """
    evidence = Evidence(statement, context)
    return next(cause.message(evidence) for cause in CAUSES if cause.matches(evidence))


def _describe_missing_route(statement: LogLine, context: list[LogLine]) -> str:
    """Return which version lacked the route, and which control node reported it as the newest."""
    fields = statement.fields
    cause = f"version {fields.get('version')} has no route for {fields.get('database')}"
    for line in context:
        is_same_event = line.process == statement.process and line.time == statement.time
        if line.event != gateway_events.ROUTE_MISSING.number or not is_same_event:
            continue
        control, age_ms = line.fields.get("control"), line.fields.get("heard_ms")
        if age_ms is not None:
            return (
                f"{cause}; control node {control} had confirmed {age_ms} ms earlier that it was "
                "the newest version"
            )
    return cause


def _describe_exceeded_limit(statement: LogLine, context: list[LogLine]) -> str:
    """Return which limit a tenant exceeded when the statement was refused, empty if none.

    Only lines between the statement's arrival and its answer count: earlier ones belong to earlier
    statements of the session.
    """
    started_at = (
        statement.time - float(statement.fields.get("milliseconds", 0)) / 1000 - ROUNDING_SECONDS
    )
    for line in context:
        if line.event != gateway_events.OVER_QUOTA.number:
            continue
        if not started_at <= line.time <= statement.time:
            continue
        limit = line.fields
        return (
            f"tenant {limit.get('tenant')} is limited to {limit.get('limit')} operations per "
            f"window; the reporting gateways admitted {limit.get('fleet')} in the last window and "
            f"received {limit.get('asked')} in the last second, according to totals that were "
            f"{limit.get('age_ms')} ms old"
        )
    return ""


def _describe_primary_failure(statement: LogLine, context: list[LogLine]) -> str:
    failing_seconds = float(statement.fields.get("primary_failing_for") or 0)
    started_at = statement.time - float(statement.fields.get("milliseconds", 0)) / 1000
    losses = [
        line
        for line in context
        if line.event == gateway_events.PRIMARY_LOST.number and line.time <= statement.time + 1
    ]
    promotions = [line for line in context if line.event == control_events.PROMOTION_DECIDED.number]
    if not failing_seconds and not (losses and losses[-1].time > started_at - 1) and not promotions:
        return ""
    service = statement.fields.get("service", "?")
    text = f": the primary of {service} was lost"
    if failing_seconds:
        text += (
            f" (failing for {failing_seconds} s as seen by "
            f"{statement.fields.get('via') or 'the answering proxy'})"
        )
    if promotions:
        promotion = promotions[-1].fields
        offset = promotions[-1].time - statement.time
        text += (
            f"; {promotion.get('instance')} was promoted with token {promotion.get('token')}, "
            f"{abs(offset):.1f} s {'after' if offset > 0 else 'before'} the answer, "
            f"because {promotion.get('reason')}"
        )
    else:
        text += "; these logs contain no decision to replace it"
    return text
