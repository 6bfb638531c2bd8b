"""Opening a control node's data folder: first start, restart, or joining as a new node.

For both kinds of control nodes, at their start. Owns nothing once the folder is open; relies on the
storage for what the folder holds and on the other nodes for whether there is a system already.
"""

import asyncio
import enum
import random

import msgspec

from rowanrail.cluster.events import JOIN_REFUSED, NODE_JOINING
from rowanrail.cluster.messages import JoinRequest, ReportsReply, ReportsRequest
from rowanrail.config.settings import NodeAddress
from rowanrail.consensus.messages import Membership, Snapshot
from rowanrail.consensus.policies import LearnerFirst
from rowanrail.consensus.storage import Identity, Storage
from rowanrail.kernel.errors import RowanrailError, StorageError, TransportError
from rowanrail.kernel.events import emit
from rowanrail.rpc.network import Network

FIRST_IDENTITY = "1"
# Seconds for a node's answer whether it knows a system. Chosen.
SYSTEM_CALL_SECONDS = 1.0
# Seconds for a node's answer to a request for admission. Chosen.
JOIN_CALL_SECONDS = 3.0
# Seconds between rounds of requests for admission. Chosen.
JOIN_RETRY_SECONDS = 0.5


class StartupMode(enum.Enum):
    """How a node begins."""

    RESTART = "restart"  # with the identity in its folder
    BOOTSTRAP = "bootstrap"  # as one of the first nodes of a new system
    JOIN = "join"  # as a new node without a vote


class NodeConfig(msgspec.Struct, frozen=True):
    """Whose folder it should be, and the nodes that a new system begins with."""

    cluster: str
    name: str
    nodes: list[NodeAddress]
    folder: str = ""

    def address(self) -> str:
        """Return the node's own address."""
        return next((node.address for node in self.nodes if node.name == self.name), "")


def first_membership(owner: NodeConfig) -> Membership:
    """Return the membership of a new system."""
    return Membership(
        voters={f"{node.name}@{FIRST_IDENTITY}": node.address for node in owner.nodes}
    )


async def open_data_folder(
    owner: NodeConfig,
    storage: Storage,
    network: Network,
    randomness: random.Random,
    learner_first: LearnerFirst,
    bootstrap: bool,
) -> Identity:
    """Return the identity of the folder, setting the folder up if it is empty.

    :param bootstrap: set up a new system, unless another node already knows one.
    :raises StorageError: if the folder is damaged or belongs to another system or node.
    """
    identity = storage.load_identity()
    may_bootstrap = identity is None and bootstrap and not await _system_exists(owner, network)
    match startup_mode(identity is not None, may_bootstrap):
        case StartupMode.RESTART:
            assert identity is not None
            check_owner(identity, owner)
        case StartupMode.BOOTSTRAP:
            identity = Identity(owner.cluster, f"{owner.name}@{FIRST_IDENTITY}")
            storage.create(identity, Snapshot(1, 1, first_membership(owner), b""))
        case StartupMode.JOIN:
            fresh = f"{randomness.getrandbits(48):012x}"
            identity = Identity(owner.cluster, learner_first.new_node_id(owner.name, fresh))
            emit(NODE_JOINING, node=identity.node)
            storage.create(identity, None)
    return identity


def startup_mode(has_identity: bool, may_bootstrap: bool) -> StartupMode:
    """Return how a node begins.

    A folder that was emptied gets a new identity: the votes that the node gave before are gone, so
    that it may not vote under its old one.

    Parameters
    ----------
    has_identity : bool
        Whether the folder holds an identity.
    may_bootstrap : bool
        Whether the operator asks for a new system and no node that answers knows one.
    """
    if has_identity:
        return StartupMode.RESTART
    return StartupMode.BOOTSTRAP if may_bootstrap else StartupMode.JOIN


def check_owner(identity: Identity, owner: NodeConfig) -> None:
    """Check that a folder is the node's own.

    :raises StorageError: if it belongs to another system or node.
    """
    found = f"{identity.cluster}/{identity.node.split('@')[0]}"
    wanted = f"{owner.cluster}/{owner.name}"
    if found != wanted:
        raise StorageError(
            f"the folder belongs to {found}, the settings say {wanted}; name the right folder",
            step="open",
            peer=owner.folder,
        )


async def _system_exists(owner: NodeConfig, network: Network) -> bool:
    """Ask the other nodes whether any of them has accepted a configuration."""
    for node in owner.nodes:
        if node.name == owner.name:
            continue
        try:
            reply = await network.call(node.address, ReportsRequest(), SYSTEM_CALL_SECONDS)
        except TransportError:
            continue  # a node that does not answer proves nothing either way
        if isinstance(reply, ReportsReply) and reply.version > 0:
            return True
    return False


async def join_until_admitted(
    owner: NodeConfig, identity: Identity, network: Network, is_member: asyncio.Event
) -> None:
    """Ask the other nodes, one after the other, to be admitted, until it happens."""
    request = JoinRequest(
        owner.name,
        identity.node,
        owner.address(),
        owner.cluster,
    )
    while not is_member.is_set():
        for node in owner.nodes:
            if node.name == owner.name or is_member.is_set():
                continue
            try:
                await network.call(node.address, request, JOIN_CALL_SECONDS)
                break
            except RowanrailError as error:
                emit(JOIN_REFUSED, peer=node.name, error=error)
        await asyncio.sleep(JOIN_RETRY_SECONDS)
