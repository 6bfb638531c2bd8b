"""How long a statement waits for a connection to a member, by how many go before it.

Functions on plain values: what a gateway says of a member's wait, to its own statements and to
other gateways, is worked out here alone. They rely on lengths of use that are smoothed before they
get here; with none known, the first guess of :mod:`rowanrail.gateway.pools.leases` stands in.
"""

__all__ = ["expected_wait", "max_in_flight"]


def max_in_flight(concurrency_limit: int, usable: int) -> int:
    """Return how many statements may be under way at a member, at least 1.

    Parameters
    ----------
    concurrency_limit : int
        By what the member's answers show.
    usable : int
        Connections that are not held by idle transactions.

    Examples
    --------
    >>> max_in_flight(8, usable=3), max_in_flight(2, usable=9), max_in_flight(2, usable=0)
    (3, 2, 1)
    """
    return max(1, min(concurrency_limit, usable))


def expected_wait(ahead: float, limit: int, in_flight: int, lease: float) -> float:
    """Return for how many milliseconds a statement waits for a place.

    Parameters
    ----------
    ahead : float
        How many that wait go before it.
    limit : int
        How many statements may be under way at once.
    in_flight : int
        How many are.
    lease : float
        Milliseconds for which a connection is in use by one statement.

    Examples
    --------
    >>> expected_wait(0, limit=4, in_flight=3, lease=20.0)
    0.0
    >>> expected_wait(3, limit=4, in_flight=4, lease=20.0)
    20.0
    """
    ahead -= limit - in_flight
    return 0.0 if ahead < 0 else (ahead + 1) * lease / limit
