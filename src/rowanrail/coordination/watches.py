"""Long polls of gateways: what a control node tells them of its state, and when.

Owns the polls that wait. Relies on :mod:`change_batch` for when a change is sent, on
:mod:`parts` for its encoding, and on the log's node for whether this node is sure of its state.
"""

import asyncio
from collections.abc import Callable

import msgspec

from rowanrail.consensus.messages import Membership
from rowanrail.consensus.node import ConsensusNode
from rowanrail.coordination.change_batch import ChangeBatch
from rowanrail.coordination.parts import DirectoryParts, PartCounts, whole_for
from rowanrail.coordination.replay import Replay
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import (
    NO_REVISION,
    DirectoryReply,
    DirectoryRequest,
    LoggedDirectoryReply,
    LoggedDirectoryRequest,
    controls_checksum,
)
from rowanrail.kernel.clock import Clock, Timer

__all__ = ["Watches"]

CURRENT_SECONDS = 1.5  # since the leader was heard; more than ten heartbeats
MAXIMUM_HOLD_SECONDS = 3.0  # of a long poll, whatever is asked for


class _LoopTime:
    """The running loop's timers beside the node's own steady time."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now

    def time(self) -> float:
        """Return the steady time in seconds."""
        return self._now()

    @staticmethod
    def call_later(delay: float, callback: Callable[..., object], *args: object) -> Timer:
        """Call ``callback`` after ``delay`` seconds."""
        return asyncio.get_running_loop().call_later(delay, callback, *args)


class Watches:
    """Answers gateways that wait for what is newer than what they know.

    Parameters
    ----------
    node : ConsensusNode
        The log, and whether the node is sure of it.
    state : CoordinationState
        What the log's committed entries lead to.
    zone : str
        Of the node.
    now : callable
        Returns the steady time in seconds.
    """

    def __init__(
        self, node: ConsensusNode, state: CoordinationState, zone: str, now: Callable[[], float]
    ) -> None:
        self._node = node
        self._state = state
        self._zone = zone
        self._now = now
        self._batch = ChangeBatch(Clock(_LoopTime(now)), self.notice_change)
        self._parts = DirectoryParts(state)
        self._replay = Replay(state)
        self._held_parts = DirectoryParts(state)
        self._membership: Membership | None = None
        self._addresses: list[str] = []
        self._mark = 0
        self._changed = asyncio.Event()
        self._seen = (0, 0, 0, False)

    @property
    def counts(self) -> dict[str, PartCounts]:
        """How many directories were sent whole and by difference, and their bytes."""
        return self._parts.counts

    @property
    def is_current(self) -> bool:
        """Whether this node held all that is committed a short while ago."""
        return self._node.raft.seconds_since_up_to_date(self._now()) < CURRENT_SECONDS

    def notice_change(self) -> None:
        """Wake the waiting polls if something changed that gateways need to know."""
        self._batch.note(self._state.revision, self._state.urgent_revision)
        state = self._state
        seen = (state.version, self._batch.released, state.plan.number, self.is_current)
        if seen != self._seen:
            self._seen = seen
            self._changed.set()
            self._changed = asyncio.Event()

    async def answer(self, request: DirectoryRequest) -> DirectoryReply:
        """Return what is newer than a gateway knows, at the latest when its wait is over."""
        deadline = self._now() + min(request.wait_seconds, MAXIMUM_HOLD_SECONDS)
        while not self._may_answer(request):
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                break
        return self._directory(request)

    async def answer_logged_directory(self, request: msgspec.Struct) -> msgspec.Struct:
        """Tell what the log holds; see :mod:`rowanrail.gateway.discovery.provisional`."""
        assert isinstance(request, LoggedDirectoryRequest)
        self._node.raise_if_failed("tell what is held")  # the log in memory is not what is on disk
        log = self._node.raft.log
        state = self._replay.state_of(log)
        if self._held_parts.state is not state:
            self._held_parts = DirectoryParts(state)
        if request.accepts_updates:
            directory = self._plain(
                state, True, self._held_parts.packed(request.group, NO_REVISION)
            )
        else:
            directory = self._with_all(self._plain(state, True), state, request.group, True)
        return LoggedDirectoryReply(
            self._node.raft.node,
            log.last_term,
            log.last_index,
            sorted(log.membership.voters),
            directory,
        )

    def _may_answer(self, request: DirectoryRequest) -> bool:
        """Return whether to answer before the request's wait is over.

        A gateway that follows a node which is not sure goes on to the next one; one that has
        just started asks all nodes, and each answers once it is sure.
        """
        if self.is_current:
            return self._has_news(request)
        return request.known_version > 0 and request.known_revision >= 0

    def _has_news(self, request: DirectoryRequest) -> bool:
        """Return whether there is something that a gateway needs to know now."""
        return (
            self._wants_whole(request)
            or self._state.version > request.known_version
            or self._batch.released > request.known_revision
            or self._has_plan(request)
        )

    def _has_plan(self, request: DirectoryRequest) -> bool:
        """Return whether there is a newer plan than a gateway has, if it takes plans."""
        known = request.known_plan
        return known is not None and self._state.plan.number > known

    def _wants_whole(self, request: DirectoryRequest) -> bool:
        """Return whether a gateway needs everything, and this node is not behind it."""
        if request.known_revision < 0:
            return True
        return request.wants_full and self._state.revision >= request.known_revision

    def _directory(self, request: DirectoryRequest) -> DirectoryReply:
        state = self._state
        group = request.report.sharing_group
        wants_full = self._wants_whole(request)
        is_newer = state.version > request.known_version
        is_changed = wants_full or state.revision > request.known_revision
        if request.accepts_updates:
            since = NO_REVISION if wants_full else request.known_revision
            part = self._parts.packed(group, since) if is_changed else b""
            reply = self._plain(state, is_newer, part, request.known_controls_checksum)
        else:
            reply = self._with_all(self._plain(state, is_newer), state, group, is_changed)
        plan = state.plan if self._has_plan(request) else None
        return msgspec.structs.replace(reply, plan=plan)

    def _controls(self, known: int) -> list[str]:
        """Return all control nodes, none if a gateway knows them."""
        membership = self._node.raft.membership
        if self._membership is not membership:
            self._membership = membership
            self._addresses = sorted(membership.addresses().values())
            self._mark = controls_checksum(self._addresses)
        return [] if known == self._mark else self._addresses

    def _plain(
        self,
        state: CoordinationState,
        is_newer: bool,
        part: bytes = b"",
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
            controls=self._controls(known_controls_checksum),
            zone=self._zone,
            update=part,
        )

    @staticmethod
    def _with_all(
        reply: DirectoryReply, state: CoordinationState, group: str, is_changed: bool
    ) -> DirectoryReply:
        """Return a reply for a gateway of an earlier version, which takes no parts."""
        if not is_changed:
            return reply
        whole = whole_for(state, group)
        return msgspec.structs.replace(
            reply,
            members=whole.members,
            neighbours=whole.neighbours,
            remote_holders=whole.remote_holders,
        )
