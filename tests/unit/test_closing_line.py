"""The summary line counts a test as failed if any of its subtests failed."""

import contextlib
import io
import types
import unittest

from tests.support.closing_line import ClosingLine


class TestClosingLine(unittest.TestCase):
    def summary_line(self, *outcomes):
        plugin = ClosingLine.__new__(ClosingLine)
        plugin.outcomes, plugin.red, plugin.seen_red = {}, {}, []
        for name, outcome, exc_info in outcomes:
            test = types.SimpleNamespace(id=lambda name=name: name)
            event = types.SimpleNamespace(test=test, outcome=outcome, exc_info=exc_info)
            plugin.setTestOutcome(event)
        text = io.StringIO()
        with contextlib.redirect_stdout(text):
            plugin.afterSummaryReport(None)
        return text.getvalue().strip()

    def test_failed_subtest(self):
        failure = (AssertionError, AssertionError(), None)
        line = self.summary_line(
            ("t.one (part=1)", "subtest", failure),
            ("t.one (part=2)", "subtest", None),
            ("t.one", "passed", None),
            ("t.two", "passed", None),
        )
        self.assertEqual(line, "1 passed, 1 failed")

    def test_tests_without_subtests(self):
        outcomes = [("t.one", "passed", None), ("t.two", "failed", None), ("t.a", "error", None)]
        self.assertEqual(self.summary_line(*outcomes), "1 passed, 2 failed")
