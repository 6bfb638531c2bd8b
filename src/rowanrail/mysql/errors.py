"""Errors as callers see them in the MySQL protocol.

The three kinds never share a code: not run, outcome unknown, and the back end's own.
"""

import enum
from functools import lru_cache
from typing import Any

from mysql_mimic.errors import MysqlError

from rowanrail.kernel.errors import (
    BackendRefusedError,
    InvalidRequestError,
    NotRunError,
    OutcomeUnknownError,
    RequestConflictError,
    RowanrailError,
    UnknownDatabaseError,
)


class CallerCode(enum.IntEnum):
    """Error codes of the proxy; members use codes below 16000.

    Some drivers read codes as signed 16-bit numbers, so they stay below 32768.
    """

    UNKNOWN_DATABASE = 1049
    NOT_RUN = 30001
    OUTCOME_UNKNOWN = 30002
    INVALID_REQUEST = 30003
    REQUEST_CONFLICT = 30004
    INTERNAL = 30005


@lru_cache(maxsize=1000)
def _code(number: int) -> enum.IntEnum:
    """Return a one-member enumeration: the protocol library takes codes only as such."""
    make: Any = enum.IntEnum
    return next(iter(make("BackendCode", {f"CODE_{number}": number})))  # type: ignore[no-any-return]


def to_mysql_error(error: RowanrailError) -> MysqlError:
    """Return the protocol library's error for a caller's error."""
    if isinstance(error, BackendRefusedError):
        return MysqlError(error.message, _code(error.code))
    if isinstance(error, UnknownDatabaseError):
        return MysqlError(f"not run: {error}", CallerCode.UNKNOWN_DATABASE)
    if isinstance(error, RequestConflictError):
        return MysqlError(f"not run: {error}", CallerCode.REQUEST_CONFLICT)
    if isinstance(error, InvalidRequestError):
        return MysqlError(f"not run: {error}", CallerCode.INVALID_REQUEST)
    if isinstance(error, NotRunError):
        hint = (
            f"; retry after {error.retry_after_seconds:.3f} s" if error.retry_after_seconds else ""
        )
        return MysqlError(f"not run: {error}{hint}", CallerCode.NOT_RUN)
    if isinstance(error, OutcomeUnknownError):
        return MysqlError(f"outcome unknown: {error}", CallerCode.OUTCOME_UNKNOWN)
    return MysqlError(f"outcome unknown: {error}", CallerCode.INTERNAL)
