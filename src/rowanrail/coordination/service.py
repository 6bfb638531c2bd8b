"""Request handling of a control node: configuration, members, watches of gateways.

Answers gateways, other control nodes and the external API, and forwards to the leader what only it
may do. Owns the liveness and loads that gateways report; relies on the replicated state, the
consensus node, and the network for calls to the leader.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec
from msgspec import UNSET, UnsetType

from rowanrail.cluster.membership import MembershipManager
from rowanrail.cluster.messages import BarrierReply, BarrierRequest, JoinRequest
from rowanrail.consensus.errors import (
    LeadershipLostError,
    NotAdmittedError,
    NotLeaderError,
    SupersededError,
)
from rowanrail.consensus.messages import ConsensusMessage
from rowanrail.consensus.node import CONSENSUS_MESSAGES, ConsensusNode
from rowanrail.coordination.announcements import AnnouncementHandler
from rowanrail.coordination.commands import Command, PutDocument, SetEvacuation
from rowanrail.coordination.directory_updates import UpdateCounts
from rowanrail.coordination.feature_level import EVACUATION_LEVEL, NEWEST_LEVEL
from rowanrail.coordination.forwarding import ReportForwarding
from rowanrail.coordination.gateway_loads import GatewayLoads
from rowanrail.coordination.liveness import Liveness
from rowanrail.coordination.lives import LifeOrder, recordable
from rowanrail.coordination.member_limits import (
    ConfiguredServices,
    check_new_member,
    check_start,
    check_unconfigured,
)
from rowanrail.coordination.messages import (
    AnnouncementRejected,
    AnnounceRequest,
    DocumentReply,
    DocumentRequest,
    Done,
    EvacuationRequest,
    FeatureLevelReply,
    FeatureLevelRequest,
    HeartbeatNotice,
    PutOutcome,
    PutReply,
    PutRequest,
    RemoveRequest,
)
from rowanrail.coordination.rejected_announcements import (
    AnnouncementRejectedError,
    RejectedAnnouncements,
    RejectionReason,
)
from rowanrail.coordination.state import CoordinationState
from rowanrail.coordination.watches import Watches
from rowanrail.directory.messages import (
    DirectoryReply,
    DirectoryRequest,
    GatewayReport,
    LoggedDirectoryRequest,
)
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import RowanrailError, TransportError
from rowanrail.model.members import MemberRecord
from rowanrail.rpc.network import Network

LEADER_TIMEOUT_SECONDS = 0.8  # below REQUEST_TIMEOUT_SECONDS, so that another leader can be tried
REQUEST_TIMEOUT_SECONDS = 0.9  # callers try the next node after 1 s
LEADER_CHECK_INTERVAL_SECONDS = 0.05  # short against an election of 0.1 to 0.5 s
EVACUATIONS_NOT_KNOWN = (
    "evacuations are not possible yet: not every control node is known to support them"
)


class CoordinationService:
    """Handles messages of gateways and control nodes, and calls of the external API."""

    def __init__(
        self,
        node: ConsensusNode,
        state: CoordinationState,
        network: Network,
        zone: str = "",
        decisions: DecisionLog | None = None,
    ) -> None:
        self.node = node
        self.state = state
        self.membership = MembershipManager(node, "")
        self.liveness = Liveness(self.now)
        self.loads = GatewayLoads(lambda: self.now() * 1000)
        decisions = decisions or DecisionLog("control")
        self.rejected = RejectedAnnouncements(self.now, decisions)
        self.configured_services: ConfiguredServices = lambda: None
        self._announcements = AnnouncementHandler(
            state, self.liveness, self.propose, self.now, self.check_announcement, decisions
        )
        self._network = network
        self._forwarding = ReportForwarding(self.now)
        self._watches = Watches(node, state, zone, self.now)
        self._handlers: dict[
            type[msgspec.Struct], Callable[[msgspec.Struct], Awaitable[msgspec.Struct]]
        ] = {
            PutRequest: self._put,
            DocumentRequest: self._read_document,
            AnnounceRequest: self._announce,
            RemoveRequest: self._remove,
            BarrierRequest: self._barrier,
            JoinRequest: self._join,
            FeatureLevelRequest: self._report_feature_level,
            EvacuationRequest: self._set_evacuation,
            LoggedDirectoryRequest: self._watches.answer_logged_directory,
        }

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    # Messages

    async def handle(self, request: msgspec.Struct) -> msgspec.Struct | None:
        """Handle a message from another process; return the answer, None to a notice."""
        if isinstance(request, CONSENSUS_MESSAGES):
            consensus: ConsensusMessage = request
            self.node.receive(consensus)
            return None
        if isinstance(request, DirectoryRequest):
            return await self._watch(request)
        if isinstance(request, HeartbeatNotice):
            self.liveness.record_heartbeat(request.instance, request.sequence, request.started_ms)
            return None
        if isinstance(request, GatewayReport):
            self._record_report(request)
            if not self.node.raft.is_leader and request.hops == 0:
                self.notify_leader(msgspec.structs.replace(request, hops=1))
            return None
        return await self._serve(request)

    def _record_report(self, report: GatewayReport) -> None:
        self.liveness.record_report(report)
        self.loads.record(report.gateway, report.load)

    async def _serve(self, request: msgspec.Struct) -> msgspec.Struct:
        handler = self._handlers.get(type(request))
        if handler is None:
            raise TransportError(f"unexpected {type(request).__name__}", step="handle")
        return await handler(request)

    async def request(
        self, request: msgspec.Struct, deadline: float | None = None
    ) -> msgspec.Struct:
        """Have the leader serve a request, retrying while there is none.

        All requests are idempotent: a version that is not newer, or a known record, has no effect.

        :param deadline: of the loop's clock; by default ``REQUEST_TIMEOUT_SECONDS`` from now.
        :raises NotAdmittedError: at once, if this node is not a member and knows no leader.
        :raises RowanrailError: if no leader served it in time; it may still take effect.
        """
        loop = asyncio.get_running_loop()
        deadline = deadline or loop.time() + REQUEST_TIMEOUT_SECONDS
        while True:
            if loop.time() >= deadline:  # a timeout would take effect after the request is sent
                raise TransportError("the process did not run in time", step="find leader")
            try:
                async with asyncio.timeout_at(deadline):
                    return await self._on_leader(request)
            except NotAdmittedError:
                raise  # it can't learn of a leader in time; its callers can try another node
            except (RowanrailError, TimeoutError) as error:
                if loop.time() + LEADER_CHECK_INTERVAL_SECONDS >= deadline:
                    raise TransportError(
                        f"no majority of the control nodes answers ({error})", step="find leader"
                    ) from error
            await asyncio.sleep(LEADER_CHECK_INTERVAL_SECONDS)

    async def _on_leader(self, request: msgspec.Struct) -> msgspec.Struct:
        if self.node.raft.is_leader:
            return await self._serve(request)
        leader = self.node.leader_address()
        if not leader:
            raft = self.node.raft
            if raft.node not in raft.membership.addresses():
                raise NotAdmittedError(raft.node)
            raise NotLeaderError("", type(request).__name__)
        return await self._network.call(leader, request, LEADER_TIMEOUT_SECONDS)

    def notify_leader(self, notice: msgspec.Struct) -> None:
        """Send the leader a message that is not logged, if another node is known to lead."""
        leader = self.node.leader_address()
        if leader and not self.node.raft.is_leader:
            self._network.notify(leader, notice)

    def forward_reports(self) -> None:
        """Send a new leader the recent reports that gateways sent to this node."""
        for report in self.liveness.recent_direct_reports():
            self.notify_leader(msgspec.structs.replace(report, hops=1))

    # Requests at the leader

    async def propose(self, command: Command) -> object:
        """Append a command and return its result once it is committed and applied.

        :raises RowanrailError: if it was not, or may not have been, committed.
        """
        try:
            return await self.node.propose(msgspec.msgpack.encode(command))
        except (SupersededError, LeadershipLostError) as error:
            raise NotLeaderError(self.node.leader_address(), "propose") from error

    async def _put(self, request: msgspec.Struct) -> msgspec.Struct:
        assert isinstance(request, PutRequest)
        if request.version <= self.state.version:
            return self._not_newer_reply()
        reply = await self.propose(PutDocument(request.version, request.document))
        assert isinstance(reply, PutReply)
        return reply

    def _not_newer_reply(self) -> PutReply:
        return PutReply(PutOutcome.NOT_NEWER, self.state.version)

    async def _read_document(self, request: msgspec.Struct) -> msgspec.Struct:
        await self.node.read_barrier()
        return DocumentReply(self.state.version, self.state.document)

    async def _announce(self, request: msgspec.Struct) -> msgspec.Struct:
        assert isinstance(request, AnnounceRequest)
        try:
            await self._announcements.handle(request.record)
        except AnnouncementRejectedError as error:
            return AnnouncementRejected(error.reason.value, error.message)
        return Done()

    async def _remove(self, request: msgspec.Struct) -> msgspec.Struct:
        assert isinstance(request, RemoveRequest)
        await self._announcements.handle_removal(request.instance, request.start_ms or 0)
        return Done()

    async def _barrier(self, request: msgspec.Struct) -> msgspec.Struct:
        await self.node.read_barrier()
        return BarrierReply(self.node.applied_index)

    async def _join(self, request: msgspec.Struct) -> msgspec.Struct:
        assert isinstance(request, JoinRequest)
        if request.is_forwarded:
            return await self.membership.join(request)
        # A node that has lost its disk may know none but nodes that don't lead.
        return await self._on_leader(msgspec.structs.replace(request, is_forwarded=True))

    async def _set_evacuation(self, request: msgspec.Struct) -> msgspec.Struct:
        """Log an order; also a repeated one, since only its commit confirms what is in force."""
        assert isinstance(request, EvacuationRequest)
        if self.state.feature_level < EVACUATION_LEVEL:
            raise TransportError(EVACUATIONS_NOT_KNOWN, step="evacuate")
        at_ms = round(time.time() * 1000)
        await self.propose(SetEvacuation(request.zone, request.is_evacuated, at_ms))
        return Done()

    @staticmethod
    async def _report_feature_level(request: msgspec.Struct) -> msgspec.Struct:
        return FeatureLevelReply(NEWEST_LEVEL)

    # Calls of the external API, at any node

    async def put(self, version: int, document: bytes) -> PutReply:
        """Store a configuration under the operator's version.

        :raises RowanrailError: if the outcome is unknown; sending it again is safe.
        """
        if version <= self.state.version:
            return self._not_newer_reply()  # an applied version is durable on a majority
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

    def is_configured(self, service: str) -> bool:
        """Return whether a service is in the configuration, or there is none yet."""
        services = self.configured_services()
        return services is None or service in services

    def check_announcement(self, record: MemberRecord) -> AnnouncementRejectedError | None:
        """Return why an announcement is rejected, None if it isn't; count and log rejections."""
        problem = self._rejection_of(record)
        if problem is not None:
            self.rejected.note(problem.reason, record.instance, problem.message)
        return problem

    def _rejection_of(self, record: MemberRecord) -> AnnouncementRejectedError | None:
        state, instance = self.state, record.instance
        member = state.members.get(instance)
        problem = check_start(record, state.order_of(record), member, state.members.values())
        if problem is not None:
            return problem
        if member is not None and (member.service, member.address) == (
            record.service,
            record.address,
        ):
            return None
        services = self.configured_services()
        if services is not None and record.service not in services:
            known = member or state.displaced.get(instance)
            others = [known, state.member_at_address(record)]
            problem = check_unconfigured(record, others, services)
        if problem is None and member is None:
            problem = check_new_member(record, state.members.values(), services)
        return problem

    async def announce(self, record: MemberRecord) -> str:
        """Handle a member's announcement; return the leader's address if this node isn't it.

        :raises AnnouncementRejectedError: if it is no announcement of a member.
        :raises RowanrailError: if it changes the record and was not committed.
        """
        record = recordable(record, self.state.feature_level)
        problem = self.check_announcement(record)
        if problem is not None:
            raise problem
        instance, sequence, start = record.instance, record.sequence, record.started_ms
        if (
            self.state.needs_announcement(record)
            or instance in self.state.displaced
            or self.state.order_of(record) is LifeOrder.UNPROVEN
        ):
            reply = await self.request(AnnounceRequest(record))
            if isinstance(reply, AnnouncementRejected):  # this node did not know the newest state
                raise AnnouncementRejectedError(RejectionReason(reply.reason), reply.problem)
        elif self.node.raft.is_leader:
            self.liveness.record_heartbeat(instance, sequence, start)
        else:
            self.notify_leader(HeartbeatNotice(instance, sequence, start))
        return "" if self.node.raft.is_leader else self.node.leader_address()

    async def remove(self, instance: str, start_ms: int | UnsetType = UNSET) -> None:
        """Handle a member's announcement that it, or one of its lives, has ended.

        :raises RowanrailError: if it was not committed.
        """
        if not self.state.has_ended(instance, start_ms or 0):
            await self.request(RemoveRequest(instance, start_ms))

    async def set_evacuation(self, zone: str, is_evacuated: bool) -> None:
        """Evacuate a zone, or end its evacuation; return once the order is committed.

        :raises RowanrailError: if it was not, or may not have been, committed; sending it again is
            safe.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + REQUEST_TIMEOUT_SECONDS
        # After a restart the level is known once a leader has committed an entry. A leader of an
        # earlier version can't decode the request.
        while self.state.feature_level < EVACUATION_LEVEL:
            if loop.time() + LEADER_CHECK_INTERVAL_SECONDS >= deadline:
                raise TransportError(EVACUATIONS_NOT_KNOWN, step="evacuate")
            await asyncio.sleep(LEADER_CHECK_INTERVAL_SECONDS)
        await self.request(EvacuationRequest(zone, is_evacuated), deadline)

    # Watches

    def notice_change(self) -> None:
        """Wake the waiting watches if something changed that gateways need to know."""
        self._watches.notice_change()

    @property
    def is_current(self) -> bool:
        """Whether this node recently held all committed entries."""
        return self._watches.is_current

    @property
    def directory_counts(self) -> dict[str, UpdateCounts]:
        """Counts of the full and incremental updates that were sent."""
        return self._watches.counts

    async def _watch(self, request: DirectoryRequest) -> DirectoryReply:
        self._record_report(request.report)
        if self._forwarding.is_due(request.report, self.node.leader_address()):
            self.notify_leader(msgspec.structs.replace(request.report, hops=1))
        return await self._watches.answer(request)
