"""ARCHITECTURE.md names only modules, tests, events and files that exist."""

import importlib.util
import re
import unittest
from pathlib import Path

from rowanlab import documents  # noqa: F401 - registers all events
from rowanrail.kernel.events import CATALOGUE
from tests.unit.test_decisions import source_words

ROOT = Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text()


def matches(pattern):
    return sorted(set(re.findall(pattern, PAGE)))


class ArchitectureTest(unittest.TestCase):
    def test_its_modules_and_tests_exist(self):
        modules = matches(r"`((?:rowanrail|rowanlab|tests)(?:\.\w+)*)`")
        self.assertGreater(len(modules), 40)
        for name in modules:
            with self.subTest(name):
                self.assertIsNotNone(importlib.util.find_spec(name))

    def test_its_events_exist(self):
        for number in matches(r"RR(\d{4})"):
            with self.subTest(number):
                self.assertIn(int(number), CATALOGUE)

    def test_its_metrics_and_fields_exist(self):
        words = source_words()
        section = PAGE.split("## When a dependency fails")[1].split("## Three questions")[0]
        cells = [line.split(" | ")[-2] for line in section.splitlines() if "| `tests." in line]
        self.assertGreater(len(cells), 10)
        for name in re.findall(r"`(\w+)`", " ".join(cells)):
            with self.subTest(name):
                self.assertIn(name, words)

    def test_its_files_and_links_exist(self):
        paths = [
            *matches(r"`(platform/[\w/]+\.py)"),
            *(f"docs/{p}" for p in matches(r"\]\((\w+\.md)")),
        ]
        for path in paths:
            with self.subTest(path):
                self.assertTrue((ROOT / path).exists())

    def test_its_packages_are_those_of_the_product(self):
        packages = {
            path.name
            for path in (ROOT / "src/rowanrail").iterdir()
            if (path / "__init__.py").exists()
        }
        named = {name.split(".")[1] for name in matches(r"`(rowanrail\.\w+)")}
        self.assertEqual(packages - named, set())

    def test_its_messages_exist(self):
        sources = "".join(
            path.read_text() for path in (ROOT / "src/rowanrail").rglob("messages.py")
        )
        sources += (ROOT / "src/rowanrail/coordination/commands.py").read_text()
        for name in ("RunStatement", "Reply", "PutRequest", "PutDocument", "DirectoryRequest"):
            self.assertIn(f"class {name}(", sources)
        for name in ("HeartbeatNotice", "GatewayReport", "IntendPromotion", "Readmit"):
            self.assertIn(f"class {name}(", sources)
