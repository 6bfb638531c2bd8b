"""The gateway daemon: the proxy for typed statements as a process.

For the command line of the platform, which reads the settings. Owns the parts of the process: they
are made, wired, served and stopped here, each step a function. Relies on the plug-ins that the
settings' protocol names, and on the running event loop.
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


class ReadyApi:
    """Tells whether new clients are welcome."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer the platform's probe."""
        if (request.method, request.path) != ("GET", READY_PATH):
            return error_response(404, f"ask GET {READY_PATH}")
        return HttpResponse(200 if self._gateway.is_ready else 503)


@dataclass(frozen=True, slots=True)
class GatewayParts:
    """What one gateway process consists of.

    Parameters
    ----------
    settings : GatewaySettings
        Of the process.
    decisions : DecisionLog
        Its log.
    network : Network
        To the control nodes.
    neighbours, detours : Neighbours, Detours
        The gateways of its group, and those of others.
    gateway : Gateway
        Sessions and services.
    metering : DemandExchange
        Exchange of what tenants' clients ask for.
    holder, holder_server : LinkServer, TcpLinkServer
        What runs here for other gateways, and where they connect.
    meter : LoadMeter
        What is reported for the plan of holders; started only if there is one.
    frontend : Frontend
        Where clients connect.
    follower : ControlPlaneClient
        Follows the control nodes.
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
    follower: ControlPlaneClient

    @property
    def is_planned(self) -> bool:
        """Whether control nodes plan who holds connections."""
        return self.settings.holders is HolderSelection.PLANNED


async def run_gateway(settings: GatewaySettings, reload_settings: ReloadSettings) -> None:
    """Run a gateway until a stop signal, then stop as planned.

    :raises RowanrailError: if an address can't be used.
    """
    os.set_blocking(1, False)
    parts = make_parts(settings)
    wire_parts(parts)
    reload = partial(reload_control_nodes, parts, reload_settings)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    ready_server = await listen(parts)
    start_parts(parts)
    parts.decisions.note(
        GATEWAY_STARTED, name=settings.name, zone=settings.zone, listen=settings.listen
    )
    await wait_for_stop_signal()
    await stop_parts(parts, ready_server)


def make_parts(settings: GatewaySettings) -> GatewayParts:
    """Make the parts of a gateway; none of them does anything yet."""
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
    gateway = Gateway(locality, driver, loop, decisions, registry, peers, terms)
    holder = LinkServer(gateway, clock)
    holder_server = TcpLinkServer(holder)
    meter = LoadMeter(clock, lambda: holder_server.unsent_bytes)
    assert peers.neighbours is not None and peers.detours is not None
    return GatewayParts(
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


def wire_parts(parts: GatewayParts) -> None:
    """Have the parts tell each other what happens."""
    parts.holder.on_region_report = parts.metering.forward_to_aggregator
    if parts.is_planned:
        parts.gateway.holdings.load_meter = parts.meter
        parts.holder.on_statement = parts.gateway.holdings.note_held_statement
    parts.gateway.on_primary_change = parts.follower.report_now


def _relay_address(settings: GatewaySettings) -> str:
    return f"{settings.listen.rpartition(':')[0]}:{settings.rpc_port}"


def make_report(settings: GatewaySettings, gateway: Gateway, meter: LoadMeter) -> GatewayReport:
    """Return what the control nodes are told of this gateway."""
    return GatewayReport(
        settings.name,
        settings.zone,
        reportable_health(gateway.health()),
        relay_address=_relay_address(settings),
        group=settings.sharing_group,
        load=meter.latest,
    )


def reload_control_nodes(parts: GatewayParts, reload_settings: ReloadSettings) -> None:
    """Read the settings again, and take the list of control nodes from them."""
    loaded = reload_settings()
    parts.decisions.note(GATEWAY_RELOADED, reason="SIGHUP", usable=loaded is not None)
    if loaded is not None:
        parts.follower.set_seeds(rpc_addresses(loaded.control_nodes, loaded.rpc_port))


async def listen(parts: GatewayParts) -> HttpServer:
    """Listen for the platform, other gateways, clients and readers of metrics, in this order.

    Returns
    -------
    HttpServer
        What answers the platform's probe.
    """
    settings = parts.settings
    ready_server = await serve(settings.ready_listen, ReadyApi(parts.gateway).handle)
    await parts.holder_server.start(_relay_address(settings))
    await parts.frontend.start(settings.listen)
    if settings.metrics:
        metrics = Metrics("rowanrail_gateway", partial(read_gauges, parts))
        parts.gateway.outcomes.on_outcome = metrics.record_statement
        parts.gateway.access.on_rejection = metrics.record_rejection
        await serve_metrics(settings.listen.rpartition(":")[0], settings.metrics, metrics)
    return ready_server


def read_gauges(parts: GatewayParts) -> list[GaugeSample]:
    """Return all that the process measures of itself."""
    return [
        *gauges(parts.gateway),
        *directory_gauges(parts.follower),
        *tenant_gauges(parts.gateway),
        *relay_gauges(parts.neighbours, parts.holder, parts.detours),
        dropped_lines_gauge(parts.decisions),
    ]


def start_parts(parts: GatewayParts) -> None:
    """Begin with what goes on by time: everything that others are told rests on it."""
    parts.gateway.start()
    parts.holder.start()
    parts.metering.start()
    if parts.is_planned:
        parts.meter.start()
    parts.follower.start()


async def stop_parts(parts: GatewayParts, ready_server: HttpServer) -> None:
    """Stop as planned; the answer to the probe and the link to the control nodes end last."""
    name, decisions = parts.settings.name, parts.decisions
    decisions.note(GATEWAY_STOPPING, name=name, sessions=len(parts.gateway.sessions))
    await stop_gracefully(parts.gateway, parts.frontend, parts.holder, parts.settings.stop_seconds)
    parts.holder_server.close()
    parts.follower.stop()
    ready_server.close()
    await parts.network.close()
    decisions.note(GATEWAY_STOPPED, name=name)
    decisions.flush()
