"""The gateway daemon: the proxy for typed statements as a process."""

import asyncio
import os
import signal
from collections.abc import Callable

from rowanrail.config.settings import GatewaySettings, Holders, rpc_addresses
from rowanrail.directory.messages import GatewayReport
from rowanrail.directory.reports import worth_reporting
from rowanrail.gateway.discovery.control_follower import ControlFollower
from rowanrail.gateway.events import (
    GATEWAY_RELOADED,
    GATEWAY_STARTED,
    GATEWAY_STOPPED,
    GATEWAY_STOPPING,
)
from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.gauges import directory_gauges, gauges, relay_gauges, tenant_gauges
from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.load_meter import LoadMeter
from rowanrail.gateway.relay.metering import Metering
from rowanrail.gateway.relay.neighbours import Neighbours
from rowanrail.gateway.relay.serving import Holder
from rowanrail.gateway.relay.transport import TcpHolderServer, TcpLinkOpener
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.sessions.frontend import Frontend
from rowanrail.kernel.clock import Clock
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.http import HttpRequest, HttpResponse, error_response, serve
from rowanrail.kernel.lifecycle import wait_for_stop_signal
from rowanrail.kernel.metrics import Metrics, log_gauge, serve_metrics
from rowanrail.kernel.registry import Registry
from rowanrail.placement.planned import PlannedHolders
from rowanrail.rpc.network import Network
from rowanrail.tenants.terms import QuotaTerms

READY_PATH = "/ready"
LEAVE_SHARE = 0.37  # of the time to stop: until then clients still come, not knowing better
ABORT_SHARE = 0.5  # of the time to stop: how long open transactions may go on
END_SHARE = 0.75  # of the time to stop: when statements that still run are cut
POLL_SECONDS = 0.05  # between looks at what still runs during a planned stop

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


async def plan_stop(
    gateway: Gateway, frontend: Frontend, holder: Holder, stop_seconds: float
) -> None:
    """Stop as planned: unwelcome first, then sessions at rest, then transactions, then all."""
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    gateway.stopping = True
    holder.leave()
    await asyncio.sleep(LEAVE_SHARE * stop_seconds)
    frontend.begin_closing()
    while _is_busy(frontend, holder) and loop.time() - begun_at < END_SHARE * stop_seconds:
        if loop.time() - begun_at > ABORT_SHARE * stop_seconds:
            gateway.abort_transactions()
            holder.end_idle_transactions()
            frontend.begin_closing()
        await asyncio.sleep(POLL_SECONDS)
    frontend.close()
    gateway.close()


def _is_busy(frontend: Frontend, holder: Holder) -> bool:
    return bool(frontend.busy_sessions() or holder.running or holder.open_transactions)


async def run_gateway(settings: GatewaySettings, reload_settings: ReloadSettings) -> None:
    """Run a gateway until a stop signal, then stop as planned.

    :raises RowanrailError: if an address can't be used.
    """
    os.set_blocking(1, False)
    registry = Registry()
    loop = asyncio.get_running_loop()
    budget = settings.log_lines_per_second
    decisions = DecisionLog(settings.name, 1, budget // 10, budget, level=settings.log_level)
    network: Network = registry.create("network", "tcp")
    driver = registry.create("member-driver", settings.protocol)
    clock = Clock(loop)
    neighbours = Neighbours(settings.name, clock, TcpLinkOpener())
    locality = Locality(settings.zone, settings.regions)
    detours = Detours(settings.name, clock, TcpLinkOpener())
    terms = QuotaTerms(
        settings.quota_window_seconds * 1000, settings.quota_excess, settings.quota_slack
    )
    region = settings.sharing_group or settings.zone
    is_planned = settings.holders is Holders.PLANNED
    planned = PlannedHolders(settings.name, region, clock) if is_planned else None
    gateway = Gateway(
        locality, driver, loop, decisions, registry, neighbours, detours, terms, planned
    )
    metering = Metering(
        settings.name,
        region,
        clock,
        neighbours,
        detours,
        gateway.access.quota,
        gateway.access.demand,
    )
    holder = Holder(gateway, clock)
    holder.on_region = metering.pass_on
    holder_server = TcpHolderServer(holder)
    meter = LoadMeter(clock, lambda: holder_server.unsent_bytes)
    if is_planned:
        gateway.holdings.meter = meter
        holder.on_run = gateway.holdings.note_held
    relay_address = f"{settings.listen.rpartition(':')[0]}:{settings.rpc_port}"
    frontend: Frontend = registry.create("frontend", settings.protocol, gateway)

    def make_report() -> GatewayReport:
        return GatewayReport(
            settings.name,
            settings.zone,
            worth_reporting(gateway.health()),
            relay_address=relay_address,
            group=settings.sharing_group,
            load=meter.latest,
        )

    follower = ControlFollower(
        gateway,
        network,
        rpc_addresses(settings.control_nodes, settings.rpc_port),
        registry.create("configuration-format", settings.protocol),
        make_report,
        decisions,
        locality,
        is_planned,
    )

    gateway.on_alarm = follower.report_now

    def reload() -> None:
        loaded = reload_settings()
        decisions.note(GATEWAY_RELOADED, reason="SIGHUP", usable=loaded is not None)
        if loaded is not None:
            follower.set_seeds(rpc_addresses(loaded.control_nodes, loaded.rpc_port))

    loop.add_signal_handler(signal.SIGHUP, reload)
    ready_server = await serve(settings.ready_listen, ReadyApi(gateway).handle)
    await holder_server.start(relay_address)
    await frontend.start(settings.listen)
    if settings.metrics:
        metrics = Metrics(
            "rowanrail_gateway",
            lambda: [
                *gauges(gateway),
                *directory_gauges(follower),
                *tenant_gauges(gateway),
                *relay_gauges(neighbours, holder, detours),
                log_gauge(decisions),
            ],
        )
        gateway.outcomes.on_outcome = metrics.note_statement
        gateway.access.on_rejection = metrics.note_rejection
        await serve_metrics(settings.listen.rpartition(":")[0], settings.metrics, metrics)
    gateway.start()
    holder.start()
    metering.start()
    if is_planned:
        meter.start()
    follower.start()
    decisions.note(GATEWAY_STARTED, name=settings.name, zone=settings.zone, listen=settings.listen)
    await wait_for_stop_signal()
    decisions.note(GATEWAY_STOPPING, name=settings.name, sessions=len(gateway.sessions))
    await plan_stop(gateway, frontend, holder, settings.stop_seconds)
    holder_server.close()
    follower.stop()
    ready_server.close()
    await network.close()
    decisions.note(GATEWAY_STOPPED, name=settings.name)
    decisions.flush()
