"""Server for ``aiohttp`` applications, used by the SQL proxy and its control nodes.

Other daemons use :mod:`rowanrail.kernel.http`, which starts faster.
"""

from aiohttp import web

from rowanrail.kernel.lifecycle import listen_error


async def serve_http(application: web.Application, address: str) -> web.AppRunner:
    """Serve a web application at ``host:port``.

    :raises RowanrailError: if the address can't be listened on.
    """
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    host, _, port = address.rpartition(":")
    try:
        await web.TCPSite(runner, host, int(port)).start()
    except OSError as error:
        raise listen_error(address, error) from error
    return runner
