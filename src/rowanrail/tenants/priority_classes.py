"""Divides a tenant's admissions among its priority classes while its quota is exceeded.

A pure function; the fraction to admit comes from :func:`rowanrail.tenants.quota.admitted_fraction`.
"""

from collections.abc import Mapping

__all__ = ["class_fraction"]

# Share of the admissions that is divided evenly among the classes, so that less urgent classes are
# not starved and their callers keep retrying.
EVEN_SHARE = 0.1


def class_fraction(fraction: float, requested: Mapping[int, float], urgency: int) -> float:
    """Return the fraction of one class's operations to admit; 1 or more for all.

    Parameters
    ----------
    fraction : float
        Fraction of all of the tenant's requests to admit.
    requested : mapping of int to float
        Recent requests by urgency; 0 is the most urgent.
    urgency : int
        The class.

    Examples
    --------
    A quarter is admitted and an eighth is urgent: nearly all of the urgent operations run.

    >>> requested = {0: 10, 2: 70}
    >>> round(class_fraction(0.25, requested, 0), 2), round(class_fraction(0.25, requested, 2), 2)
    (1.0, 0.14)
    >>> class_fraction(1.5, requested, 2)
    1.5
    """
    if fraction >= 1 or not requested.get(urgency):
        return fraction
    remaining = (1 - EVEN_SHARE) * fraction * sum(requested.values())
    for other in sorted(requested):
        even = EVEN_SHARE * fraction * requested[other]
        extra = min(requested[other] - even, remaining)
        remaining -= extra
        if other == urgency:
            return (even + extra) / requested[other]
    return fraction
