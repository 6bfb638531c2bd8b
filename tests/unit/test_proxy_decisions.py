"""Pure functions of the proxy: tokens, classification, guards, routing rules, request ids."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from rowanrail.config.model import RuleKind, RuleSpec
from rowanrail.kernel.errors import InvalidRequestError, RequestConflictError
from rowanrail.model.position import Position
from rowanrail.sql_proxy.backend import MemberRole, MemberStatus
from rowanrail.sql_proxy.classify import Kind, classify
from rowanrail.sql_proxy.commands import SetKind, parse_set, substitute_session_functions
from rowanrail.sql_proxy.policies import Freshness, TermConfirmation
from rowanrail.sql_proxy.requests import check_request_id
from rowanrail.sql_proxy.routing_rules import allows_replica
from rowanrail.sql_proxy.token import decode_token, encode_token

positions = st.builds(Position, st.integers(0, 2**40), st.integers(0, 2**60))


def status(term, received, committed=(0, 0), role=MemberRole.REPLICA):
    return MemberStatus(role, term, Position(*received), Position(*committed), False, "i")


class TokenTest(unittest.TestCase):
    @settings(derandomize=True)
    @given(st.dictionaries(st.text(max_size=20), positions, max_size=4))
    def test_round_trip(self, contents):
        self.assertEqual(decode_token(encode_token(contents)).unwrap(), contents)

    @settings(derandomize=True)
    @given(st.text(max_size=80))
    def test_garbage_is_refused(self, text):
        self.assertIsInstance(decode_token(text), Failure)

    @settings(derandomize=True)
    @given(st.integers(0, 200), st.integers(1, 255))
    def test_damage_is_noticed(self, place, change):
        token = encode_token({"group": Position(3, 17)})
        place %= len(token)
        other = "A" if token[place] != "A" else "B"
        self.assertIsInstance(decode_token(token[:place] + other + token[place + 1 :]), Failure)


class ClassifyTest(unittest.TestCase):
    CASES = {
        "SELECT a FROM t WHERE id = 5": (Kind.READ, False),
        "select a from t for update": (Kind.READ, True),
        "SELECT * FROM t LOCK IN SHARE MODE": (Kind.READ, True),
        "SELECT my_function(a) FROM t": (Kind.READ, True),
        "SELECT a INTO @x FROM t": (Kind.READ, True),
        "WITH x AS (SELECT 1) SELECT * FROM x": (Kind.READ, False),
        "(SELECT 1) UNION (SELECT 2)": (Kind.READ, False),
        "INSERT INTO t VALUES (1)": (Kind.WRITE, False),
        "REPLACE INTO t VALUES (1)": (Kind.WRITE, False),
        "UPDATE t SET a = 1": (Kind.WRITE, False),
        "CALL p()": (Kind.WRITE, False),
        "CREATE TABLE t (a INT)": (Kind.DEFINITION, False),
        "DROP TABLE t": (Kind.DEFINITION, False),
        "CREATE TEMPORARY TABLE t (a INT)": (Kind.PINNING, False),
        "SELECT GET_LOCK('x', 1)": (Kind.PINNING, False),
        "SELECT @a := 1": (Kind.PINNING, False),
        "LOCK TABLES t READ": (Kind.PINNING, False),
        "BEGIN": (Kind.BEGIN, False),
        "/* note */ START TRANSACTION": (Kind.BEGIN, False),
        "START TRANSACTION READ ONLY": (Kind.BEGIN_READ_ONLY, False),
        "COMMIT": (Kind.COMMIT, False),
        "ROLLBACK": (Kind.ROLLBACK, False),
        "ROLLBACK TO SAVEPOINT a": (Kind.SAVEPOINT, False),
        "SET autocommit = 0": (Kind.SET, False),
        "USE d": (Kind.USE, False),
        "SHOW TABLES": (Kind.SHOW, False),
        "SELECT 1; DELETE FROM t": (Kind.MULTIPLE, False),
        "": (Kind.EMPTY, False),
        "SELECT /*! SQL_NO_CACHE */ 1": (Kind.WRITE, False),
        "no sql at all": (Kind.WRITE, False),
    }

    def test_kinds(self):
        for sql, (kind, locking) in self.CASES.items():
            with self.subTest(sql=sql):
                statement = classify(sql)
                self.assertEqual((statement.kind, statement.locking), (kind, locking))

    def test_literals_do_not_hide_statements(self):
        self.assertIs(classify("SELECT 'a; DELETE FROM t' FROM t").kind, Kind.READ)
        self.assertIs(classify("INSERT INTO t VALUES ('SELECT 1')").kind, Kind.WRITE)

    @settings(derandomize=True, max_examples=200)
    @given(st.text(max_size=60))
    def test_no_text_breaks_it(self, text):
        classify(text)

    def test_set_statements(self):
        cases = {
            "SET @rowanrail_token = 'abc'": SetKind.TOKEN,
            "SET @@session.autocommit = OFF": SetKind.AUTOCOMMIT,
            "SET NAMES 'utf8mb4' COLLATE 'utf8mb4_general_ci'": SetKind.CHARACTER_SET,
            "SET SESSION sql_mode = 'ANSI'": SetKind.SESSION_VARIABLE,
            "SET @a = @b + 1": SetKind.COMPUTED,
        }
        for sql, kind in cases.items():
            self.assertIs(parse_set(sql).kind, kind, sql)
        for sql in ("SET GLOBAL x = 1", "SET NAMES latin1"):
            with self.assertRaises(InvalidRequestError):
                parse_set(sql)

    def test_session_functions_are_substituted_outside_of_strings(self):
        sql = "INSERT INTO t VALUES (LAST_INSERT_ID(), 'last_insert_id()')"
        self.assertEqual(
            substitute_session_functions(sql, 7, 0), "INSERT INTO t VALUES (7, 'last_insert_id()')"
        )


class GuardTest(unittest.TestCase):
    def test_floor_covers_what_a_majority_may_hold(self):
        freshness = Freshness()
        answers = [status(1, (1, 9)), status(1, (1, 7)), status(1, (1, 5))]
        self.assertEqual(freshness.acknowledged_floor(answers, 3), Position(1, 7))
        self.assertEqual(freshness.acknowledged_floor(answers[:2], 3), Position(1, 9))
        self.assertIsNone(freshness.acknowledged_floor(answers[:1], 3))

    def test_learners_do_not_count_towards_a_majority(self):
        answers = [status(1, (1, 9)), status(1, (1, 8)), status(1, (1, 0), role=MemberRole.LEARNER)]
        self.assertEqual(Freshness().acknowledged_floor(answers, 3), Position(1, 9))
        learner = status(1, (1, 9), role=MemberRole.LEARNER)
        confirmation = TermConfirmation()
        self.assertFalse(confirmation.is_confirmed(Position(1, 9), [status(1, (1, 9)), learner], 3))

    def test_confirmation_needs_a_majority_in_the_same_term(self):
        confirmation = TermConfirmation()
        position = Position(1, 5)
        held = status(1, (1, 5))
        self.assertTrue(confirmation.is_confirmed(position, [held, held], 3))
        self.assertFalse(confirmation.is_confirmed(position, [held, status(2, (2, 6))], 3))
        self.assertTrue(
            confirmation.is_superseded(position, [status(2, (2, 6)), status(2, (1, 4))], 3)
        )


class RulesTest(unittest.TestCase):
    def test_first_match_decides(self):
        rules = [
            RuleSpec(replica=False, tables=["approvals"]),
            RuleSpec(replica=True, users=["farm"], kinds=[RuleKind.SELECT]),
            RuleSpec(replica=False),
        ]
        read = classify("SELECT a FROM cues")
        self.assertTrue(allows_replica(rules, read, "d", "farm"))
        self.assertFalse(allows_replica(rules, read, "d", "editor"))
        self.assertFalse(allows_replica(rules, classify("SELECT a FROM approvals"), "d", "farm"))
        self.assertFalse(allows_replica([], classify("SELECT a FROM t FOR UPDATE"), "d", "u"))


class RequestIdTest(unittest.TestCase):
    def test_form_and_horizon(self):
        check_request_id("1000000000-a", 1000000100.0, 1000.0)
        with self.assertRaises(InvalidRequestError):
            check_request_id("abc", 1000000100.0, 1000.0)
        with self.assertRaises(InvalidRequestError):
            check_request_id("1000000000-a' OR '1'='1", 1000000100.0, 1000.0)
        with self.assertRaises(RequestConflictError):
            check_request_id("1000000000-a", 1000002000.0, 1000.0)
