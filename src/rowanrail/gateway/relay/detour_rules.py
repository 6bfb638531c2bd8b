"""Whom a gateway asks that gets no sample of a primary, and which answer it goes by.

A detour costs the gateways that are asked time of their own, at a moment when many ask. Who is
asked is therefore bounded: one gateway of each other zone, the one that holds the service's
connections there, and two of the own zone, ten times a second at most and only while the trouble
lasts.

Owns what was asked and answered lately; times are milliseconds on the caller's steady clock. Relies
on ``placement`` for the orders of gateways. :mod:`detours` acts on it.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from rowanrail.placement.hashed import rank

__all__ = ["ReachabilityCache", "gateways_to_query"]

QUERY_INTERVAL_MS = 100.0  # chosen: between questions about one service
REACHABLE_TTL_MS = (
    1000.0  # chosen: for which the gateway that answered last is taken to reach the primary
)
OWN_ZONE_QUERIES = 2  # two, since one of them may be cut off as well


def gateways_to_query(
    service: str, orders: Iterable[Sequence[str]], own_zone: Sequence[str], with_own_zone: bool
) -> list[str]:
    """Return the names of the gateways to ask for a sample of a service's primary.

    Parameters
    ----------
    service : str
        Name of the service.
    orders : iterable of sequence of str
        For each other zone or region, the gateways in the order in which they hold the service's
        connections.
    own_zone : sequence of str
        The other gateways of the own zone.
    with_own_zone : bool
        Whether they are asked, too: they can help where connections to the primary fail, not
        where it has none left.

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
    """The gateway that last gave a sample, and until when it is believed to reach the primary."""

    gateway: str
    until: float


class ReachabilityCache:
    """Which gateway reaches each service's primary, by what was answered lately.

    The gateway that was found first stays the detour while it answers, so that transactions and
    sessions don't change theirs with each answer.

    Examples
    --------
    >>> book = ReachabilityCache()
    >>> book.try_begin_query("orders", now=0.0), book.try_begin_query("orders", now=99.0)
    (True, False)
    >>> book.note_reachable("orders", "b1", now=40.0), book.note_reachable("orders", "c1", now=41.0)
    (True, False)
    >>> book.gateway("orders", now=1040.0), book.gateway("orders", now=1041.0)
    ('b1', None)
    """

    def __init__(self) -> None:
        self._asked_at: dict[str, float] = {}
        self._reached: dict[str, _Reachable] = {}

    @property
    def services(self) -> list[str]:
        """Services of whose primary a gateway gave a sample, lately or not."""
        return list(self._reached)

    def try_begin_query(self, service: str, now: float) -> bool:
        """Return whether gateways may be asked about a service; if so, they count as asked."""
        if now - self._asked_at.get(service, -QUERY_INTERVAL_MS) < QUERY_INTERVAL_MS:
            return False
        self._asked_at[service] = now
        return True

    def note_reachable(self, service: str, gateway: str, now: float) -> bool:
        """Note that a gateway gave a sample; return whether none was known to reach the primary."""
        known = self.gateway(service, now)
        if known is not None and known != gateway:
            return False
        self._reached[service] = _Reachable(gateway, now + REACHABLE_TTL_MS)
        return known is None

    def note_unreachable(self, service: str, gateway: str) -> None:
        """Note that a gateway gave no sample when it was asked."""
        reached = self._reached.get(service)
        if reached is not None and reached.gateway == gateway:
            del self._reached[service]

    def gateway(self, service: str, now: float) -> str | None:
        """Return the gateway that reaches a service's primary, None if none is known to."""
        reached = self._reached.get(service)
        return None if reached is None or now > reached.until else reached.gateway
