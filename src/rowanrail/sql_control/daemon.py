"""Control daemon: runs a control node on the real network and disk until a stop signal."""

import random
from pathlib import Path

from aiohttp import web

from rowanrail.config.settings import ControlSettings
from rowanrail.kernel.disk import FileDisk
from rowanrail.kernel.events import emit
from rowanrail.kernel.lifecycle import wait_for_stop_signal
from rowanrail.kernel.registry import Registry
from rowanrail.kernel.web import serve_http
from rowanrail.rpc.address_translation import AddressTranslatingNetwork
from rowanrail.rpc.tcp import TcpNetwork
from rowanrail.sql_control.events import CONTROL_STARTED, CONTROL_STOPPED
from rowanrail.sql_control.http_api import OperatorApi
from rowanrail.sql_control.node import ControlNode


async def run_control(settings: ControlSettings, bootstrap: bool) -> None:
    """Run a control node until a stop signal.

    :raises RowanrailError: if the folder or an address can't be used.
    """
    network = AddressTranslatingNetwork(TcpNetwork(), settings.routes)
    disk = FileDisk(Path(settings.data_folder))
    node = ControlNode(settings, network, disk, random.Random(), Registry())
    await node.start(bootstrap)
    application = OperatorApi(node.service, settings.operators).application()
    runner: web.AppRunner = await serve_http(application, settings.http_listen)
    emit(
        CONTROL_STARTED,
        node=node.consensus.identity.node,
        rpc=settings.rpc_listen,
        http=settings.http_listen,
    )
    await wait_for_stop_signal()
    await runner.cleanup()
    await node.stop()
    await network.close()
    disk.close()
    emit(CONTROL_STOPPED, node=settings.name)
