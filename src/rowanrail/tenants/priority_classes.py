"""Which kinds of a tenant's operations begin while its limit does not let all of them begin.

A function on plain values, without state; the part that may begin comes from
:func:`rowanrail.tenants.quota.admitted_fraction`.
"""

from collections.abc import Mapping

__all__ = ["class_fraction"]

# Of what may begin, is divided evenly: a class that is less urgent goes on at a tenth of its even
# part, so that its callers see that it works, and retry, rather than stop.
EVEN_OPERATION_SHARE = 0.1


def class_fraction(part: float, asked: Mapping[int, float], urgency: int) -> float:
    """Return which part of one class's operations may begin; 1 or more for all.

    Parameters
    ----------
    part : float
        Which part of all that the tenant asks for may begin.
    asked : mapping of int to float
        What is asked for lately, by urgency; 0 is the most urgent.
    urgency : int
        The class.

    Examples
    --------
    A quarter may begin, and an eighth is urgent: nearly all of that does.

    >>> asked = {0: 10, 2: 70}
    >>> round(class_fraction(0.25, asked, 0), 2), round(class_fraction(0.25, asked, 2), 2)
    (1.0, 0.14)
    >>> class_fraction(1.5, asked, 2)
    1.5
    """
    if part >= 1 or not asked.get(urgency):
        return part
    left = (1 - EVEN_OPERATION_SHARE) * part * sum(asked.values())
    for other in sorted(asked):
        even = EVEN_OPERATION_SHARE * part * asked[other]
        more = min(asked[other] - even, left)
        left -= more
        if other == urgency:
            return (even + more) / asked[other]
    return part
