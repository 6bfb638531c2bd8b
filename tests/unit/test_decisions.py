"""The page of the rules in force names only what exists."""

import ast
import importlib
import re
import unittest
from pathlib import Path

from rowanlab import documents  # noqa: F401 - fills the catalogue of events
from rowanrail.kernel.events import CATALOGUE
from rowanrail.model.trace import Rejection, Trace

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

    def test_each_field_is_one_of_an_event_of_its_row(self):
        known = event_fields()
        for cells in rows():
            names = named(cells[LOG])
            numbers = [int(name[2:]) for name in names if re.fullmatch(r"RR\d{4}", name)]
            numbers += [int(number) for number in re.findall(r"(?<!`)RR(\d{4})", cells[LOG])]
            fields = {field for number in numbers for field in known.get(number, ())}
            for name in names:
                with self.subTest(cells[0], field=name):
                    self.assertTrue(re.fullmatch(r"RR\d{4}", name) or name in fields)

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


def event_fields():
    """Return the fields that the product's code writes with each event, by its number."""
    sources = [path.read_text() for path in source_files()]
    defined = re.findall(r"^(\w+) = define\(\s*(\d+)", "\n".join(sources), re.MULTILINE)
    numbers = {name: int(number) for name, number in defined}
    statement = {*Trace.__struct_fields__, *Rejection.__struct_fields__}
    fields = {numbers["ANSWERED"]: set(statement), numbers["REFUSED"]: set(statement)}
    calls = [node for text in sources for node in ast.walk(ast.parse(text))]
    for call in calls:
        if not isinstance(call, ast.Call) or not call.args:
            continue
        # The event may be one of two, by a condition.
        events = [node.id for node in ast.walk(call.args[0]) if isinstance(node, ast.Name)]
        for name in numbers.keys() & set(events):
            fields.setdefault(numbers[name], set()).update(word.arg for word in call.keywords)
    return fields


def source_files():
    """Return the paths of the product's sources."""
    return [*(ROOT / "src/rowanrail").rglob("*.py"), *(ROOT / "platform").rglob("*.py")]


def source_words():
    """Return all words of the product's sources."""
    return {word for path in source_files() for word in re.findall(r"\w+", path.read_text())}
