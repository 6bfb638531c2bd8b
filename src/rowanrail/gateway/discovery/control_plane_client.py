"""How a gateway follows its control nodes: long polls at the nearest that is sure.

A gateway that starts asks all of them at once and takes the first answer that is sure; then it
follows one. Until then it goes by what a majority of them holds on disk, if that comes first. A
node that hears no leader says so, and the gateway asks the next one. What is taken only ever
grows: a lower version or revision is left aside.

Makes the calls to control nodes and keeps the gateway's copy of the directory. Depends on
:mod:`control_node_selector` for whom to ask, on :mod:`provisional` for what to apply from nodes
that have no leader, and on ``rpc`` for calls; passes updates to the gateway.
"""

import asyncio
import zlib
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Success

from rowanrail.directory.messages import (
    DirectoryReply,
    DirectoryRequest,
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
    CONTROL_REGAINED,
    DIRECTORY_DIFFERS,
    PROVISIONAL_TAKEN,
)
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.sessions.access import AccessControl
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import TransportError
from rowanrail.model.routing import ConfigurationFormat, RoutingConfiguration
from rowanrail.rpc.network import Network
from rowanrail.scheduling.plan import Plan

__all__ = ["ControlPlaneClient", "DirectoryHost"]

# For which a control node lets a poll wait for news; chosen. It is also the time between reports,
# by which control nodes judge whether a gateway is live (REPORT_LIVE_SECONDS).
POLL_WAIT_SECONDS = 1.0
# On top of the wait, for the round trip and the control node's own time; chosen.
ROUND_TRIP_SECONDS = 0.6
NEXT_CONTROL_SECONDS = 0.1  # chosen: before the next control node is asked
START_POLL_WAIT_SECONDS = 1.0  # a control node that has just started knows a leader within it
START_RETRY_SECONDS = 0.05  # control nodes listen about 0.2 s before gateways, or soon after them
PROVISIONAL_REVISION = 0  # below any that the log gives
# Chosen: between checks whether a nearer control node answers than the one that is followed; at
# the start, between checks for control nodes that became known.
NEARER_CHECK_SECONDS = 2.0


class DirectoryHost(Protocol):
    """What takes the news: the gateway."""

    access: AccessControl

    def apply(
        self, configuration: RoutingConfiguration, replaces_provisional: bool = False
    ) -> bool:
        """Put a configuration in force, see :meth:`rowanrail.gateway.gateway.Gateway.apply`."""

    def set_directory(self, directory: Directory) -> None:
        """Know the members that announced themselves, and other gateways."""

    def set_plan(self, plan: Plan) -> None:
        """Know who holds services' connections by the newest plan."""


