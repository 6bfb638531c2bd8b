"""What a holder does with a statement that another gateway sent.

The sender relies on the answer: a statement that is not served or denied has not run, and a
transaction that was ended here never resumes in a new one.

Owns nothing and relies on nothing; :mod:`serving` acts on the decisions.
"""

import enum

__all__ = ["ArrivalDecision", "decide_arrival"]


class ArrivalDecision(enum.Enum):
    """What to do with a statement on its arrival."""

    RUN = "run"
    NOT_SERVED = "not-served"  # nothing ran; the sender may use another gateway
    DENIED = "denied"  # the key was revoked; an open transaction is rolled back
    ENDED = "ended"  # its transaction is no longer open here; answered as aborted


def decide_arrival(
    is_open: bool, begins: bool, is_admitted: bool, is_stopping: bool
) -> ArrivalDecision:
    """Return what to do with a statement that another gateway sent.

    Parameters
    ----------
    is_open : bool
        Whether it belongs to a transaction that is open here.
    begins : bool
        Whether it is the first statement of its transaction, or a single statement.
    is_admitted : bool
        Whether its client's key is valid, by the newer of the two gateways' configurations.
    is_stopping : bool
        Whether a planned stop has begun; open transactions may continue for a while.

    Examples
    --------
    >>> decide_arrival(is_open=True, begins=False, is_admitted=True, is_stopping=True).value
    'run'
    >>> decide_arrival(is_open=False, begins=True, is_admitted=True, is_stopping=True).value
    'not-served'
    >>> decide_arrival(is_open=False, begins=False, is_admitted=True, is_stopping=False).value
    'ended'
    """
    if not (is_open or begins):
        return ArrivalDecision.ENDED
    if not is_admitted:
        return ArrivalDecision.DENIED
    return ArrivalDecision.NOT_SERVED if is_stopping and not is_open else ArrivalDecision.RUN
