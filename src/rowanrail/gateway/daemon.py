"""The gateway daemon: the proxy for typed statements as a process.

Started by the command line of the platform, which reads the settings. Builds, connects, starts and
stops the components of the process in the running event loop; the settings' protocol selects the
plug-ins.
"""

import asyncio
import os
import signal
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from rowanrail.config.settings import GatewaySettings, HolderSelection, rpc_addresses
from rowanrail.directory.health_filter import reportable_health
from rowanrail.directory.messages import GatewayReport
from rowanrail.gateway.discovery.control_plane_client import ControlPlaneClient
from rowanrail.gateway.events import (
    GATEWAY_RELOADED,
    GATEWAY_STARTED,
    GATEWAY_STOPPED,
    GATEWAY_STOPPING,
)
from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.gauges import directory_gauges, gauges, relay_gauges, tenant_gauges
from rowanrail.gateway.planned_stop import stop_gracefully
from rowanrail.gateway.relay.demand_exchange import DemandExchange
from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.load_meter import LoadMeter
from rowanrail.gateway.relay.neighbours import Neighbours
from rowanrail.gateway.relay.peers import Peers
from rowanrail.gateway.relay.serving import LinkServer
from rowanrail.gateway.relay.transport import TcpLinkOpener, TcpLinkServer
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.sessions.frontend import Frontend
from rowanrail.kernel.clock import Clock
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.http import HttpRequest, HttpResponse, HttpServer, error_response, serve
from rowanrail.kernel.lifecycle import wait_for_stop_signal
from rowanrail.kernel.metrics import GaugeSample, Metrics, dropped_lines_gauge, serve_metrics
from rowanrail.kernel.registry import Registry
from rowanrail.placement.planned import PlannedHolders
from rowanrail.rpc.network import Network
from rowanrail.tenants.quota_parameters import QuotaParameters

READY_PATH = "/ready"
ReloadSettings = Callable[[], GatewaySettings | None]


class ReadinessApi:
    """HTTP endpoint that reports whether the gateway accepts new clients."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer the platform's readiness probe."""
        if (request.method, request.path) != ("GET", READY_PATH):
            return error_response(404, f"ask GET {READY_PATH}")
        return HttpResponse(200 if self._gateway.is_ready else 503)


@dataclass(frozen=True, slots=True)
class GatewayComponents:
    """The components of one gateway process.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the process.
    decisions : DecisionLog
        Log of the process.
    network : Network
        Transport to the control nodes.
    neighbours, detours : Neighbours, Detours
        Links to the gateways of its group and of other groups.
    gateway : Gateway
        Sessions and services.
    metering : DemandExchange
        Exchange of tenants' demand with other gateways.
    holder, holder_server : LinkServer, TcpLinkServer
        Executor of other gateways' statements, and the server to which they connect.
    meter : LoadMeter
        Meter of the load for the plan of holders; started only with planned holders.
    frontend : Frontend
        Server to which clients connect.
    control_plane_client : ControlPlaneClient
        Poller of the control nodes.
    """

    settings: GatewaySettings
    decisions: DecisionLog
    network: Network
    neighbours: Neighbours
    detours: Detours
    gateway: Gateway
    metering: DemandExchange
    holder: LinkServer
    holder_server: TcpLinkServer
    meter: LoadMeter
    frontend: Frontend
    control_plane_client: ControlPlaneClient

    @property
    def is_planned(self) -> bool:
        """Whether control nodes plan the holders of connections."""
        return self.settings.holders is HolderSelection.PLANNED


async def run_gateway(settings: GatewaySettings, reload_settings: ReloadSettings) -> None:
    """Run a gateway until a stop signal, then stop gracefully.

    Raises
    ------
    RowanrailError
        If an address can't be used.
    """
    os.set_blocking(1, False)
    components = build_components(settings)
    connect_callbacks(components)
    reload = partial(reload_control_nodes, components, reload_settings)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    ready_server = await listen(components)
    start_components(components)
    components.decisions.note(
        GATEWAY_STARTED, name=settings.name, zone=settings.zone, listen=settings.listen
    )
    await wait_for_stop_signal()
    await stop_components(components, ready_server)


