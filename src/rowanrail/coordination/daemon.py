"""Process of a control node for gateways.

Creates the plug-ins (network, drivers, external API) from the registry and runs the node until a
stop signal.
"""

import asyncio
import os
import random
import signal
from abc import ABC, abstractmethod
from collections.abc import Callable
from pathlib import Path

from rowanrail.config.settings import CoordinatorSettings
from rowanrail.coordination.events import NODE_STARTED, NODE_STOPPED, SETTINGS_NOT_READ
from rowanrail.coordination.gauges import gauges
from rowanrail.coordination.node import Coordinator
from rowanrail.coordination.service import CoordinationService
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.disk import FileDisk
from rowanrail.kernel.http import HttpRequest, HttpResponse, HttpServer, serve
from rowanrail.kernel.lifecycle import wait_for_stop_signal
from rowanrail.kernel.metrics import Metrics, dropped_lines_gauge, serve_metrics
from rowanrail.kernel.registry import Registry
from rowanrail.rpc.network import Network


class ExternalApi(ABC):
    """HTTP interface for operators and members, a plug-in of kind ``outside-api``.

    Constructed with the service, the settings and the decision log.
    """

    @abstractmethod
    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to an HTTP request."""


async def run_coordinator(
    settings: CoordinatorSettings, reload_settings: Callable[[], CoordinatorSettings | None]
) -> None:
    """Run a control node until a stop signal.

    :param reload_settings: returns the settings as they are now, None if they can't be used.
    :raises RowanrailError: if the folder or an address can't be used.
    """
    os.set_blocking(1, False)
    registry = Registry()
    budget = settings.log_lines_per_second
    decisions = DecisionLog(settings.name, 1, budget, budget, level=settings.log_level)
    network: Network = registry.create("network", "tcp")
    disk = FileDisk(Path(settings.data_folder))
    protocol = settings.protocol
    configuration_format = registry.create("configuration-format", protocol)
    node = Coordinator(
        settings,
        network,
        disk,
        random.Random(),
        registry,
        decisions,
        configuration_format,
        lambda: (reload_settings() or settings).peers,
    )
    await node.start(
        registry.create("member-driver", protocol),
        registry.create("status-reader", protocol),
        registry.create("promoter", protocol, settings),
    )
    server = await _serve_external_api(node, settings, registry, decisions)
    decisions.note(NODE_STARTED, node=node.consensus.identity.node, term=node.consensus.raft.term)
    decisions.flush()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, lambda: decisions.note(SETTINGS_NOT_READ, node=settings.name)
    )
    await wait_for_stop_signal()
    server.close()
    await node.stop()
    await network.close()
    disk.close()
    decisions.note(NODE_STOPPED, node=settings.name)
    decisions.flush()


async def _serve_external_api(
    node: Coordinator, settings: CoordinatorSettings, registry: Registry, decisions: DecisionLog
) -> HttpServer:
    """Serve the HTTP interface for operators and members, and the metrics if configured."""
    service: CoordinationService = node.service
    api: ExternalApi = registry.create(
        "outside-api", settings.protocol, service, settings, decisions
    )
    server = await serve(settings.listen, api.handle)
    if settings.metrics:
        metrics = Metrics(
            "rowanrail_control", lambda: [*gauges(node), dropped_lines_gauge(decisions)]
        )
        await serve_metrics(settings.host, settings.metrics, metrics)
    return server
