"""A control node for gateways, without its process.

Creates, starts and stops its components: the data folder, the replicated log, the service, and the
leader's failover and planning. Requests admission when no leader contacts the node. Relies on
``cluster`` and ``consensus``.
"""

import asyncio
import random
import zlib
from collections.abc import Callable, Collection

from returns.result import Success

from rowanrail.cluster.data_folder import NodeConfig, open_data_folder
from rowanrail.cluster.messages import JoinRequest
from rowanrail.config.settings import CoordinatorSettings, HolderSelection, NodeAddress
from rowanrail.consensus.node import ConsensusNode, NodeOptions
from rowanrail.consensus.raft_types import RaftConfig
from rowanrail.consensus.storage import Identity, Storage
from rowanrail.coordination.change_logger import ChangeLogger
from rowanrail.coordination.events import NOT_ADMITTED
from rowanrail.coordination.failover_controller import FailoverController, Promoter
from rowanrail.coordination.feature_controller import FeatureLevelController
from rowanrail.coordination.moves import Placement, required_regions
from rowanrail.coordination.planner import PlanController
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.coordination.status_queries import StatusReader
from rowanrail.coordination.voters import VoterManager
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.disk import Disk
from rowanrail.kernel.errors import RowanrailError
from rowanrail.kernel.registry import Registry
from rowanrail.members.channel import MemberDriver
from rowanrail.members.eligibility import Eligibility
from rowanrail.members.evacuated_zones import (
    LEADER_GRACE_SHARE,
    EvacuatedZones,
    grace_seconds,
)
from rowanrail.model.members import MemberRecord
from rowanrail.model.routing import ConfigurationFormat, RoutingConfiguration, ServiceSpec
from rowanrail.rpc.network import Listener, Network

CLUSTER = "gateways"
ADMISSION_CHECK_INTERVAL_SECONDS = 0.3
FIRST_ELECTION_SECONDS = 0.2  # shorter than later ones: after a start there is no leader to hear
REPEATED_ELECTION_SECONDS = 0.45  # above ten round trips between regions (0.4 s)
ADMISSION_TIMEOUT_SECONDS = 1.0  # allows for a commit on a slow disk
LEADER_SILENCE_SECONDS = 2.5  # before a member requests admission; more than five elections


