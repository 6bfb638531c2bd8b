"""Callers that write and read through several proxies, and report to the oracle.

Each caller has keys that only it writes. Writes are inserts into the table ``edits``, so
that lost and duplicated ones can be detected. Reads use the caller's connection, another
connection with the session's token, or a new connection without a token.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec

from rowanlab.fleet.layout import FleetFile, Process
from rowanlab.load.driver import CallerConnection, CallError
from rowanlab.load.oracle import Oracle, Outcome, Write

KEYS_PER_CALLER = 3
MAX_RETRIES = 20
PAUSE_SECONDS = 0.02
MAX_FINAL_READ_ATTEMPTS = 200

CREATE_EDITS = (
    "CREATE TABLE IF NOT EXISTS edits (operation VARCHAR(80), part INT, owner VARCHAR(40), "
    "name VARCHAR(40), number BIGINT)"
)
CREATE_INDEX = "CREATE INDEX edits_by_name ON edits (name, number)"


class LoadOptions(msgspec.Struct, frozen=True):
    """Parameters of the load.

    :param read_share: fraction of requests that are reads.
    :param pause_seconds: mean pause between a caller's requests.
    """

    callers: int
    seconds: float
    read_share: float
    seed: int
    pause_seconds: float = PAUSE_SECONDS


class WriteTimes:
    """The times at which writes were acknowledged, in event-loop time."""

    def __init__(self) -> None:
        self.acknowledged: list[float] = []

    def note(self) -> None:
        """Record that a write was acknowledged now."""
        self.acknowledged.append(asyncio.get_running_loop().time())


class SqlConnection(Protocol):
    """A caller's connection, through a driver or in the simulator."""

    async def execute(self, sql: str) -> list[tuple[Any, ...]]:
        """Run a statement and return its rows."""

    def close(self) -> None:
        """Close the connection without waiting."""


Connect = Callable[[], Awaitable[SqlConnection]]


