"""Prepared statements: decodes binary parameters and inserts them into the text as literals.

Replaces this part of the server library, which doesn't escape parameters, lacks date types and
requires parameter types with each execution. Protocol:
https://dev.mysql.com/doc/dev/mysql-server/latest/page_protocol_com_stmt_execute.html
"""

import io
import re
import struct
from typing import Any

from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.results import NullBitmap
from mysql_mimic.types import (
    Capabilities,
    ColumnType,
    read_double,
    read_float,
    read_int_1,
    read_int_2,
    read_int_4,
    read_int_8,
    read_str_len,
    read_uint_1,
    read_uint_2,
    read_uint_4,
    read_uint_8,
    read_uint_len,
)

# Flags of COM_STMT_EXECUTE.
CURSOR_FLAG = 1
PARAMETER_COUNT_FLAG = 8
UNSIGNED_PARAMETER_FLAG = 0x80  # in the second byte of a parameter's type
_TOKENS = re.compile(
    r"""'(?:[^'\\]|\\.|'')*' | "(?:[^"\\]|\\.|"")*" | `[^`]*` | /\*.*?\*/ | --\s[^\n]* |
    \#[^\n]* | (\?)""",
    re.VERBOSE | re.DOTALL,
)
_BLOB_TYPES = {
    ColumnType.BLOB,
    ColumnType.TINY_BLOB,
    ColumnType.MEDIUM_BLOB,
    ColumnType.LONG_BLOB,
}
_DATE_TYPES = {ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP}
_INTEGER_READERS: dict[ColumnType, tuple[Any, Any]] = {
    ColumnType.TINY: (read_int_1, read_uint_1),
    ColumnType.BOOL: (read_int_1, read_uint_1),
    ColumnType.SHORT: (read_int_2, read_uint_2),
    ColumnType.YEAR: (read_int_2, read_uint_2),
    ColumnType.LONG: (read_int_4, read_uint_4),
    ColumnType.INT24: (read_int_4, read_uint_4),
    ColumnType.LONGLONG: (read_int_8, read_uint_8),
}


def split_placeholders(sql: str) -> list[str]:
    """Return the parts of a statement between its placeholders.

    Question marks in strings, quoted identifiers and comments are not placeholders.
    """
    pieces = []
    start = 0
    for token in _TOKENS.finditer(sql):
        if token.group(1):
            pieces.append(sql[start : token.start()])
            start = token.end()
    return [*pieces, sql[start:]]


class BoundStatement(PreparedStatement):  # type: ignore[misc]
    """A prepared statement, split at its placeholders, with the parameter types last sent."""

    def __init__(self, statement_id: int, sql: str) -> None:
        self.pieces = split_placeholders(sql)
        self.types: list[tuple[ColumnType, bool]] = []
        super().__init__(stmt_id=statement_id, sql=sql, num_params=len(self.pieces) - 1)

    def fill(self, literals: list[str]) -> str:
        """Return the statement with its placeholders replaced by literals."""
        text = self.pieces[0]
        for literal, piece in zip(literals, self.pieces[1:], strict=True):
            text += literal + piece
        return text


def read_execution(
    reader: io.BytesIO, statement: BoundStatement, flags: int, capabilities: Capabilities
) -> tuple[str, dict[str, str]]:
    """Return the SQL text and the query attributes of a COM_STMT_EXECUTE packet.

    :param reader: the packet, positioned after its iteration count.
    :raises MysqlError: if the packet is malformed.
    """
    with_attributes = Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities
    count = statement.num_params
    if with_attributes and (count > 0 or flags & PARAMETER_COUNT_FLAG):
        count = read_uint_len(reader)
    if count == 0:
        return statement.fill([]), {}
    nulls = NullBitmap.from_buffer(reader, count)
    names = [""] * count
    if read_uint_1(reader):
        names = _read_types(reader, statement, count, with_attributes)
    if len(statement.types) < count:
        raise MysqlError("parameter types are missing", ErrorCode.MALFORMED_PACKET)
    buffers = statement.param_buffers or {}
    literals = []
    for index in range(count):
        column_type, unsigned = statement.types[index]
        if index in buffers:
            literals.append(_bytes_literal(bytes(buffers[index]), column_type))
        elif nulls.is_flipped(index):
            literals.append("NULL")
        else:
            literals.append(_read_literal(reader, column_type, unsigned))
    attributes = {
        names[index]: literals[index].strip("'")
        for index in range(statement.num_params, count)
        if names[index]
    }
    return statement.fill(literals[: statement.num_params]), attributes


def _read_types(
    reader: io.BytesIO, statement: BoundStatement, count: int, with_names: bool
) -> list[str]:
    names = []
    statement.types = []
    for _ in range(count):
        column_type = ColumnType(read_uint_1(reader))
        statement.types.append((column_type, bool(read_uint_1(reader) & UNSIGNED_PARAMETER_FLAG)))
        names.append(read_str_len(reader).decode() if with_names else "")
    return names


def _read_literal(reader: io.BytesIO, column_type: ColumnType, unsigned: bool) -> str:
    if column_type is ColumnType.NULL:
        return "NULL"
    if column_type in _INTEGER_READERS:
        return str(_INTEGER_READERS[column_type][unsigned](reader))
    if column_type is ColumnType.FLOAT:
        return repr(read_float(reader))
    if column_type is ColumnType.DOUBLE:
        return repr(read_double(reader))
    if column_type in _DATE_TYPES:
        return _read_date(reader)
    if column_type is ColumnType.TIME:
        return _read_time(reader)
    return _bytes_literal(read_str_len(reader), column_type)


def _read_date(reader: io.BytesIO) -> str:
    length = read_uint_1(reader)
    data = reader.read(length).ljust(11, b"\x00")
    year, month, day, hour, minute, second, micros = struct.unpack("<HBBBBBI", data)
    text = f"{year:04}-{month:02}-{day:02}"
    if length > 4:
        text += f" {hour:02}:{minute:02}:{second:02}"
    if length > 7:
        text += f".{micros:06}"
    return f"'{text}'"


def _read_time(reader: io.BytesIO) -> str:
    length = read_uint_1(reader)
    data = reader.read(length).ljust(12, b"\x00")
    negative, days, hour, minute, second, micros = struct.unpack("<BIBBBI", data)
    text = f"{'-' if negative else ''}{days * 24 + hour:02}:{minute:02}:{second:02}"
    if length > 8:
        text += f".{micros:06}"
    return f"'{text}'"


def _bytes_literal(value: bytes, column_type: ColumnType) -> str:
    if column_type in _BLOB_TYPES:
        return f"X'{value.hex()}'"
    try:
        text = value.decode()
    except UnicodeDecodeError:
        return f"X'{value.hex()}'"
    if "\\" in text or "\x00" in text:
        # Hex is safe in every SQL mode; backslashes are escapes only in some.
        return f"_utf8mb4 X'{value.hex()}'"
    return "'" + text.replace("'", "''") + "'"
