"""Connection pool of one member, with a bounded number of connections and a bounded wait queue.

A connection is idle, leased to one statement or transaction, or closed. It keeps the session
variables that were set on it (``settings``); a connection with settings is reused only for sessions
with the same ones.
"""

import asyncio
import enum
import heapq
from collections.abc import Awaitable, Callable

import msgspec

from rowanrail.kernel.errors import (
    BackendConnectError,
    BackendLostError,
    BackendRefusedError,
    NotRunError,
)
from rowanrail.sql_proxy.backend import BackendConnection, MemberStatus, StatementResult
from rowanrail.sql_proxy.policies import LateAnswerDiscard
from rowanrail.sql_proxy.queueing import (
    CONNECT_TIMEOUT_SECONDS,
    INITIAL_LATENCY_SECONDS,
    MINIMUM_RETRY_AFTER_SECONDS,
    displaces_last,
    expected_wait_seconds,
    has_queue_room,
    retry_after_seconds,
    smoothed_latency,
    would_miss_deadline,
)


class Priority(enum.IntEnum):
    """Priority of queued requests; lower values are served first."""

    TRANSACTION = 0
    WRITE = 1
    READ = 2


class PoolLimits(msgspec.Struct, frozen=True):
    """Limits of a pool.

    :param connections: maximum number of connections that are open or being opened.
    :param slots: maximum number of concurrent statements at the member.
    :param queue_length: maximum number of requests that wait for a connection.
    """

    connections: int
    slots: int
    queue_length: int


