"""Long polls of gateways for the configuration, the directory, the evacuations and the plan.

Owns the waiting polls. Relies on :mod:`change_batcher` for when a change is sent, on
:mod:`directory_updates` for its encoding, and on the consensus node for whether the state is
current.
"""

import asyncio
from collections.abc import Callable

import msgspec

from rowanrail.consensus.messages import Membership
from rowanrail.consensus.node import ConsensusNode
from rowanrail.coordination.change_batcher import ChangeBatcher
from rowanrail.coordination.directory_updates import UpdateCache, UpdateCounts, full_update
from rowanrail.coordination.replay import LogReplay
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import (
    NO_REVISION,
    DirectoryReply,
    DirectoryRequest,
    LoggedDirectoryReply,
    LoggedDirectoryRequest,
    control_nodes_checksum,
)
from rowanrail.kernel.clock import Clock, Timer

__all__ = ["Watches"]

CURRENT_MAX_AGE_SECONDS = 1.5  # since the last contact with the leader; more than ten heartbeats
MAX_WAIT_SECONDS = 3.0  # of a long poll, whatever the request asks for


class _LoopTimers:
    """The running loop's timers with the node's own monotonic time."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now

    def time(self) -> float:
        """Return the monotonic time in seconds."""
        return self._now()

    @staticmethod
    def call_later(delay: float, callback: Callable[..., object], *args: object) -> Timer:
        """Call ``callback`` after ``delay`` seconds."""
        return asyncio.get_running_loop().call_later(delay, callback, *args)


class Watches:
    """Answers gateways once there is something newer than they know.

    Parameters
    ----------
    node : ConsensusNode
        Provides the log, and whether the node is current.
    state : CoordinationState
        The state after the committed entries.
    zone : str
        The node's zone.
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self, node: ConsensusNode, state: CoordinationState, zone: str, now: Callable[[], float]
    ) -> None:
        self._node = node
        self._state = state
        self._zone = zone
        self._now = now
        self._batcher = ChangeBatcher(Clock(_LoopTimers(now)), self.notice_change)
        self._updates = UpdateCache(state)
        self._replay = LogReplay(state)
        self._replayed_updates = UpdateCache(state)
        self._membership: Membership | None = None
        self._addresses: list[str] = []
        self._control_nodes_checksum = 0
        self._changed = asyncio.Event()
        self._notified = (0, 0, 0, 0, False)

    @property
    def counts(self) -> dict[str, UpdateCounts]:
        """Counts of the full and incremental updates that were sent."""
        return self._updates.counts

    @property
    def is_current(self) -> bool:
        """Whether this node recently held all committed entries."""
        return self._node.raft.seconds_since_up_to_date(self._now()) < CURRENT_MAX_AGE_SECONDS

    def notice_change(self) -> None:
        """Wake the waiting polls if something changed that gateways need to know."""
        self._batcher.update(self._state.revision, self._state.urgent_revision)
        state = self._state
        seen = (
            state.version,
            self._batcher.notified_revision,
            state.plan.number,
            state.evacuations.revision,
            self.is_current,
        )
        if seen != self._notified:
            self._notified = seen
            self._changed.set()
            self._changed = asyncio.Event()

    async def answer(self, request: DirectoryRequest) -> DirectoryReply:
        """Return what is newer than the gateway knows, at the latest when its wait is over."""
        deadline = self._now() + min(request.wait_seconds, MAX_WAIT_SECONDS)
        while not self._may_answer(request):
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                break
        return self._reply(request)

    async def answer_logged_directory(self, request: msgspec.Struct) -> msgspec.Struct:
        """Return the directory after all entries of this node's log, also uncommitted ones.

        Gateways use it to start without a leader; see
        :mod:`rowanrail.gateway.discovery.provisional`.
        """
        assert isinstance(request, LoggedDirectoryRequest)
        await self._node.wait_durable("tell what is held")
        log = self._node.raft.log
        state = self._replay.replay(log)
        if self._replayed_updates.state is not state:
            self._replayed_updates = UpdateCache(state)
        if request.accepts_updates:
            directory = self._base_reply(
                state, True, self._replayed_updates.encoded(request.group, NO_REVISION)
            )
        else:
            directory = self._with_full_directory(
                self._base_reply(state, True), state, request.group, True
            )
        directory = msgspec.structs.replace(directory, evacuations=state.evacuations)
        return LoggedDirectoryReply(
            self._node.raft.node,
            log.last_term,
            log.last_index,
            sorted(log.membership.voters),
            directory,
            self._node.raft.term,
        )

    def _may_answer(self, request: DirectoryRequest) -> bool:
        """Return whether to answer before the request's wait is over.

        A node that isn't current answers a running gateway at once, so that it asks another node.
        A gateway that has just started asks all nodes, and each answers once it is current.
        """
        if self.is_current:
            return self._has_newer(request)
        return request.known_version > 0 and request.known_revision >= 0

    def _has_newer(self, request: DirectoryRequest) -> bool:
        """Return whether there is something newer that the gateway must know now."""
        return (
            self._needs_full(request)
            or self._state.version > request.known_version
            or self._batcher.notified_revision > request.known_revision
            or self._has_newer_plan(request)
            or self._has_newer_evacuations(request)
        )

    def _has_newer_plan(self, request: DirectoryRequest) -> bool:
        """Return whether the gateway uses plans and there is a newer one."""
        known = request.known_plan
        return known is not None and self._state.plan.number > known

    def _has_newer_evacuations(self, request: DirectoryRequest) -> bool:
        """Return whether the gateway applies evacuations and there are newer ones."""
        known = request.known_evacuations
        return known is not None and self._state.evacuations.revision > known

    def _needs_full(self, request: DirectoryRequest) -> bool:
        """Return whether the gateway needs a full update and this node is not behind it."""
        if request.known_revision < 0:
            return True
        return request.wants_full and self._state.revision >= request.known_revision

    def _reply(self, request: DirectoryRequest) -> DirectoryReply:
        state = self._state
        group = request.report.sharing_group
        wants_full = self._needs_full(request)
        is_newer = state.version > request.known_version
        is_changed = wants_full or state.revision > request.known_revision
        if request.accepts_updates:
            since = NO_REVISION if wants_full else request.known_revision
            update = self._updates.encoded(group, since) if is_changed else b""
            reply = self._base_reply(state, is_newer, update, request.known_controls_checksum)
        else:
            reply = self._with_full_directory(
                self._base_reply(state, is_newer), state, group, is_changed
            )
        plan = state.plan if self._has_newer_plan(request) else None
        evacuations = state.evacuations if self._has_newer_evacuations(request) else None
        return msgspec.structs.replace(reply, plan=plan, evacuations=evacuations)

    def _control_nodes(self, known: int) -> list[str]:
        """Return the addresses of all control nodes, none if the gateway knows them."""
        membership = self._node.raft.membership
        if self._membership is not membership:
            self._membership = membership
            self._addresses = sorted(membership.addresses().values())
            self._control_nodes_checksum = control_nodes_checksum(self._addresses)
        return [] if known == self._control_nodes_checksum else self._addresses

    def _base_reply(
        self,
        state: CoordinationState,
        is_newer: bool,
        update: bytes = b"",
        known_controls_checksum: int = 0,
    ) -> DirectoryReply:
        return DirectoryReply(
            current=self.is_current,
            version=state.version,
            document=state.document if is_newer else b"",
            revision=state.revision,
            members=None,
            gateways=len(state.gateways),
            zones=state.groups,
            neighbours=[],
            controls=self._control_nodes(known_controls_checksum),
            zone=self._zone,
            update=update,
        )

    @staticmethod
    def _with_full_directory(
        reply: DirectoryReply, state: CoordinationState, group: str, is_changed: bool
    ) -> DirectoryReply:
        """Return a reply with plain records, for an earlier gateway that accepts no updates."""
        if not is_changed:
            return reply
        whole = full_update(state, group)
        return msgspec.structs.replace(
            reply,
            members=whole.members,
            neighbours=whole.neighbours,
            remote_holders=whole.remote_holders,
        )
