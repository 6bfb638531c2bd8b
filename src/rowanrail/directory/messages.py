"""Messages between gateways and control nodes: reports, polls of the directory, what logs hold.

Structs that are sent as arrays may have their fields renamed, not reordered; ``GatewayRecord`` is
sent with its field names. The tag of a message is the string at its class.

Owns the forms. Relies on ``model`` for the records and on ``scheduling`` for loads and plans.
"""

import zlib

import msgspec

from rowanrail.model.members import MemberRecord, PrimaryHealth
from rowanrail.rpc.codec import message
from rowanrail.scheduling.load_report import LoadReport
from rowanrail.scheduling.plan import Plan


class GatewayRecord(msgspec.Struct, frozen=True):
    """A gateway that shares the members' connections; its field names are sent.

    Parameters
    ----------
    relay_address : str
        ``IP:port`` at which it takes statements of its group's other gateways.
    group : str
        The zone or region whose gateways share connections; empty for the zone.
    """

    name: str
    zone: str
    relay_address: str
    group: str = ""

    @property
    def sharing_group(self) -> str:
        """The zone or region whose gateways share connections."""
        return self.group or self.zone


@message("GatewayReport")
class GatewayReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway sees; sent on to the leader.

    Parameters
    ----------
    hops : int
        1 once a control node has sent it on.
    group : str
        The zone or region whose gateways share connections; empty for the zone.
    load : LoadReport or None
        What came to it in a span of time, None if that was reported before.
    """

    gateway: str
    zone: str
    services: list[PrimaryHealth]
    hops: int = 0
    relay_address: str = ""
    group: str = ""
    load: LoadReport | None = None

    @property
    def sharing_group(self) -> str:
        """The zone or region whose gateways share connections."""
        return self.group or self.zone


NO_REVISION = (
    -1
)  # a revision below any that the log gives: of a gateway that knows no directory yet


class DirectoryUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The directory as one group's gateways know it, or what changed of it.

    Parameters
    ----------
    base_revision : int
        The revision from which it leads on; ``NO_REVISION`` if it holds everything.
    digest : bytes
        Of the whole directory to which it leads, see :mod:`digests`.
    removed_members : list of str
        Instances that are known no more; likewise for the other two.
    """

    base_revision: int
    digest: bytes
    members: list[MemberRecord]
    removed_members: list[str] = []
    neighbours: list[GatewayRecord] = []
    removed_neighbours: list[str] = []
    remote_holders: list[GatewayRecord] = []
    removed_remote_holders: list[str] = []


@message("DirectoryRequest")
class DirectoryRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for what is newer than the gateway knows; the answer waits for it up to ``wait_seconds``.

    Parameters
    ----------
    accepts_updates : bool
        Whether the gateway understands ``update`` of the reply.
    wants_full : bool
        Whether it needs the whole directory, of its revision or a later one.
    known_controls_checksum : int
        See :func:`controls_checksum`.
    known_plan : int or None
        Number of the plan of holders that the gateway has, None if its settings say ``hashed``.
    """

    report: GatewayReport
    known_version: int
    known_revision: int
    wait_seconds: float
    accepts_updates: bool = False
    wants_full: bool = False
    known_controls_checksum: int = 0
    known_plan: int | None = None


def controls_checksum(controls: list[str]) -> int:
    """Return a number by which a gateway says which control nodes it knows; 0 for none."""
    return zlib.crc32(" ".join(controls).encode())


@message("DirectoryReply")
class DirectoryReply(msgspec.Struct, frozen=True, array_like=True):
    """What is newer.

    Parameters
    ----------
    current : bool
        Whether this node held all that is committed a short while ago; else the gateway asks
        another node.
    document : bytes
        The configuration (compressed), empty if the known one is the newest.
    members : list of MemberRecord or None
        All members, None if the known revision is the newest, or with ``update``.
    gateways : int
        How many gateways there are, in ``zones`` zones (or regions that share).
    neighbours : list of GatewayRecord
        The gateways of the asking gateway's group, with ``members``.
    controls : list of str
        Addresses of all control nodes; empty if the gateway knows them.
    zone : str
        Of the answering node.
    remote_holders : list of GatewayRecord
        Gateways of other groups that hold connections there, with ``members``.
    update : bytes
        A packed :class:`DirectoryUpdate` for gateways that take one; empty if there is nothing new.
    plan : Plan or None
        Of holders, None if the known one is the newest.
    """

    current: bool
    version: int
    document: bytes
    revision: int
    members: list[MemberRecord] | None
    gateways: int
    zones: int
    neighbours: list[GatewayRecord]
    controls: list[str]
    zone: str = ""
    remote_holders: list[GatewayRecord] = []
    update: bytes = b""
    plan: Plan | None = None


@message("HeldRequest")
class LoggedDirectoryRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask, for a gateway that has just started, what a node's log holds, committed or not.

    Parameters
    ----------
    group : str
        The zone or region with whose gateways it shares connections.
    accepts_updates : bool
        Whether the gateway understands ``update`` of the directory.
    """

    group: str
    accepts_updates: bool = False


@message("HeldReply")
class LoggedDirectoryReply(msgspec.Struct, frozen=True, array_like=True):
    """What a control node's log holds, whether or not it knows a leader.

    Parameters
    ----------
    node : str
        The answering node's id.
    last_term : int
        Term of the log's last entry.
    last_index : int
        Index of the log's last entry.
    voters : list of str
        Ids of the nodes that vote, by the newest membership in the log.
    directory : DirectoryReply
        The whole state after the last entry.
    """

    node: str
    last_term: int
    last_index: int
    voters: list[str]
    directory: DirectoryReply
