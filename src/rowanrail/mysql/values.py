"""Result columns and values between a member's text encoding and a caller's protocol.

For the frontend. Owns nothing: pure functions on columns and values.
"""

import struct
from collections.abc import Callable
from typing import Any

from asyncmy.converters import convert_date, convert_datetime, convert_timedelta
from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType, str_len

from rowanrail.sql_proxy.backend import Column

UNSIGNED_COLUMN_FLAG = 32  # of the protocol, in a column's definition
_INTEGER_FORMATS = {
    ColumnType.TINY: "b",
    ColumnType.SHORT: "h",
    ColumnType.YEAR: "h",
    ColumnType.LONG: "i",
    ColumnType.INT24: "i",
    ColumnType.LONGLONG: "q",
}
_FLOAT_FORMATS = {ColumnType.FLOAT: "<f", ColumnType.DOUBLE: "<d"}
_DATE_CONVERTERS: dict[ColumnType, Callable[[Any], Any]] = {
    ColumnType.DATE: convert_date,
    ColumnType.DATETIME: convert_datetime,
    ColumnType.TIMESTAMP: convert_datetime,
    ColumnType.TIME: convert_timedelta,
}
# Types that the protocol library writes but a member never sends as such.
_REPLACED_TYPES = {ColumnType.NULL: ColumnType.VAR_STRING, ColumnType.BOOL: ColumnType.TINY}


def _text(column: Any, value: Any) -> bytes:
    return value if isinstance(value, bytes) else str(value).encode()


def _binary_string(column: Any, value: Any) -> bytes:
    return bytes(str_len(_text(column, value)))


def _binary_integer(code: str) -> Callable[[Any, Any], bytes]:
    def encode(column: Any, value: Any) -> bytes:
        return struct.pack(f"<{code}", int(value))

    return encode


def _binary_float(code: str) -> Callable[[Any, Any], bytes]:
    def encode(column: Any, value: Any) -> bytes:
        return struct.pack(code, float(value))

    return encode


def _binary_date(
    convert: Callable[[Any], Any], default: Callable[[Any, Any], bytes]
) -> Callable[[Any, Any], bytes]:
    def encode(column: Any, value: Any) -> bytes:
        converted = convert(value.decode() if isinstance(value, bytes) else value)
        if isinstance(converted, str | bytes | None):
            return b"\x00"  # a zero date has no parts
        return default(column, converted)

    return encode


def result_column(column: Column) -> ResultColumn:
    """Return the protocol library's column, with encoders that take text values."""
    kind = ColumnType(column.type_code)
    kind = _REPLACED_TYPES.get(kind, kind)
    result = ResultColumn(
        name=column.name,
        type=kind,
        character_set=_character_set(column.charset),
        text_encoder=_text,
    )
    result.binary_encoder = _binary_encoder(kind, column.flags, result.binary_encoder)
    return result


def _binary_encoder(
    kind: ColumnType, flags: int, default: Callable[[Any, Any], bytes]
) -> Callable[[Any, Any], bytes]:
    if kind in _INTEGER_FORMATS:
        code = _INTEGER_FORMATS[kind]
        return _binary_integer(code.upper() if flags & UNSIGNED_COLUMN_FLAG else code)
    if kind in _FLOAT_FORMATS:
        return _binary_float(_FLOAT_FORMATS[kind])
    if kind in _DATE_CONVERTERS:
        return _binary_date(_DATE_CONVERTERS[kind], default)
    return _binary_string


def _character_set(number: int) -> CharacterSet:
    try:
        return CharacterSet(number)
    except ValueError:
        return CharacterSet.utf8mb4
