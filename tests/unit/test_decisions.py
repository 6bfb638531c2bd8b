"""DECISIONS.md names only rules, constants, events, metrics and tests that exist."""

import ast
import importlib
import re
import unittest
from pathlib import Path

from rowanlab import documents  # noqa: F401 - registers all events
from rowanrail.kernel.events import CATALOGUE
from rowanrail.model.trace import Rejection, Trace

ROOT = Path(__file__).resolve().parents[2]
COLUMNS = 8
RULE, CONSTANTS, LOG, METRIC, TEST = 1, 4, 5, 6, 7


def rows():
    """Return the cells of each row of the page's tables."""
    found = []
    for line in (ROOT / "docs" / "DECISIONS.md").read_text().splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split(" | ")]
        if line.startswith("|") and not line.startswith(("| question", "|---")):
            found.append(cells)
    return found


def code_names(cell):
    """Return the parts of a cell that are in backticks."""
    return re.findall(r"`([^`]+)`", cell)


def resolve(path):
    """Return the object at a dotted path.

    :raises LookupError: if there is none.
    """
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
                self.assertTrue(code_names(cells[RULE]))
                self.assertTrue(code_names(cells[TEST]), "the row names no test of the rule")

    def test_each_rule_and_test_exists(self):
        for cells in rows():
            for path in code_names(cells[RULE]) + code_names(cells[TEST]):
                with self.subTest(path):
                    resolve(path)

    def test_each_constant_exists(self):
        for cells in rows():
            modules = [module for path in code_names(cells[RULE]) for module in owners(path)]
            for name in code_names(cells[CONSTANTS]):
                if not re.fullmatch(r"[A-Z][A-Z0-9_]+|rowanrail\.[\w.]+", name):
                    continue
                with self.subTest(name):
                    self.assertTrue(exists(name, modules), f"{name} in {modules}")

    def test_each_event_and_field_exists(self):
        fields = source_words()
        for cells in rows():
            for name in code_names(cells[LOG]):
                with self.subTest(name):
                    if re.fullmatch(r"RR\d{4}", name):
                        self.assertIn(int(name[2:]), CATALOGUE)
                    else:
                        self.assertIn(name, fields)

    def test_each_field_is_one_of_an_event_of_its_row(self):
        fields_by_event = event_fields()
        for cells in rows():
            names = code_names(cells[LOG])
            numbers = [int(name[2:]) for name in names if re.fullmatch(r"RR\d{4}", name)]
            numbers += [int(number) for number in re.findall(r"(?<!`)RR(\d{4})", cells[LOG])]
            fields = {field for number in numbers for field in fields_by_event.get(number, ())}
            for name in names:
                with self.subTest(cells[0], field=name):
                    self.assertTrue(re.fullmatch(r"RR\d{4}", name) or name in fields)

    def test_each_metric_exists(self):
        words = source_words()
        for cells in rows():
            for name in code_names(cells[METRIC]):
                with self.subTest(name):
                    name_without_prefix = re.sub(r"^rowanrail_(gateway|control)_", "", name)
                    known = {name_without_prefix, name_without_prefix.removesuffix("_total")}
                    behind_prefix = {f"_{known_name}" for known_name in known}
                    self.assertTrue(words & (known | behind_prefix), name_without_prefix)


def owners(path):
    """Return the paths of a rule's module and, if it is a method, of its class."""
    parts = path.split(".")
    return [".".join(parts[:end]) for end in range(3, len(parts))]


def exists(name, modules):
    """Return whether one of the modules has a constant, or its own path resolves."""
    candidates = [name] if "." in name else [f"{module}.{name}" for module in modules]
    for candidate in candidates:
        try:
            resolve(candidate)
        except LookupError:
            continue
        return True
    return False


def event_fields():
    """Return the fields that the code logs with each event, by event number."""
    sources = [path.read_text() for path in source_files()]
    defined = re.findall(r"^(\w+) = define\(\s*(\d+)", "\n".join(sources), re.MULTILINE)
    numbers = {name: int(number) for name, number in defined}
    statement_fields = {*Trace.__struct_fields__, *Rejection.__struct_fields__}
    fields = {numbers["ANSWERED"]: set(statement_fields), numbers["REFUSED"]: set(statement_fields)}
    calls = [node for text in sources for node in ast.walk(ast.parse(text))]
    for call in calls:
        if not isinstance(call, ast.Call) or not call.args:
            continue
        # The first argument may be a conditional expression with two events.
        events = [node.id for node in ast.walk(call.args[0]) if isinstance(node, ast.Name)]
        for name in numbers.keys() & set(events):
            fields.setdefault(numbers[name], set()).update(keyword.arg for keyword in call.keywords)
    return fields


def source_files():
    """Return the paths of the product's source files."""
    return [*(ROOT / "src/rowanrail").rglob("*.py"), *(ROOT / "platform").rglob("*.py")]


def source_words():
    """Return all words in the product's source files."""
    return {word for path in source_files() for word in re.findall(r"\w+", path.read_text())}
