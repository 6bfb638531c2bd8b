"""Keeps a gateway up to date by long polls of the nearest control node that is up to date.

At the start all control nodes are polled concurrently until one of them is up to date; from then on
one node is polled. Before that the gateway uses the directory in the logs of a majority of the
nodes, if it is available first and its orders are known to be committed. A node without a leader
reports itself as not current, and the gateway polls the next one. Replies with a lower version or
revision are ignored.

Makes the calls to control nodes and keeps the gateway's copy of the directory. Depends on
:mod:`control_node_selector` for the node to poll, on :mod:`provisional` for replies of nodes that
are not up to date, and on ``rpc`` for calls; passes updates to the gateway.
"""

import asyncio
import zlib
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Success

from rowanrail.directory.messages import (
    NO_REVISION,
    DirectoryReply,
    DirectoryRequest,
    Evacuations,
    GatewayReport,
    LoggedDirectoryReply,
    LoggedDirectoryRequest,
)
from rowanrail.gateway.discovery.control_node_selector import ControlNodeSelector
from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.discovery.directory_copy import DirectoryCopy
from rowanrail.gateway.discovery.provisional import ProvisionalDirectory, accepts_stale_reply
from rowanrail.gateway.events import (
    CONTROL_LOST,
    CONTROL_RESTORED,
    DIRECTORY_MISMATCH,
    PROVISIONAL_APPLIED,
)
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.sessions.access import AccessControl
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import TransportError
from rowanrail.model.routing import ConfigurationFormat, RoutingConfiguration
from rowanrail.rpc.network import Network
from rowanrail.scheduling.plan import Plan

__all__ = ["ControlPlaneClient", "DirectoryHost"]

# For which a control node holds a poll without updates. It is also the interval of reports, from
# which control nodes decide whether a gateway is live (MAX_REPORT_AGE_SECONDS).
POLL_WAIT_SECONDS = 1.0
# Added to the hold time for the round trip and the control node's processing.
ROUND_TRIP_SECONDS = 0.6
NEXT_CONTROL_SECONDS = 0.1  # delay before the next control node is polled
START_POLL_WAIT_SECONDS = 1.0  # a restarted control node has a leader within this time
START_RETRY_SECONDS = 0.05  # control nodes listen 0.2 s before gateways or soon after
PROVISIONAL_REVISION = 0  # below every revision of the log
# Between polls of a nearer control node than the current one; at the start, between checks for
# newly discovered control nodes.
NEARER_CHECK_SECONDS = 2.0


class DirectoryHost(Protocol):
    """Port: the gateway, which applies updates."""

    access: AccessControl

    def apply(self, configuration: RoutingConfiguration) -> bool:
        """Apply a configuration, see :meth:`rowanrail.gateway.gateway.Gateway.apply`."""

    def set_directory(self, directory: Directory) -> None:
        """Apply a directory of members and other gateways."""

    def set_plan(self, plan: Plan) -> None:
        """Apply the newest plan of the holders of connections."""

    def set_evacuations(self, evacuations: Evacuations) -> None:
        """Apply the newest evacuations of zones."""

    def note_confirmed(self, asked_at_ms: float) -> None:
        """Record that an up-to-date control node confirmed the directory and the plan."""


