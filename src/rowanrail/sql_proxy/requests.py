"""Request ids: idempotency keys, each of which commits at most once.

The record of a request is inserted under a unique key, in the same database transaction as its
writes. An id begins with its creation time, so that an id past the horizon, whose record may have
been deleted, can be refused.
"""

import enum
import hashlib
import re

import msgspec

from rowanrail.kernel.errors import (
    BackendRefusedError,
    InvalidRequestError,
    NotRunError,
    RequestConflictError,
)
from rowanrail.model.position import Position
from rowanrail.sql_proxy.backend import StatementResult
from rowanrail.sql_proxy.outcomes import NO_SUCH_TABLE_CODE
from rowanrail.sql_proxy.pool import PooledConnection

TABLE = "rowanrail_requests"
# Maximum length of a request id, the primary key of its record.
MAXIMUM_ID_CHARACTERS = 100
# Maximum seconds by which a caller's clock may be ahead; records are kept longer by as much.
MAXIMUM_CLOCK_SKEW_SECONDS = 300.0
_ID = re.compile(r"^(\d{9,11})-[A-Za-z0-9._:-]+$")

CREATE_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (id VARCHAR({MAXIMUM_ID_CHARACTERS}) PRIMARY KEY, "
    "digest CHAR(32) NOT NULL, state VARCHAR(16) NOT NULL, affected BIGINT NOT NULL, "
    "insert_id BIGINT NOT NULL, created BIGINT NOT NULL)"
)


class RequestState(enum.Enum):
    """State of a recorded request."""

    DONE = "done"
    TOMBSTONE = "tombstone"


class RequestRecordRow(msgspec.Struct, frozen=True):
    """A row of the request table.

    :param position: log position at which the row was read.
    """

    digest: str
    state: RequestState
    affected: int
    insert_id: int
    position: Position | None

    def result(self, request_id: str, digest: str) -> StatementResult:
        """Return the recorded outcome.

        :raises RequestConflictError: if the id was used for other statements.
        :raises NotRunError: if the record is a tombstone.
        """
        if self.state is RequestState.TOMBSTONE:
            raise NotRunError(f"request {request_id} did not run and never will", step="repeat")
        if self.digest != digest:
            raise RequestConflictError(
                f"request id {request_id} was used for different work", step="repeat"
            )
        return StatementResult(
            affected_rows=self.affected, insert_id=self.insert_id, position=self.position
        )


def check_request_id(request_id: str, now: float, horizon_seconds: float) -> None:
    """Check the format and the age of an id.

    :param now: wall-clock time in seconds.
    :raises InvalidRequestError: if the format is wrong.
    :raises RequestConflictError: if the id is past the horizon.
    """
    match = _ID.match(request_id)
    if match is None or len(request_id) > MAXIMUM_ID_CHARACTERS:
        raise InvalidRequestError(
            f"request id {request_id[:40]!r} is not '<unix seconds>-<unique part>' of at most "
            f"{MAXIMUM_ID_CHARACTERS} characters",
            step="request id",
        )
    age_seconds = now - int(match.group(1))
    if age_seconds > horizon_seconds or age_seconds < -MAXIMUM_CLOCK_SKEW_SECONDS:
        raise RequestConflictError(
            f"request id {request_id} is outside of the horizon of {horizon_seconds:.0f} s; "
            "whether it ran before is not remembered",
            step="request id",
        )


def request_digest(work: list[str]) -> str:
    """Return the digest of a request's statements."""
    return hashlib.sha256("\x00".join(work).encode()).hexdigest()[:32]


def _creation_seconds(request_id: str) -> int:
    return int(request_id.split("-")[0])


async def insert_record(
    connection: PooledConnection,
    deadline: float,
    request_id: str,
    digest: str,
    state: RequestState,
    result: StatementResult,
) -> None:
    """Insert the record of a request in the open transaction.

    :raises BackendRefusedError: with ``outcomes.DUPLICATE_KEY_CODE`` if the id has a record.
    """
    await connection.execute(
        f"INSERT INTO {TABLE} (id, digest, state, affected, insert_id, created) VALUES "
        f"('{request_id}', '{digest}', '{state.value}', {result.affected_rows}, "
        f"{result.insert_id}, {_creation_seconds(request_id)})",
        deadline,
    )


async def find_record(
    connection: PooledConnection, deadline: float, request_id: str
) -> RequestRecordRow | None:
    """Return the record of an id, read in a separate transaction; None if there is none."""
    await connection.execute("BEGIN", deadline)
    try:
        result = await connection.execute(
            f"SELECT digest, state, affected, insert_id FROM {TABLE} WHERE id = '{request_id}'",
            deadline,
        )
    except BackendRefusedError as error:
        await connection.execute("ROLLBACK", deadline)
        if error.code == NO_SUCH_TABLE_CODE:
            return None
        raise
    ended = await connection.execute("COMMIT", deadline)
    if not result.rows:
        return None
    digest, state, affected, insert_id = (_text(value) for value in result.rows[0])
    return RequestRecordRow(
        digest, RequestState(state), int(affected), int(insert_id), ended.position
    )


def _text(value: object) -> str:
    return value.decode() if isinstance(value, bytes) else str(value)


def cleanup_statement(now: float, horizon_seconds: float) -> str:
    """Return the statement that deletes records older than twice the horizon."""
    limit = int(now - 2 * horizon_seconds - MAXIMUM_CLOCK_SKEW_SECONDS)
    return f"DELETE FROM {TABLE} WHERE created < {limit}"
