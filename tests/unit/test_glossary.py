"""GLOSSARY.md names only modules, classes and attributes that exist."""

import importlib
import inspect
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COLUMNS = 3
LOCATION = 2


def rows():
    """Return the cells of each row of the page's tables."""
    found = []
    for line in (ROOT / "docs" / "GLOSSARY.md").read_text().splitlines():
        if line.startswith("|") and not line.startswith(("| the ", "|---")):
            found.append([cell.strip() for cell in line.strip("|").split(" | ")])
    return found


def full_path(name):
    """Return the import path of a name on the page, which omits the prefix ``rowanrail.``."""
    return name if name.startswith("rowanlab.") else f"rowanrail.{name}"


def exists(path):
    """Return whether a path names a module, or an attribute of a module or of its class."""
    parts = path.split(".")
    for end in range(len(parts), 0, -1):
        try:
            found = importlib.import_module(".".join(parts[:end]))
        except ModuleNotFoundError:
            continue
        return has_attributes(found, parts[end:])
    return False


def has_attributes(owner, names):
    """Return whether a chain of attributes can be resolved from an object."""
    if not names:
        return True
    if hasattr(owner, names[0]):
        return has_attributes(getattr(owner, names[0]), names[1:])
    is_assigned = inspect.isclass(owner) and f"self.{names[0]} = " in inspect.getsource(owner)
    return is_assigned and len(names) == 1


class GlossaryTest(unittest.TestCase):
    def test_each_row_is_whole(self):
        self.assertGreater(len(rows()), 50)
        for cells in rows():
            with self.subTest(cells[0]):
                self.assertEqual(len(cells), COLUMNS)
                self.assertTrue(re.findall(r"`[^`]+`", cells[LOCATION]))

    def test_each_place_exists(self):
        for cells in rows():
            for name in re.findall(r"`([^`]+)`", cells[LOCATION]):
                with self.subTest(name):
                    self.assertTrue(exists(full_path(name)))
