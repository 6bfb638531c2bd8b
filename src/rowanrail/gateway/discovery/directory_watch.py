"""How a gateway follows its control nodes: long polls at the nearest that can answer.

A gateway that starts asks all of them at once and takes the first answer that is sure; then it
follows one. Until then it goes by what a majority of them holds on disk, if that comes first. A
node that hears no leader says so, and the gateway asks the next one. What is taken only ever
grows: a lower version or revision is left aside.
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
    HeldReply,
    HeldRequest,
    controls_mark,
)
from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.discovery.directory_copy import DirectoryCopy
from rowanrail.gateway.discovery.held import longest_of_majority
from rowanrail.gateway.events import CONTROL_LOST, CONTROL_REGAINED, DIRECTORY_DIFFERS, HELD_TAKEN
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.sessions.access import Access
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import TransportError
from rowanrail.model.routing import ConfigurationFormat, RoutingConfiguration
from rowanrail.rpc.network import Network
from rowanrail.scheduling.plan import Plan

HOLD_SECONDS = 1.0  # of a long poll, and so the time between reports; see REPORT_LIVE_SECONDS
CALL_SECONDS = 0.6  # for the way there and back, on top of the hold
RETRY_SECONDS = 0.1  # before the next control node is asked
UNSURE_START_SECONDS = 3.0  # an election takes less than 1 s; after it old news is better than none
START_HOLD_SECONDS = 1.0  # a control node that has just started knows a leader within it
START_RETRY_SECONDS = 0.05  # control nodes listen about 0.2 s before gateways, or soon after them
PROVISIONAL_REVISION = 0  # below any that the log gives
RETURN_SECONDS = 2.0  # between looks at nearer control nodes than the one that is followed


class DirectoryHost(Protocol):
    """What takes the news: the gateway."""

    access: Access

    def apply(self, configuration: RoutingConfiguration, corrects: bool = False) -> bool:
        """Put a configuration in force, see :meth:`rowanrail.gateway.gateway.Gateway.apply`."""

    def set_directory(self, directory: Directory) -> None:
        """Know the members that announced themselves, and other gateways."""

    def set_plan(self, plan: Plan) -> None:
        """Know who holds services' connections by the newest plan."""


