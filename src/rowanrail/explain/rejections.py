"""Messages for statements that admission control or the rule of members rejected, by cause.

Uses the fields of :class:`rowanrail.model.trace.Rejection` as they are logged.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rowanrail.scheduling.admission import RejectionCause

__all__ = ["REJECTIONS", "RejectionRule", "describe_rejection"]


@dataclass(frozen=True, slots=True)
class RejectionRule:
    """Message for one cause of rejection.

    Parameters
    ----------
    rule : str
        Path of the function that decided; documentation only.
    message : callable
        Takes the forecast wait and run time, the time left (milliseconds, "?" if not logged) and
        the gateway to which the statement would have been forwarded.
    """

    rule: str
    message: Callable[[Any, Any, Any, str], str]


_ADMISSION = "rowanrail.scheduling.admission"
_ELIGIBILITY = "rowanrail.members.eligibility.Eligibility.exclusion"
REJECTIONS: dict[str, RejectionRule] = {
    RejectionCause.OVERLOADED.value: RejectionRule(
        f"{_ADMISSION}.decide_on_arrival",
        lambda wait, run, left, peer: (
            f"on arrival its estimated wait was {wait} ms and {left} ms remained until its deadline"
        ),
    ),
    RejectionCause.PAST_DEADLINE.value: RejectionRule(
        f"{_ADMISSION}.decide_while_waiting",
        lambda wait, run, left, peer: (
            f"while it was queued its estimated remaining wait was {wait} ms and {left} ms "
            "remained until its deadline"
        ),
    ),
    RejectionCause.HOLDER_OVERLOADED.value: RejectionRule(
        f"{_ADMISSION}.decide_forwarding",
        lambda wait, run, left, peer: (
            f"the load that {peer} reported implied a wait of at least {wait} ms, so it was not "
            "forwarded"
        ),
    ),
    RejectionCause.ROUND_TRIP_TOO_LONG.value: RejectionRule(
        f"{_ADMISSION}.decide_forwarding",
        lambda wait, run, left, peer: (
            f"{left} ms remained until its deadline and the round trip to {peer} takes up to "
            f"{run} ms"
        ),
    ),
    RejectionCause.EVACUATED.value: RejectionRule(
        _ELIGIBILITY,
        lambda wait, run, left, peer: (
            "an operator has evacuated the zone of every member that could run it"
        ),
    ),
    RejectionCause.OUTSIDE_REGIONS.value: RejectionRule(
        _ELIGIBILITY,
        lambda wait, run, left, peer: (
            "the members that could run it are outside the regions of its route and tenant"
        ),
    ),
    RejectionCause.WARMING_UP.value: RejectionRule(
        _ELIGIBILITY,
        lambda wait, run, left, peer: (
            "the members that could run it are warming up and take no more statements for now"
        ),
    ),
    RejectionCause.LEAVING.value: RejectionRule(
        _ELIGIBILITY,
        lambda wait, run, left, peer: (
            "the only member that could run it announced that it leaves, and has not been replaced"
        ),
    ),
}


def describe_rejection(fields: dict[str, Any]) -> str:
    """Return why admission control rejected a statement, empty if it didn't.

    Parameters
    ----------
    fields : dict
        Fields of the statement's line in a decision log.

    Examples
    --------
    >>> fields = {"cause": "way-too-long", "run": 80, "left": 60, "return_in": 100}
    >>> reason, retry = describe_rejection(fields).split("; ")
    >>> reason
    '60 ms remained until its deadline and the round trip to its holder takes up to 80 ms'
    >>> retry
    'the client was told to retry after 0.10 s'
    >>> describe_rejection({"stage": "sent"})
    ''
    """
    rule = REJECTIONS.get(str(fields.get("cause")))
    if rule is None:
        return ""
    wait, run, left = fields.get("wait", "?"), fields.get("run", "?"), fields.get("left", "?")
    text = rule.message(wait, run, left, fields.get("via") or "its holder")
    return f"{text}; the client was told to retry after {fields.get('return_in', 0) / 1000:.2f} s"
