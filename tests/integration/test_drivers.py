"""Unmodified MySQL drivers work through the proxies of a fleet."""

import asyncio
import datetime
import unittest

import asyncmy
import mysql.connector
import pymysql

from tests.support.fleet import SharedFleet

shared = None


def setUpModule():
    global shared
    shared = SharedFleet()


def tearDownModule():
    shared.close()


def connection_arguments(proxy=0, **changes):
    address = shared.file.proxies[proxy]
    defaults = {
        "host": address.host,
        "port": address.port,
        "user": shared.file.user,
        "password": shared.file.password,
        "database": shared.file.groups[0].database,
    }
    return {**defaults, **changes}


CREATE = (
    "CREATE TABLE {} (id BIGINT AUTO_INCREMENT PRIMARY KEY, name VARCHAR(50), made DATETIME, "
    "day DATE, data BLOB, number BIGINT, share DOUBLE)"
)
CREATED_AT = datetime.datetime(2026, 1, 2, 3, 4, 5)
DAY = datetime.date(2026, 5, 6)
ROW = ('it\'s a \\ "name" ?', CREATED_AT, DAY, b"\x00\xff'\\\n", None, 1.5)
INSERT = "INSERT INTO {} (name, made, day, data, number, share) VALUES (%s, %s, %s, %s, %s, %s)"
SELECT = "SELECT name, made, day, data, number, share FROM {} WHERE id = %s"


class DriverTest(unittest.TestCase):
    def test_pymysql(self):
        connection = pymysql.connect(**connection_arguments())
        cursor = connection.cursor()
        cursor.execute(CREATE.format("a"))
        self.assertEqual(cursor.execute(INSERT.format("a"), ROW), 1)
        self.assertEqual(cursor.lastrowid, 1)
        connection.commit()
        cursor.execute(SELECT.format("a"), (1,))
        self.assertEqual(cursor.fetchall(), (ROW,))
        cursor.execute("UPDATE a SET number = 7")
        connection.rollback()
        cursor.execute("SELECT number FROM a")
        self.assertEqual(cursor.fetchall(), ((None,),))
        cursor.execute("SELECT LAST_INSERT_ID()")
        self.assertEqual(cursor.fetchone(), (1,))
        connection.close()

    def test_mysql_connector_with_prepared_statements_and_attributes(self):
        connection = mysql.connector.connect(**connection_arguments(1), use_pure=True)
        cursor = connection.cursor(prepared=True)
        cursor.execute(CREATE.format("b"))
        for number in range(3):
            cursor.execute(INSERT.format("b"), (*ROW[:4], number, 2.5))
            self.assertEqual((cursor.rowcount, cursor.lastrowid), (1, number + 1))
        connection.commit()
        cursor.execute(SELECT.format("b"), (2,))
        self.assertEqual(cursor.fetchall(), [(*ROW[:4], 1, 2.5)])
        plain = connection.cursor()
        request_id = f"{int(datetime.datetime.now().timestamp())}-connector"
        connection.autocommit = True
        for _ in range(2):
            plain.add_attribute("request_id", request_id)
            plain.execute("INSERT INTO b (name) VALUES ('once')")
            self.assertEqual(plain.lastrowid, 4)
            plain.clear_attributes()
        plain.execute("SELECT COUNT(*) FROM b WHERE name = 'once'")
        self.assertEqual(plain.fetchone(), (1,))
        connection.cmd_reset_connection()
        connection.close()

    def test_asyncmy_sees_its_own_change_through_another_proxy(self):
        async def run():
            first = await asyncmy.connect(**connection_arguments(0), autocommit=True)
            cursor = first.cursor()
            await cursor.execute("CREATE TABLE c (id INT PRIMARY KEY, n INT)")
            await cursor.execute("INSERT INTO c VALUES (1, 0)")
            second = await asyncmy.connect(**connection_arguments(2), autocommit=True)
            for number in range(30):
                await cursor.execute("UPDATE c SET n = %s WHERE id = 1", (number,))
                await cursor.execute("SELECT @@rowanrail_token")
                token = (await cursor.fetchone())[0]
                second_cursor = second.cursor()
                await second_cursor.execute(f"SET @rowanrail_token = '{token}'")
                await second_cursor.execute("SELECT n FROM c WHERE id = 1")
                self.assertEqual(await second_cursor.fetchone(), (number,))
                third = await asyncmy.connect(**connection_arguments(1), autocommit=True)
                third_cursor = third.cursor()
                await third_cursor.execute("SELECT n FROM c WHERE id = 1")
                self.assertEqual(await third_cursor.fetchone(), (number,))
                third.close()
            first.close()
            second.close()

        asyncio.run(run())

    def test_large_answers(self):
        connection = pymysql.connect(**connection_arguments(), autocommit=True)
        cursor = connection.cursor()
        cursor.execute("CREATE TABLE d (id INT PRIMARY KEY, data LONGBLOB)")
        rows = ", ".join(f"({number}, 'x')" for number in range(10_000))
        self.assertEqual(cursor.execute(f"INSERT INTO d VALUES {rows}"), 10_000)
        cursor.execute("SELECT id FROM d ORDER BY id")
        self.assertEqual([row[0] for row in cursor.fetchall()], list(range(10_000)))
        cursor.execute("SELECT REPEAT('abcdefghij', 1000000)")
        answer = cursor.fetchone()[0]
        self.assertEqual(len(answer), 10_000_000)
        self.assertEqual(answer[-10:], "abcdefghij")
        connection.close()

    def test_errors_of_the_back_end_pass_through(self):
        connection = pymysql.connect(**connection_arguments(), autocommit=True)
        cursor = connection.cursor()
        cursor.execute("CREATE TABLE e (id INT PRIMARY KEY)")
        cursor.execute("INSERT INTO e VALUES (1)")
        for sql, code in (
            ("INSERT INTO e VALUES (1)", 1062),
            ("SELECT * FROM missing", 1146),
            ("SELECT 1; SELECT 2", 30003),
            ("SET @rowanrail_token = 'damaged'", 30003),
            ("USE nowhere", 1049),
        ):
            with self.subTest(sql=sql), self.assertRaises(pymysql.MySQLError) as caught:
                cursor.execute(sql)
            self.assertEqual(caught.exception.args[0], code)
        connection.close()

    def test_wrong_password_unknown_user_and_unknown_database(self):
        for changes, code in (
            ({"password": "wrong"}, 1045),
            ({"user": "nobody"}, 1045),
            ({"database": "nowhere"}, 1049),
        ):
            with self.subTest(changes=changes), self.assertRaises(pymysql.MySQLError) as caught:
                pymysql.connect(**connection_arguments(**changes))
            self.assertEqual(caught.exception.args[0], code)

    def test_request_id_for_other_work_is_refused(self):
        connection = pymysql.connect(**connection_arguments(), autocommit=True)
        cursor = connection.cursor()
        cursor.execute("CREATE TABLE f (id INT)")
        request_id = f"{int(datetime.datetime.now().timestamp())}-f"
        cursor.execute(f"SET @rowanrail_request_id = '{request_id}'")
        cursor.execute("INSERT INTO f VALUES (1)")
        cursor.execute(f"SET @rowanrail_request_id = '{request_id}'")
        with self.assertRaises(pymysql.MySQLError) as caught:
            cursor.execute("INSERT INTO f VALUES (2)")
        self.assertEqual(caught.exception.args[0], 30004)
        cursor.execute("SELECT id FROM f")
        self.assertEqual(cursor.fetchall(), ((1,),))
        connection.close()
