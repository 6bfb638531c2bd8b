"""Settings files in YAML and JSON, and validation of addresses."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from returns.result import Failure, Success

from rowanrail.config.addresses import check_address
from rowanrail.config.reader import read_yaml


class ReaderTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.yaml"
            path.write_text(text)
            return read_yaml(path)

    def test_json_and_yaml_give_the_same_settings(self):
        text = '{"name": "a", "zones": {"a1": "a"}, "seeds": ["1:2"], "share": 0.5, "live": true}'
        block = "name: a\nzones: {a1: a}\nseeds: ['1:2']\nshare: 0.5\nlive: true\n"
        self.assertEqual(self.read(text), self.read(block))

    def test_yaml_flow_mappings_are_read(self):
        self.assertEqual(self.read("{name: a, live: yes}"), Success({"name": "a", "live": True}))

    def test_a_syntax_error_is_reported_with_its_line(self):
        result = self.read('{"name": "a",\n "zone": }\n}\n')
        self.assertIsInstance(result, Failure)
        self.assertIn("line", result.failure()[0])

    def test_json_settings_do_not_import_the_yaml_parser(self):
        # Importing it would delay the start of a gateway.
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text('{"name": "a"}')
            code = (
                "import sys; from pathlib import Path\n"
                "from rowanrail.config.settings import Daemon, load_settings\n"
                f"load_settings(Path({str(path)!r}), Daemon.GATEWAY, {{}})\n"
                "sys.exit('yaml' in sys.modules)"
            )
            self.assertEqual(subprocess.run([sys.executable, "-c", code]).returncode, 0)


class AddressTest(unittest.TestCase):
    def test_only_ip_numbers_with_a_port_are_addresses(self):
        for valid in ("10.0.0.5:3306", "[::1]:1", "127.0.0.1:65535"):
            self.assertIsNone(check_address(valid), valid)
        for invalid in (
            "db.local:3306",
            "10.0.0.5",
            "10.0.0:80",
            "10.0.0.5:0",
            "10.0.0.5:99999",
            ":5",
        ):
            self.assertIsNotNone(check_address(invalid), invalid)
