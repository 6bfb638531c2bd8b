"""Settings files in YAML, and in the part of it that JSON is."""

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

    def test_json_reads_as_the_same_yaml(self):
        text = '{"name": "a", "zones": {"a1": "a"}, "seeds": ["1:2"], "share": 0.5, "live": true}'
        block = "name: a\nzones: {a1: a}\nseeds: ['1:2']\nshare: 0.5\nlive: true\n"
        self.assertEqual(self.read(text), self.read(block))

    def test_yaml_that_begins_like_json_is_read(self):
        self.assertEqual(self.read("{name: a, live: yes}"), Success({"name": "a", "live": True}))

    def test_what_is_neither_names_its_line(self):
        result = self.read('{"name": "a",\n "zone": }\n}\n')
        self.assertIsInstance(result, Failure)
        self.assertIn("line", result.failure()[0])

    def test_a_program_whose_settings_are_json_loads_no_parser_of_yaml(self):
        # Found on the twins of hb-subrail-large: a gateway that loads for longer keeps all of
        # its clients waiting after a loss of power.
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
        for good in ("10.0.0.5:3306", "[::1]:1", "127.0.0.1:65535"):
            self.assertIsNone(check_address(good), good)
        for wrong in (
            "db.local:3306",
            "10.0.0.5",
            "10.0.0:80",
            "10.0.0.5:0",
            "10.0.0.5:99999",
            ":5",
        ):
            self.assertIsNotNone(check_address(wrong), wrong)
