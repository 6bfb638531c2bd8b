"""Promotion orders that may still be carried out, and what they mean for replication. No I/O.

An order without an answer may be carried out seconds later; the platform checks its fencing token
only then. Until a newer order has been answered, the member that it names may take over at any
moment with the log that it has received. No commit may be acknowledged before that member has it.
"""

from collections.abc import Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass

__all__ = ["PromotionOrder", "PromotionOrders", "next_order_target", "receiving_replicas"]

MAX_ORDERS = 32  # of a service; an order may be carried out for seconds, and one is sent a second


@dataclass(frozen=True, slots=True)
class PromotionOrder:
    """An order to promote a member, with its fencing token."""

    instance: str
    token: int


class PromotionOrders:
    """The orders of all services that may still be carried out.

    Parameters
    ----------
    named : mapping
        The members named by fencing token, by service.

    Examples
    --------
    >>> orders = PromotionOrders({})
    >>> orders.add("db", "m2", 10)
    >>> orders.add("db", "m1", 11)
    >>> [order.instance for order in orders.of_service("db")]
    ['m2', 'm1']
    >>> orders.settle("db", 11)
    >>> orders.named
    {}
    """

    def __init__(self, named: Mapping[str, Mapping[int, str]]) -> None:
        self._named = {service: dict(known) for service, known in named.items()}

    @property
    def named(self) -> dict[str, dict[int, str]]:
        """The members named by fencing token, by service, as a snapshot has them."""
        return self._named

    def __iter__(self) -> Iterator[str]:
        """Iterate over the services that have such orders."""
        return iter(list(self._named))

    def of_service(self, service: str) -> list[PromotionOrder]:
        """Return a service's orders, the newest one last."""
        known = self._named.get(service, {})
        return [PromotionOrder(instance, token) for token, instance in sorted(known.items())]

    def add(self, service: str, instance: str, token: int) -> None:
        """Add an order that is about to be sent."""
        known = self._named.setdefault(service, {})
        known[token] = instance
        if len(known) > MAX_ORDERS:
            del known[_oldest_repeated(known)]

    def settle(self, service: str, token: int) -> None:
        """Remove the orders up to a token, as none of them can take effect any more."""
        known = self._named.pop(service, {})
        left = {newer: instance for newer, instance in known.items() if newer > token}
        if left:
            self._named[service] = left

    def note_primary(self, service: str, instance: str) -> None:
        """Remove a service's orders if all of them name the member that leads now.

        An order for the present primary changes nothing.
        """
        if set(self._named.get(service, {}).values()) == {instance}:
            del self._named[service]


def _oldest_repeated(named: dict[int, str]) -> int:
    """Return the oldest token whose member a newer one names as well, else the oldest."""
    for token, instance in sorted(named.items()):
        if any(newer > token and other == instance for newer, other in named.items()):
            return token
    return min(named)


def next_order_target(orders: Sequence[PromotionOrder], primary: str) -> str:
    """Return the member that the next order names, to make the earlier ones void.

    It is the primary, for which an order changes nothing. If the primary is itself named by one of
    the orders, a newer one may replace it again: then that one is repeated, so that orders that
    are carried out late don't alternate between members.

    Parameters
    ----------
    orders : sequence of PromotionOrder
        Orders that may still be carried out, the newest one last.
    primary : str
        The member that leads.

    Examples
    --------
    >>> late = PromotionOrder("m2", 10)
    >>> next_order_target([late], "m1")
    'm1'
    >>> next_order_target([late, PromotionOrder("m1", 11)], "m2")
    'm1'
    """
    is_named = any(order.instance == primary for order in orders)
    return orders[-1].instance if is_named else primary


def receiving_replicas(
    replicas: Collection[str],
    orders: Sequence[PromotionOrder],
    primary: str,
    acknowledging_replicas: int,
) -> set[str]:
    """Return the replicas that may receive while orders may still be carried out.

    A commit is acknowledged once ``acknowledging_replicas`` have received it. Each such set of the
    returned replicas contains all members that are named. Without such a set none may receive.

    Parameters
    ----------
    replicas : collection of str
        All replicas of the service.
    orders : sequence of PromotionOrder
        Orders that may still be carried out.
    primary : str
        The member that leads, which has each commit.
    acknowledging_replicas : int
        How many replicas must have received a commit.

    Examples
    --------
    >>> late = [PromotionOrder("m2", 10)]
    >>> receiving_replicas(["m2", "m3"], late, "m1", 1)
    {'m2'}
    >>> sorted(receiving_replicas(["m2", "m3"], late, "m1", 2))
    ['m2', 'm3']
    >>> receiving_replicas(["m2", "m3"], [*late, PromotionOrder("m3", 11)], "m1", 1)
    set()
    >>> sorted(receiving_replicas(["m2", "m3"], late, "m2", 1))
    ['m2', 'm3']
    """
    named = {order.instance for order in orders} - {primary}
    if not named:
        return set(replicas)
    if len(named) > acknowledging_replicas:
        return set()
    others = sorted(set(replicas) - named)
    return (named & set(replicas)) | set(others[: acknowledging_replicas - len(named)])
