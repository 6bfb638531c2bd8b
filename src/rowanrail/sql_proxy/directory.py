"""Polls the platform's list of live and leaving machines over HTTP.

The list may be outdated, so it is only one of three sources: a member is also leaving if an
operator drains it or if the member reports it.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from rowanrail.kernel.events import emit
from rowanrail.sql_proxy.events import DIRECTORY_UNREACHABLE

# Seconds between two requests for the list.
MACHINE_LIST_POLL_SECONDS = 0.5
# Timeout of a request in seconds.
MACHINE_LIST_TIMEOUT_SECONDS = 2.0


class Machine(msgspec.Struct, frozen=True):
    """One machine on the platform's list."""

    name: str
    address: str
    zone: str
    state: str


class MachineList(msgspec.Struct, frozen=True):
    """Response of the platform."""

    machines: list[Machine]


class DirectoryWatch:
    """Polls the list and passes the addresses of leaving machines to a callback."""

    def __init__(self, url: str, on_leaving: Callable[[set[str]], None]) -> None:
        self._url = url
        self._on_leaving = on_leaving
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that polls the list."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        timeout = aiohttp.ClientTimeout(total=MACHINE_LIST_TIMEOUT_SECONDS)
        failure_logged = False
        async with aiohttp.ClientSession(timeout=timeout) as client:
            while True:
                try:
                    async with client.get(self._url) as response:
                        machine_list = msgspec.json.decode(await response.read(), type=MachineList)
                    self._on_leaving(
                        {
                            machine.address
                            for machine in machine_list.machines
                            if machine.state != "live"
                        }
                    )
                    failure_logged = False
                except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
                    if not failure_logged:
                        emit(DIRECTORY_UNREACHABLE, error=error)
                    failure_logged = True
                await asyncio.sleep(MACHINE_LIST_POLL_SECONDS)
