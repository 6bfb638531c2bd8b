"""Startup of a control node from its data folder: bootstrap, restart, or joining as a new node.

Shared by both kinds of control nodes. Relies on the storage for the folder's contents, and on the
other nodes for whether a system already exists.
"""

import asyncio
import enum
import random
from collections.abc import Callable

import msgspec

from rowanrail.cluster.events import JOIN_REFUSED, NODE_JOINING
from rowanrail.cluster.messages import JoinRequest, NodesReply, ReportsReply, ReportsRequest
from rowanrail.config.settings import NodeAddress
from rowanrail.consensus.messages import Membership, Snapshot
from rowanrail.consensus.policies import LearnerFirst
from rowanrail.consensus.storage import Identity, Storage
from rowanrail.kernel.errors import RowanrailError, StorageError, TransportError
from rowanrail.kernel.events import emit
from rowanrail.rpc.network import Network

FIRST_IDENTITY = "1"
SYSTEM_QUERY_TIMEOUT_SECONDS = 1.0  # for a node's answer whether it knows a system
JOIN_TIMEOUT_SECONDS = 3.0  # for a node's answer to a request for admission
JOIN_RETRY_INTERVAL_SECONDS = 0.5  # between rounds of requests for admission


class StartupMode(enum.Enum):
    """How a node starts."""

    RESTART = "restart"  # with the identity in its folder
    BOOTSTRAP = "bootstrap"  # as one of the first nodes of a new system
    JOIN = "join"  # as a new node without a vote


class NodeConfig(msgspec.Struct, frozen=True):
    """A node's system and name, and the first nodes of a new system.

    :param folder: path of the data folder, named in errors.
    """

    cluster: str
    name: str
    nodes: list[NodeAddress]
    folder: str = ""

    def address(self) -> str:
        """Return the node's own address, empty if it isn't among ``nodes``."""
        return next((node.address for node in self.nodes if node.name == self.name), "")


def first_membership(config: NodeConfig) -> Membership:
    """Return the membership of a new system, in which all first nodes vote."""
    return Membership(
        voters={f"{node.name}@{FIRST_IDENTITY}": node.address for node in config.nodes}
    )


async def open_data_folder(
    config: NodeConfig,
    storage: Storage,
    network: Network,
    randomness: random.Random,
    learner_first: LearnerFirst,
    bootstrap: bool,
) -> Identity:
    """Return the identity in the data folder, setting up an empty folder.

    :param bootstrap: start a new system, unless another node already knows one.
    :raises StorageError: if the folder is damaged or belongs to another system or node.
    """
    identity = storage.load_identity()
    may_bootstrap = identity is None and bootstrap and not await _system_exists(config, network)
    match startup_mode(identity is not None, may_bootstrap):
        case StartupMode.RESTART:
            assert identity is not None
            check_owner(identity, config)
        case StartupMode.BOOTSTRAP:
            identity = Identity(config.cluster, f"{config.name}@{FIRST_IDENTITY}")
            storage.create(identity, Snapshot(1, 1, first_membership(config), b""))
        case StartupMode.JOIN:
            fresh = f"{randomness.getrandbits(48):012x}"
            identity = Identity(config.cluster, learner_first.new_node_id(config.name, fresh))
            emit(NODE_JOINING, node=identity.node)
            storage.create(identity, None)
    return identity


def startup_mode(has_identity: bool, may_bootstrap: bool) -> StartupMode:
    """Return how a node starts.

    A node whose folder was emptied has lost its votes, so that it must not vote under its former
    identity: it joins under a new one.

    Parameters
    ----------
    has_identity : bool
        Whether the folder holds an identity.
    may_bootstrap : bool
        Whether the operator requests a new system and no node that answers knows one.
    """
    if has_identity:
        return StartupMode.RESTART
    return StartupMode.BOOTSTRAP if may_bootstrap else StartupMode.JOIN


def check_owner(identity: Identity, config: NodeConfig) -> None:
    """Check that a folder belongs to the node.

    :raises StorageError: if it belongs to another system or node.
    """
    found = f"{identity.cluster}/{identity.node.split('@')[0]}"
    wanted = f"{config.cluster}/{config.name}"
    if found != wanted:
        raise StorageError(
            f"the folder belongs to {found}, the settings say {wanted}; name the right folder",
            step="open",
            peer=config.folder,
        )


async def _system_exists(config: NodeConfig, network: Network) -> bool:
    """Return whether any other node reports a configuration version."""
    for node in config.nodes:
        if node.name == config.name:
            continue
        try:
            reply = await network.call(node.address, ReportsRequest(), SYSTEM_QUERY_TIMEOUT_SECONDS)
        except TransportError:
            continue  # a node that does not answer tells nothing
        if isinstance(reply, ReportsReply) and reply.version > 0:
            return True
    return False


async def join_until_admitted(
    config: NodeConfig,
    identity: Identity,
    network: Network,
    is_member: asyncio.Event,
    learn_addresses: Callable[[dict[str, str]], None] = lambda addresses: None,
) -> None:
    """Request admission from the other nodes in turn until ``is_member`` is set.

    :param learn_addresses: is called with the addresses, by name, of the nodes that a reply tells;
        the leader need not be among those of the settings.
    """
    request = JoinRequest(
        config.name,
        identity.node,
        config.address(),
        config.cluster,
    )
    while not is_member.is_set():
        for node in config.nodes:
            if node.name == config.name or is_member.is_set():
                continue
            try:
                reply = await network.call(node.address, request, JOIN_TIMEOUT_SECONDS)
                if isinstance(reply, NodesReply):
                    learn_addresses({view.name: view.address for view in reply.nodes})
                break
            except RowanrailError as error:
                emit(JOIN_REFUSED, peer=node.name, error=error)
        await asyncio.sleep(JOIN_RETRY_INTERVAL_SECONDS)
