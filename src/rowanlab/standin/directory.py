"""The stand-in of the platform's list of live and leaving machines. It lags on purpose."""

import asyncio
from pathlib import Path

import msgspec
from aiohttp import web

from rowanrail.kernel.lifecycle import wait_for_stop_signal
from rowanrail.kernel.web import serve_http
from rowanrail.sql_proxy.directory import MachineList


class DirectorySettings(msgspec.Struct, frozen=True):
    """Settings: the file with the truth, and how late it is shown."""

    listen: str
    file: str
    lag_seconds: float = 1.0


async def run_directory(settings: DirectorySettings) -> None:
    """Serve the list until a stop signal."""
    shown = MachineList([])

    async def follow() -> None:
        nonlocal shown
        while True:
            try:
                truth = msgspec.json.decode(Path(settings.file).read_bytes(), type=MachineList)
            except (OSError, msgspec.MsgspecError):
                truth = shown
            await asyncio.sleep(settings.lag_seconds)
            shown = truth

    async def machines(request: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(shown), content_type="application/json")

    application = web.Application()
    application.router.add_get("/machines", machines)
    runner = await serve_http(application, settings.listen)
    task = asyncio.ensure_future(follow())
    await wait_for_stop_signal()
    task.cancel()
    await runner.cleanup()
