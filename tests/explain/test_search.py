"""Streaming search of many logs for one request."""

import json
import unittest
from unittest import mock

from click.testing import CliRunner

from rowanrail.cli import explain as command
from rowanrail.cli.main import main
from rowanrail.explain.diagnosis import diagnose
from rowanrail.explain.lines import read_lines
from rowanrail.explain.search import search
from tests.support.gateway import GatewayHarness


class Log:
    """A log in memory that counts how often it is read."""

    def __init__(self, lines):
        self._lines, self.passes = lines, 0

    def lines(self):
        self.passes += 1
        yield from self._lines


def other_statement(number, time=100.0):
    fields = {"time": time, "event": 300, "level": "info", "process": "p", "request": f"x{number}"}
    return json.dumps(fields)


class SearchTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        client = self.harness.client("orders")
        client.run("WRITE a 1")
        self.harness.primary.silent = True
        client.run("WRITE b 2", seconds=1.1)
        self.logs = self.harness.logs()

    def test_search_gives_the_same_diagnosis_as_all_lines(self):
        damaged = ["", "not a line", '{"time":"x","event":1}']
        control = ['{"time":100.5,"event":410,"level":"info","process":"c","leader":"n","term":2}']
        logs = [self.logs, control, damaged]
        everything = read_lines([line for log in logs for line in log])
        for request in ("q1", "q2", "q9"):
            found = search(request, [Log(log) for log in logs], 6.0)
            self.assertEqual(diagnose(request, found.lines), diagnose(request, everything.lines))
            self.assertEqual(found.damaged, everything.damaged)

    def test_statements_of_other_requests_are_not_kept(self):
        many = [other_statement(number) for number in range(20_000)]
        found = search("q2", [Log(self.logs), Log(many)], 6.0)
        self.assertLess(len(found.lines), 20)

    def test_each_log_is_read_twice(self):
        logs = [Log(self.logs), Log([])]
        search("q2", logs, 6.0)
        self.assertEqual([log.passes for log in logs], [2, 2])

    def test_lines_before_the_given_time_are_ignored(self):
        found = search("q1", [Log(self.logs)], 6.0, since=1e9)
        self.assertEqual(found.lines, [])

    def test_a_long_search_reports_progress(self):
        text = "\n".join(self.logs) + "\n"
        with mock.patch.object(command, "PROGRESS_INTERVAL_SECONDS", 0.0):
            shown = CliRunner().invoke(main, ["explain", "q2"], input=text)
        self.assertIn("read 1 of 2 logs, pass 2", shown.output)
        self.assertIn("cause: ", shown.output)
