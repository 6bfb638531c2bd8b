"""The words that start the programs, as ``deploy/system.toml`` has them."""

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

    def test_each_program_loads_with_nothing_but_its_libraries(self):
        for role in self.roles.values():
            words = [sys.executable, *role["run"].split()[1:]]
            environment = {"PATH": os.environ["PATH"], "PYTHONPATH": sysconfig.get_path("purelib")}
            done = subprocess.run(
                words, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=30
            )
            self.assertEqual(done.returncode, 2, done.stderr)
            self.assertIn("settings file", done.stderr)

    def test_no_program_loads_the_site_module(self):
        # Found on hb-subrail-large: after a loss of power clients find no gateway for as long as
        # the programs take to load, and the site module is a part of it that nothing here needs.
        for role in self.roles.values():
            self.assertIn("-S", role["run"].split())
