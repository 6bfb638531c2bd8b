"""Conversion of result columns and values from a member's text encoding to a client's protocol."""

import struct
from collections.abc import Callable
from typing import Any

from asyncmy.converters import convert_date, convert_datetime, convert_timedelta
from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType, str_len

from rowanrail.sql_proxy.backend import Column

UNSIGNED_COLUMN_FLAG = 32  # UNSIGNED_FLAG in a column definition of the protocol
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
# Column types of the protocol library that members never send, with their replacements.
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
            return b"\x00"  # a zero date is encoded with length 0
        return default(column, converted)

    return encode


def result_column(column: Column) -> ResultColumn:
    """Return a column of the protocol library whose encoders take text values."""
    column_type = ColumnType(column.type_code)
    column_type = _REPLACED_TYPES.get(column_type, column_type)
    result = ResultColumn(
        name=column.name,
        type=column_type,
        character_set=_character_set(column.charset),
        text_encoder=_text,
    )
    result.binary_encoder = _binary_encoder(column_type, column.flags, result.binary_encoder)
    return result


def _binary_encoder(
    column_type: ColumnType, flags: int, default: Callable[[Any, Any], bytes]
) -> Callable[[Any, Any], bytes]:
    if column_type in _INTEGER_FORMATS:
        code = _INTEGER_FORMATS[column_type]
        return _binary_integer(code.upper() if flags & UNSIGNED_COLUMN_FLAG else code)
    if column_type in _FLOAT_FORMATS:
        return _binary_float(_FLOAT_FORMATS[column_type])
    if column_type in _DATE_CONVERTERS:
        return _binary_date(_DATE_CONVERTERS[column_type], default)
    return _binary_string


def _character_set(number: int) -> CharacterSet:
    try:
        return CharacterSet(number)
    except ValueError:
        return CharacterSet.utf8mb4
