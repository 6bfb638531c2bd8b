"""Records for the log of a statement: how it was executed, and why it was rejected.

The records are also sent between gateways, as arrays; their field names are log fields.
"""

import msgspec


class Rejection(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Why a statement was rejected; times in whole milliseconds.

    Parameters
    ----------
    cause : str
        A :class:`rowanrail.scheduling.admission.RejectionCause`.
    wait : int
        Forecast of the time until it could be sent.
    run : int
        Forecast of the time from then to its answer.
    left : int
        Remaining time until its time limit.
    urgency : int
        Priority of its route, 0 for the most urgent.
    return_in : int
        Retry-After that was sent to its client.
    """

    cause: str
    wait: int
    run: int
    left: int
    urgency: int
    return_in: int


class Trace(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """How a statement was executed; ages in seconds.

    Parameters
    ----------
    stage : str
        Last stage that it reached.
    attempts : int
        Number of members or neighbours at which it was attempted.
    sample_age : float or None
        Age of the latest proof of the primary's position.
    via : str
        The other gateway on whose connections it ran; empty if none.
    rejection : Rejection or None
        Reason of its rejection, if it was rejected.
    """

    service: str
    stage: str
    member: str = ""
    attempts: int = 0
    primary: str = ""
    primary_failing_for: float = 0.0
    sample_age: float | None = None
    via: str = ""
    rejection: Rejection | None = None
