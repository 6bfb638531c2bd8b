"""The platform's list of live and leaving machines.

For the proxy's core, which marks the members at the listed addresses. Owns the task that polls the
list; relies on the platform's HTTP interface. The list lags, so that it is one of three sources: a
member also counts as leaving when an operator drains it, and when it says so itself.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from rowanrail.kernel.events import emit
from rowanrail.sql_proxy.events import DIRECTORY_UNREACHABLE

# Seconds between two questions for the list. Chosen.
MACHINE_LIST_POLL_SECONDS = 0.5
# Seconds for an answer. Chosen.
MACHINE_LIST_TIMEOUT_SECONDS = 2.0


class Machine(msgspec.Struct, frozen=True):
    """One machine of the list."""

    name: str
    address: str
    zone: str
    state: str


class MachineList(msgspec.Struct, frozen=True):
    """The platform's answer."""

    machines: list[Machine]


class DirectoryWatch:
    """Polls the list and tells which addresses are leaving."""

    def __init__(self, url: str, on_leaving: Callable[[set[str]], None]) -> None:
        self._url = url
        self._on_leaving = on_leaving
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to poll."""
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
                        listed = msgspec.json.decode(await response.read(), type=MachineList)
                    self._on_leaving(
                        {machine.address for machine in listed.machines if machine.state != "live"}
                    )
                    failure_logged = False
                except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
                    if not failure_logged:
                        emit(DIRECTORY_UNREACHABLE, error=error)
                    failure_logged = True
                await asyncio.sleep(MACHINE_LIST_POLL_SECONDS)
