"""A caller's connection through a MySQL driver, with errors classified by outcome."""

import asyncio
import re
from typing import Any

import asyncmy
from asyncmy.errors import Error, MySQLError

from rowanlab.load.oracle import Outcome

NOT_RUN_CODES = frozenset({1049, 30001, 30003, 30004})
OUTCOME_UNKNOWN_CODES = frozenset({30002, 30005})
_RETRY_AFTER = re.compile(r"retry after ([0-9.]+) s")
CONNECT_TIMEOUT_SECONDS = 5.0


class CallError(Exception):
    """A statement or connection attempt that failed.

    :ivar connection_lost: whether the connection can't be used any more.
    :ivar cut_by_stop: whether a planned stop of the proxy interrupted the statement.
    """

    def __init__(self, outcome: Outcome, message: str, retry_after_seconds: float) -> None:
        super().__init__(message)
        self.outcome = outcome
        self.retry_after_seconds = retry_after_seconds
        self.connection_lost = False
        self.cut_by_stop = False


class CallerConnection:
    """A caller's connection to a proxy."""

    def __init__(self, connection: Any) -> None:
        self._connection = connection

    @classmethod
    async def open(
        cls, host: str, port: int, user: str, password: str, database: str
    ) -> "CallerConnection":
        """Connect to a proxy.

        :raises CallError: if the connection fails; its outcome is ``NOT_RUN``.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                connection = await asyncmy.connect(
                    host=host,
                    port=port,
                    user=user,
                    password=password,
                    database=database,
                    autocommit=True,
                )
        except (MySQLError, Error, OSError, EOFError, TimeoutError) as error:
            raise CallError(Outcome.NOT_RUN, str(error), 0.1) from error
        return cls(connection)

    async def execute(self, sql: str, timeout_seconds: float = 10.0) -> list[tuple[Any, ...]]:
        """Run a statement and return its rows.

        :raises CallError: if the statement did not succeed.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                cursor = self._connection.cursor()
                await cursor.execute(sql)
                rows = list(await cursor.fetchall()) if cursor.description else []
                await cursor.close()
                return rows
        except MySQLError as error:
            raise self._classify(error) from error
        except (OSError, EOFError, TimeoutError, AssertionError) as error:
            lost = CallError(Outcome.UNKNOWN, str(error), 0.0)
            lost.connection_lost = True
            raise lost from error

    @staticmethod
    def _classify(error: Any) -> CallError:
        code = error.args[0] if error.args and isinstance(error.args[0], int) else 0
        message = str(error.args[-1]) if error.args else ""
        match = _RETRY_AFTER.search(message)
        retry_after_seconds = float(match.group(1)) if match else 0.0
        if code in NOT_RUN_CODES:
            return CallError(Outcome.NOT_RUN, message, retry_after_seconds)
        if code in OUTCOME_UNKNOWN_CODES:
            return CallError(Outcome.UNKNOWN, message, retry_after_seconds)
        if code == 0 or 2000 <= code < 3000:
            lost = CallError(Outcome.UNKNOWN, message, 0.0)
            lost.connection_lost = True
            return lost
        return CallError(Outcome.FAILED, f"{code} {message}", 0.0)

    def close(self) -> None:
        """Close the connection without waiting."""
        self._connection.close()