class PooledConnection:
    """A connection, its session variables, and whether its last statement was answered."""

    def __init__(
        self, connection: BackendConnection, peer: str, late_answers: LateAnswerDiscard
    ) -> None:
        self.peer = peer
        self.settings: tuple[str, ...] = ()
        self.incarnation = ""
        self.answered = True
        self.closed = False
        self._connection = connection
        self._late_answers = late_answers
        self._aborted: asyncio.Future[StatementResult] | None = None

    async def execute(self, sql: str, deadline: float) -> StatementResult:
        """Run a statement until ``deadline`` (event loop time).

        :raises BackendRefusedError: if the member refused it.
        :raises BackendLostError: if it was sent but not answered, or if unread data would be taken
            for its answer.
        """
        self.answered = self.is_reusable()
        if not self.answered:
            raise BackendLostError("unexpected answer", step="execute", peer=self.peer)
        self.answered = False
        try:
            async with asyncio.timeout_at(deadline):
                result = await self._run_abortable(self._connection.execute(sql))
        except TimeoutError as error:
            raise BackendLostError("no answer in time", step="execute", peer=self.peer) from error
        self.answered = True
        return result

    async def _run_abortable(self, work: Awaitable[StatementResult]) -> StatementResult:
        """Await ``work``, or fail as soon as :meth:`abort` is called."""
        loop = asyncio.get_running_loop()
        aborted: asyncio.Future[StatementResult] = loop.create_future()
        self._aborted = aborted
        task = asyncio.ensure_future(work)
        try:
            await asyncio.wait([task, aborted], return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                self.answered = not isinstance(task.exception(), BackendLostError)
                return task.result()
            raise BackendLostError("the member was replaced", step="execute", peer=self.peer)
        finally:
            self._aborted = None
            if not task.done():
                task.cancel()

    def is_reusable(self) -> bool:
        """Return whether the last answer was read and no other data has arrived."""
        return self._late_answers.is_reusable(self.answered and self._connection.is_clean())

    async def status(self) -> MemberStatus:
        """Return the member's status."""
        return await self._connection.status()

    def abort(self) -> None:
        """Make a running statement fail with :class:`BackendLostError`."""
        if self._aborted is not None and not self._aborted.done():
            self._aborted.set_result(StatementResult())

    def close(self) -> None:
        """Close the connection immediately."""
        self.closed = True
        self._connection.close()


ConnectionFactory = Callable[[], Awaitable[BackendConnection]]


class Pool:
    """Connections to one member, at most ``limit`` of them open or being opened."""

    def __init__(
        self,
        peer: str,
        limits: PoolLimits,
        connection_factory: ConnectionFactory,
        late_answers: LateAnswerDiscard,
    ) -> None:
        self.peer = peer
        self.limit = limits.connections
        self.slots = limits.slots
        self._queue_length = limits.queue_length
        self.latency_seconds = INITIAL_LATENCY_SECONDS
        self.open_count = 0
        self.leased: dict[PooledConnection, None] = {}  # an ordered set, oldest lease first
        self._connection_factory = connection_factory
        self._late_answers = late_answers
        self._idle: list[PooledConnection] = []
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = 0
        self._refusals = 0
        self._connect_paused_until = 0.0

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a connection."""
        return len(self._waiting)

    @property
    def outstanding(self) -> int:
        """Number of leased connections and queued requests."""
        return len(self.leased) + len(self._waiting)

    def expected_wait_seconds(self) -> float:
        """Return the expected queueing delay in seconds of a request that arrives now."""
        return expected_wait_seconds(
            len(self._waiting), len(self.leased), self.limit, self.slots, self.latency_seconds
        )

    async def acquire(
        self, deadline: float, priority: Priority, settings: tuple[str, ...] = ()
    ) -> PooledConnection:
        """Lease a connection that has the given settings or none, by ``deadline``.

        If the pool is at its limit, an idle connection with other settings is closed to make room.

        :raises NotRunError: if no connection becomes free in time; nothing was sent.
        :raises BackendConnectError: if a new connection can't be opened.
        """
        loop = asyncio.get_running_loop()
        while True:
            leased = self._take_idle(settings)
            if leased is not None:
                return leased
            if self.open_count < self.limit:
                return await self._open(deadline)
            if would_miss_deadline(loop.time(), self.expected_wait_seconds(), deadline):
                raise self._refusal("all connections are busy")
            await self._wait_in_queue(deadline, priority)

    def _take_idle(self, settings: tuple[str, ...]) -> PooledConnection | None:
        for position in range(len(self._idle) - 1, -1, -1):
            if self._idle[position].settings in (settings, ()):
                connection = self._idle.pop(position)
                if not connection.is_reusable():
                    self._close(connection)
                    continue
                self.leased[connection] = None
                return connection
        if self._idle and self.open_count >= self.limit:
            self._close(self._idle.pop(0))
        return None

    async def _open(self, deadline: float) -> PooledConnection:
        loop = asyncio.get_running_loop()
        if loop.time() < self._connect_paused_until:
            raise BackendConnectError("refused a moment ago", step="connect", peer=self.peer)
        self.open_count += 1
        try:
            limit = min(deadline, loop.time() + CONNECT_TIMEOUT_SECONDS)
            async with asyncio.timeout_at(limit):
                pooled = await self._connect()
        except (BackendConnectError, BackendLostError, BackendRefusedError, TimeoutError) as error:
            self._connect_paused_until = loop.time() + MINIMUM_RETRY_AFTER_SECONDS
            self._release_slot()
            raise BackendConnectError(str(error), step="connect", peer=self.peer) from error
        except BaseException:
            self._release_slot()
            raise
        self.leased[pooled] = None
        return pooled

    async def _connect(self) -> PooledConnection:
        connection = await self._connection_factory()
        pooled = PooledConnection(connection, self.peer, self._late_answers)
        try:
            # A member's known state holds for one incarnation: get that of this connection.
            pooled.incarnation = (await connection.status()).incarnation
        except BaseException:
            connection.close()
            raise
        return pooled

    async def _wait_in_queue(self, deadline: float, priority: Priority) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._make_queue_room(priority)
        self._sequence += 1
        entry = (int(priority), self._sequence, future)
        heapq.heappush(self._waiting, entry)
        try:
            async with asyncio.timeout_at(deadline):
                await future
        except TimeoutError as error:
            raise self._refusal("no connection became free in time") from error
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            elif future.cancelled():
                self._wake_one()

    def _make_queue_room(self, priority: Priority) -> None:
        """Refuse the last request of lowest priority if the queue is full.

        :raises NotRunError: if that is the arriving request.
        """
        if has_queue_room(len(self._waiting), self._queue_length):
            return
        last = max(self._waiting, default=None)
        if last is None or not displaces_last(last[0], priority):
            raise self._refusal("too many requests wait")
        self._waiting.remove(last)
        heapq.heapify(self._waiting)
        if not last[2].done():
            last[2].set_exception(self._refusal("more urgent requests wait"))

    def _refusal(self, message: str) -> NotRunError:
        self._refusals += 1
        retry_after = retry_after_seconds(self._refusals, self.expected_wait_seconds())
        return NotRunError(message, retry_after_seconds=retry_after, step="acquire", peer=self.peer)

    def release(self, connection: PooledConnection, seconds: float | None = None) -> None:
        """Return a connection to the pool, or close it if it is not reusable.

        :param seconds: duration of the statement, for the latency estimate.
        """
        self.leased.pop(connection, None)
        if seconds is not None:
            self.latency_seconds = smoothed_latency(self.latency_seconds, seconds)
        if connection.closed or not connection.is_reusable() or self.open_count > self.limit:
            self._close(connection)
        else:
            self._idle.append(connection)
            self._wake_one()

    def discard(self, connection: PooledConnection) -> None:
        """Close a leased connection whose state is uncertain."""
        self.leased.pop(connection, None)
        self._close(connection)

    def _close(self, connection: PooledConnection) -> None:
        connection.close()
        self._release_slot()

    def _release_slot(self) -> None:
        self.open_count -= 1
        self._wake_one()

    def _wake_one(self) -> None:
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._close(self._idle.pop())

    def abort_leased(self) -> None:
        """Make all running statements fail as lost, because another primary was elected."""
        for connection in list(self.leased):
            connection.abort()

    def set_limit(self, limit: int) -> None:
        """Change the maximum number of connections; surplus idle ones are closed at once."""
        self.limit = max(1, limit)
        while self._idle and self.open_count > self.limit:
            self._close(self._idle.pop(0))
        for _ in range(self.limit - self.open_count):
            self._wake_one()
