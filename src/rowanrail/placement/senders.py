"""Which gateways of a group may send to its members while these warm up.

All gateways of the group compute the same result from the same directory and plan.
"""

from collections.abc import Callable, Sequence

from rowanrail.placement.hashed import Shard, rank, shards_of

__all__ = ["warm_up_senders"]


def warm_up_senders(
    service: str,
    is_regional: bool,
    gateways: Sequence[str],
    planned: Callable[[Shard], Sequence[str]] = lambda shard: (),
) -> list[str]:
    """Return the holders of a service's shards, each of which may be a sender.

    Statements are routed to them anyway.

    Parameters
    ----------
    service : str
        Name of the service.
    is_regional : bool
        Whether the service is divided by tenant, as regions share its connections.
    gateways : sequence of str
        All gateways of the group that the directory lists.
    planned : callable
        Returns the holders that the plan names for a shard, empty if it names none.

    Examples
    --------
    >>> warm_up_senders("orders", False, ["a", "b", "c"]) == rank("orders", "abc")[:1]
    True
    >>> warm_up_senders("orders", False, ["a", "b"], lambda shard: ["b", "a"])
    ['a', 'b']
    >>> warm_up_senders("orders", False, [])
    []
    """
    senders: set[str] = set()
    for shard in shards_of(service) if is_regional else [Shard(service)]:
        senders.update(planned(shard) or rank(shard.key, gateways)[:1])
    return sorted(senders)
