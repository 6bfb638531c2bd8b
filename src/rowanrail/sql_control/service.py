"""Configuration service of a control node.

It answers proxies, other control nodes and the operators' API. Requests that only the leader can
serve are forwarded to it.
"""

import asyncio
import datetime
import hashlib
from collections.abc import Callable

import msgspec

from rowanrail.cluster.membership import MembershipManager
from rowanrail.cluster.messages import (
    BarrierReply,
    BarrierRequest,
    JoinRequest,
    NodesRequest,
    ProxyReport,
    ReportsReply,
    ReportsRequest,
)
from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.config.checks import check_configuration
from rowanrail.config.diff import Change, diff_configurations
from rowanrail.config.model import Configuration
from rowanrail.consensus.errors import NotLeaderError, SupersededError
from rowanrail.consensus.messages import ConsensusMessage
from rowanrail.consensus.node import CONSENSUS_MESSAGES, ConsensusNode
from rowanrail.kernel.errors import InvalidRequestError, RowanrailError, TransportError
from rowanrail.rpc.network import Network
from rowanrail.sql_control.census import ProxyCensus
from rowanrail.sql_control.changes import (
    LEADER_REPLY_TIMEOUT_SECONDS,
    LEADER_RETRY_INTERVAL_SECONDS,
    LEADER_WAIT_TIMEOUT_SECONDS,
    may_retry,
)
from rowanrail.sql_control.delta import make_delta
from rowanrail.sql_control.messages import (
    ApplyRequest,
    CensusRequest,
    ChangeCommand,
    ChangeReply,
    ConfigurationDelta,
    DrainRequest,
    Outcome,
    ReadReply,
    ReadRequest,
    RollbackRequest,
    Verdict,
    WatchRequest,
)
from rowanrail.sql_control.state import ConfigurationState
from rowanrail.sql_control.watch import WatchHub

BARRIER_TIMEOUT_SECONDS = 1.0  # for the leader to confirm the reply to a new proxy
MAXIMUM_READ_HISTORY = 200  # latest history entries in a reply to operators
REPORTS_TIMEOUT_SECONDS = 1.0  # for another node's reply with its proxies

ChangeRequest = ApplyRequest | DrainRequest | RollbackRequest


