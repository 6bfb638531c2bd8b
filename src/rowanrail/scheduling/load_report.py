"""Messages by which gateways report the statements of a span of time to the control nodes.

The order of their fields is part of the wire format.
"""

import msgspec

__all__ = ["LoadReport", "ShardLoad"]


class ShardLoad(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Statements for one shard of a service that a gateway ran or forwarded, for any client.

    Parameters
    ----------
    key : str
        Key of the shard.
    count : int
        Statements in the span.
    tenant : str
        The tenant with most of them; empty without tenants.
    largest_tenant_count : int
        Number of that tenant's statements.
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
        Length of the span in milliseconds.
    own_count : int
        Statements of its own clients.
    is_slow : bool
        Whether its event loop lagged, or its links were congested, for most of the span.
    shards : list of ShardLoad
        The shards with most statements.
    """

    span_ms: int
    own_count: int
    is_slow: bool
    shards: list[ShardLoad]
