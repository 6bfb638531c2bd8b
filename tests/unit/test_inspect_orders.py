"""Output of ``inspect orders`` from the metrics of control nodes."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from rowanrail.cli.main import main
from rowanrail.kernel.metrics import Metrics


class InspectOrdersTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def source(self, name, prefix="rowanrail_control", **values):
        metrics = Metrics(prefix, lambda: [(key, {}, value) for key, value in values.items()])
        path = self.folder / name
        path.write_text(metrics.render().decode())
        return str(path)

    def run_command(self, *arguments):
        return CliRunner().invoke(main, ["inspect", "orders", *arguments])

    def test_ages_are_shown_for_each_control_node(self):
        leading = self.source("a", leader=1, oldest_order_seconds=4.2, oldest_pause_seconds=5.0)
        following = self.source("b", leader=0, oldest_order_seconds=0, oldest_pause_seconds=0)
        result = self.run_command(leading, following, "--output", "json")
        self.assertEqual(result.exit_code, 0, result.output)
        nodes = json.loads(result.output)["nodes"]
        self.assertEqual([node["leads"] for node in nodes], [True, False])
        self.assertEqual([node["oldest_order"] for node in nodes], [4.2, 0.0])
        self.assertEqual([node["oldest_pause"] for node in nodes], [5.0, 0.0])
        self.assertIn("OLDEST PAUSE S", self.run_command(leading).output)

    def test_a_source_that_is_no_control_node_is_named_with_the_missing_metric(self):
        control = self.source("a", leader=1, oldest_order_seconds=0, oldest_pause_seconds=0)
        gateway = self.source("g", "rowanrail_gateway", sessions=3)
        result = self.run_command(control, gateway)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("rowanrail_control_leader is missing", result.output)
        self.assertNotEqual(self.run_command(gateway).exit_code, 0)


if __name__ == "__main__":
    unittest.main()
