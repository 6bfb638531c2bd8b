"""The service of one control node: configuration, members, watches of gateways."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from rowanrail.consensus.messages import ConsensusMessage
from rowanrail.consensus.node import (
    CONSENSUS_MESSAGES,
    ConsensusNode,
    LeadershipLostError,
    NotLeaderError,
    SupersededError,
)
from rowanrail.control.membership import MembershipManager
from rowanrail.control.messages import BarrierReply, BarrierRequest, JoinRequest
from rowanrail.coordination.announcements import Announcements
from rowanrail.coordination.liveness import Liveness
from rowanrail.coordination.loads import LoadBook
from rowanrail.coordination.messages import (
    AnnounceRequest,
    Command,
    DirectoryReply,
    DirectoryRequest,
    DocumentReply,
    DocumentRequest,
    Done,
    GatewayReport,
    HeartbeatNotice,
    HeldRequest,
    PutDocument,
    PutReply,
    PutRequest,
    PutVerdict,
    RemoveRequest,
)
from rowanrail.coordination.parts import PartCounts
from rowanrail.coordination.state import CoordinationState
from rowanrail.coordination.watches import Watches
from rowanrail.gateway.model import MemberRecord
from rowanrail.kernel.errors import RowanrailError, TransportError
from rowanrail.rpc.network import Network

LEADER_CALL_SECONDS = 0.8  # within REQUEST_SECONDS, so that another leader can be asked
REQUEST_SECONDS = 0.9  # callers go to the next node after 1 s of silence
RETRY_SECONDS = 0.05  # between looks for a leader; an election takes 0.1 to 0.5 s


class CoordinationService:
    """Handles messages of gateways and control nodes, and what the outside asks."""

    def __init__(
        self, node: ConsensusNode, state: CoordinationState, network: Network, zone: str = ""
    ) -> None:
        self.node = node
        self.state = state
        self.members = MembershipManager(node, "")
        self.liveness = Liveness(self.now)
        self.loads = LoadBook(lambda: self.now() * 1000)
        self._announcements = Announcements(state, self.liveness, self.propose, self.now)
        self._network = network
<<<<<<< HEAD
        self._zone = zone
        self._holders: tuple[CoordinationState, int, list[GatewayRecord]] = (state, -1, [])
        self._changed = asyncio.Event()
        self._seen = (0, 0, 0, False)
=======
        self._watches = Watches(node, state, zone, self.now)
>>>>>>> main
        self._handlers: dict[
            type[msgspec.Struct], Callable[[msgspec.Struct], Awaitable[msgspec.Struct]]
        ] = {
            PutRequest: self._put,
            DocumentRequest: self._read_document,
            AnnounceRequest: self._announce,
            RemoveRequest: self._remove,
            BarrierRequest: self._barrier,
            JoinRequest: self._join,
            HeldRequest: self._watches.tell_held,
        }

    @staticmethod
    def now() -> float:
        """Return the steady time in seconds."""
        return asyncio.get_running_loop().time()

    # Messages

    async def handle(self, request: msgspec.Struct) -> msgspec.Struct | None:
        """Answer a message from another process."""
        if isinstance(request, CONSENSUS_MESSAGES):
            consensus: ConsensusMessage = request
            self.node.receive(consensus)
            return None
        if isinstance(request, DirectoryRequest):
            return await self._watch(request)
        if isinstance(request, HeartbeatNotice):
            self.liveness.heartbeat(request.instance, request.sequence)
            return None
        if isinstance(request, GatewayReport):
            self._note_report(request)
            if not self.node.raft.is_leader and request.hops == 0:
                self.notify_leader(msgspec.structs.replace(request, hops=1))
            return None
        return await self._serve(request)

    def _note_report(self, report: GatewayReport) -> None:
        self.liveness.report(report)
        self.loads.note(report.gateway, report.load)

    async def _serve(self, request: msgspec.Struct) -> msgspec.Struct:
        handler = self._handlers.get(type(request))
        if handler is None:
            raise TransportError(f"unexpected {type(request).__name__}", step="handle")
        return await handler(request)

    async def request(self, request: msgspec.Struct) -> msgspec.Struct:
        """Have a request served by the leader, waiting a moment for one.

        Every request may be repeated: a version that is held, or a record that is known,
        changes nothing.

        :raises RowanrailError: if no leader served it in time; it may still take effect.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + REQUEST_SECONDS
        while True:
            try:
                async with asyncio.timeout_at(deadline):
                    return await self._on_leader(request)
            except (RowanrailError, TimeoutError) as error:
                if loop.time() + RETRY_SECONDS >= deadline:
                    raise TransportError(
                        f"no majority of the control nodes answers ({error})", step="find leader"
                    ) from error
            await asyncio.sleep(RETRY_SECONDS)

    async def _on_leader(self, request: msgspec.Struct) -> msgspec.Struct:
        if self.node.raft.is_leader:
            return await self._serve(request)
        leader = self.node.leader_address()
        if not leader:
            raise NotLeaderError("", type(request).__name__)
        return await self._network.call(leader, request, LEADER_CALL_SECONDS)

    def notify_leader(self, notice: msgspec.Struct) -> None:
        """Tell the leader something that no log needs to keep."""
        leader = self.node.leader_address()
        if leader and not self.node.raft.is_leader:
            self._network.notify(leader, notice)

    def forward_reports(self) -> None:
        """Tell a new leader what gateways said to this node before it led."""
        for report in self.liveness.direct_reports():
            self.notify_leader(msgspec.structs.replace(report, hops=1))

    # Requests at the leader

    async def propose(self, command: Command) -> object:
        """Append a command and return its result once it is committed and applied.

        :raises RowanrailError: if it was not, or may not have been.
        """
        try:
            return await self.node.propose(msgspec.msgpack.encode(command))
        except (SupersededError, LeadershipLostError) as error:
            raise NotLeaderError(self.node.leader_address(), "propose") from error

    async def _put(self, request: msgspec.Struct) -> msgspec.Struct:
        assert isinstance(request, PutRequest)
        if request.version <= self.state.version:
            return self._held()
        reply = await self.propose(PutDocument(request.version, request.document))
        assert isinstance(reply, PutReply)
        return reply

    def _held(self) -> PutReply:
        return PutReply(PutVerdict.HELD, self.state.version)

    async def _read_document(self, request: msgspec.Struct) -> msgspec.Struct:
        await self.node.read_barrier()
        return DocumentReply(self.state.version, self.state.document)

    async def _announce(self, request: msgspec.Struct) -> msgspec.Struct:
        assert isinstance(request, AnnounceRequest)
        await self._announcements.hear(request.record)
        return Done()

    async def _remove(self, request: msgspec.Struct) -> msgspec.Struct:
        assert isinstance(request, RemoveRequest)
        await self._announcements.end(request.instance)
        return Done()

    async def _barrier(self, request: msgspec.Struct) -> msgspec.Struct:
        await self.node.read_barrier()
        return BarrierReply(self.node.applied)

    async def _join(self, request: msgspec.Struct) -> msgspec.Struct:
        assert isinstance(request, JoinRequest)
        return await self.members.join(request)

    # What the outside asks of any node

    async def put(self, version: int, document: bytes) -> PutReply:
        """Accept a configuration under the operator's version.

        :raises RowanrailError: if there is no clear outcome; sending it again is safe.
        """
        if version <= self.state.version:
            return self._held()  # what is applied here is durable on a majority
        reply = await self.request(PutRequest(version, document))
        assert isinstance(reply, PutReply)
        return reply

    async def document(self) -> DocumentReply:
        """Return the newest configuration, confirmed by a majority.

        :raises RowanrailError: if this node can't be sure.
        """
        reply = await self.request(DocumentRequest())
        assert isinstance(reply, DocumentReply)
        return reply

    async def announce(self, record: MemberRecord) -> str:
        """Take a member's announcement; return the address for its later ones, if another.

        :raises RowanrailError: if it is new and could not be made durable.
        """
        if self.state.needs_announcement(record) or record.instance in self.state.displaced:
            await self.request(AnnounceRequest(record))
        elif self.node.raft.is_leader:
            self.liveness.heartbeat(record.instance, record.sequence)
        else:
            self.notify_leader(HeartbeatNotice(record.instance, record.sequence))
        return "" if self.node.raft.is_leader else self.node.leader_address()

    async def remove(self, instance: str) -> None:
        """Take a member's own word that it has ended.

        :raises RowanrailError: if it could not be made durable.
        """
        if not self.state.has_ended(instance):
            await self.request(RemoveRequest(instance))

    # Watches

    def notice_change(self) -> None:
