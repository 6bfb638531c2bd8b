"""A Raft node at work: its timers, its storage, its messages and its requests.

Takes inputs to :class:`Raft` and carries out the effects in their order: what is promised is
durable before it is sent. Owns the failure of the storage; relies on ``pending`` for who waits, and
on the state machine for what entries mean.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from rowanrail.consensus.errors import LeadershipLostError, NotLeaderError
from rowanrail.consensus.log import Log
from rowanrail.consensus.messages import (
    AppendReply,
    AppendRequest,
    ConsensusMessage,
    Entry,
    EntryKind,
    HardState,
    Membership,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from rowanrail.consensus.pending import PendingRequests
from rowanrail.consensus.raft import Raft
from rowanrail.consensus.raft_types import Effects, NotLeader, RaftConfig, Role
from rowanrail.consensus.state_machine import StateMachine
from rowanrail.consensus.storage import Identity, Storage
from rowanrail.kernel.errors import StorageError
from rowanrail.kernel.registry import Registry
from rowanrail.rpc.network import Network

# Between tries of a disk that has failed: as long as an election, and a try costs a few syncs.
REOPEN_INTERVAL_SECONDS = 0.5
CONSENSUS_MESSAGES = (VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest)


class NodeOptions(msgspec.Struct, frozen=True):
    """How a node runs.

    :param snapshot_entries: number of log entries after which a snapshot is taken.
    """

    raft: RaftConfig = RaftConfig()
    snapshot_entries: int = 1000


class ConsensusNode:
    """One node of the replicated log with its state machine."""

    def __init__(
        self,
        identity: Identity,
        storage: Storage,
        network: Network,
        state_machine: StateMachine,
        options: NodeOptions,
        randomness: random.Random,
        registry: Registry,
        fallback_address: Callable[[str], str] = lambda node: "",
    ) -> None:
        """Load the folder.

        :param fallback_address: address of a node that is in no membership known here yet.
        """
        self.identity = identity
        self.state_machine = state_machine
        self.failure: StorageError | None = None
        self.role_at_failure = Role.FOLLOWER
        self._may_reopen = True
        self.on_change: Callable[[], None] = lambda: None
        self._storage = storage
        self._network = network
        self._options = options
        self._fallback_address = fallback_address
        self._pending = PendingRequests()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        hard_state, log = storage.load()
        if log.snapshot is not None and log.snapshot.data:
            state_machine.restore(log.snapshot.data)
        self.applied_index = log.snapshot_index
        self._random = randomness
        self._quorum_check = registry.create("consensus-guard", "check-quorum")
        self.raft = self._create_raft(hard_state, log)

    def _create_raft(self, hard_state: HardState, log: Log) -> Raft:
        return Raft(
            self.identity.node,
            self._options.raft,
            log,
            hard_state,
            self._random,
            self._quorum_check,
            self._now(),
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    # Lifecycle

    def start(self) -> None:
        """Begin to take part."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Stop taking part; pending requests fail."""
        if self._task is not None:
            self._task.cancel()
        self._pending.fail_all(LeadershipLostError("the node stops", step="propose"))

    # Requests

    def leader_address(self) -> str:
        """Return the leader's address as this node knows it, or an empty string."""
        return self.raft.membership.addresses().get(self.raft.leader, "")

    def append(self, data: bytes) -> Entry:
        """Append a command without waiting for it to commit.

        :raises NotLeaderError: if the node does not lead.
        """
        self.raise_if_failed("propose")
        try:
            entry = self.raft.propose(EntryKind.COMMAND, data, self._now())
        except NotLeader as error:
            raise NotLeaderError(self.leader_address(), "propose") from error
        self._wake.set()
        return entry

    async def propose(self, data: bytes) -> object:
        """Append a command and return its result once applied.

        :raises NotLeaderError: if the node does not lead; nothing was appended.
        :raises SupersededError: if the entry was lost for good.
        :raises LeadershipLostError: if the outcome is unknown.
        """
        entry = self.append(data)
        return await self._pending.wait_entry(entry)

    async def change_membership(self, membership: Membership) -> None:
        """Commit a new membership.

        :raises NotLeaderError: if the node does not lead.
        :raises MembershipChangeInProgress: if another change is under way.
        """
        try:
            entry = self.raft.change_membership(membership, self._now())
        except NotLeader as error:
            raise NotLeaderError(self.leader_address(), "change membership") from error
        self._wake.set()
        await self._pending.wait_entry(entry)

    async def read_barrier(self) -> None:
        """Return once the state machine holds all that was committed before the call.

        :raises NotLeaderError: if the node does not lead, or can't confirm that it does.
        """
        self.raise_if_failed("read")
        token, future = self._pending.wait_read()
        try:
            self.raft.read(token, self._now())
        except NotLeader as error:
            self._pending.discard_read(token)
            raise NotLeaderError(self.leader_address(), "read") from error
        self._wake.set()
        try:
            await self.wait_applied(await future)
        finally:
            self._pending.discard_read(token)

    async def wait_applied(self, index: int) -> None:
        """Return once the entry at ``index`` has been applied here."""
        if self.applied_index >= index:
            return
        await self._pending.wait_applied(index)

    def receive(self, incoming: ConsensusMessage) -> None:
        """Handle a message from another node."""
        if self.failure is not None:
            self.raft.track_leader(incoming, self._now())
            return
        self.raft.receive(incoming, self._now())
        self._wake.set()

    def raise_if_failed(self, step: str) -> None:
        """Refuse to go on while the storage has failed.

        :raises StorageError: with the reason of the failure.
        """
        if self.failure is not None:
            raise StorageError(self.failure.message, step=step, peer=self.failure.peer)

    # The loop

    async def _run(self) -> None:
        while True:
            if self.failure is None:
                await self._wait_for_input()
                self._step()
            elif self._may_reopen:
                await asyncio.sleep(REOPEN_INTERVAL_SECONDS)
                self._reopen()
            else:
                return
            self.on_change()

    def _step(self) -> None:
        self.raft.tick(self._now())
        try:
            self._process_effects(self.raft.take_effects())
        except StorageError as error:
            self._fail(error)
        except Exception as error:
            # A state machine that could not follow the log may not answer from it either.
            self._may_reopen = False
            reason = f"{type(error).__name__}: {error}; report this, and start the node again"
            self._fail(StorageError(reason, step="apply", peer=self.identity.node))

    def _fail(self, error: StorageError) -> None:
        """Take no further part: what was not made durable may not be promised.

        The role ends here. Nothing would end it later, since the node hears no vote and no
        heartbeat any more, and it would call itself leader and up to date for as long as it runs.
        """
        self.failure = error
        self.role_at_failure = self.raft.role
        self.raft.deactivate()
        self._pending.fail_all(error)

    def _reopen(self) -> None:
        """Take part again with what is durable, as after a restart, if the disk allows it."""
        try:
            hard_state, log = self._storage.reopen()
        except StorageError as error:
            self.failure = error
            return
        if log.last_index < self.applied_index:
            self._may_reopen = False
            self.failure = StorageError(
                f"entries {log.last_index + 1} to {self.applied_index} were applied and are gone; "
                "move the folder away and let the node join as a new one",
                step="reopen",
                peer=self.identity.node,
            )
            return
        self.raft = self._create_raft(hard_state, log)
        if log.snapshot is not None and log.snapshot_index > self.applied_index:
            self.state_machine.restore(log.snapshot.data)
            self.applied_index = log.snapshot_index
        self.raft.mark_applied(self.applied_index)
        self.failure = None

    async def _wait_for_input(self) -> None:
        remaining_seconds = self.raft.next_due() - self._now()
        if remaining_seconds > 0:
            try:
                async with asyncio.timeout(remaining_seconds):
                    await self._wake.wait()
            except TimeoutError:
                pass  # no input came: a timer of the state machine is due
        self._wake.clear()

    def _process_effects(self, effects: Effects) -> None:
        self._persist(effects)
        self._send(effects)
        self._apply(effects)
        self._resolve_reads(effects)
        self._compact()

    def _persist(self, effects: Effects) -> None:
        if effects.hard_state is not None:
            self._storage.save_hard_state(effects.hard_state)
        if effects.install is not None:
            self._storage.save_snapshot(effects.install, discard_log=True)
        if effects.truncate_from is not None:
            self._storage.truncate_from(effects.truncate_from)
        if effects.append:
            self._storage.append(effects.append)

    def _send(self, effects: Effects) -> None:
        addresses = self.raft.membership.addresses()
        for peer, outgoing in effects.messages:
            address = addresses.get(peer) or self._fallback_address(peer)
            if address:
                self._network.notify(address, outgoing)

    def _apply(self, effects: Effects) -> None:
        if effects.install is not None:
            self.state_machine.restore(effects.install.data)
            self.applied_index = effects.install.index
        for entry in effects.committed:
            result = self.state_machine.apply(entry)
            self.applied_index = entry.index
            self._pending.resolve_entry(entry, result)
        if effects.committed or effects.install:
            self._pending.resolve_applied(self.applied_index)

    def _resolve_reads(self, effects: Effects) -> None:
        for token, index in effects.ready_reads:
            self._pending.resolve_read(token, index)
        for token in effects.failed_reads:
            self._pending.fail_read(token, NotLeaderError(self.leader_address(), "read"))
        if not self.raft.is_leader and self._pending.has_proposals:
            self._pending.fail_proposals(LeadershipLostError("the leader changed", step="propose"))

    def _compact(self) -> None:
        if self.raft.log.size < self._options.snapshot_entries or self.applied_index <= 0:
            return
        if self.applied_index - self.raft.log.snapshot_index < self._options.snapshot_entries:
            return
        snapshot = self.make_snapshot()
        self._storage.save_snapshot(snapshot)
        self.raft.compact(snapshot)

    def make_snapshot(self) -> Snapshot:
        """Return a snapshot of what has been applied."""
        return Snapshot(
            index=self.applied_index,
            term=self.raft.log.term_at(self.applied_index),
            membership=self.raft.log.membership_at(self.applied_index),
            data=self.state_machine.snapshot(),
        )
