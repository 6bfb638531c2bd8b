"""What a gateway tells the control nodes of the statements that came to it in a span of time.

Messages only; the order of their fields is on the wire.
"""

import msgspec

__all__ = ["LoadReport", "ShardLoad"]


class ShardLoad(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Statements of one shard of a service that a gateway ran, or passed on, for whoever came.

    Parameters
    ----------
    key : str
        Of the shard.
    count : int
        Statements in the span.
    tenant : str
        Whose most of them were; empty without tenants.
    largest_tenant_count : int
        How many were that tenant's.
    """

    key: str
    count: int
    tenant: str = ""
    largest_tenant_count: int = 0


class LoadReport(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The load of a gateway in a span of time.

    Parameters
    ----------
    span_ms : int
        Milliseconds that it took.
    own_count : int
        Statements of its own clients.
    is_slow : bool
        Whether its loop lagged, or its links choked, for most of it.
    shards : list of ShardLoad
        The largest shards.
    """

    span_ms: int
    own_count: int
    is_slow: bool
    shards: list[ShardLoad]
