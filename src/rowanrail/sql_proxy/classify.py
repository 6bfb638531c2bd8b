"""Classification of statements for routing.

The classification does not depend on literals, so results are cached by the text with its literals
replaced.
"""

import enum
import logging
import re
from functools import lru_cache
from typing import Any

import msgspec
import sqlglot
from sqlglot import exp
from sqlglot.errors import SqlglotError

logging.getLogger("sqlglot").setLevel(logging.ERROR)

CACHE_ENTRIES = 20_000  # maximum number of cached classifications
MAXIMUM_PARSED_CHARACTERS = 100_000  # longer statements are not parsed and count as writes


class Kind(enum.Enum):
    """Kind of a statement, which determines how a session handles it."""

    READ = "read"
    SHOW = "show"
    WRITE = "write"
    DEFINITION = "definition"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin-read-only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    SET = "set"
    USE = "use"
    SESSION_FUNCTION = "session-function"
    PINNING = "pinning"
    EMPTY = "empty"
    MULTIPLE = "multiple"


class ClassifiedStatement(msgspec.Struct, frozen=True):
    """The classification of a statement.

    :param locking: whether a read takes locks or may have side effects, and needs the primary.
    """

    kind: Kind
    tables: tuple[str, ...] = ()
    schemas: tuple[str, ...] = ()
    locking: bool = False


_LITERALS = re.compile(
    r"""'(?:[^'\\]|\\.|'')*' | "(?:[^"\\]|\\.|"")*" | \b0x[0-9a-fA-F]+\b | \b\d+(?:\.\d+)?\b""",
    re.VERBOSE,
)
_FIRST_KEYWORDS = re.compile(r"^\s*([A-Za-z]+)\s*([A-Za-z]*)")
_LEADING_COMMENTS = re.compile(r"^(?:\s*/\*[^!+].*?\*/|\s*--[^\n]*\n|\s*#[^\n]*\n)+", re.DOTALL)

_SESSION_FUNCTIONS = {"LAST_INSERT_ID", "ROW_COUNT", "FOUND_ROWS", "CONNECTION_ID"}
_PINNING_FUNCTIONS = {"GET_LOCK", "RELEASE_LOCK", "RELEASE_ALL_LOCKS", "IS_FREE_LOCK"}
_PURE_FUNCTIONS = {
    "AES_DECRYPT", "AES_ENCRYPT", "BIN", "BIT_COUNT", "BIT_LENGTH", "CHARSET", "COLLATION",
    "CONV", "CRC32", "DATABASE", "ELT", "EXPORT_SET", "FIELD", "FIND_IN_SET", "FORMAT",
    "FROM_BASE64", "FROM_UNIXTIME", "IFNULL", "INET6_ATON", "INET6_NTOA", "INET_ATON",
    "INET_NTOA", "INSERT", "ISNULL", "LENGTH", "LOCATE", "MAKETIME", "MD5", "MID", "NAME_CONST",
    "OCT", "ORD", "PERIOD_ADD", "PERIOD_DIFF", "PI", "POSITION", "QUOTE", "RADIANS", "SCHEMA",
    "SHA", "SOUNDEX", "STRCMP", "SUBSTRING_INDEX", "SYSDATE", "SYSTEM_USER", "TO_BASE64",
    "TRUNCATE", "UNIX_TIMESTAMP", "USER", "UTC_DATE", "UTC_TIME", "UTC_TIMESTAMP", "UUID",
    "VERSION", "WEIGHT_STRING",
}  # fmt: skip
_DEFINITION_KEYWORDS = {"CREATE", "ALTER", "DROP", "TRUNCATE", "RENAME"}


def classify(sql: str) -> ClassifiedStatement:
    """Return the classification of ``sql``."""
    if "/*!" in sql:
        return ClassifiedStatement(Kind.WRITE)  # executable comments depend on the member's version
    return _classify_normalized(
        _LITERALS.sub("1", sql) if len(sql) < MAXIMUM_PARSED_CHARACTERS else sql
    )


