"""Messages for statements that admission control rejected, by cause.

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
REJECTIONS: dict[str, RejectionRule] = {
    RejectionCause.OVERLOADED.value: RejectionRule(
        f"{_ADMISSION}.decide_on_arrival",
        lambda wait, run, left, peer: (
            f"when it came about {wait} ms of waiting lay before it and {left} ms were left"
        ),
    ),
    RejectionCause.PAST_DEADLINE.value: RejectionRule(
        f"{_ADMISSION}.decide_while_waiting",
        lambda wait, run, left, peer: (
            f"while it waited about {wait} ms still lay before it and {left} ms were left"
        ),
    ),
    RejectionCause.HOLDER_OVERLOADED.value: RejectionRule(
        f"{_ADMISSION}.decide_forwarding",
        lambda wait, run, left, peer: (
            f"{peer} had told of a line of {wait} ms or more, so that it was not sent there"
        ),
    ),
    RejectionCause.ROUND_TRIP_TOO_LONG.value: RejectionRule(
        f"{_ADMISSION}.decide_forwarding",
        lambda wait, run, left, peer: (
            f"{left} ms were left and the way to {peer} and back takes up to {run} ms"
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
    >>> describe_rejection({"cause": "way-too-long", "run": 80, "left": 60, "return_in": 100})
    '60 ms were left and the way to its holder and back takes up to 80 ms; told to return in 0.10 s'
    >>> describe_rejection({"stage": "sent"})
    ''
    """
    rule = REJECTIONS.get(str(fields.get("cause")))
    if rule is None:
        return ""
    wait, run, left = fields.get("wait", "?"), fields.get("run", "?"), fields.get("left", "?")
    text = rule.message(wait, run, left, fields.get("via") or "its holder")
    return f"{text}; told to return in {fields.get('return_in', 0) / 1000:.2f} s"