class ControlPlaneClient:
    """Keeps a gateway's configuration and members up to date.

    Parameters
    ----------
    gateway : DirectoryHost
        Takes what is new.
    network : Network
        Calls control nodes.
    controls : list of str
        Addresses of control nodes from the settings.
    configuration_format : ConfigurationFormat
        Reads the operator's document.
    make_report : callable
        Returns what the gateway reports with each poll.
    decisions : DecisionLog
        Gets the loss and the return of the control nodes, and what was taken provisionally.
    locality : Locality
        Says how far control nodes are.
    takes_plans : bool
        Whether the gateway goes by a plan of holders.
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
        takes_plans: bool = False,
    ) -> None:
        self._gateway = gateway
        self._network = network
        self._controls = ControlNodeSelector(controls, locality)
        self._format = configuration_format
        self._make_report = make_report
        self._decisions = decisions
        self._version = 0
        self._plan = 0 if takes_plans else None
        self._is_lost = False
        self._started_at = 0.0
        self._nearer_check_due = 0.0
        self._copy = self._new_copy()
        self._provisional = ProvisionalDirectory()
        self._task: asyncio.Task[None] | None = None

    @property
    def counts(self) -> dict[str, int]:
        """How many directories were taken whole and by difference, and how many differed."""
        return self._copy.counts

    @property
    def controls(self) -> list[str]:
        """Addresses of the control nodes, the one that is followed first."""
        return self._controls.addresses

    @property
    def _is_informed(self) -> bool:
        return self._version > 0 and self._copy.revision >= 0

    def start(self) -> None:
        """Begin to follow the control nodes."""
        self._started_at = asyncio.get_running_loop().time()
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop following them."""
        if self._task is not None:
            self._task.cancel()

    def set_seeds(self, controls: list[str]) -> None:
        """Take a changed list of control nodes from the settings."""
        self._controls.set_seeds(controls)

    def report_now(self) -> None:
        """Send the control node that is followed what this gateway sees, at once."""
        self._network.notify(self._controls.current, self._make_report())

    async def _run(self) -> None:
        await self._make_first_contact()
        while True:
            await self._return_nearer()
            if await self._poll(self._controls.current, POLL_WAIT_SECONDS):
                continue
            self._controls.demote_current()
            await asyncio.sleep(NEXT_CONTROL_SECONDS)

    # The start

    async def _make_first_contact(self) -> None:
        """Ask all control nodes until one of them gave a configuration and the members.

        After a loss of all power nobody knows which node will be there, and lead, first.
        """
        asked: dict[str, asyncio.Task[None]] = {}
        asked_logged: list[asyncio.Task[None]] = []
        try:
            while not self._is_informed:
                for address in self._controls.addresses:
                    if address not in asked:
                        asked[address] = asyncio.ensure_future(self._ask_until_informed(address))
                        asked_logged.append(asyncio.ensure_future(self._ask_logged(address)))
                await asyncio.wait(
                    asked.values(),
                    timeout=NEARER_CHECK_SECONDS,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            for task in [*asked.values(), *asked_logged]:
                task.cancel()

    async def _ask_until_informed(self, address: str) -> None:
        while not self._is_informed:
            if await self._poll(address, START_POLL_WAIT_SECONDS) and self._is_informed:
                self._controls.follow(address)
                return
            await asyncio.sleep(START_RETRY_SECONDS)

    async def _ask_logged(self, address: str) -> None:
        """Ask one control node what its log holds, until it answers."""
        while not self._is_informed:
            try:
                request = LoggedDirectoryRequest(
                    self._make_report().sharing_group, accepts_updates=True
                )
                reply = await self._network.call(address, request, ROUND_TRIP_SECONDS)
                if isinstance(reply, LoggedDirectoryReply) and not self._is_informed:
                    self._take_logged(reply)
                return
            except TransportError:
                await asyncio.sleep(START_RETRY_SECONDS)

    def _take_logged(self, reply: LoggedDirectoryReply) -> None:
        """Go by what a majority holds, until a node is sure."""
        longest = self._provisional.record(reply)
        if longest is None:
            return
        directory = longest.directory
        parsed = self._format.parse(zlib.decompress(directory.document))
        provisional = msgspec.structs.replace(directory, revision=PROVISIONAL_REVISION)
        members = self._new_copy().apply(provisional)
        if not isinstance(parsed, Success) or members is None:
            return
        self._provisional.set_applied(directory)
        self._gateway.apply(parsed.unwrap())
        self._gateway.set_directory(members)
        self._decisions.note(
            PROVISIONAL_TAKEN,
            version=directory.version,
            revision=directory.revision,
            held=longest.node,
        )

    # Long polls

    async def _return_nearer(self) -> None:
        """Follow a nearer control node again, if one answers and is sure."""
        loop = asyncio.get_running_loop()
        if loop.time() < self._nearer_check_due:
            return
        self._nearer_check_due = loop.time() + NEARER_CHECK_SECONDS
        current, nearest = self._controls.current, self._controls.nearest()
        if nearest == current or not await self._poll(nearest, 0.0):
            return
        if self._controls.is_nearer(nearest, current):  # only its answer may have said where it is
            self._controls.follow(nearest)

    async def _poll(self, address: str, wait_seconds: float) -> bool:
        """Ask one control node for what is newer; return whether to stay with it."""
        try:
            reply = await self._call(address, wait_seconds)
            self._controls.set_zone(address, reply.zone)
            if reply.current or self._accepts_stale_reply():
                self._take(address, reply)
        except TransportError as error:
            self._note_lost(address, str(error))
            return False
        if not reply.current:
            self._note_lost(address, "it does not hold what the leader has committed")
            return False
        self._gateway.access.note_control_up_to_date(address)
        if self._is_lost:
            self._is_lost = False
            self._decisions.note(CONTROL_REGAINED, peer=address)
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

    # What is new

    def _take(self, address: str, reply: DirectoryReply) -> None:
        if reply.version > self._version and reply.document:
            parsed = self._format.parse(zlib.decompress(reply.document))
            if isinstance(parsed, Success):
                self._version = reply.version
                replaces_provisional = self._provisional.is_superseded_by(reply)
                self._gateway.apply(parsed.unwrap(), replaces_provisional=replaces_provisional)
                self._provisional.clear()
        self._take_directory(address, reply)
        if reply.plan is not None:
            self._plan = reply.plan.number
            self._gateway.set_plan(reply.plan)
        self._controls.set_reported(reply.controls)

    def _take_directory(self, address: str, reply: DirectoryReply) -> None:
        was_inconsistent = self._copy.is_inconsistent
        directory = self._copy.apply(reply)
        if directory is not None:
            self._gateway.set_directory(directory)
        elif self._copy.is_inconsistent and not was_inconsistent:
            self._decisions.note(
                DIRECTORY_DIFFERS,
                peer=address,
                since=self._copy.revision,
                revision=reply.revision,
            )

    def _new_copy(self) -> DirectoryCopy:
        return DirectoryCopy(is_regional=bool(self._make_report().group))