def build_components(settings: GatewaySettings) -> GatewayComponents:
    """Build the components of a gateway without starting them."""
    registry = Registry()
    loop = asyncio.get_running_loop()
    budget = settings.log_lines_per_second
    decisions = DecisionLog(settings.name, 1, budget // 10, budget, level=settings.log_level)
    network: Network = registry.create("network", "tcp")
    clock = Clock(loop)
    peers = _make_peers(settings, clock)
    locality = Locality(settings.zone, settings.regions)
    driver = registry.create("member-driver", settings.protocol)
    terms = QuotaParameters(
        settings.quota_window_seconds * 1000, settings.quota_excess, settings.quota_slack
    )
    gateway = Gateway(
        locality,
        driver,
        loop,
        decisions,
        registry,
        peers,
        terms,
        settings.evacuation_ms,
        settings.drain_ms,
    )
    holder = LinkServer(gateway, clock)
    holder_server = TcpLinkServer(holder)
    meter = LoadMeter(clock, lambda: holder_server.unsent_bytes)
    assert peers.neighbours is not None and peers.detours is not None
    return GatewayComponents(
        settings,
        decisions,
        network,
        peers.neighbours,
        peers.detours,
        gateway,
        _make_metering(settings, clock, peers.neighbours, peers.detours, gateway),
        holder,
        holder_server,
        meter,
        registry.create("frontend", settings.protocol, gateway),
        ControlPlaneClient(
            gateway,
            network,
            rpc_addresses(settings.control_nodes, settings.rpc_port),
            registry.create("configuration-format", settings.protocol),
            partial(make_report, settings, gateway, meter),
            decisions,
            locality,
            peers.planned is not None,
        ),
    )


def _region(settings: GatewaySettings) -> str:
    return settings.sharing_group or settings.zone


def _make_peers(settings: GatewaySettings, clock: Clock) -> Peers:
    planned = None
    if settings.holders is HolderSelection.PLANNED:
        planned = PlannedHolders(settings.name, _region(settings), clock)
    return Peers(
        Neighbours(settings.name, clock, TcpLinkOpener()),
        Detours(settings.name, clock, TcpLinkOpener()),
        planned,
    )


def _make_metering(
    settings: GatewaySettings,
    clock: Clock,
    neighbours: Neighbours,
    detours: Detours,
    gateway: Gateway,
) -> DemandExchange:
    access = gateway.access
    region = _region(settings)
    return DemandExchange(
        settings.name, region, clock, neighbours, detours, access.quota, access.demand
    )


def connect_callbacks(components: GatewayComponents) -> None:
    """Connect the callbacks between components."""
    components.holder.on_region_report = components.metering.forward_to_aggregator
    if components.is_planned:
        components.gateway.holdings.load_meter = components.meter
        components.holder.on_statement = components.gateway.holdings.note_held_statement
    components.gateway.on_primary_change = components.control_plane_client.report_now


def _relay_address(settings: GatewaySettings) -> str:
    return f"{settings.listen.rpartition(':')[0]}:{settings.rpc_port}"


def make_report(settings: GatewaySettings, gateway: Gateway, meter: LoadMeter) -> GatewayReport:
    """Return the gateway's report to the control nodes."""
    return GatewayReport(
        settings.name,
        settings.zone,
        reportable_health(gateway.health()),
        relay_address=_relay_address(settings),
        group=settings.sharing_group,
        load=meter.latest,
    )


def reload_control_nodes(components: GatewayComponents, reload_settings: ReloadSettings) -> None:
    """Reload the settings, of which only the list of control nodes is applied."""
    loaded = reload_settings()
    components.decisions.note(GATEWAY_RELOADED, reason="SIGHUP", usable=loaded is not None)
    if loaded is not None:
        components.control_plane_client.set_seeds(
            rpc_addresses(loaded.control_nodes, loaded.rpc_port)
        )


async def listen(components: GatewayComponents) -> HttpServer:
    """Listen for readiness probes, other gateways, clients and metrics requests, in this order.

    Returns
    -------
    HttpServer
        Server of the readiness probe.
    """
    settings = components.settings
    ready_server = await serve(settings.ready_listen, ReadinessApi(components.gateway).handle)
    await components.holder_server.start(_relay_address(settings))
    await components.frontend.start(settings.listen)
    if settings.metrics:
        metrics = Metrics("rowanrail_gateway", partial(read_gauges, components))
        components.gateway.outcomes.on_outcome = metrics.record_statement
        components.gateway.access.on_rejection = metrics.record_rejection
        await serve_metrics(settings.listen.rpartition(":")[0], settings.metrics, metrics)
    return ready_server


def read_gauges(components: GatewayComponents) -> list[GaugeSample]:
    """Return all gauges of the process."""
    return [
        *gauges(components.gateway),
        *directory_gauges(components.control_plane_client),
        *tenant_gauges(components.gateway),
        *relay_gauges(components.neighbours, components.holder, components.detours),
        dropped_lines_gauge(components.decisions),
    ]


def start_components(components: GatewayComponents) -> None:
    """Start the periodic work of the components."""
    components.gateway.start()
    components.holder.start()
    components.metering.start()
    if components.is_planned:
        components.meter.start()
    components.control_plane_client.start()


async def stop_components(components: GatewayComponents, ready_server: HttpServer) -> None:
    """Stop gracefully; the readiness probe and the control plane transport are closed last."""
    name, decisions = components.settings.name, components.decisions
    decisions.note(GATEWAY_STOPPING, name=name, sessions=len(components.gateway.sessions))
    await stop_gracefully(
        components.gateway, components.frontend, components.holder, components.settings.stop_seconds
    )
    components.holder_server.close()
    components.control_plane_client.stop()
    ready_server.close()
    await components.network.close()
    decisions.note(GATEWAY_STOPPED, name=name)
    decisions.flush()
