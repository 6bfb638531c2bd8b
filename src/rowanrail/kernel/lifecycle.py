"""Start and stop of daemons."""

import asyncio
import os
import signal

from aiohttp import web

from rowanrail.kernel.errors import RowanrailError


async def wait_for_stop_signal() -> None:
    """Return at the first SIGTERM or SIGINT; both mean a planned stop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


async def serve_http(application: web.Application, address: str) -> web.AppRunner:
    """Serve a web application at ``host:port``.

    :raises RowanrailError: if the address can't be used.
    """
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    host, _, port = address.rpartition(":")
    try:
        await web.TCPSite(runner, host, int(port)).start()
    except OSError as error:
        raise listen_error(address, error) from error
    return runner


def listen_error(address: str, error: OSError) -> RowanrailError:
    """Return the error for an address that can't be listened on."""
    reason = os.strerror(error.errno).lower() if error.errno else str(error)
    return RowanrailError(
        f"{reason}; stop what uses the address, or choose another one",
        step="listen",
        peer=address,
    )
