"""The proxy daemon: sets up network, driver, frontend and core, and runs them until a signal."""

import random

from aiohttp import web

from rowanrail.config.settings import ProxySettings
from rowanrail.kernel.events import emit
from rowanrail.kernel.lifecycle import wait_for_stop_signal
from rowanrail.kernel.registry import Registry
from rowanrail.kernel.web import serve_http
from rowanrail.rpc.address_translation import AddressTranslatingNetwork
from rowanrail.rpc.network import Network
from rowanrail.rpc.tcp import TcpNetwork
from rowanrail.sql_proxy.config_watch import ConfigurationWatch
from rowanrail.sql_proxy.core import ProxyCore
from rowanrail.sql_proxy.directory import DirectoryWatch
from rowanrail.sql_proxy.events import PROXY_STARTED, PROXY_STOPPED, PROXY_STOPPING
from rowanrail.sql_proxy.report import ProxyMetrics, make_report


def admin_application(core: ProxyCore) -> web.Application:
    """Return the web application that serves health, readiness and metrics."""
    metrics = ProxyMetrics(core)

    async def health(request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def ready(request: web.Request) -> web.Response:
        is_ready = core.in_force.version > 0 and not core.stopping
        body = {"ready": is_ready, "version": core.in_force.version, "stopping": core.stopping}
        return web.json_response(body, status=200 if is_ready else 503)

    async def show_metrics(request: web.Request) -> web.Response:
        return web.Response(body=metrics.render(), content_type="text/plain")

    application = web.Application()
    application.router.add_get("/health", health)
    application.router.add_get("/ready", ready)
    application.router.add_get("/metrics", show_metrics)
    return application


def _make_watch(
    settings: ProxySettings, core: ProxyCore, network: Network, incarnation: str
) -> ConfigurationWatch:
    return ConfigurationWatch(
        core,
        network,
        settings.controls,
        [*settings.zone_peers, *settings.region_peers],
        lambda: make_report(core, settings.name, settings.zone, incarnation),
    )


async def run_proxy(settings: ProxySettings) -> None:
    """Run a proxy until a stop signal, then shut it down gracefully.

    :raises RowanrailError: if it can't listen on an address.
    """
    registry = Registry()
    randomness = random.Random()
    incarnation = f"{randomness.getrandbits(48):012x}"
    network = AddressTranslatingNetwork(TcpNetwork(), settings.routes)
    driver = registry.create("backend", "mysql")
    core = ProxyCore(settings.zone, settings.routes, driver, registry, randomness)
    watch = _make_watch(settings, core, network, incarnation)
    frontend = registry.create("frontend", "mysql", core)
    listener = await network.serve(settings.rpc_listen, watch.handle_peer_request)
    runner = await serve_http(admin_application(core), settings.admin_listen)
    await frontend.start(settings.listen)
    core.start()
    watch.start()
    directory = DirectoryWatch(settings.directory, core.set_listed_leaving)
    if settings.directory:
        directory.start()
    emit(PROXY_STARTED, name=settings.name, listen=settings.listen)
    await wait_for_stop_signal()
    emit(PROXY_STOPPING, name=settings.name)
    frontend.stop_accepting()
    await core.stop(settings.stop_seconds)
    await frontend.finish()
    watch.stop()
    directory.stop()
    await listener.close()
    await runner.cleanup()
    await network.close()
    emit(PROXY_STOPPED, name=settings.name)
