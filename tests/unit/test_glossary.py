"""The glossary names only modules, classes and attributes that exist."""

import importlib
import inspect
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COLUMNS = 3
WHERE = 2


def rows():
    """Return the cells of all rows of the page's tables."""
    found = []
    for line in (ROOT / "docs" / "GLOSSARY.md").read_text().splitlines():
        if line.startswith("|") and not line.startswith(("| the ", "|---")):
            found.append([cell.strip() for cell in line.strip("|").split(" | ")])
    return found


def full_path(name):
    """Return the path of what the page names; the product's stand there without its name."""
    return name if name.startswith("rowanlab.") else f"rowanrail.{name}"


def exists(path):
    """Return whether a module stands there, or an attribute of a module or of its class."""
    parts = path.split(".")
    for end in range(len(parts), 0, -1):
        try:
            found = importlib.import_module(".".join(parts[:end]))
        except ModuleNotFoundError:
            continue
        return has(found, parts[end:])
    return False


def has(owner, names):
    """Return whether an object has an attribute, which has the next one, and so on."""
    if not names:
        return True
    if hasattr(owner, names[0]):
        return has(getattr(owner, names[0]), names[1:])
    is_set = inspect.isclass(owner) and f"self.{names[0]} = " in inspect.getsource(owner)
    return is_set and len(names) == 1


class GlossaryTest(unittest.TestCase):
    def test_each_row_is_whole(self):
        self.assertGreater(len(rows()), 50)
        for cells in rows():
            with self.subTest(cells[0]):
                self.assertEqual(len(cells), COLUMNS)
                self.assertTrue(re.findall(r"`[^`]+`", cells[WHERE]))

    def test_each_place_exists(self):
        for cells in rows():
            for name in re.findall(r"`([^`]+)`", cells[WHERE]):
                with self.subTest(name):
                    self.assertTrue(exists(full_path(name)))
