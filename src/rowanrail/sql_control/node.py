"""SQL control node: data folder, replicated log, configuration service and membership.

Network, disk, randomness and clock are passed in, so that the simulator can replace them.
"""

import asyncio
import random
import time
from collections.abc import Callable

from rowanrail.cluster.data_folder import NodeConfig, join_until_admitted, open_data_folder
from rowanrail.cluster.membership import node_name
from rowanrail.config.settings import ControlSettings
from rowanrail.consensus.node import ConsensusNode, NodeOptions
from rowanrail.consensus.raft_types import RaftConfig
from rowanrail.consensus.storage import Identity, Storage
from rowanrail.kernel.disk import Disk
from rowanrail.kernel.events import emit
from rowanrail.kernel.registry import Registry
from rowanrail.rpc.network import Listener, Network
from rowanrail.sql_control.events import (
    FOLDER_FAILED,
    FOLDER_RECOVERED,
    LEADER_CHANGED,
    TAIL_TRUNCATED,
    VERSION_ACCEPTED,
)
from rowanrail.sql_control.service import ControlService
from rowanrail.sql_control.state import ConfigurationState


class ControlNode:
    """A control node, from opening its data folder to its stop."""

    def __init__(
        self,
        settings: ControlSettings,
        network: Network,
        disk: Disk,
        randomness: random.Random,
        registry: Registry,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._wall_clock = wall_clock
        self._settings = settings
        self._network = network
        self._storage = Storage(disk)
        self._random = randomness
        self._registry = registry
        self._listener: Listener | None = None
        self._join_task: asyncio.Task[None] | None = None
        self._admitted = asyncio.Event()
        self._addresses = {node.name: node.address for node in settings.nodes}
        self._reported_leader = ("", 0)
        self._reported_version = 0
        self._reported_failure = False

    async def start(self, bootstrap: bool) -> None:
        """Open the data folder and start serving.

        :param bootstrap: start a new system, unless another node already knows one.
        :raises StorageError: if the folder can't be used.
        """
        settings = self._settings
        node_config = NodeConfig(
            settings.cluster, settings.name, settings.nodes, settings.data_folder
        )
        identity = await open_data_folder(
            node_config,
            self._storage,
            self._network,
            self._random,
            self._registry.create("consensus-guard", "learner-first"),
            bootstrap,
        )
        self.state = ConfigurationState(self._registry.create("control-guard", "expected-version"))
        self.consensus = self._create_consensus(identity)
        self.service = ControlService(
            self.consensus,
            self.state,
            self._network,
            settings.cluster,
            self._wall_clock,
            self._registry.create("control-guard", "version-monotonic"),
        )
        self.consensus.on_change = self._on_change
        if self._storage.truncated_bytes:
            emit(TAIL_TRUNCATED, bytes=self._storage.truncated_bytes)
        self._listener = await self._network.serve(settings.rpc_listen, self.service.handle)
        self.consensus.start()
        self.service.members.start()
        self.service.census.start()
        if identity.node not in self.consensus.raft.membership.addresses():
            self._join_task = asyncio.ensure_future(
                join_until_admitted(
                    node_config, identity, self._network, self._admitted, self._addresses.update
                )
            )

    def _create_consensus(self, identity: Identity) -> ConsensusNode:
        settings = self._settings
        options = NodeOptions(
            raft=RaftConfig(settings.heartbeat_seconds, settings.election_timeout_seconds),
            snapshot_entries=settings.snapshot_entries,
        )
        return ConsensusNode(
            identity,
            self._storage,
            self._network,
            self.state,
            options,
            self._random,
            self._registry,
            fallback_address=lambda node: self._addresses.get(node_name(node), ""),
        )

    def _on_change(self) -> None:
        self.service.watches.notify_change()
        raft = self.consensus.raft
        if self.consensus.identity.node in raft.membership.addresses():
            self._admitted.set()
        self._emit_storage_state()
        leader = (raft.leader, raft.term)
        if raft.leader and leader != self._reported_leader:
            self._reported_leader = leader
            emit(LEADER_CHANGED, leader=raft.leader, term=raft.term)
        if self.state.current.version != self._reported_version:
            self._reported_version = self.state.current.version
            emit(VERSION_ACCEPTED, version=self._reported_version)

    def _emit_storage_state(self) -> None:
        failure = self.consensus.failure
        if (failure is not None) == self._reported_failure:
            return
        self._reported_failure = failure is not None
        if failure is not None:
            emit(FOLDER_FAILED, error=failure)
        else:
            emit(FOLDER_RECOVERED, term=self.consensus.raft.term)

    async def stop(self) -> None:
        """Stop serving and stop the node's tasks."""
        if self._join_task is not None:
            self._join_task.cancel()
        if self._listener is not None:
            await self._listener.close()
        self.service.census.stop()
        await self.service.members.stop()
        await self.consensus.stop()