class ControlService:
    """Handles messages of proxies and control nodes, and operators' requests."""

    def __init__(
        self,
        node: ConsensusNode,
        state: ConfigurationState,
        network: Network,
        cluster: str,
        wall_clock: Callable[[], float],
        monotonic: VersionMonotonic,
    ) -> None:
        self.node = node
        self.state = state
        self.watches = WatchHub(state, monotonic)
        self.members = MembershipManager(node, cluster)
        self.census = ProxyCensus(node, self.watches, network)
        self._network = network
        self._wall_clock = wall_clock
        node.on_change = self.watches.notify_change

    # Messages from other processes

    async def handle(self, request: msgspec.Struct) -> msgspec.Struct | None:
        """Handle a message from another process and return the reply, None for no reply."""
        if isinstance(request, CONSENSUS_MESSAGES):
            consensus: ConsensusMessage = request
            self.node.receive(consensus)
            return None
        if isinstance(request, WatchRequest):
            return await self._watch(request)
        if isinstance(request, CensusRequest):
            return self.census.reply()
        if isinstance(request, ReportsRequest):
            version = self.state.current.version
            return ReportsReply(self.node.identity.node, version, self.watches.reports())
        return await self._serve_as_leader(request)

    async def _serve_as_leader(self, request: msgspec.Struct) -> msgspec.Struct:
        if isinstance(request, ApplyRequest | DrainRequest | RollbackRequest):
            return ChangeReply(await self._propose_change(request))
        if isinstance(request, ReadRequest):
            return await self._read()
        if isinstance(request, BarrierRequest):
            await self.node.read_barrier()
            return BarrierReply(self.node.applied_index)
        if isinstance(request, JoinRequest):
            return await self._join(request)
        if isinstance(request, NodesRequest):
            return await self.members.nodes(request)
        raise TransportError(f"unexpected {type(request).__name__}", step="handle")

    async def _join(self, request: JoinRequest) -> msgspec.Struct:
        if request.is_forwarded:
            return await self.members.join(request)
        # The settings of the node that joins need not name the leader.
        return await self.call_leader(msgspec.structs.replace(request, is_forwarded=True))

    async def _watch(self, request: WatchRequest) -> msgspec.Struct:
        confirmed = False
        if request.known_version == 0:
            confirmed = await self._catch_up()
        reply = await self.watches.watch(request, confirmed)
        users = self.census.proxy_counts(request.report.used)
        return msgspec.structs.replace(reply, users=users)

    async def _catch_up(self) -> bool:
        """Apply all changes committed so far; return whether that succeeded in time."""
        try:
            async with asyncio.timeout(BARRIER_TIMEOUT_SECONDS):
                reply = await self.call_leader(BarrierRequest())
                assert isinstance(reply, BarrierReply)
                await self.node.wait_applied(reply.index)
        except (RowanrailError, TimeoutError):
            return False  # the reply is marked as not confirmed
        return True

    # Requests that only the leader can serve

    async def call_leader(self, request: msgspec.Struct) -> msgspec.Struct:
        """Serve a request on this node if it leads, else forward it to the leader.

        :raises RowanrailError: if no leader served it; a change may still have been applied.
        """
        leader = self.node.leader_address()
        if self.node.raft.is_leader or not leader:
            return await self._serve_as_leader(request)
        return await self._network.call(leader, request, LEADER_REPLY_TIMEOUT_SECONDS)

    async def call_leader_with_retry(self, request: msgspec.Struct) -> msgspec.Struct:
        """Call the leader, retrying for ``LEADER_WAIT_TIMEOUT_SECONDS`` if no leader serves it.

        Retries are safe, since the first outcome of each change id is recorded.

        :raises RowanrailError: if no leader served it in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LEADER_WAIT_TIMEOUT_SECONDS
        while True:
            try:
                async with asyncio.timeout_at(deadline):
                    return await self.call_leader(request)
            except InvalidRequestError:
                raise
            except (RowanrailError, TimeoutError) as error:
                if not may_retry(loop.time(), deadline):
                    raise self._no_leader_error(error) from error
            await asyncio.sleep(LEADER_RETRY_INTERVAL_SECONDS)

    def _no_leader_error(self, error: Exception) -> RowanrailError:
        voters = sorted(self.node.raft.membership.voters)
        return TransportError(
            f"no majority of the control nodes {', '.join(voters)} answers ({error}); "
            "start or reconnect the missing ones, then send the change again with the same id",
            step="find leader",
            peer=self.node.identity.node,
        )

    async def _read(self) -> ReadReply:
        await self.node.read_barrier()
        current = self.state.current
        history = list(self.state.history)[-MAXIMUM_READ_HISTORY:]
        return ReadReply(current.version, current.configuration, current.drained, history)

    async def _propose_change(self, request: ChangeRequest) -> Outcome:
        digest = hashlib.sha256(msgspec.msgpack.encode(request)).hexdigest()
        while True:
            await self.node.read_barrier()
            known = self.state.recorded_outcome(request.change_id, digest)
            if known is not None:
                return known
            command = self._make_command(request, digest)
            try:
                outcome = await self.node.propose(msgspec.msgpack.encode(command))
            except SupersededError as error:
                raise NotLeaderError(self.node.leader_address(), "propose") from error
            assert isinstance(outcome, Outcome)
            if outcome.verdict is not Verdict.REBASE:
                return outcome

    def _make_command(self, request: ChangeRequest, digest: str) -> ChangeCommand:
        current = self.state.current
        expected = request.expected_version if isinstance(request, ApplyRequest) else None
        delta, changes = self._make_delta(request)
        return ChangeCommand(
            change_id=request.change_id,
            author=request.author,
            time=self._time_of_day(),
            base_version=current.version if expected is None else expected,
            explicit=expected is not None,
            digest=digest,
            delta=delta,
            changes=changes,
        )

    def _time_of_day(self) -> str:
        moment = datetime.datetime.fromtimestamp(self._wall_clock(), datetime.UTC)
        return moment.isoformat(timespec="milliseconds")

    def _make_delta(self, request: ChangeRequest) -> tuple[ConfigurationDelta, list[Change]]:
        current = self.state.current.configuration
        if isinstance(request, DrainRequest):
            return self._make_drain_delta(request)
        if isinstance(request, RollbackRequest):
            target = self.state.configuration_at(request.version)
            if target is None:
                raise InvalidRequestError(
                    f"version {request.version} is not remembered; apply its files instead",
                    step="rollback",
                )
        else:
            target = request.configuration
            problems = check_configuration(target)
            if problems:
                raise InvalidRequestError("; ".join(problems), step="apply")
        return make_delta(current, target), diff_configurations(current, target)

    def _make_drain_delta(self, request: DrainRequest) -> tuple[ConfigurationDelta, list[Change]]:
        current = self.state.current
        known = _member_names(current.configuration)
        unknown = [member for member in request.members if member not in known]
        if unknown:
            raise InvalidRequestError(
                f"no such member: {', '.join(unknown)}; write group/member", step="drain"
            )
        drained = set(current.drained)
        members = [name for name in request.members if (name in drained) != request.drain]
        states = ("", "drained") if request.drain else ("drained", "")
        changes = [Change(f"drained.{name}", *states) for name in members]
        if request.drain:
            return ConfigurationDelta(drained=members), changes
        return ConfigurationDelta(undrained=members), changes

    async def collect_reports(self) -> tuple[list[ProxyReport], list[str]]:
        """Return the latest report of each proxy and the ids of nodes that did not reply."""
        silent: list[str] = []
        newest: dict[str, ProxyReport] = {}
        replies: list[list[ProxyReport]] = [self.watches.reports()]
        addresses = self.node.raft.membership.addresses()
        peers = [
            (name, address)
            for name, address in addresses.items()
            if name != self.node.identity.node
        ]
        results = await asyncio.gather(
            *(
                self._network.call(address, ReportsRequest(), REPORTS_TIMEOUT_SECONDS)
                for _, address in peers
            ),
            return_exceptions=True,
        )
        for (name, _), result in zip(peers, results, strict=True):
            if isinstance(result, ReportsReply):
                replies.append(result.reports)
            else:
                silent.append(name)
        for reports in replies:
            for report in reports:
                known = newest.get(report.proxy)
                if known is None or report.seconds_ago < known.seconds_ago:
                    newest[report.proxy] = report
        return [newest[proxy] for proxy in sorted(newest)], silent


def _member_names(configuration: Configuration) -> set[str]:
    return {
        f"{group.name}/{member.name}" for group in configuration.groups for member in group.members
    }
