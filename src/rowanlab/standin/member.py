"""A stand-in member of a database group.

The group's log is the product's replicated log with other settings. As the worst case of a
real group, the primary commits locally and may acknowledge an entry before a majority has
it, and it does not step down when it loses contact with the majority.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from pathlib import Path

import msgspec

from rowanlab.standin.engine import Engine
from rowanrail.cluster.data_folder import NodeConfig, join_until_admitted, open_data_folder
from rowanrail.cluster.membership import MembershipManager, node_name
from rowanrail.cluster.messages import JoinRequest, NodesRequest, ReportsReply, ReportsRequest
from rowanrail.config.settings import NodeAddress
from rowanrail.consensus.errors import NotLeaderError
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.consensus.node import CONSENSUS_MESSAGES, ConsensusNode, NodeOptions
from rowanrail.consensus.policies import LearnerFirst
from rowanrail.consensus.raft_types import RaftConfig
from rowanrail.consensus.state_machine import StateMachine
from rowanrail.consensus.storage import Identity, Storage
from rowanrail.kernel.disk import Disk
from rowanrail.kernel.errors import BackendRefusedError, TransportError
from rowanrail.kernel.registry import Registry
from rowanrail.model.position import Position
from rowanrail.rpc.codec import message
from rowanrail.rpc.network import Listener, Network
from rowanrail.sql_proxy.backend import MemberRole, MemberStatus

READ_ONLY_CODE = 1290
LOCK_WAIT_CODE = 1205
LEAVING_GRACE_SECONDS = 3.0
NEVER_COMPACT = 10**9


class MemberSettings(msgspec.Struct, frozen=True):
    """Settings of a stand-in member."""

    group: str
    name: str
    zone: str
    listen: str
    rpc_listen: str
    data_folder: str
    nodes: list[NodeAddress]
    user: str = "rowanrail"
    password: str = ""
    routes: dict[str, str] = {}
    slots: int = 5
    connections: int = 40
    connect_seconds: float = 0.01
    service_seconds: float = 0.001
    heartbeat_seconds: float = 0.05
    election_timeout_seconds: float = 0.4
    lock_wait_seconds: float = 3.0


class Faults(msgspec.Struct):
    """Faults that can be set while a member runs."""

    lag_seconds: float = 0.0
    answer_delay_seconds: float = 0.0
    leaving: bool = False


@message("FaultRequest")
class FaultRequest(msgspec.Struct, frozen=True):
    """Request to set faults; None leaves a fault unchanged."""

    lag_seconds: float | None = None
    answer_delay_seconds: float | None = None
    leaving: bool | None = None


@message("FiguresRequest")
class FiguresRequest(msgspec.Struct, frozen=True):
    """Request for a member's connection counts."""


@message("MemberFigures")
class MemberFigures(msgspec.Struct, frozen=True):
    """Answer to :class:`FiguresRequest`.

    :param refused: connections refused because the limit was reached.
    """

    connections: int
    connections_peak: int
    refused: int


class ConnectionCounts(msgspec.Struct):
    """Counts of client connections, which proxies open, at a member."""

    now: int = 0
    peak: int = 0
    refused: int = 0


class _DelayedEntry(msgspec.Struct, frozen=True):
    due_at: float
    entry: Entry


