"""The database of a stand-in member: sqlite3 with one writer and one reader connection."""

import datetime
import decimal
import sqlite3
from pathlib import Path
from typing import Any

from rowanlab.standin.translate import to_sqlite
from rowanrail.kernel.errors import BackendRefusedError
from rowanrail.sql_proxy.backend import Column, StatementResult

SYNTAX_ERROR_CODE = 1064
DUPLICATE_KEY_CODE = 1062
NO_SUCH_TABLE_CODE = 1146
OTHER_ERROR_CODE = 1105
TABLE_EXISTS_CODE = 1050

_TYPE_CODES: list[tuple[type, int]] = [
    (bool, 1),
    (int, 8),
    (float, 5),
    (datetime.datetime, 12),
    (datetime.date, 10),
    (datetime.timedelta, 11),
    (decimal.Decimal, 246),
    (bytes, 252),
    (str, 253),
]
_BINARY_CHARSET = 63
_TEXT_CHARSET = 45

sqlite3.register_converter("DATE", lambda raw: datetime.date.fromisoformat(raw.decode()))
sqlite3.register_converter("DATETIME", lambda raw: datetime.datetime.fromisoformat(raw.decode()))
sqlite3.register_converter("TIMESTAMP", lambda raw: datetime.datetime.fromisoformat(raw.decode()))
sqlite3.register_converter("DECIMAL", lambda raw: decimal.Decimal(raw.decode()))


def _connect(path: str) -> sqlite3.Connection:
    connection = sqlite3.connect(
        path, isolation_level=None, check_same_thread=False, detect_types=sqlite3.PARSE_DECLTYPES
    )
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=OFF")
    connection.create_function("REPEAT", 2, lambda text, count: text * count)
    connection.create_function("VERSION", 0, lambda: "8.0.36-standin")
    connection.create_function("CONCAT", -1, lambda *parts: "".join(str(part) for part in parts))
    return connection


class Engine:
    """The database of one member. Reads see only committed data."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._open()

    def _open(self) -> None:
        for suffix in ("", "-wal", "-shm"):
            Path(f"{self._path}{suffix}").unlink(missing_ok=True)
        self._writer = _connect(str(self._path))
        self._reader = _connect(str(self._path))

    def reset(self) -> None:
        """Delete all data."""
        self.close()
        self._open()

    def close(self) -> None:
        """Close the database."""
        self._writer.close()
        self._reader.close()

    def begin(self) -> None:
        """Begin the write transaction, of which there is only one at a time."""
        self._writer.execute("BEGIN IMMEDIATE")

    def commit(self) -> None:
        """Commit the write transaction, if one is open."""
        if self._writer.in_transaction:
            self._writer.execute("COMMIT")

    def roll_back(self) -> None:
        """Roll back the write transaction, if one is open."""
        if self._writer.in_transaction:
            self._writer.execute("ROLLBACK")

    def apply(self, statements: list[str]) -> None:
        """Run replicated statements in one transaction, after rolling back an open one."""
        self.roll_back()
        self.begin()
        for statement in statements:
            self._writer.execute(to_sqlite(statement))
        self.commit()

    def write(self, sql: str) -> StatementResult:
        """Run a statement within the write transaction.

        :raises BackendRefusedError: if the statement fails.
        """
        return _run(self._writer, sql)

    def read(self, sql: str, in_write_transaction: bool) -> StatementResult:
        """Run a read, within the write transaction or on committed data.

        :raises BackendRefusedError: if the statement fails.
        """
        return _run(self._writer if in_write_transaction else self._reader, sql)


def _run(connection: sqlite3.Connection, sql: str) -> StatementResult:
    try:
        cursor = connection.execute(to_sqlite(sql))
        rows = cursor.fetchall()
    except ValueError as error:
        raise BackendRefusedError(SYNTAX_ERROR_CODE, str(error)) from error
    except sqlite3.Error as error:
        raise _to_backend_error(error) from error
    if cursor.description:
        return _to_result(cursor.description, rows)
    return StatementResult(
        affected_rows=max(0, cursor.rowcount),
        insert_id=cursor.lastrowid or 0 if sql.lstrip()[:6].upper() == "INSERT" else 0,
    )


def _to_backend_error(error: sqlite3.Error) -> BackendRefusedError:
    message = str(error)
    if "UNIQUE constraint" in message:
        return BackendRefusedError(DUPLICATE_KEY_CODE, f"Duplicate entry: {message}")
    if "no such table" in message:
        return BackendRefusedError(NO_SUCH_TABLE_CODE, f"Table doesn't exist: {message}")
    if "already exists" in message:
        return BackendRefusedError(TABLE_EXISTS_CODE, message)
    if "syntax error" in message:
        return BackendRefusedError(SYNTAX_ERROR_CODE, message)
    return BackendRefusedError(OTHER_ERROR_CODE, message)


def _to_result(description: Any, rows: list[Any]) -> StatementResult:
    columns = []
    for position, field in enumerate(description):
        code = _TYPE_CODES[-1][1]
        for row in rows:
            if row[position] is not None:
                code = next((c for t, c in _TYPE_CODES if isinstance(row[position], t)), code)
                break
        charset = _BINARY_CHARSET if code not in (253,) else _TEXT_CHARSET
        columns.append(Column(field[0], code, charset))
    return StatementResult(columns=columns, rows=[_encode_row(row) for row in rows])


def _encode_row(row: Any) -> tuple[bytes | None, ...]:
    return tuple(_encode(value) for value in row)


def _encode(value: Any) -> bytes | None:
    if value is None or isinstance(value, bytes):
        return value
    if isinstance(value, bool):
        return b"1" if value else b"0"
    return str(value).encode()
