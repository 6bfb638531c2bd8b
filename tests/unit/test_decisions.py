"""The page of the rules in force names only what exists."""

import importlib
import re
import unittest
from pathlib import Path

from rowanlab import documents  # noqa: F401 - fills the catalogue of events
from rowanrail.kernel.events import CATALOGUE

ROOT = Path(__file__).resolve().parents[2]
COLUMNS = 8
RULE, CONSTANTS, LOG, METRIC, TEST = 1, 4, 5, 6, 7


def rows():
    """Return the cells of all rows of the page's tables."""
    found = []
    for line in (ROOT / "docs" / "DECISIONS.md").read_text().splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split(" | ")]
        if line.startswith("|") and not line.startswith(("| question", "|---")):
            found.append(cells)
    return found


def named(cell):
    """Return what stands in backticks."""
    return re.findall(r"`([^`]+)`", cell)


def resolve(path):
    """Return the object that a dotted path names; LookupError if there is none."""
    parts = path.split(".")
    for end in range(len(parts), 0, -1):
        try:
            found = importlib.import_module(".".join(parts[:end]))
        except ModuleNotFoundError:
            continue
        for part in parts[end:]:
            if not hasattr(found, part):
                raise LookupError(path)
            found = getattr(found, part)
        return found
    raise LookupError(path)


class DecisionsTest(unittest.TestCase):
    def test_each_row_is_whole(self):
        for cells in rows():
            with self.subTest(cells[0]):
                self.assertEqual(len(cells), COLUMNS)
                self.assertTrue(named(cells[RULE]))
                self.assertTrue(named(cells[TEST]), "a rule needs the test of its load")

    def test_each_rule_and_test_exists(self):
        for cells in rows():
            for path in named(cells[RULE]) + named(cells[TEST]):
                with self.subTest(path):
                    resolve(path)

    def test_each_constant_exists(self):
        for cells in rows():
            modules = [module for path in named(cells[RULE]) for module in owners(path)]
            for name in named(cells[CONSTANTS]):
                if not re.fullmatch(r"[A-Z][A-Z0-9_]+|rowanrail\.[\w.]+", name):
                    continue
                with self.subTest(name):
                    self.assertTrue(exists(name, modules), f"{name} in {modules}")

    def test_each_event_and_field_exists(self):
        fields = source_words()
        for cells in rows():
            for name in named(cells[LOG]):
                with self.subTest(name):
                    if re.fullmatch(r"RR\d{4}", name):
                        self.assertIn(int(name[2:]), CATALOGUE)
                    else:
                        self.assertIn(name, fields)

    def test_each_metric_exists(self):
        words = source_words()
        for cells in rows():
            for name in named(cells[METRIC]):
                with self.subTest(name):
                    short = re.sub(r"^rowanrail_(gateway|control)_", "", name)
                    known = {short, short.removesuffix("_total")}
                    behind_prefix = {f"_{known_name}" for known_name in known}
                    self.assertTrue(words & (known | behind_prefix), short)


def owners(path):
    """Return the module of a rule, and its class if it is a method."""
    parts = path.split(".")
    return [".".join(parts[:end]) for end in range(3, len(parts))]


def exists(name, modules):
    """Return whether a constant stands in a rule's module or where its path says."""
    candidates = [name] if "." in name else [f"{module}.{name}" for module in modules]
    for candidate in candidates:
        try:
            resolve(candidate)
        except LookupError:
            continue
        return True
    return False


def source_words():
    """Return all words of the product's sources."""
    files = [*(ROOT / "src/rowanrail").rglob("*.py"), *(ROOT / "platform").rglob("*.py")]
    return {word for path in files for word in re.findall(r"\w+", path.read_text())}