class ControlPlaneClient:
    """Keeps a gateway's configuration, directory, evacuations and plan up to date.

    Parameters
    ----------
    gateway : DirectoryHost
        Applies updates.
    network : Network
        Transport for calls to control nodes.
    controls : list of str
        Seed addresses of control nodes from the settings.
    configuration_format : ConfigurationFormat
        Parses the operator's document.
    make_report : callable
        Returns the report that the gateway sends with each poll.
    decisions : DecisionLog
        Logs the loss and return of control nodes, and provisional directories.
    locality : Locality
        Distances of control nodes.
    uses_plans : bool
        Whether the gateway uses a plan of holders.
    """

    def __init__(
        self,
        gateway: DirectoryHost,
        network: Network,
        controls: list[str],
        configuration_format: ConfigurationFormat,
        make_report: Callable[[], GatewayReport],
        decisions: DecisionLog,
        locality: Locality,
        uses_plans: bool = False,
    ) -> None:
        self._gateway = gateway
        self._network = network
        self._controls = ControlNodeSelector(controls, locality)
        self._format = configuration_format
        self._make_report = make_report
        self._decisions = decisions
        self._version = 0
        self._plan = 0 if uses_plans else None
        self._evacuations = NO_REVISION
        self._is_lost = False
        self._started_at = 0.0
        self._nearer_check_due = 0.0
        self._copy = self._new_copy()
        self._provisional = ProvisionalDirectory()
        self._task: asyncio.Task[None] | None = None

    @property
    def counts(self) -> dict[str, int]:
        """Numbers of full and incremental directory updates, and of digest mismatches."""
        return self._copy.counts

    @property
    def controls(self) -> list[str]:
        """Addresses of the control nodes in polling order."""
        return self._controls.addresses

    @property
    def _is_initialized(self) -> bool:
        return self._version > 0 and self._copy.revision >= 0

    def start(self) -> None:
        """Start polling the control nodes."""
        self._started_at = asyncio.get_running_loop().time()
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    def set_seeds(self, controls: list[str]) -> None:
        """Replace the seed addresses of control nodes."""
        self._controls.set_seeds(controls)

    def report_now(self) -> None:
        """Send a report to the current control node immediately."""
        self._network.notify(self._controls.current, self._make_report())

    async def _run(self) -> None:
        await self._initialize()
        while True:
            await self._try_nearer_node()
            if await self._poll(self._controls.current, POLL_WAIT_SECONDS):
                continue
            self._controls.demote_current()
            await asyncio.sleep(NEXT_CONTROL_SECONDS)

    # Start

    async def _initialize(self) -> None:
        """Poll all control nodes until one of them gives a configuration and the members.

        After a full restart it is unknown which node is available, and has a leader, first.
        """
        polls: dict[str, asyncio.Task[None]] = {}
        log_queries: list[asyncio.Task[None]] = []
        try:
            while not self._is_initialized:
                for address in self._controls.addresses:
                    if address not in polls:
                        polls[address] = asyncio.ensure_future(
                            self._poll_until_initialized(address)
                        )
                        log_queries.append(asyncio.ensure_future(self._query_log(address)))
                await asyncio.wait(
                    polls.values(),
                    timeout=NEARER_CHECK_SECONDS,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            for task in [*polls.values(), *log_queries]:
                task.cancel()

    async def _poll_until_initialized(self, address: str) -> None:
        while not self._is_initialized:
            if await self._poll(address, START_POLL_WAIT_SECONDS) and self._is_initialized:
                self._controls.select(address)
                return
            await asyncio.sleep(START_RETRY_SECONDS)

    async def _query_log(self, address: str) -> None:
        """Request the directory in one control node's log until it answers."""
        while not self._is_initialized:
            try:
                request = LoggedDirectoryRequest(
                    self._make_report().sharing_group, accepts_updates=True
                )
                reply = await self._network.call(address, request, ROUND_TRIP_SECONDS)
                if isinstance(reply, LoggedDirectoryReply) and not self._is_initialized:
                    self._apply_logged(reply)
                return
            except TransportError:
                await asyncio.sleep(START_RETRY_SECONDS)

    def _apply_logged(self, reply: LoggedDirectoryReply) -> None:
        """Apply the directory in the logs of a majority until a node is up to date."""
        latest = self._provisional.record(reply)
        if latest is None:
            return
        directory = latest.directory
        parsed = self._format.parse(zlib.decompress(directory.document))
        provisional = msgspec.structs.replace(directory, revision=PROVISIONAL_REVISION)
        members = self._new_copy().apply(provisional)
        if not isinstance(parsed, Success) or members is None:
            return
        self._provisional.set_applied(directory)
        self._gateway.apply(parsed.unwrap())
        if directory.evacuations is not None:
            self._evacuations = directory.evacuations.revision
            self._gateway.set_evacuations(directory.evacuations)
        self._gateway.set_directory(members)
        self._decisions.note(
            PROVISIONAL_APPLIED,
            version=directory.version,
            revision=directory.revision,
            held=latest.node,
        )

    # Polling

    async def _try_nearer_node(self) -> None:
        """Poll a nearer control node at intervals, and select it if it is up to date."""
        loop = asyncio.get_running_loop()
        if loop.time() < self._nearer_check_due:
            return
        self._nearer_check_due = loop.time() + NEARER_CHECK_SECONDS
        current, nearest = self._controls.current, self._controls.nearest()
        if nearest == current or not await self._poll(nearest, 0.0):
            return
        if self._controls.is_nearer(nearest, current):  # its zone may be known only from this reply
            self._controls.select(nearest)

    async def _poll(self, address: str, wait_seconds: float) -> bool:
        """Poll one control node and apply its reply; return whether it is up to date."""
        asked_at = asyncio.get_running_loop().time()
        try:
            reply = await self._call(address, wait_seconds)
            self._controls.set_zone(address, reply.zone)
            if reply.current or self._accepts_stale_reply():
                self._apply(address, reply)
        except TransportError as error:
            self._note_lost(address, str(error))
            return False
        if not reply.current:
            self._note_lost(address, "it does not hold what the leader has committed")
            return False
        self._gateway.access.note_control_up_to_date(address)
        if not self._copy.is_inconsistent:
            self._gateway.note_confirmed(1000 * asked_at)
        if self._is_lost:
            self._is_lost = False
            self._decisions.note(CONTROL_RESTORED, peer=address)
        return True

    async def _call(self, address: str, wait_seconds: float) -> DirectoryReply:
        request = DirectoryRequest(
            self._make_report(),
            self._version,
            self._copy.revision,
            wait_seconds,
            accepts_updates=True,
            wants_full=self._copy.is_inconsistent,
            known_controls_checksum=self._controls.known_checksum,
            known_plan=self._plan,
            known_evacuations=self._evacuations,
        )
        reply = await self._network.call(address, request, wait_seconds + ROUND_TRIP_SECONDS)
        if not isinstance(reply, DirectoryReply):
            raise TransportError(f"unexpected {type(reply).__name__}", peer=address)
        return reply

    def _accepts_stale_reply(self) -> bool:
        waited = asyncio.get_running_loop().time() - self._started_at
        return accepts_stale_reply(self._version > 0, waited)

    def _note_lost(self, address: str, reason: str) -> None:
        if not self._is_lost:
            self._decisions.note(
                CONTROL_LOST,
                peer=address,
                reason=reason,
                version=self._version,
                revision=self._copy.revision,
            )
        self._is_lost = True

    # Updates

    def _apply(self, address: str, reply: DirectoryReply) -> None:
        if reply.version > self._version and reply.document:
            parsed = self._format.parse(zlib.decompress(reply.document))
            if isinstance(parsed, Success):
                self._version = reply.version
                self._gateway.apply(parsed.unwrap())
        self._apply_evacuations(reply)
        self._apply_directory(address, reply)
        if reply.plan is not None:
            self._plan = reply.plan.number
            self._gateway.set_plan(reply.plan)
        self._controls.set_reported(reply.controls)

    def _apply_evacuations(self, reply: DirectoryReply) -> None:
        """Apply evacuations that are newer than the last ones.

        A node that is not up to date may lack, after a restart, what is committed.
        """
        evacuations = reply.evacuations
        if evacuations is None or evacuations.revision <= self._evacuations:
            return
        self._evacuations = evacuations.revision
        self._gateway.set_evacuations(evacuations)

    def _apply_directory(self, address: str, reply: DirectoryReply) -> None:
        was_inconsistent = self._copy.is_inconsistent
        directory = self._copy.apply(reply)
        if directory is not None:
            self._gateway.set_directory(directory)
        elif self._copy.is_inconsistent and not was_inconsistent:
            self._decisions.note(
                DIRECTORY_MISMATCH,
                peer=address,
                since=self._copy.revision,
                revision=reply.revision,
            )

    def _new_copy(self) -> DirectoryCopy:
        return DirectoryCopy(is_regional=bool(self._make_report().group))
