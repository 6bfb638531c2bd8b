"""Messages between control nodes: admission, removal, read barriers, proxies' reports.

Shared by both kinds of control nodes. Nodes of other versions read the messages' names and fields,
which must not change.
"""

import msgspec
from msgspec import UNSET, UnsetType

from rowanrail.rpc.codec import message


class GroupReport(msgspec.Struct, frozen=True):
    """A proxy's view of one member of a group."""

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
    """A control node's view of a proxy.

    :param used: names of the groups to which it has, or may open, connections.
    :param primary_reads: reads served by the primary that a replica could have served.
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
    """Request the proxies that a control node knows."""


@message("ReportsReply")
class ReportsReply(msgspec.Struct, frozen=True):
    """Answer to :class:`ReportsRequest`."""

    node: str
    version: int
    reports: list[ProxyReport]


@message("BarrierRequest")
class BarrierRequest(msgspec.Struct, frozen=True):
    """Request an index that covers all accepted changes, for a consistent read."""


@message("BarrierReply")
class BarrierReply(msgspec.Struct, frozen=True):
    """Answer to :class:`BarrierRequest`: the state at this index has all accepted changes."""

    index: int


@message("JoinRequest")
class JoinRequest(msgspec.Struct, frozen=True):
    """Request a node's admission as a learner, which only the leader can grant.

    :param is_forwarded: whether a node that doesn't lead has forwarded it.
    """

    name: str
    node: str
    address: str
    cluster: str
    is_forwarded: bool | UnsetType = UNSET


@message("NodesRequest")
class NodesRequest(msgspec.Struct, frozen=True):
    """Request the list of control nodes, after removing the one named by ``remove`` if set."""

    remove: str = ""


class NodeView(msgspec.Struct, frozen=True):
    """The leader's view of one control node.

    :param behind: number of log entries that it lacks.
    """

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
