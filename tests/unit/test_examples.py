"""All YAML files in ``examples`` pass ``rowanrail check``."""

import unittest
from pathlib import Path

from tests.support.fleet import run_command

EXAMPLES = Path(__file__).parents[2] / "examples"


class TestExamples(unittest.TestCase):
    def test_every_file_is_valid(self):
        files = sorted(EXAMPLES.glob("*/*.yaml"))
        self.assertEqual(len(files), 14)
        for file in files:
            with self.subTest(file=file.name):
                result = run_command("check", str(file))
                self.assertEqual(result.returncode, 0, result.stderr)