<<<<<<< HEAD
        """Wake the watches if something changed."""
        state = self.state
        seen = (state.version, state.revision, state.plan.number, self.is_current)
        if seen != self._seen:
            self._seen = seen
            self._changed.set()
            self._changed = asyncio.Event()
=======
        """Wake the watches if something changed that gateways are to be told."""
        self._watches.notice_change()
>>>>>>> main

    @property
    def is_current(self) -> bool:
        """Whether this node held all that is committed a short while ago."""
        return self._watches.is_current

    @property
    def directory_counts(self) -> dict[str, PartCounts]:
        """How many directories were sent whole and by difference, and their bytes."""
        return self._watches.counts

    async def _watch(self, request: DirectoryRequest) -> DirectoryReply:
        self._note_report(request.report)
        self.notify_leader(msgspec.structs.replace(request.report, hops=1))
<<<<<<< HEAD
        deadline = self.now() + min(request.hold_seconds, MAXIMUM_HOLD_SECONDS)
        while not self._may_answer(request):
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                break
        return self._directory(request)

    async def _tell_held(self, request: msgspec.Struct) -> msgspec.Struct:
        """Tell what the log holds; see :mod:`rowanrail.gateway.held`."""
        assert isinstance(request, HeldRequest)
        self.node.check_failure("tell what is held")  # the log in memory is not what is on disk
        log = self.node.raft.log
        entries = log.between(log.snapshot_index + 1, log.last_index)
        state = self.state.replayed(log.snapshot, entries)
        return HeldReply(
            self.node.raft.node,
            log.last_term,
            log.last_index,
            sorted(log.membership.voters),
            self._reply(state, request.group, is_newer=True, is_changed=True),
        )

    def _may_answer(self, request: DirectoryRequest) -> bool:
        """Return whether to answer before the request's hold is over.

        A gateway that follows a node which is not sure goes on to the next one; one that has
        just started asks all nodes, and each answers once it is sure.
        """
        if self.is_current:
            return self._has_news(request)
        return request.known_version > 0 and request.known_revision >= 0

    def _has_news(self, request: DirectoryRequest) -> bool:
        return (
            self.state.version > request.known_version
            or self.state.revision > request.known_revision
            or self._has_plan(request)
        )

    def _has_plan(self, request: DirectoryRequest) -> bool:
        """Return whether there is a plan that a gateway wants to know, and does not."""
        known = request.known_plan
        return known is not None and self.state.plan.number > known

    def _directory(self, request: DirectoryRequest) -> DirectoryReply:
        reply = self._reply(
            self.state,
            request.report.sharing_group,
            is_newer=self.state.version > request.known_version,
            is_changed=self.state.revision > request.known_revision,
        )
        if self._has_plan(request):
            return msgspec.structs.replace(reply, plan=self.state.plan)
        return reply

    def _reply(
        self, state: CoordinationState, group: str, is_newer: bool, is_changed: bool
    ) -> DirectoryReply:
        return DirectoryReply(
            current=self.is_current,
            version=state.version,
            document=state.document if is_newer else b"",
            revision=state.revision,
            members=list(state.members.values()) if is_changed else None,
            gateways=len(state.gateways),
            zones=state.groups,
            neighbours=_neighbours(state, group) if is_changed else [],
            controls=sorted(self.node.raft.membership.addresses().values()),
            zone=self._zone,
            others=self._others(state, group) if is_changed else [],
        )

    def _others(self, state: CoordinationState, group: str) -> list[GatewayRecord]:
        """Return the gateways of other groups that hold a service's connections there."""
        known, revision, holders = self._holders
        if known is not state or revision != state.revision:
            holders = _group_holders(state)  # the same for all who ask; worked out once
            self._holders = (state, state.revision, holders)
        return [gateway for gateway in holders if gateway.sharing_group != group]


def _neighbours(state: CoordinationState, group: str) -> list[GatewayRecord]:
    return [gateway for gateway in state.gateways.values() if gateway.sharing_group == group]


def _group_holders(state: CoordinationState) -> list[GatewayRecord]:
    """Return the gateways that hold a service's connections in their groups.

    Where regions share, the gateway that sums tenants' demand for its region is one of them.
    """
    by_group: dict[str, list[str]] = {}
    for gateway in state.gateways.values():
        by_group.setdefault(gateway.sharing_group, []).append(gateway.name)
    services = {member.service for member in state.members.values()}
    held = set(services)
    if any(gateway.group for gateway in state.gateways.values()):
        held = {part.key for service in services for part in parts_of(service)} | {METER}
    names = {rank(service, known)[0] for known in by_group.values() for service in held}
    return [state.gateways[name] for name in sorted(names)]
=======
        return await self._watches.answer(request)
>>>>>>> main