class DirectoryWatch:
    """Keeps a gateway's configuration and members up to date."""

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
        self._seeds = controls
        self._controls = list(controls)
        self._format = configuration_format
        self._make_report = make_report
        self._decisions = decisions
        self._locality = locality
        self._told_controls = 0
        self._zones: dict[str, str] = {}
        self._version = 0
        self._plan = 0 if takes_plans else None
        self._silent = False
        self._started_at = 0.0
        self._return_due = 0.0
        self._copy = self._new_copy()
        self._held: dict[str, HeldReply] = {}
        self._provisional: DirectoryReply | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def counts(self) -> dict[str, int]:
        """How many directories were taken whole and by difference, and how many differed."""
        return self._copy.counts

    def start(self) -> None:
        """Begin to watch."""
        self._started_at = asyncio.get_running_loop().time()
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()

    def set_seeds(self, controls: list[str]) -> None:
        """Take a changed list of control nodes from the settings."""
        self._seeds = controls
        self._told_controls = 0  # what is told next is joined with the changed list
        self._controls.extend(c for c in controls if c not in self._controls)

    def report_now(self) -> None:
        """Tell the control node that is followed what this gateway sees, at once."""
        self._network.notify(self._controls[0], self._make_report())

    async def _run(self) -> None:
        await self._make_first_contact()
        while True:
            await self._return_nearer()
            address = self._controls[0]
            if await self._poll(address, HOLD_SECONDS):
                continue
            self._controls.append(self._controls.pop(0))
            await asyncio.sleep(RETRY_SECONDS)

    # The start

    @property
    def _is_informed(self) -> bool:
        return self._version > 0 and self._copy.revision >= 0

    async def _make_first_contact(self) -> None:
        """Ask all control nodes until one of them gave a configuration and the members.

        After a loss of all power nobody knows which node will be there, and lead, first.
        """
        asked: dict[str, asyncio.Task[None]] = {}
        held: list[asyncio.Task[None]] = []
        try:
            while not self._is_informed:
                for address in self._controls:
                    if address not in asked:
                        asked[address] = asyncio.ensure_future(self._ask_until_informed(address))
                        held.append(asyncio.ensure_future(self._ask_held(address)))
                await asyncio.wait(
                    asked.values(), timeout=RETURN_SECONDS, return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            for task in [*asked.values(), *held]:
                task.cancel()

    async def _ask_held(self, address: str) -> None:
        """Ask one control node what its log holds, until it answers."""
        while not self._is_informed:
            try:
                request = HeldRequest(self._make_report().sharing_group, takes_parts=True)
                reply = await self._network.call(address, request, CALL_SECONDS)
                if isinstance(reply, HeldReply) and not self._is_informed:
                    self._held[reply.node] = reply
                    self._take_held()
                return
            except TransportError:
                await asyncio.sleep(START_RETRY_SECONDS)

    def _take_held(self) -> None:
        """Go by what a majority holds, until a node is sure."""
        longest = longest_of_majority(self._held.values())
        if longest is None or not longest.directory.version:
            return
        directory = longest.directory
        if self._is_taken(directory):
            return
        parsed = self._format.parse(zlib.decompress(directory.document))
        provisional = msgspec.structs.replace(directory, revision=PROVISIONAL_REVISION)
        members = self._new_copy().take(provisional)
        if not isinstance(parsed, Success) or members is None:
            return
        self._provisional = directory
        self._gateway.apply(parsed.unwrap())
        self._gateway.set_directory(members)
        self._decisions.note(
            HELD_TAKEN, version=directory.version, revision=directory.revision, held=longest.node
        )

    async def _ask_until_informed(self, address: str) -> None:
        while not self._is_informed:
            if await self._poll(address, START_HOLD_SECONDS) and self._is_informed:
                self._put_first(address)
                return
            await asyncio.sleep(START_RETRY_SECONDS)

    def _put_first(self, address: str) -> None:
        self._controls = [address, *(c for c in self._controls if c != address)]

    # Nearer nodes

    def _distance(self, address: str) -> float:
        """Return how far a control node is; one that was never heard is worth a look."""
        zone = self._zones.get(address)
        return 0.0 if zone is None else 1.0 + self._locality.distance(zone)

    async def _return_nearer(self) -> None:
        """Follow a nearer control node again, if one answers and is sure."""
        loop = asyncio.get_running_loop()
        if loop.time() < self._return_due:
            return
        self._return_due = loop.time() + RETURN_SECONDS
        current = self._controls[0]
        nearest = min(self._controls, key=self._distance)
        if nearest == current or not await self._poll(nearest, 0.0):
            return
        if self._distance(nearest) < self._distance(current):  # its zone may be news
            self._put_first(nearest)

    async def _poll(self, address: str, hold_seconds: float) -> bool:
        """Ask one control node for what is newer; return whether to stay with it."""
        request = DirectoryRequest(
            self._make_report(),
            self._version,
            self._copy.revision,
            hold_seconds,
            takes_parts=True,
            wants_whole=self._copy.is_broken,
            known_controls=self._told_controls,
            known_plan=self._plan,
        )
        try:
            reply = await self._network.call(address, request, hold_seconds + CALL_SECONDS)
            if not isinstance(reply, DirectoryReply):
                raise TransportError(f"unexpected {type(reply).__name__}", peer=address)
            self._zones[address] = reply.zone
            if reply.current or self._may_take_old():
                self._take(address, reply)
        except TransportError as error:
            self._note_lost(address, str(error))
            return False
        if not reply.current:
            self._note_lost(address, "it does not hold what the leader has committed")
            return False
        self._gateway.access.hear_control(address)
        if self._silent:
            self._silent = False
            self._decisions.note(CONTROL_REGAINED, peer=address)
        return True

    def _may_take_old(self) -> bool:
        """Whether to take what a node cut off from the leader holds.

        What is in force here grows all the same; but a gateway that has just started waits
        for a node that is sure, unless none is for a while.
        """
        loop = asyncio.get_running_loop()
        return self._version > 0 or loop.time() - self._started_at > UNSURE_START_SECONDS

    def _note_lost(self, address: str, reason: str) -> None:
        if not self._silent:
            self._decisions.note(
                CONTROL_LOST,
                peer=address,
                reason=reason,
                version=self._version,
                revision=self._copy.revision,
            )
        self._silent = True

    def _take(self, address: str, reply: DirectoryReply) -> None:
        if reply.version > self._version and reply.document:
            parsed = self._format.parse(zlib.decompress(reply.document))
            if isinstance(parsed, Success):
                self._version = reply.version
                self._gateway.apply(parsed.unwrap(), corrects=self._corrects(reply))
                self._provisional = None
        self._take_directory(address, reply)
        if reply.plan is not None:
            self._plan = reply.plan.number
            self._gateway.set_plan(reply.plan)
        self._follow_controls(address, reply.controls)

    def _take_directory(self, address: str, reply: DirectoryReply) -> None:
        was_broken = self._copy.is_broken
        directory = self._copy.take(reply)
        if directory is not None:
            self._gateway.set_directory(directory)
        elif self._copy.is_broken and not was_broken:
            self._decisions.note(
                DIRECTORY_DIFFERS,
                peer=address,
                since=self._copy.revision,
                revision=reply.revision,
            )

    def _new_copy(self) -> DirectoryCopy:
        return DirectoryCopy(is_regional=bool(self._make_report().group))

    def _is_taken(self, directory: DirectoryReply) -> bool:
        """Return whether another node held the same, and it was taken."""
        taken = self._provisional
        return taken is not None and (taken.revision, taken.version, taken.document) == (
            directory.revision,
            directory.version,
            directory.document,
        )

    def _corrects(self, reply: DirectoryReply) -> bool:
        """Return whether another document won the version that was taken provisionally."""
        taken = self._provisional
        return (
            taken is not None
            and taken.version == reply.version
            and taken.document != reply.document
        )

    def _follow_controls(self, current: str, controls: list[str]) -> None:
        """Know the control nodes of the log's membership, beside those of the settings."""
        if not controls:
            return
        self._told_controls = controls_mark(controls)
        wanted = dict.fromkeys([*controls, *self._seeds])
        kept = [control for control in self._controls if control in wanted]
        self._controls = kept + [control for control in wanted if control not in kept]
        self._zones = {c: zone for c, zone in self._zones.items() if c in wanted}
