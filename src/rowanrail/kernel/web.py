"""Serving ``aiohttp`` applications, for daemons with many routes.

For the daemons of the SQL side; the others serve with ``kernel.http``. Owns nothing.
"""

from aiohttp import web

from rowanrail.kernel.lifecycle import listen_error


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
