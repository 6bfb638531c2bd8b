"""What is logged of a statement: how its answer came about, and why it was rejected.

Owns the two records, which also travel between gateways, as arrays. Relies on nothing.
"""

import msgspec


class Rejection(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Why a statement was rejected, for the log; times in whole milliseconds.

    Parameters
    ----------
    cause : str
        A :class:`rowanrail.scheduling.admission.RejectionCause`.
    wait : int
        Forecast until it could have been sent.
    run : int
        Forecast from then to its answer.
    left : int
        Until its time was over.
    urgency : int
        Priority of its route, 0 for the most urgent.
    return_in : int
        After which its client was told to retry.
    """

    cause: str
    wait: int
    run: int
    left: int
    urgency: int
    return_in: int


class Trace(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What decided about a statement, for the log; ages in seconds.

    Parameters
    ----------
    stage : str
        How far it came.
    attempts : int
        At how many members, or neighbours, it was tried.
    sample_age : float or None
        Age of the newest proof of the primary's position.
    via : str
        The gateway whose connections it ran on, if that is another one.
    rejection : Rejection or None
        Why it was rejected, if it was.
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