class Caller:
    """A caller with its own keys, connection and random generator.

    :param name: unique also among restarts of the caller, since each key has a single writer.
    :param connect: a connect function for each proxy.
    """

    def __init__(
        self,
        name: str,
        connect: list[Connect],
        oracle: Oracle,
        options: LoadOptions,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.name = name
        self.write_times = WriteTimes()
        self._connect = connect
        self._oracle = oracle
        self._options = options
        self._wall_clock = wall_clock
        self._random = random.Random(f"{options.seed}/{name}")
        self._keys = [f"{name}.{number}" for number in range(KEYS_PER_CALLER)]
        self._connection: SqlConnection | None = None
        self._operations = 0
        self._reads = 0

    async def run(self, until: Callable[[], bool]) -> None:
        """Send requests until ``until`` returns true."""
        while not until():
            is_read = self._random.random() < self._options.read_share
            try:
                if is_read:
                    await self._read()
                else:
                    await self._write()
            except CallError as error:
                await self._after_error(error)
            pause = self._options.pause_seconds * self._random.uniform(0.5, 1.5)
            await asyncio.sleep(pause)
        self._close_connection()

    async def _after_error(self, error: CallError) -> None:
        if error.cut_by_stop:
            self._oracle.note_interrupted_request(f"{self.name} was cut off by a planned stop")
        if error.connection_lost:
            self._close_connection()
        await asyncio.sleep(min(1.0, max(error.retry_after_seconds, PAUSE_SECONDS)))

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _open_connection(self) -> SqlConnection:
        return await self._random.choice(self._connect)()

    async def _own_connection(self) -> SqlConnection:
        if self._connection is None:
            self._connection = await self._open_connection()
        return self._connection

    # Writes

    def _next_operation(self, kind: str) -> str:
        self._operations += 1
        return f"{int(self._wall_clock())}-{self.name}-{kind}-{self._operations}"

    def _insert(self, write: Write, part: int) -> str:
        return (
            "INSERT INTO edits (operation, part, owner, name, number) VALUES "
            f"('{write.operation}', {part}, '{self.name}', '{write.key}', {write.number})"
        )

    async def _write(self) -> None:
        key = self._random.choice(self._keys)
        kind = self._random.choice(["plain", "recorded", "recorded", "transaction"])
        connection = await self._own_connection()
        if kind == "transaction":
            write = self._oracle.begin_write(self._next_operation(kind), key, parts=2)
            await self._record_outcome(write, self._write_in_transaction(connection, write))
        elif kind == "recorded":
            write = self._oracle.begin_write(self._next_operation(kind), key)
            await self._record_outcome(write, self._write_with_request_id(write))
        else:
            write = self._oracle.begin_write(self._next_operation(kind), key)
            await self._record_outcome(write, connection.execute(self._insert(write, 1)))

    async def _record_outcome(self, write: Write, work: Awaitable[object]) -> None:
        try:
            await work
        except CallError as error:
            self._oracle.end_write(write, error.outcome)
            raise
        self._oracle.end_write(write, Outcome.ACKNOWLEDGED)
        self.write_times.note()

    async def _write_with_request_id(self, write: Write) -> None:
        """Write with a request id, and retry until the outcome is known."""
        sent = False
        for _ in range(MAX_RETRIES):
            try:
                connection = await self._own_connection()
                await connection.execute(f"SET @rowanrail_request_id = '{write.operation}'")
                sent = True
                await connection.execute(self._insert(write, 1))
                return
            except CallError as error:
                if error.connection_lost or error.outcome is Outcome.UNKNOWN:
                    self._close_connection()
                elif not sent or error.outcome is not Outcome.NOT_RUN:
                    raise
                await asyncio.sleep(max(PAUSE_SECONDS, error.retry_after_seconds))
        raise CallError(Outcome.UNKNOWN, "given up", 0.0)

    async def _write_in_transaction(self, connection: SqlConnection, write: Write) -> None:
        committing = False
        try:
            expected = self._oracle.expected(write.key)
            await connection.execute("BEGIN")
            rows = await connection.execute(
                f"SELECT MAX(number) FROM edits WHERE name = '{write.key}'"
            )
            seen = int(rows[0][0] or 0)
            self._oracle.end_read(write.key, expected, seen, f"{self.name} (transaction)")
            await connection.execute(self._insert(write, 1))
            query = f"SELECT COUNT(*) FROM edits WHERE operation = '{write.operation}'"
            rows = await connection.execute(query)
            if not rows or str(rows[0][0]) != "1":
                self._oracle.note_mixed(f"{write.operation} sees {rows} of its own")
            await connection.execute(self._insert(write, 2))
            committing = True
            await connection.execute("COMMIT")
        except CallError as error:
            if not committing:
                # Nothing was committed, whichever outcome the statement has.
                error.outcome = Outcome.NOT_RUN
                if not error.connection_lost:
                    await connection.execute("ROLLBACK")
            raise

    # Reads

    async def _read(self) -> None:
        mode = self._random.choice(["same", "same", "token", "new"])
        if mode == "same":
            await self._read_through(
                await self._own_connection(), self._random.choice(self._keys), mode
            )
        elif mode == "token":
            await self._read_with_token()
        else:
            keys = self._oracle.keys() or self._keys
            connection = await self._open_connection()
            try:
                await self._read_through(connection, self._random.choice(keys), mode)
            finally:
                connection.close()

    async def _read_with_token(self) -> None:
        own = await self._own_connection()
        token = (await own.execute("SELECT @@rowanrail_token"))[0][0]
        connection = await self._open_connection()
        try:
            await connection.execute(f"SET @rowanrail_token = '{token}'")
            await self._read_through(connection, self._random.choice(self._keys), "token")
        finally:
            connection.close()

    async def _read_through(self, connection: SqlConnection, key: str, mode: str) -> None:
        expected = self._oracle.expected(key)
        self._reads += 1
        marker = f"{self.name}/{self._reads}"
        rows = await connection.execute(
            f"SELECT MAX(number), '{marker}' AS marker FROM edits WHERE name = '{key}'"
        )
        if len(rows) != 1 or len(rows[0]) != 2 or rows[0][1] != marker:
            self._oracle.note_mixed(f"{marker} got the answer {rows}")
            return
        self._oracle.end_read(key, expected, int(rows[0][0] or 0), f"{self.name} ({mode})")


def connectors(fleet: FleetFile, database: str) -> list[Connect]:
    """Return a connect function for each proxy of a fleet."""

    def connector_for(proxy: Process) -> Connect:
        async def connect() -> SqlConnection:
            return await CallerConnection.open(
                proxy.host, proxy.port, fleet.user, fleet.password, database
            )

        return connect

    return [connector_for(proxy) for proxy in fleet.proxies]


async def create_tables(connect: Connect) -> None:
    """Create the load's table and its index."""
    connection = await connect()
    await connection.execute(CREATE_EDITS)
    await connection.execute(CREATE_INDEX)
    connection.close()


async def count_rows_by_operation(connect: list[Connect]) -> dict[str, int]:
    """Return the number of rows by operation, read by a new session.

    :raises CallError: if all attempts fail.
    """
    last_error: CallError | None = None
    for attempt in range(MAX_FINAL_READ_ATTEMPTS):
        try:
            connection = await connect[attempt % len(connect)]()
            rows = await connection.execute(
                "SELECT operation, COUNT(*) FROM edits GROUP BY operation"
            )
            connection.close()
            return {str(row[0]): int(row[1]) for row in rows}
        except CallError as error:
            last_error = error
            await asyncio.sleep(PAUSE_SECONDS)
    raise last_error or RuntimeError("no attempt was made")
