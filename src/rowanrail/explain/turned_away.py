"""Why a statement was turned away, in words, from the fields of its line."""

from typing import Any

from rowanrail.scheduling.admission import Cause

__all__ = ["why_turned_away"]


def why_turned_away(fields: dict[str, Any]) -> str:
    """Return what a refusal rested on, empty if it was no decision of admission.

    Parameters
    ----------
    fields : dict
        Of the statement's line in a decision log.

    Examples
    --------
    >>> why_turned_away({"cause": "way-too-long", "run": 80, "left": 60, "return_in": 100})
    '60 ms were left and the way to its holder and back takes up to 80 ms; told to return in 0.10 s'
    >>> why_turned_away({"stage": "sent"})
    ''
    """
    text = _decision(fields)
    if not text:
        return ""
    return f"{text}; told to return in {fields.get('return_in', 0) / 1000:.2f} s"


def _decision(fields: dict[str, Any]) -> str:
    wait, left, run = fields.get("wait", "?"), fields.get("left", "?"), fields.get("run", "?")
    peer = fields.get("via") or "its holder"
    match fields.get("cause"):
        case Cause.CROWDED.value:
            return f"when it came about {wait} ms of waiting lay before it and {left} ms were left"
        case Cause.HOPELESS.value:
            return f"while it waited about {wait} ms still lay before it and {left} ms were left"
        case Cause.HOLDER_CROWDED.value:
            return f"{peer} had told of a line of {wait} ms or more, so that it was not sent there"
        case Cause.WAY_TOO_LONG.value:
            return f"{left} ms were left and the way to {peer} and back takes up to {run} ms"
    return ""
