"""Why a statement was rejected, in words, from the fields of its log line.

For the causes of a diagnosis. Owns the sentence of each decision of admission, with the rule that
decided; relies on the fields of :class:`rowanrail.model.trace.Rejection`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rowanrail.scheduling.admission import RejectionCause

__all__ = ["REJECTIONS", "RejectionRule", "why_rejected"]


@dataclass(frozen=True, slots=True)
class RejectionRule:
    """What is said of one cause of a rejection.

    Parameters
    ----------
    rule : str
        Path of the function that decided, for readers of the code; it isn't printed.
    sentence : callable
        Gets the forecast wait and run, the time left (milliseconds, "?" if not logged) and the
        gateway it was to be sent to.
    """

    rule: str
    sentence: Callable[[Any, Any, Any, str], str]


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


def why_rejected(fields: dict[str, Any]) -> str:
    """Return what a rejection rested on, empty if it was no decision of admission.

    Parameters
    ----------
    fields : dict
        Of the statement's line in a decision log.

    Examples
    --------
    >>> why_rejected({"cause": "way-too-long", "run": 80, "left": 60, "return_in": 100})
    '60 ms were left and the way to its holder and back takes up to 80 ms; told to return in 0.10 s'
    >>> why_rejected({"stage": "sent"})
    ''
    """
    known = REJECTIONS.get(str(fields.get("cause")))
    if known is None:
        return ""
    wait, run, left = fields.get("wait", "?"), fields.get("run", "?"), fields.get("left", "?")
    text = known.sentence(wait, run, left, fields.get("via") or "its holder")
    return f"{text}; told to return in {fields.get('return_in', 0) / 1000:.2f} s"
