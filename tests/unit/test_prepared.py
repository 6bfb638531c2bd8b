"""Prepared statements: placeholders, binary parameters and literals."""

import io
import struct
import unittest

from mysql_mimic.types import Capabilities, ColumnType

from rowanrail.mysql.prepared import BoundStatement, read_execution, split_placeholders


def packet(values):
    """Return the part of a COM_STMT_EXECUTE packet after its iteration count."""
    types = b"".join(bytes([kind, 0]) for kind, _ in values)
    return b"\x00" * ((len(values) + 7) // 8) + b"\x01" + types + b"".join(v for _, v in values)


def text(value):
    return bytes([len(value)]) + value


class PreparedTest(unittest.TestCase):
    def execute(self, sql, values):
        statement = BoundStatement(1, sql)
        reader = io.BytesIO(packet(values))
        return read_execution(reader, statement, 0, Capabilities(0))[0]

    def test_question_marks_in_strings_and_comments_are_not_placeholders(self):
        sql = "SELECT '?', \"?\", `?`, ? /* ? */ -- ?\n FROM t WHERE a = ?"
        self.assertEqual(len(split_placeholders(sql)), 3)

    def test_quotes_and_backslashes_are_escaped(self):
        injection = b"x' OR '1'='1"
        sql = self.execute("SELECT ?", [(ColumnType.VAR_STRING, text(injection))])
        self.assertEqual(sql, "SELECT 'x'' OR ''1''=''1'")
        backslash = self.execute("SELECT ?", [(ColumnType.VAR_STRING, text(b"\\' --"))])
        self.assertEqual(backslash, "SELECT _utf8mb4 X'5c27202d2d'")

    def test_a_question_mark_in_a_value_is_not_a_placeholder(self):
        values = [(ColumnType.VAR_STRING, text(b"a?")), (ColumnType.TINY, b"\xff")]
        self.assertEqual(self.execute("SELECT ?, ?", values), "SELECT 'a?', -1")

    def test_dates_times_and_blobs(self):
        date = struct.pack("<BHBBBBB", 7, 2026, 12, 2, 3, 4, 5)
        time = struct.pack("<BBIBBB", 8, 1, 1, 2, 3, 4)
        values = [
            (ColumnType.DATETIME, date),
            (ColumnType.TIME, time),
            (ColumnType.BLOB, text(b"\x00\xff")),
        ]
        expected = "SELECT '2026-12-02 03:04:05', '-26:03:04', X'00ff'"
        self.assertEqual(self.execute("SELECT ?, ?, ?", values), expected)