@lru_cache(maxsize=CACHE_ENTRIES)
def _classify_normalized(sql: str) -> ClassifiedStatement:
    text = _LEADING_COMMENTS.sub("", sql).strip().rstrip(";").strip()
    match = _FIRST_KEYWORDS.match(text)
    first = match.group(1).upper() if match else ""
    second = match.group(2).upper() if match else ""
    if not text:
        return ClassifiedStatement(Kind.EMPTY)
    by_words = _classify_keywords(first, second, text.upper())
    if by_words is not None:
        return by_words
    if len(text) > MAXIMUM_PARSED_CHARACTERS:
        return ClassifiedStatement(Kind.WRITE)
    try:
        parsed = [tree for tree in sqlglot.parse(text, dialect="mysql") if tree is not None]
    except (SqlglotError, RecursionError, ValueError):
        return ClassifiedStatement(Kind.WRITE)
    if len(parsed) > 1:
        return ClassifiedStatement(Kind.MULTIPLE)
    return _classify_tree(parsed[0]) if parsed else ClassifiedStatement(Kind.EMPTY)


def _classify_keywords(first: str, second: str, upper: str) -> ClassifiedStatement | None:
    if first == "BEGIN":
        return ClassifiedStatement(Kind.BEGIN)
    if first == "START" and second == "TRANSACTION":
        read_only = "READ ONLY" in upper
        return ClassifiedStatement(Kind.BEGIN_READ_ONLY if read_only else Kind.BEGIN)
    if first == "COMMIT":
        return ClassifiedStatement(Kind.COMMIT)
    if first == "ROLLBACK":
        return ClassifiedStatement(Kind.SAVEPOINT if " TO " in f"{upper} " else Kind.ROLLBACK)
    if first in ("SAVEPOINT", "RELEASE"):
        return ClassifiedStatement(Kind.SAVEPOINT)
    if first == "SET":
        return ClassifiedStatement(Kind.SET)
    if first == "USE":
        return ClassifiedStatement(Kind.USE)
    if first in ("LOCK", "UNLOCK", "HANDLER", "PREPARE", "EXECUTE", "DEALLOCATE", "XA"):
        return ClassifiedStatement(Kind.PINNING)
    if first == "CREATE" and second == "TEMPORARY":
        return ClassifiedStatement(Kind.PINNING)
    if first in ("SHOW", "DESCRIBE", "DESC") and "WARNINGS" not in upper:
        return ClassifiedStatement(Kind.SHOW)
    return None


def _classify_tree(tree: Any) -> ClassifiedStatement:
    tables = [table for table in tree.find_all(exp.Table) if table.name]
    common = {cte.alias for cte in tree.find_all(exp.CTE)}
    names = tuple(sorted({table.name.lower() for table in tables if table.name not in common}))
    schemas = tuple(sorted({table.db.lower() for table in tables if table.db}))
    if isinstance(tree, exp.Select | exp.SetOperation | exp.Subquery | exp.Values):
        return _classify_query(tree, names, schemas)
    if isinstance(tree, exp.Describe):
        return ClassifiedStatement(Kind.SHOW, names, schemas)
    first = type(tree).__name__.upper()
    if first in _DEFINITION_KEYWORDS or isinstance(tree, exp.Create | exp.Drop | exp.Alter):
        return ClassifiedStatement(Kind.DEFINITION, names, schemas)
    return ClassifiedStatement(Kind.WRITE, names, schemas)


def _classify_query(
    tree: Any, names: tuple[str, ...], schemas: tuple[str, ...]
) -> ClassifiedStatement:
    functions = {node.name.upper() for node in tree.find_all(exp.Anonymous)}
    if functions & _PINNING_FUNCTIONS or tree.find(exp.PropertyEQ):
        return ClassifiedStatement(Kind.PINNING, names, schemas)
    if functions & _SESSION_FUNCTIONS and not names:
        return ClassifiedStatement(Kind.SESSION_FUNCTION)
    locking = bool(tree.find(exp.Lock) or tree.find(exp.Into) or functions - _PURE_FUNCTIONS)
    return ClassifiedStatement(Kind.READ, names, schemas, locking)
