"""Messages between nodes of a replicated log: admission, removal, barriers, reports.

For both kinds of control nodes, and for the proxies' reports in them. Owns the messages' names and
fields, which nodes of other versions know; relies on ``rpc.codec``.
"""

import msgspec

from rowanrail.rpc.codec import message


class GroupReport(msgspec.Struct, frozen=True):
    """What a proxy tells of one member of a group."""

    group: str
    member: str
    zone: str
    role: str
    term: int
    position: int
    lag_seconds: float
    leaving: bool
    reachable: bool
    connections: int = 0


class ProxyReport(msgspec.Struct, frozen=True):
    """What a control node knows of a proxy.

    :param used: names of the groups to which it has, or may open, connections.
    :param primary_reads: reads that a replica might have served, served by the primary.
    :param primary_only_reads: reads that the rules keep on the primary.
    """

    proxy: str
    zone: str
    incarnation: str
    version: int
    replica_reads: int = 0
    primary_reads: int = 0
    primary_only_reads: int = 0
    groups: list[GroupReport] = []
    used: list[str] = []
    seconds_ago: float = 0.0


@message("ReportsRequest")
class ReportsRequest(msgspec.Struct, frozen=True):
    """Ask a control node for the proxies that it knows."""


@message("ReportsReply")
class ReportsReply(msgspec.Struct, frozen=True):
    """Answer to :class:`ReportsRequest`."""

    node: str
    version: int
    reports: list[ProxyReport]


@message("BarrierRequest")
class BarrierRequest(msgspec.Struct, frozen=True):
    """Ask the leader for the newest accepted version."""


@message("BarrierReply")
class BarrierReply(msgspec.Struct, frozen=True):
    """Answer to :class:`BarrierRequest`: an index that holds all accepted changes."""

    index: int


@message("JoinRequest")
class JoinRequest(msgspec.Struct, frozen=True):
    """A node with an empty data folder asks to be admitted."""

    name: str
    node: str
    address: str
    cluster: str


@message("NodesRequest")
class NodesRequest(msgspec.Struct, frozen=True):
    """Ask for the control nodes, or change them (``add`` or ``remove`` by name)."""

    remove: str = ""


class NodeView(msgspec.Struct, frozen=True):
    """One control node as the leader sees it."""

    name: str
    node: str
    address: str
    voter: bool
    leader: bool
    behind: int
    answered_seconds_ago: float


@message("NodesReply")
class NodesReply(msgspec.Struct, frozen=True):
    """Answer to :class:`NodesRequest`, and to :class:`JoinRequest`."""

    term: int
    nodes: list[NodeView]
