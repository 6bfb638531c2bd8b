"""A stand-in for the platform's list of machines, which shows changes with a delay."""

import asyncio
from pathlib import Path

import msgspec
from aiohttp import web

from rowanrail.kernel.lifecycle import wait_for_stop_signal
from rowanrail.kernel.web import serve_http
from rowanrail.sql_proxy.directory import MachineList


class DirectorySettings(msgspec.Struct, frozen=True):
    """Settings of the directory: the file with the current list, and the delay."""

    listen: str
    file: str
    lag_seconds: float = 1.0


async def run_directory(settings: DirectorySettings) -> None:
    """Serve the list over HTTP until a stop signal."""
    served = MachineList([])

    async def refresh() -> None:
        nonlocal served
        while True:
            try:
                current = msgspec.json.decode(Path(settings.file).read_bytes(), type=MachineList)
            except (OSError, msgspec.MsgspecError):
                current = served
            await asyncio.sleep(settings.lag_seconds)
            served = current

    async def machines(request: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(served), content_type="application/json")

    application = web.Application()
    application.router.add_get("/machines", machines)
    runner = await serve_http(application, settings.listen)
    task = asyncio.ensure_future(refresh())
    await wait_for_stop_signal()
    task.cancel()
    await runner.cleanup()
