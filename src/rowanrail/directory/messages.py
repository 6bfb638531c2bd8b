"""Messages between gateways and control nodes: reports, polls of the directory, logged state.

Fields of structs that are sent as arrays may be renamed but not reordered; ``GatewayRecord`` is
sent with its field names. A message's tag is the string in its decorator.
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
        ``IP:port`` at which it accepts statements from other gateways.
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
    """A gateway's views of primaries and its load; forwarded to the leader.

    Parameters
    ----------
    hops : int
        1 once a control node has forwarded it.
    group : str
        The zone or region whose gateways share connections; empty for the zone.
    load : LoadReport or None
        The gateway's load over one span, None if it was reported before.
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


NO_REVISION = -1  # below all revisions of the log: the gateway has no directory yet


class DirectoryUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A full or incremental update of the directory for the gateways of one group.

    Parameters
    ----------
    base_revision : int
        The revision to which it applies; ``NO_REVISION`` for a full update.
    digest : bytes
        Digest of the full directory after the update, see :mod:`digests`.
    members, neighbours, remote_holders : list
        Records that were added or changed; see :class:`DirectoryReply`.
    removed_members, removed_neighbours, removed_remote_holders : list of str
        Instances, or names of gateways, that were removed.
    """

    base_revision: int
    digest: bytes
    members: list[MemberRecord]
    removed_members: list[str] = []
    neighbours: list[GatewayRecord] = []
    removed_neighbours: list[str] = []
    remote_holders: list[GatewayRecord] = []
    removed_remote_holders: list[str] = []


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """The zones whose members get no statements, and those whose evacuation has ended.

    Parameters
    ----------
    revision : int
        Log index of the last change; 0 if there was none.
    zones : dict of str to int
        Evacuated zones, with the Unix milliseconds of the order.
    ended : dict of str to int
        Zones that are no longer evacuated, with the Unix milliseconds of the end.
    """

    revision: int = 0
    zones: dict[str, int] = {}
    ended: dict[str, int] = {}


NO_EVACUATIONS = Evacuations()


@message("DirectoryRequest")
class DirectoryRequest(msgspec.Struct, frozen=True, array_like=True):
    """Long poll for what is newer than the gateway knows, for up to ``wait_seconds``.

    Parameters
    ----------
    accepts_updates : bool
        Whether the gateway understands ``update`` of the reply.
    wants_full : bool
        Whether it needs a full update, of its own revision or a later one.
    known_controls_checksum : int
        See :func:`control_nodes_checksum`.
    known_plan : int or None
        Number of the gateway's plan of holders, None if its settings select ``hashed``.
    known_evacuations : int or None
        Revision of the evacuations that the gateway applies, None if it knows of none.
    """

    report: GatewayReport
    known_version: int
    known_revision: int
    wait_seconds: float
    accepts_updates: bool = False
    wants_full: bool = False
    known_controls_checksum: int = 0
    known_plan: int | None = None
    known_evacuations: int | None = None


def control_nodes_checksum(addresses: list[str]) -> int:
    """Return the checksum that tells which control nodes a gateway knows; 0 for none."""
    return zlib.crc32(" ".join(addresses).encode())


@message("DirectoryReply")
class DirectoryReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer to :class:`DirectoryRequest`: what is newer than the gateway knows.

    Parameters
    ----------
    current : bool
        Whether the node recently held all committed entries; if not, the gateway asks another.
    document : bytes
        The configuration (compressed with zlib), empty if the known one is the newest.
    members : list of MemberRecord or None
        All members, None if the known revision is the newest, or with ``update``.
    gateways : int
        Number of gateways in all ``zones`` zones, or regions that share connections.
    neighbours : list of GatewayRecord
        The gateways of the requesting gateway's group, with ``members``.
    controls : list of str
        Addresses of all control nodes; empty if the gateway knows them.
    zone : str
        Zone of the answering node.
    remote_holders : list of GatewayRecord
        Gateways of other groups that hold connections there, with ``members``.
    update : bytes
        An encoded :class:`DirectoryUpdate` for gateways that accept it; empty if nothing is new.
    plan : Plan or None
        The plan of holders, None if the known one is the newest.
    evacuations : Evacuations or None
        The evacuated zones, None if the known ones are the newest.
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
    evacuations: Evacuations | None = None


@message("HeldRequest")
class LoggedDirectoryRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request the directory after all entries of a node's log, also uncommitted ones.

    Lets a gateway start while the control nodes have no leader.

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
    """The directory after all entries of a control node's log, also uncommitted ones.

    Parameters
    ----------
    node : str
        The answering node's id.
    last_term : int
        Term of the log's last entry.
    last_index : int
        Index of the log's last entry.
    voters : list of str
        Ids of the voters in the newest membership of the log.
    directory : DirectoryReply
        The state after the last entry.
    term : int
        The newest term that the node knows; 0 from an earlier version.
    """

    node: str
    last_term: int
    last_index: int
    voters: list[str]
    directory: DirectoryReply
    term: int = 0
