"""Which gateways are asked for a sample of a primary, and which one becomes the detour.

A gateway that can't reach a primary asks others for a sample of its position. Queries are bounded,
since many gateways may ask at once: one holder in each other zone and a few gateways of the own
zone, at most ten times a second, and only while the primary is unreachable.

Owns the recent queries and answers; times are milliseconds on the caller's monotonic clock. Relies
on ``placement`` for the orders of gateways. :mod:`detours` sends the queries.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from rowanrail.placement.hashed import rank

__all__ = ["ReachabilityCache", "gateways_to_query"]

QUERY_INTERVAL_MS = 100.0  # minimum time between queries about one service
REACHABLE_TTL_MS = 1000.0  # how long an answer proves that a gateway reaches the primary
OWN_ZONE_QUERIES = 2  # more than one, since a gateway of the same zone may be cut off as well


def gateways_to_query(
    service: str, orders: Iterable[Sequence[str]], own_zone: Sequence[str], with_own_zone: bool
) -> list[str]:
    """Return the names of the gateways to ask for a sample of a service's primary.

    Parameters
    ----------
    service : str
        Name of the service.
    orders : iterable of sequence of str
        For each other zone or region, its gateways in the order in which they hold the service's
        connections.
    own_zone : sequence of str
        The other gateways of the own zone.
    with_own_zone : bool
        Whether to ask gateways of the own zone, too. They help if connections to the primary fail,
        not if the primary has no connection left.

    Examples
    --------
    >>> gateways_to_query("orders", [["b1", "b2"], []], ["a1", "a2", "a3"], with_own_zone=False)
    ['b1']
    >>> len(gateways_to_query("orders", [["b1", "b2"], []], ["a1", "a2", "a3"], with_own_zone=True))
    3
    """
    names = [order[0] for order in orders if order]
    if with_own_zone:
        names += rank(service, own_zone)[:OWN_ZONE_QUERIES]
    return names


@dataclass(slots=True)
class _Reachable:
    """The gateway that last returned a sample, and when that information expires."""

    gateway: str
    until: float


class ReachabilityCache:
    """The gateway that reaches each service's primary, by recent answers.

    The first gateway that answers stays the detour while it keeps answering, so that transactions
    and sessions don't switch gateways with each answer.

    Examples
    --------
    >>> cache = ReachabilityCache()
    >>> cache.try_begin_query("orders", now=0.0), cache.try_begin_query("orders", now=99.0)
    (True, False)
    >>> cache.note_reachable("orders", "b1", now=40.0)
    True
    >>> cache.note_reachable("orders", "c1", now=41.0)
    False
    >>> cache.gateway("orders", now=1040.0), cache.gateway("orders", now=1041.0)
    ('b1', None)
    """

    def __init__(self) -> None:
        self._last_query: dict[str, float] = {}
        self._reachable: dict[str, _Reachable] = {}

    @property
    def services(self) -> list[str]:
        """Services for which a gateway has returned a sample, expired or not."""
        return list(self._reachable)

    def try_begin_query(self, service: str, now: float) -> bool:
        """Return whether a query about a service may be sent now; if so, record it as sent."""
        if now - self._last_query.get(service, -QUERY_INTERVAL_MS) < QUERY_INTERVAL_MS:
            return False
        self._last_query[service] = now
        return True

    def note_reachable(self, service: str, gateway: str, now: float) -> bool:
        """Record a gateway's sample; return whether the service had no detour until now."""
        known = self.gateway(service, now)
        if known is not None and known != gateway:
            return False
        self._reachable[service] = _Reachable(gateway, now + REACHABLE_TTL_MS)
        return known is None

    def note_unreachable(self, service: str, gateway: str) -> None:
        """Record that a gateway returned no sample; it is no detour from now on."""
        reachable = self._reachable.get(service)
        if reachable is not None and reachable.gateway == gateway:
            del self._reachable[service]

    def gateway(self, service: str, now: float) -> str | None:
        """Return the gateway that reaches a service's primary, None if none is known."""
        reachable = self._reachable.get(service)
        return None if reachable is None or now > reachable.until else reachable.gateway
