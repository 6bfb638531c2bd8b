"""Session variables: replacement, limits, request ids and reset."""

import unittest

from rowanrail.kernel.errors import InvalidRequestError, RequestConflictError
from rowanrail.sql_proxy.backend import Column, StatementResult
from rowanrail.sql_proxy.limits import MAXIMUM_SESSION_SETTINGS
from rowanrail.sql_proxy.session_variables import SessionVariables

HORIZON_SECONDS = 1000.0


class VariablesTest(unittest.TestCase):
    def setUp(self):
        self.variables = SessionVariables()

    def test_a_setting_replaces_an_earlier_one_of_its_variable(self):
        for setting in ("SET SESSION sql_mode = 'ANSI'", "SET @a = 1", "SET sql_mode = ''"):
            self.variables.settings = self.variables.with_setting(setting)
        self.assertEqual(self.variables.settings, ("SET @a = 1", "SET sql_mode = ''"))

    def test_settings_are_limited(self):
        for number in range(MAXIMUM_SESSION_SETTINGS):
            self.variables.settings = self.variables.with_setting(f"SET @v{number} = 1")
        with self.assertRaises(InvalidRequestError):
            self.variables.with_setting("SET @one_more = 1")
        self.assertEqual(len(self.variables.with_setting("SET @v0 = 2")), MAXIMUM_SESSION_SETTINGS)

    def test_a_request_id_is_used_for_one_request(self):
        self.variables.request_id = "1000000000-a"
        now = 1000000100.0
        taken = [self.variables.take_request_id(lambda: now, HORIZON_SECONDS) for _ in range(2)]
        self.assertEqual(taken, ["1000000000-a", ""])

    def test_an_old_request_id_is_refused_and_gone(self):
        self.variables.request_id = "1000000000-a"
        with self.assertRaises(RequestConflictError):
            self.variables.take_request_id(lambda: 1000002000.0, HORIZON_SECONDS)
        self.assertEqual(self.variables.request_id, "")

    def test_functions_return_the_values_of_the_last_statement(self):
        self.variables.record_result(StatementResult(affected_rows=3, insert_id=7))
        sql = "SELECT LAST_INSERT_ID(), ROW_COUNT()"
        self.assertEqual(self.variables.substitute_functions(sql), "SELECT 7, 3")
        self.variables.record_result(StatementResult(columns=[Column("a", 253)]))
        self.assertEqual(self.variables.substitute_functions(sql), "SELECT 7, -1")

    def test_a_reset_clears_everything_that_was_set(self):
        self.variables.autocommit = False
        self.variables.settings = ("SET @a = 1",)
        self.variables.pre_transaction_statements.append("SET TRANSACTION READ ONLY")
        self.variables.request_id = "1000000000-a"
        self.variables.reset()
        self.assertTrue(self.variables.autocommit)
        self.assertEqual((self.variables.settings, self.variables.request_id), ((), ""))
        self.assertEqual(self.variables.take_pre_transaction_statements(), [])
