"""Parsing of the statements that the proxy handles itself: SET, USE and session functions."""

import enum
import re

import msgspec

from rowanrail.kernel.errors import InvalidRequestError

TOKEN_VARIABLE = "rowanrail_token"
REQUEST_VARIABLE = "rowanrail_request_id"


class SetKind(enum.Enum):
    """Kind of variable that a SET statement sets."""

    TOKEN = "token"
    REQUEST_ID = "request-id"
    AUTOCOMMIT = "autocommit"
    CHARACTER_SET = "character-set"
    NEXT_TRANSACTION = "next-transaction"
    SESSION_VARIABLE = "carried"
    COMPUTED = "computed"


class SetCommand(msgspec.Struct, frozen=True):
    """A parsed SET statement."""

    kind: SetKind
    value: str = ""


_PROXY_VARIABLE = re.compile(
    rf"^SET\s+@({TOKEN_VARIABLE}|{REQUEST_VARIABLE})\s*:?=\s*'([^']*)'$", re.IGNORECASE
)
_AUTOCOMMIT = re.compile(
    r"^SET\s+(?:SESSION\s+|@@SESSION\.|@@)?AUTOCOMMIT\s*=\s*(\w+)$", re.IGNORECASE
)
_CHARACTER_SET = re.compile(
    r"^SET\s+(?:NAMES|CHARACTER\s+SET|CHARSET)\s+'?\"?(\w+)'?\"?(?:\s+COLLATE\s+'?\w+'?)?$",
    re.IGNORECASE,
)
_NEXT_TRANSACTION = re.compile(r"^SET\s+TRANSACTION\s+", re.IGNORECASE)
_GLOBAL = re.compile(r"^SET\s+(?:GLOBAL|PERSIST|PERSIST_ONLY|@@GLOBAL|@@PERSIST)\b", re.IGNORECASE)
_SESSION_VARIABLE = re.compile(
    r"^SET\s+(?:SESSION\s+|LOCAL\s+)?(?:@{0,2}[\w.]+\s*:?=\s*(?:'[^']*'|-?[\w.]+)"
    r"|TRANSACTION\s+ISOLATION\s+LEVEL\s+[\w\s]+)$",
    re.IGNORECASE,
)
_TOKEN_QUERY = re.compile(rf"^SELECT\s+@{{1,2}}{TOKEN_VARIABLE}\s*;?$", re.IGNORECASE)
_USE = re.compile(r"^USE\s+`?([^`;\s]+)`?$", re.IGNORECASE)
_SUPPORTED_CHARSETS = {"utf8", "utf8mb3", "utf8mb4", "default"}
_LAST_INSERT_ID = re.compile(r"\blast_insert_id\s*\(\s*\)", re.IGNORECASE)
_ROW_COUNT = re.compile(r"\brow_count\s*\(\s*\)", re.IGNORECASE)
_STRING_LITERALS = re.compile(r"""('(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*")""")


def parse_set(sql: str) -> SetCommand:
    """Parse a SET statement.

    :raises InvalidRequestError: if the proxy does not support it.
    """
    text = sql.strip().rstrip(";").strip()
    proxy_variable = _PROXY_VARIABLE.match(text)
    if proxy_variable:
        is_token = proxy_variable.group(1).lower() == TOKEN_VARIABLE
        return SetCommand(
            SetKind.TOKEN if is_token else SetKind.REQUEST_ID, proxy_variable.group(2)
        )
    autocommit = _AUTOCOMMIT.match(text)
    if autocommit:
        on = autocommit.group(1).lower() in ("1", "on", "true")
        return SetCommand(SetKind.AUTOCOMMIT, "1" if on else "0")
    names = _CHARACTER_SET.match(text)
    if names:
        if names.group(1).lower() not in _SUPPORTED_CHARSETS:
            raise InvalidRequestError(
                f"character set {names.group(1)} is not served; use utf8mb4", step="set"
            )
        return SetCommand(SetKind.CHARACTER_SET)
    if _GLOBAL.match(text):
        raise InvalidRequestError(
            "global variables can't be set through the proxy; set them at each member", step="set"
        )
    if _NEXT_TRANSACTION.match(text):
        return SetCommand(SetKind.NEXT_TRANSACTION, text)
    if _SESSION_VARIABLE.match(text):
        return SetCommand(SetKind.SESSION_VARIABLE, text)
    return SetCommand(SetKind.COMPUTED, text)


def is_token_query(sql: str) -> bool:
    """Return whether a statement selects the session token."""
    return _TOKEN_QUERY.match(sql.strip()) is not None


def parse_use(sql: str) -> str:
    """Return the database in a USE statement.

    :raises InvalidRequestError: if there is none.
    """
    match = _USE.match(sql.strip().rstrip(";").strip())
    if match is None:
        raise InvalidRequestError("write USE database", step="use")
    return match.group(1)


def setting_key(statement: str) -> str:
    """Return the key of the variable in a SET statement, to detect a later SET of the same one."""
    words = re.split(r"[=:]", statement, maxsplit=1)[0].lower().split()
    return " ".join(word for word in words if word not in ("set", "session", "local")).strip("@")


def substitute_session_functions(sql: str, last_insert_id: int, row_count: int) -> str:
    """Replace calls of LAST_INSERT_ID() and ROW_COUNT() outside of strings by the session's values.

    The values at the member belong to the session that used the connection last.
    """
    lowered = sql.lower()
    if "last_insert_id" not in lowered and "row_count" not in lowered:
        return sql
    parts = _STRING_LITERALS.split(sql)
    for position in range(0, len(parts), 2):
        parts[position] = _LAST_INSERT_ID.sub(str(last_insert_id), parts[position])
        parts[position] = _ROW_COUNT.sub(str(row_count), parts[position])
    return "".join(parts)
