"""Status queries to one member, on a connection of their own.

Callers that wait at the same time share one query. Each answer updates the member's state.
"""

import asyncio
import random
from collections.abc import Callable

from rowanrail.kernel.errors import BackendConnectError, BackendLostError, BackendRefusedError
from rowanrail.sql_proxy.backend import BackendConnection, MemberStatus
from rowanrail.sql_proxy.member_state import (
    RECONNECT_DELAY_SECONDS,
    STATUS_TIMEOUT_SECONDS,
    MemberState,
)
from rowanrail.sql_proxy.pool import ConnectionFactory


class MemberMonitor:
    """Queries the status of a member; each query serves all callers that waited when it began."""

    def __init__(
        self, peer: str, connection_factory: ConnectionFactory, randomness: random.Random
    ) -> None:
        self.peer = peer
        self.state = MemberState()
        self._connection_factory = connection_factory
        self._random = randomness
        self._connection: BackendConnection | None = None
        self._waiters: list[asyncio.Future[MemberStatus | None]] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.on_status: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the task that queries the member; the first query is sent at once."""
        self._wake.set()
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop the task; callers that wait get None."""
        if self._task is not None:
            self._task.cancel()
        self._disconnect()
        self._resolve([*self._waiters], None)
        self._waiters = []

    async def refresh(self) -> MemberStatus | None:
        """Return a status that the member sent after this call, None if it did not answer."""
        future: asyncio.Future[MemberStatus | None] = asyncio.get_running_loop().create_future()
        self._waiters.append(future)
        self._wake.set()
        return await future

    def poll_soon(self) -> None:
        """Send a query soon, without waiting for the answer."""
        self._wake.set()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            waiters, self._waiters = self._waiters, []
            status = await self._query()
            self._update_state(status)
            self._resolve(waiters, status)
            if status is None and not self._waiters:
                await asyncio.sleep(RECONNECT_DELAY_SECONDS * self._random.uniform(0.5, 1.0))

    async def _query(self) -> MemberStatus | None:
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                if self._connection is None:
                    self._connection = await self._connection_factory()
                return await self._connection.status()
        except (BackendConnectError, BackendLostError, BackendRefusedError, TimeoutError):
            self._disconnect()
            return None
        except asyncio.CancelledError:
            self._disconnect()
            raise

    def _update_state(self, status: MemberStatus | None) -> None:
        self.state.update(status, asyncio.get_running_loop().time())
        self.on_status()

    @staticmethod
    def _resolve(
        waiters: "list[asyncio.Future[MemberStatus | None]]", status: MemberStatus | None
    ) -> None:
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(status)

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
