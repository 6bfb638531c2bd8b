"""Conversion of errors to MySQL errors for clients.

Requests that were not run, requests with an unknown outcome and errors of the back end have
distinct error codes.
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


class ProxyErrorCode(enum.IntEnum):
    """Error codes of the proxy.

    Members use codes below 16000. Some drivers read codes as signed 16-bit integers, so all are
    below 32768.
    """

    UNKNOWN_DATABASE = 1049
    NOT_RUN = 30001
    OUTCOME_UNKNOWN = 30002
    INVALID_REQUEST = 30003
    REQUEST_CONFLICT = 30004
    INTERNAL = 30005


@lru_cache(maxsize=1000)
def _code(number: int) -> enum.IntEnum:
    """Return an error code as a member of an enumeration, which the protocol library requires."""
    make_enum: Any = enum.IntEnum
    return next(iter(make_enum("BackendCode", {f"CODE_{number}": number})))  # type: ignore[no-any-return]


def to_mysql_error(error: RowanrailError) -> MysqlError:
    """Return the protocol library's error for an error that a client receives."""
    if isinstance(error, BackendRefusedError):
        return MysqlError(error.message, _code(error.code))
    if isinstance(error, UnknownDatabaseError):
        return MysqlError(f"not run: {error}", ProxyErrorCode.UNKNOWN_DATABASE)
    if isinstance(error, RequestConflictError):
        return MysqlError(f"not run: {error}", ProxyErrorCode.REQUEST_CONFLICT)
    if isinstance(error, InvalidRequestError):
        return MysqlError(f"not run: {error}", ProxyErrorCode.INVALID_REQUEST)
    if isinstance(error, NotRunError):
        hint = (
            f"; retry after {error.retry_after_seconds:.3f} s" if error.retry_after_seconds else ""
        )
        return MysqlError(f"not run: {error}{hint}", ProxyErrorCode.NOT_RUN)
    if isinstance(error, OutcomeUnknownError):
        return MysqlError(f"outcome unknown: {error}", ProxyErrorCode.OUTCOME_UNKNOWN)
    return MysqlError(f"outcome unknown: {error}", ProxyErrorCode.INTERNAL)
