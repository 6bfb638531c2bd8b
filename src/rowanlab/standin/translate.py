"""Translation of MySQL statements to sqlite3, as far as stand-in members need it.

Stored programs, most MySQL-specific functions and ``ON DUPLICATE KEY`` are not supported.
"""

import re
from functools import lru_cache

import sqlglot
from sqlglot.errors import SqlglotError

_PLAIN = re.compile(r"^\s*(?:SELECT|INSERT\s+INTO|UPDATE|DELETE\s+FROM)\b", re.IGNORECASE)
_NEEDS_TRANSLATION = re.compile(
    r"[`\\\"#]|/\*|--|\bON\s+DUPLICATE\b|\bINTERVAL\b|\bNOW\s*\(|\bFOR\s+UPDATE\b|\bCONCAT\s*\("
    r"|\bCAST\b|\bIGNORE\b|\b_binary\b|\bDATE\w*\s*\(|\bCURDATE\b|\bLIMIT\s+\d+\s*,"
    r"|\bVERSION\s*\(|@@|\bREPEAT\s*\(|\b_utf8mb4\b",
    re.IGNORECASE,
)
_TABLE_OPTIONS = re.compile(r"\)\s*(?:ENGINE|DEFAULT|CHARSET|COLLATE)\b[^)]*$", re.IGNORECASE)
_AUTO_INCREMENT = re.compile(
    r"\b(?:BIG|SMALL|TINY|MEDIUM)?INT(?:EGER)?(?:\s*\(\d+\))?(?:\s+UNSIGNED)?"
    r"(?:\s+NOT\s+NULL)?\s+(?:AUTO_INCREMENT\s+PRIMARY\s+KEY|PRIMARY\s+KEY\s+AUTO_INCREMENT)",
    re.IGNORECASE,
)
_TEXT_IN_HEX = re.compile(r"_utf8mb4 X'([0-9a-f]*)'")
_BINARY_LITERAL = re.compile(r"\b_binary\s*'", re.IGNORECASE)


@lru_cache(maxsize=5000)
def to_sqlite(sql: str) -> str:
    """Translate a statement to sqlite3.

    :raises ValueError: if it can't be translated.
    """
    if _PLAIN.match(sql) and not _NEEDS_TRANSLATION.search(sql):
        return sql
    if _TEXT_IN_HEX.search(sql):
        sql = _TEXT_IN_HEX.sub(r"CAST(X'\1' AS TEXT)", sql)
        if not _NEEDS_TRANSLATION.search(sql.replace("CAST", "").replace("X'", "'")):
            return sql
    text = _AUTO_INCREMENT.sub("INTEGER PRIMARY KEY AUTOINCREMENT", sql)
    text = _TABLE_OPTIONS.sub(")", text)
    if text != sql:
        return text.replace("`", '"')
    try:
        return str(
            sqlglot.transpile(_BINARY_LITERAL.sub("'", sql), read="mysql", write="sqlite")[0]
        )
    except (SqlglotError, IndexError) as error:
        raise ValueError(str(error)) from error