class Coordinator:
    """Takes part in the replicated log and serves gateways and other control nodes."""

    def __init__(
        self,
        settings: CoordinatorSettings,
        network: Network,
        disk: Disk,
        randomness: random.Random,
        registry: Registry,
        decisions: DecisionLog,
        configuration_format: ConfigurationFormat,
        read_seeds: Callable[[], list[str]] | None = None,
    ) -> None:
        """Create a node that has not opened its data folder.

        :param read_seeds: returns the RPC addresses of the control nodes that the settings name
            now; by default those of ``settings``.
        """
        self._settings = settings
        self._read_seeds = read_seeds or (lambda: settings.peers)
        self._network = network
        self._storage = Storage(disk)
        self._random = randomness
        self._registry = registry
        self._decisions = decisions
        self._format = configuration_format
        self._listener: Listener | None = None
        self._joining: asyncio.Task[None] | None = None
        self._outside_since: float | None = None
        self._logged_problems: list[str] = []
        self._parsed_version = 0
        self._configuration: RoutingConfiguration | None = None
        self._placement_of = (-1, -1)
        self._placement = Placement()
        self._evacuated = EvacuatedZones()
        self._grace_seconds = grace_seconds(settings.evacuation_ms, LEADER_GRACE_SHARE)

    async def start(self, driver: MemberDriver, reader: StatusReader, promoter: Promoter) -> None:
        """Open the data folder and start to serve.

        :raises StorageError: if the folder can't be used.
        """
        identity = await self._open_folder()
        self._create_log(identity)
        settings = self._settings
        self._listener = await self._network.serve(settings.rpc_listen, self.service.handle)
        self.consensus.start()
        self.service.membership.start()
        self._start_controllers(driver, reader, promoter)
        self._joining = asyncio.ensure_future(self._join_when_unheard(identity))

    async def _open_folder(self) -> Identity:
        """Return the identity in the node's data folder, setting up an empty folder."""
        settings = self._settings
        nodes = [NodeAddress(address, address) for address in settings.peers]
        is_first = settings.bootstrap and settings.rpc_listen in settings.peers
        if settings.rpc_listen not in settings.peers:
            nodes.append(NodeAddress(settings.rpc_listen, settings.rpc_listen))
        owner = NodeConfig(CLUSTER, settings.rpc_listen, nodes, settings.data_folder)
        guard = self._registry.create("consensus-guard", "learner-first")
        return await open_data_folder(
            owner, self._storage, self._network, self._random, guard, is_first
        )

    def _create_log(self, identity: Identity) -> None:
        """Create the replicated state, the consensus node, and the service that uses them."""
        settings = self._settings
        monotonic = self._registry.create("control-guard", "version-monotonic")
        fence = self._registry.create("coordination-guard", "fencing-token")
        incarnation = self._registry.create("coordination-guard", "incarnation")
        self.state = CoordinationState(monotonic, incarnation, fence)
        self.consensus = self._create_consensus(identity)
        self.service = CoordinationService(
            self.consensus, self.state, self._network, settings.zone, self._decisions
        )
        self.service.configured_services = self._configured_services
        self.service.membership = VoterManager(
            self.consensus, CLUSTER, settings.voters, self.service.now
        )
        self._change_logger = ChangeLogger(
            self.consensus, self.state, self._decisions, self.service.forward_reports
        )
        self.consensus.on_change = self._on_change

    def _start_controllers(
        self, driver: MemberDriver, reader: StatusReader, promoter: Promoter
    ) -> None:
        """Start failover, planning of holders and raising of features, which the leader does."""
        self.failover = FailoverController(
            self.consensus,
            self.service,
            driver,
            reader,
            promoter,
            self._decisions,
            self._registry.create("gateway-guard", "leadership-proof"),
            self._acknowledging_replicas,
            self._placement_of_primaries,
            self._warm_up_seconds,
            self._is_closed,
        )
        self.failover.start()
        is_planned = self._settings.holders is HolderSelection.PLANNED
        self.planning = PlanController(
            self.consensus, self.service, self._decisions, is_planned, self._connections
        )
        self.planning.start()
        self.features = FeatureLevelController(
            self.consensus, self.service, self._network, self._decisions
        )
        self.features.start()

    def _is_closed(self, record: MemberRecord) -> bool:
        """Return whether nothing may be sent to a member, as its zone is evacuated."""
        return record.zone in self._evacuated.closed(self.service.now())

    def _acknowledging_replicas(self, service: str) -> int:
        """Return how many replicas must hold a commit before it is acknowledged."""
        spec = self._spec(service)
        return spec.acknowledging_replicas if spec else 0

    def _placement_of_primaries(self) -> Placement:
        """Return where primaries may be, by the configuration and the evacuations."""
        state = self.state
        key = (state.version, state.evacuations.revision)
        if key != self._placement_of:
            self._placement_of = key
            parsed = self._newest_configuration()
            names = parsed.services if parsed else {}
            needed = {name: required_regions(parsed, name) for name in names} if parsed else {}
            self._placement = Placement(
                Eligibility(self._settings.regions, frozenset(state.evacuations.zones)),
                {name: regions for name, regions in needed.items() if regions is not None},
                {name: spec.warm_up_seconds for name, spec in names.items()},
                state.evacuations.ended,
            )
        return self._placement

    def _warm_up_seconds(self, service: str) -> float:
        """Return for how long the commands to a service's members are limited, 0 if never."""
        spec = self._spec(service)
        return spec.warm_up_seconds if spec and spec.limits_warm_up else 0.0

    def _connections(self, service: str) -> int:
        """Return how many connections a member of a service accepts, 0 if unknown."""
        spec = self._spec(service)
        return spec.connections if spec else 0

    def _spec(self, service: str) -> ServiceSpec | None:
        """Return a service's entry in the newest configuration, None if there is none."""
        configuration = self._newest_configuration()
        return configuration.services.get(service) if configuration else None

    def _configured_services(self) -> Collection[str] | None:
        """Return the services of the newest configuration, None if there is none."""
        configuration = self._newest_configuration()
        return configuration.services if configuration else None

    def _newest_configuration(self) -> RoutingConfiguration | None:
        """Return the newest configuration, None before the first one."""
        if self._parsed_version != self.state.version:
            self._parsed_version = self.state.version
            try:
                document = zlib.decompress(self.state.document)
            except zlib.error:
                return self._configuration  # announcements must not fail by a damaged document
            parsed = self._format.parse(document)
            if isinstance(parsed, Success):
                self._configuration = parsed.unwrap()
        return self._configuration

    def _create_consensus(self, identity: Identity) -> ConsensusNode:
        settings = self._settings
        options = NodeOptions(
            raft=RaftConfig(
                settings.heartbeat_seconds,
                settings.election_timeout_seconds,
                first_election_seconds=FIRST_ELECTION_SECONDS,
                repeated_election_seconds=REPEATED_ELECTION_SECONDS,
            ),
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
            fallback_address=lambda node: node.split("@")[0],
        )

    @property
    def outside_seconds(self) -> float:
        """For how many seconds this node has not been in the membership; 0 if it is."""
        since = self._outside_since
        return 0.0 if since is None else self.service.now() - since

    async def _join_when_unheard(self, identity: Identity) -> None:
        """Request admission while this node is not a member, or hears no leader.

        A new node isn't a member yet; one that was replaced while it was cut off no longer is.
        For a member that is only cut off, the request has no effect.
        """
        loop = asyncio.get_running_loop()
        name = self._settings.rpc_listen
        request = JoinRequest(name, identity.node, name, CLUSTER)
        while True:
            await asyncio.sleep(ADMISSION_CHECK_INTERVAL_SECONDS)
            raft = self.consensus.raft
            is_new = identity.node not in raft.membership.addresses()
            self._note_outside(is_new)
            unheard = raft.seconds_since_leader_contact(loop.time()) > LEADER_SILENCE_SECONDS
            if not raft.is_leader and (is_new or unheard):
                await self._request_admission(request)

    async def _request_admission(self, request: JoinRequest) -> None:
        """Ask other nodes in turn, each of which forwards the request to the leader that it knows.

        A node outside reads the settings again, as the control nodes that they named at the start
        may be gone. A member that is cut off knows the others from the log.
        """
        is_outside = self._outside_since is not None
        seeds = self._read_seeds() if is_outside else self._settings.peers
        known = self.consensus.raft.membership.addresses().values()
        problems = []
        for address in sorted({*seeds, *known} - {request.address}):
            try:
                await self._network.call(address, request, ADMISSION_TIMEOUT_SECONDS)
                return
            except RowanrailError as error:
                problems.append(f"{address}: {error}")
        self._note_not_admitted(problems)

    def _note_outside(self, is_outside: bool) -> None:
        if not is_outside:
            self._outside_since = None
            self._logged_problems = []
        elif self._outside_since is None:
            self._outside_since = self.service.now()

    def _note_not_admitted(self, problems: list[str]) -> None:
        """Log why no node admitted this one, once for each set of reasons."""
        if self._outside_since is None or problems == self._logged_problems:
            return
        self._logged_problems = problems
        self._decisions.note(
            NOT_ADMITTED, seconds=round(self.outside_seconds, 1), problems=problems
        )

    def _on_change(self) -> None:
        self.service.notice_change()
        evacuations = self.state.evacuations
        if evacuations.zones != self._evacuated.ordered_ms:
            self._evacuated = self._evacuated.updated(
                evacuations.zones, self.service.now(), self._grace_seconds
            )
        self._change_logger.log_changes()

    async def stop(self) -> None:
        """Stop all components and flush the decision log."""
        if self._joining is not None:
            self._joining.cancel()
        self.failover.stop()
        self.planning.stop()
        self.features.stop()
        if self._listener is not None:
            await self._listener.close()
        await self.service.membership.stop()
        await self.consensus.stop()
        self._decisions.flush()
