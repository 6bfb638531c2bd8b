"""A Raft node with its timers, storage, network and requests.

The node passes inputs to :class:`rowanrail.consensus.raft.Raft` and performs the returned effects:
state is made durable before the messages that depend on it are sent. A node whose storage fails
takes no part until the storage can be reopened.
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

# Between attempts to reopen a failed storage, each of which costs a few syncs.
REOPEN_INTERVAL_SECONDS = 0.5
CONSENSUS_MESSAGES = (VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest)


class NodeOptions(msgspec.Struct, frozen=True):
    """Options of a node.

    :param snapshot_entries: number of log entries after which a snapshot is taken.
    """

    raft: RaftConfig = RaftConfig()
    snapshot_entries: int = 1000


class ConsensusNode:
    """Node of the replicated log, with its storage and state machine."""

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
        """Load the log and the snapshot from ``storage``.

        :param fallback_address: returns the address of a node that no known membership contains,
            or an empty string.
        :raises StorageError: if stored data are damaged.
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
        """Start the node's task."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Stop the node's task and fail pending requests."""
        if self._task is not None:
            self._task.cancel()
        self._pending.fail_all(LeadershipLostError("the node stops", step="propose"))

    # Requests

    def leader_address(self) -> str:
        """Return the leader's address, or an empty string if it is unknown."""
        return self.raft.membership.addresses().get(self.raft.leader, "")

    def append(self, data: bytes) -> Entry:
        """Append a command without waiting for its commit.

        :raises NotLeaderError: if the node does not lead.
        :raises StorageError: if the storage has failed.
        """
        self.raise_if_failed("propose")
        try:
            entry = self.raft.propose(EntryKind.COMMAND, data, self._now())
        except NotLeader as error:
            raise NotLeaderError(self.leader_address(), "propose") from error
        self._wake.set()
        return entry

    async def propose(self, data: bytes) -> object:
        """Append a command and return the state machine's result.

        :raises NotLeaderError: if the node does not lead; nothing was appended.
        :raises SupersededError: if another leader's entry took its index.
        :raises LeadershipLostError: if the outcome is unknown.
        :raises StorageError: if the storage has failed; a pending entry may still be applied.
        """
        entry = self.append(data)
        return await self._pending.wait_entry(entry)

    async def change_membership(self, membership: Membership) -> None:
        """Append a new membership and wait for its commit.

        :raises NotLeaderError: if the node does not lead.
        :raises MembershipChangeInProgress: if another change is not committed, or several
            voters would change.
        """
        try:
            entry = self.raft.change_membership(membership, self._now())
        except NotLeader as error:
            raise NotLeaderError(self.leader_address(), "change membership") from error
        self._wake.set()
        await self._pending.wait_entry(entry)

    async def read_barrier(self) -> None:
        """Wait until the state machine has applied all entries committed before the call.

        :raises NotLeaderError: if the node does not lead, or can't confirm that it does.
        :raises StorageError: if the storage has failed.
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
        """Wait until the entry at ``index`` is applied on this node."""
        if self.applied_index >= index:
            return
        await self._pending.wait_applied(index)

    async def wait_durable(self, step: str) -> None:
        """Wait until the log and the term in memory are on disk.

        :param step: step that the error names.
        :raises StorageError: if the storage has failed, or the node has stopped, so that they may
            not be.
        """
        self.raise_if_failed(step)
        while self.raft.has_unsaved_state:
            if self._task is None or self._task.done():
                raise StorageError("the node has stopped", step=step, peer=self.identity.node)
            await asyncio.sleep(0)  # the node's task writes them
            self.raise_if_failed(step)

    def receive(self, incoming: ConsensusMessage) -> None:
        """Handle a message from another node."""
        if self.failure is not None:
            self.raft.track_leader(incoming, self._now())
            return
        self.raft.receive(incoming, self._now())
        self._wake.set()

    def raise_if_failed(self, step: str) -> None:
        """Raise an error if the storage has failed.

        :param step: step that the error names.
        :raises StorageError: with the reason of the failure.
        """
        if self.failure is not None:
            raise StorageError(self.failure.message, step=step, peer=self.failure.peer)

    # Event loop

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
            # The state machine may have missed an entry, so it must not serve requests.
            self._may_reopen = False
            reason = f"{type(error).__name__}: {error}; report this, and start the node again"
            self._fail(StorageError(reason, step="apply", peer=self.identity.node))

    def _fail(self, error: StorageError) -> None:
        """Stop participating, since nothing can be made durable, and fail pending requests.

        The role is reset because a deactivated node handles no message or timeout that would end
        its leadership.
        """
        self.failure = error
        self.role_at_failure = self.raft.role
        self.raft.deactivate()
        self._pending.fail_all(error)

    def _reopen(self) -> None:
        """Resume with the durable log, as after a restart, if the storage can be reopened."""
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
                pass  # no input arrived before the next timeout
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
        """Return a snapshot of the state after the last applied entry."""
        return Snapshot(
            index=self.applied_index,
            term=self.raft.log.term_at(self.applied_index),
            membership=self.raft.log.membership_at(self.applied_index),
            data=self.state_machine.snapshot(),
        )
