"""Expected wait of a statement for a connection to a member, from the statements ahead of it.

Functions on plain values. Both the gateway's own admission and its reports to other gateways use
them. They rely on smoothed lease times; before any is known, the initial estimate of
:mod:`rowanrail.gateway.pools.leases` is used.
"""

__all__ = ["expected_wait", "max_in_flight"]


def max_in_flight(concurrency_limit: int, usable: int) -> int:
    """Return how many statements may be in flight at a member, at least 1.

    Parameters
    ----------
    concurrency_limit : int
        The limit adapted to the member's answer times.
    usable : int
        Connections that are not held by idle transactions.

    Examples
    --------
    >>> max_in_flight(8, usable=3), max_in_flight(2, usable=9), max_in_flight(2, usable=0)
    (3, 2, 1)
    """
    return max(1, min(concurrency_limit, usable))


def expected_wait(ahead: float, limit: int, in_flight: int, lease: float) -> float:
    """Return the milliseconds for which a statement waits until it may be sent.

    Parameters
    ----------
    ahead : float
        Number of waiting statements that go before it.
    limit : int
        Number of statements that may be in flight.
    in_flight : int
        Number of statements in flight.
    lease : float
        Milliseconds for which a statement uses a connection.

    Examples
    --------
    >>> expected_wait(0, limit=4, in_flight=3, lease=20.0)
    0.0
    >>> expected_wait(3, limit=4, in_flight=4, lease=20.0)
    20.0
    """
    ahead -= limit - in_flight
    return 0.0 if ahead < 0 else (ahead + 1) * lease / limit