class MemberMachine(StateMachine):
    """Applies the group's log to the engine, with a delay if the member lags.

    :ivar locally_committed: terms, by index, of entries that the engine has committed before
        the group has.
    """

    def __init__(self, engine: Engine, faults: Faults) -> None:
        self.engine = engine
        self.executed = Position()
        self.locally_committed: dict[int, int] = {}
        self.committed_entries_before: Callable[[int], list[Entry]] = lambda index: []
        self._faults = faults
        self._queue: deque[_DelayedEntry] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def apply(self, entry: Entry) -> object:
        """Queue a committed entry, and execute all entries that are due."""
        now = asyncio.get_running_loop().time()
        self._queue.append(_DelayedEntry(now + self._faults.lag_seconds, entry))
        self.execute_due()
        return None

    def execute_due(self) -> None:
        """Execute the queued entries that are due."""
        loop = asyncio.get_running_loop()
        while self._queue and self._queue[0].due_at <= loop.time():
            self._execute(self._queue.popleft().entry)
        if self._queue and self._timer is None:
            self._timer = loop.call_at(self._queue[0].due_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.execute_due()

    def drain(self) -> None:
        """Execute all queued entries, whether due or not."""
        while self._queue:
            self._execute(self._queue.popleft().entry)

    def _execute(self, entry: Entry) -> None:
        known_term = self.locally_committed.pop(entry.index, None)
        if known_term is not None and known_term != entry.term:
            # Another primary's entry was committed: undo the local commits.
            self.rebuild(self.committed_entries_before(entry.index))
            known_term = None
        if known_term is None and entry.kind is EntryKind.COMMAND:
            self.engine.apply(msgspec.msgpack.decode(entry.data, type=list[str]))
        self.executed = Position(entry.term, entry.index)

    def rebuild(self, entries: list[Entry]) -> None:
        """Rebuild the database from committed entries."""
        self.engine.reset()
        self.locally_committed = {}
        waiting = list(self._queue)
        self._queue.clear()
        for entry in entries:
            self._execute(entry)
        self._queue.extend(due for due in waiting if due.entry.index > self.executed.index)

    def snapshot(self) -> bytes:
        """Return no data: the stand-in keeps its whole log."""
        return b""

    def restore(self, data: bytes) -> None:
        """Do nothing, since there are no snapshots."""


class Member:
    """One member: its log, its engine and the state shared by its sessions."""

    def __init__(
        self,
        settings: MemberSettings,
        network: Network,
        disk: Disk,
        database: Path,
        randomness: random.Random,
        registry: Registry,
    ) -> None:
        self.settings = settings
        self.faults = Faults()
        self.connections = ConnectionCounts()
        self.engine = Engine(database)
        self.machine = MemberMachine(self.engine, self.faults)
        self.incarnation = f"{randomness.getrandbits(48):012x}"
        self.write_lock = asyncio.Lock()
        self.slots = asyncio.Semaphore(settings.slots)
        self.on_demoted: list[asyncio.Event] = []
        self._network = network
        self._storage = Storage(disk)
        self._random = randomness
        self._registry = registry
        self._listener: Listener | None = None
        self._joining: asyncio.Task[None] | None = None
        self._admitted = asyncio.Event()
        self._was_leader = False
        self.generation = 0
        self.leaving_since = float("inf")
        self.late_work = 0

    async def start(self, bootstrap: bool) -> None:
        """Open the data folder and join the group."""
        settings = self.settings
        owner = NodeConfig(settings.group, settings.name, settings.nodes, settings.data_folder)
        identity = await open_data_folder(
            owner, self._storage, self._network, self._random, LearnerFirst(), bootstrap
        )
        self.node = self._create_node(identity)
        self.members = MembershipManager(self.node, settings.group)
        self.machine.committed_entries_before = lambda index: self.node.raft.log.entries_between(
            1, index - 1
        )
        self.node.on_change = self._on_change
        self._listener = await self._network.serve(settings.rpc_listen, self.handle)
        self.node.start()
        self.members.start()
        if identity.node not in self.node.raft.membership.addresses():
            self._joining = asyncio.ensure_future(
                join_until_admitted(owner, identity, self._network, self._admitted)
            )

    def _create_node(self, identity: Identity) -> ConsensusNode:
        settings = self.settings
        addresses = {node.name: node.address for node in settings.nodes}
        raft = RaftConfig(
            settings.heartbeat_seconds, settings.election_timeout_seconds, check_quorum=False
        )
        return ConsensusNode(
            identity,
            self._storage,
            self._network,
            self.machine,
            NodeOptions(raft, NEVER_COMPACT),
            self._random,
            self._registry,
            fallback_address=lambda node: addresses.get(node_name(node), ""),
        )

    async def stop(self) -> None:
        """Stop serving and close the database."""
        if self._joining is not None:
            self._joining.cancel()
        if self._listener is not None:
            await self._listener.close()
        await self.members.stop()
        await self.node.stop()
        self.engine.close()

    async def handle(self, request: msgspec.Struct) -> msgspec.Struct | None:
        """Handle a message from another member or from the laboratory.

        :raises TransportError: if the message has an unknown type.
        """
        if isinstance(request, CONSENSUS_MESSAGES):
            self.node.receive(request)
            return None
        if isinstance(request, JoinRequest):
            return await self.members.join(request)
        if isinstance(request, NodesRequest):
            return self.members.view()
        if isinstance(request, ReportsRequest):
            return ReportsReply(self.node.identity.node, max(0, self.node.applied_index - 2), [])
        if isinstance(request, FaultRequest):
            self.set_faults(request)
            return request
        if isinstance(request, FiguresRequest):
            counts = self.connections
            return MemberFigures(counts.now, counts.peak, counts.refused)
        raise TransportError(f"unexpected {type(request).__name__}", step="handle")

    def set_faults(self, request: FaultRequest) -> None:
        """Set the faults that are not None in the request."""
        for name in ("lag_seconds", "answer_delay_seconds", "leaving"):
            value = getattr(request, name)
            if value is not None:
                setattr(self.faults, name, value)
        if request.leaving is not None:
            self._set_leaving(request.leaving)

    def _set_leaving(self, leaving: bool) -> None:
        """Mark the member as leaving or not; a leaving one steps down and can't be elected."""
        now = asyncio.get_running_loop().time()
        self.leaving_since = now if leaving else float("inf")
        self.node.raft.may_campaign = not leaving
        if leaving:
            self.node.raft.step_down(now)
            self._on_change()

    def _on_change(self) -> None:
        raft = self.node.raft
        if self.node.identity.node in raft.membership.addresses():
            self._admitted.set()
        if self._was_leader and not raft.is_leader:
            self._discard_local_commits()
        self._was_leader = raft.is_leader

    def _discard_local_commits(self) -> None:
        """Undo commits that the group has not confirmed."""
        self.generation += 1
        self.engine.roll_back()
        if self.machine.locally_committed:
            self.machine.rebuild(self.node.raft.log.entries_between(1, self.node.applied_index))

    def count_new_work(self) -> None:
        """Count work that begins after the grace period of a leaving member."""
        now = asyncio.get_running_loop().time()
        if now > self.leaving_since + LEAVING_GRACE_SECONDS:
            self.late_work += 1

    # Interface for sessions

    @property
    def is_writable(self) -> bool:
        """Whether the member is an established primary that has applied its log."""
        return self.node.raft.is_established_leader

    def check_writable(self) -> None:
        """Check that the member accepts writes.

        :raises BackendRefusedError: if the member is not the primary.
        """
        if not self.is_writable:
            raise BackendRefusedError(
                READ_ONLY_CODE, "The member is running with the --read-only option"
            )

    def commit(self, statements: list[str]) -> Position:
        """Commit the write transaction locally and append it to the log.

        :raises BackendRefusedError: if the member is no longer the primary.
        """
        self.machine.drain()
        try:
            entry = self.node.append(msgspec.msgpack.encode(statements))
        except NotLeaderError as error:
            self.engine.roll_back()
            raise BackendRefusedError(READ_ONLY_CODE, str(error)) from error
        self.machine.locally_committed[entry.index] = entry.term
        self.engine.commit()
        return Position(entry.term, entry.index)

    def position(self) -> Position:
        """Return the position of the last entry in the log."""
        raft = self.node.raft
        return Position(raft.log.last_term, raft.log.last_index)

    def status(self) -> MemberStatus:
        """Return the member's status."""
        raft = self.node.raft
        role = MemberRole.REPLICA
        if self.node.identity.node not in raft.membership.voters:
            role = MemberRole.LEARNER
        elif self.is_writable:
            role = MemberRole.PRIMARY
        return MemberStatus(
            role=role,
            term=raft.term,
            received=self.position(),
            committed=self.machine.executed,
            leaving=self.faults.leaving,
            incarnation=self.incarnation,
        )
