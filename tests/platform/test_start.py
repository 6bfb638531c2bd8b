"""The commands in ``deploy/system.toml`` start the programs."""

import os
import subprocess
import sys
import sysconfig
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


class StartTest(unittest.TestCase):
    def setUp(self):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def test_each_program_loads_with_only_its_libraries(self):
        for role in self.roles.values():
            command = [sys.executable, *role["run"].split()[1:]]
            environment = {"PATH": os.environ["PATH"], "PYTHONPATH": sysconfig.get_path("purelib")}
            result = subprocess.run(
                command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=30
            )
            self.assertEqual(result.returncode, 2, result.stderr)
            self.assertIn("settings file", result.stderr)

    def test_no_program_loads_the_site_module(self):
        # The site module is not needed; loading it delays a restart, during which clients find no
        # gateway.
        for role in self.roles.values():
            self.assertIn("-S", role["run"].split())
