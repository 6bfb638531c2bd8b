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
    largest : int
        How many were that tenant's.
    """

    key: str
    count: int
    tenant: str = ""
    largest: int = 0


class LoadReport(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The load of a gateway in a span.

    Parameters
    ----------
    span : int
        Milliseconds that it took.
    own : int
        Statements of its own clients.
    is_slow : bool
        Whether its loop lagged, or its links choked, for most of it.
    shards : list of ShardLoad
        The largest shards.
    """

    span: int
    own: int
    is_slow: bool
    shards: list[ShardLoad]
