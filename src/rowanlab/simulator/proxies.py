"""Simulated proxies and callers."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from rowanlab.load.driver import CallError
from rowanlab.load.oracle import Outcome
from rowanlab.simulator.backend import SimulatedDriver
from rowanlab.simulator.daemon import SimulatedDaemon
from rowanlab.simulator.loop import SimulatedProcess
from rowanlab.simulator.network import Channel, ChannelLostError, EndpointRegistry, SimulatedNetwork
from rowanlab.simulator.world import World
from rowanrail.cluster.messages import ProxyReport
from rowanrail.config.model import VersionedConfiguration
from rowanrail.kernel.errors import BackendRefusedError, CallerError, NotRunError, RowanrailError
from rowanrail.kernel.registry import Registry
from rowanrail.sql_proxy.config_watch import ConfigurationWatch
from rowanrail.sql_proxy.core import ProxyCore
from rowanrail.sql_proxy.session import SqlSession

CALLER_TIMEOUT_SECONDS = 8.0
PROXY_COUNT = 3


class Statement(msgspec.Struct, frozen=True):
    """A statement, as sent by a caller over a channel."""

    sql: str


class CallerFailure(msgspec.Struct, frozen=True):
    """A failed statement, as answered to a caller over a channel."""

    outcome: Outcome
    message: str
    retry_after_seconds: float


def _classify_failure(error: RowanrailError) -> CallerFailure:
    if isinstance(error, BackendRefusedError):
        return CallerFailure(Outcome.FAILED, str(error), 0.0)
    if isinstance(error, NotRunError):
        return CallerFailure(Outcome.NOT_RUN, str(error), error.retry_after_seconds)
    return CallerFailure(Outcome.UNKNOWN, str(error), 0.0)


class _SessionChannel:
    """The proxy's side of a caller's connection."""

    def __init__(self, proxy: "SimulatedProxy") -> None:
        self._proxy = proxy
        self.reply: Callable[..., None] | None = None
        self.session: SqlSession | None = None
        self._ended = False

    def announce_stop(self) -> None:
        """Tell an idle caller that the proxy is stopping."""
        self._ended = True
        assert self.reply is not None
        self.reply(CallerFailure(Outcome.NOT_RUN, "this proxy is stopping", 0.1))

    async def handle(self, payload: Any) -> Any:
        assert isinstance(payload, Statement)
        if self._ended:
            return None
        core = self._proxy.core
        assert core is not None
        try:
            if self.session is None:
                self.session = core.open_session("caller", "data")
            return await self.session.execute(payload.sql, {})
        except CallerError as error:
            return _classify_failure(error)

    async def closed(self) -> None:
        if self.session is not None:
            await self.session.close()


class SimulatedProxy(SimulatedDaemon):
    """A proxy across restarts of its process; it has no disk."""

    def __init__(
        self,
        world: World,
        endpoints: EndpointRegistry,
        name: str,
        zone: str,
        registry: Registry,
        rate: float,
        controls: list[str],
        peers: list[str],
    ) -> None:
        super().__init__(world, name, zone, rate)
        self.host = name
        self.port = 3306
        self.core: ProxyCore | None = None
        self.stopping = False
        self._endpoints = endpoints
        self._registry = registry
        self._controls = controls
        self._peers = peers
        self._starts = 0
        self._channels: list[_SessionChannel] = []

    @property
    def incarnation(self) -> str:
        """Identifier of the current or last start of the proxy."""
        return f"{self.name}/{self._starts}"

    def start(self, configuration: VersionedConfiguration | None) -> None:
        """Start the proxy's process, with a fixed configuration or one watched at control nodes."""
        self._starts += 1
        self.core = None
        self.stopping = False
        self._channels = []
        process = self._spawn()
        self._launch(process, self._run(process, configuration))

    async def _run(
        self, process: SimulatedProcess, configuration: VersionedConfiguration | None
    ) -> None:
        world = self._world
        core = ProxyCore(
            self.zone,
            {},
            SimulatedDriver(world, self._endpoints),
            self._registry,
            self._new_random(),
            world.wall_clock,
        )
        self.core = core
        core.on_session_shutdown = self._end_session
        core.start()
        if configuration is not None:
            core.apply(configuration)
            core.set_proxy_counts(
                {group.name: PROXY_COUNT for group in configuration.configuration.groups}
            )
        if self._controls:
            await self._watch(process, core)
        address = f"{self.host}:{self.port}"
        self._endpoints.channels[address] = (self.name, self._accept)

    def _accept(self) -> _SessionChannel:
        channel = _SessionChannel(self)
        self._channels.append(channel)
        return channel

    def _end_session(self, session: SqlSession) -> None:
        for channel in self._channels:
            if channel.session is session and not session.busy:
                channel.announce_stop()

    async def _watch(self, process: SimulatedProcess, core: ProxyCore) -> None:
        network = SimulatedNetwork(self._world, process, self._endpoints)
        incarnation = self.incarnation

        def report() -> ProxyReport:
            return ProxyReport(self.name, self.zone, incarnation, core.in_force.version)

        watch = ConfigurationWatch(core, network, self._controls, self._peers, report)
        await network.serve(f"{self.name}:7000", watch.handle_peer_request)
        watch.start()

    async def stop(self, limit_seconds: float) -> None:
        """Stop gracefully within ``limit_seconds``, then end the process."""
        assert self.core is not None
        self.stopping = True
        self._world.note(f"{self.name} stops as planned")
        self._endpoints.channels.pop(f"{self.host}:{self.port}", None)
        for channel in self._channels:
            if channel.session is None:
                channel.announce_stop()
        await self.core.stop(limit_seconds)
        self.kill()


class SimulatedCaller:
    """A caller's connection; the same interface as the real driver's."""

    def __init__(self, channel: Channel, proxy: SimulatedProxy) -> None:
        self._channel = channel
        self._proxy = proxy

    @classmethod
    async def open(
        cls, world: World, endpoints: EndpointRegistry, proxy: SimulatedProxy
    ) -> "SimulatedCaller":
        """Connect to a proxy.

        :raises CallError: if the connection fails; its outcome is ``NOT_RUN``.
        """
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
                channel = await Channel.open(world, endpoints, f"{proxy.host}:{proxy.port}")
        except (ChannelLostError, TimeoutError) as error:
            raise CallError(Outcome.NOT_RUN, str(error), 0.1) from error
        return cls(channel, proxy)

    async def execute(self, sql: str) -> list[tuple[Any, ...]]:
        """Run a statement and return its rows.

        :raises CallError: if the statement did not succeed.
        """
        stopped_before = self._proxy.stopping
        try:
            self._channel.send(Statement(sql))
            async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
                answer = await self._channel.receive()
        except (ChannelLostError, TimeoutError) as error:
            lost = CallError(Outcome.UNKNOWN, str(error), 0.0)
            lost.connection_lost = True
            lost.cut_by_stop = self._proxy.stopping and not stopped_before
            raise lost from error
        if isinstance(answer, CallerFailure):
            raise CallError(answer.outcome, answer.message, answer.retry_after_seconds)
        return [tuple(_value(value) for value in row) for row in answer.rows]

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()


def _value(value: Any) -> Any:
    return value.decode() if isinstance(value, bytes) else value
