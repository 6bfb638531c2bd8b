"""The external names of the programs may be extended, but not removed or changed.

``data/names.json`` was written by ``names.gather_names`` at revision b0400eb, the reference
version. It holds the keys of settings and documents with their defaults, log events with level and
fields, the values of enumerations that appear in logs, metrics, HTTP paths, the command line,
plug-ins, and digests of the deployed files. New names may be added to the file; removing one breaks
a tool or a file of a user. The heartbeat's required fields and values were changed since: one that
lacks them comes from another writer and must be rejected.
"""

import unittest
from typing import Any

from tests.forms.additions import without_additions
from tests.forms.golden import load_golden
from tests.forms.names import gather_names

GOLDEN = load_golden("names.json")
VARYING_EVENT = "?"  # key of the fields of calls that log one of several events


def find_removed(golden: Any, current: Any, path: str) -> list[str]:
    """Return the golden names that are missing now; additions to lists and objects are allowed."""
    if isinstance(golden, dict) and isinstance(current, dict):
        found = []
        for key, value in golden.items():
            if key not in current:
                found.append(f"{path}: {key!r} is missing")
            elif key == "object":
                found += _find_removed_fields(value, current[key], path)
            else:
                found += find_removed(value, current[key], f"{path}: {key}")
        return found
    if isinstance(golden, list) and isinstance(current, list):
        return [f"{path}: {each!r} is missing" for each in golden if each not in current]
    same = golden == current and type(golden) is type(current)
    return [] if same else [f"{path}: {current!r} instead of {golden!r}"]


def _find_removed_fields(golden: list[Any], current: list[Any], path: str) -> list[str]:
    """Compare the name, default and schema of fields; a new field must have a default."""
    fields = {name: rest for name, *rest in current}
    found = []
    for name, default, schema in golden:
        if name not in fields:
            found.append(f"{path}: field {name!r} is missing")
            continue
        found += _compare_defaults(default, fields[name][0], f"{path}.{name}")
        found += find_removed(schema, fields[name][1], f"{path}.{name}")
    known = {name for name, *_ in golden}
    for name, (default, _) in fields.items():
        if name not in known and default == "required":
            found.append(f"{path}: new field {name!r} has no default")
    return found


def _compare_defaults(golden: Any, current: Any, path: str) -> list[str]:
    return [] if golden == current else [f"{path}: default {current!r} instead of {golden!r}"]


class NamesTest(unittest.TestCase):
    maxDiff = None

    @classmethod
    def setUpClass(cls) -> None:
        cls.current = gather_names()

    def check_section(self, section: str) -> None:
        """Check that no name of a section was removed or changed."""
        current = without_additions(self.current[section])
        self.assertEqual(find_removed(GOLDEN[section], current, section), [])

    def test_every_section_has_a_test(self):
        self.assertEqual(sorted(GOLDEN), sorted(self.current))
        tests = {name.removeprefix("test_").replace("_", " ") for name in dir(self)}
        self.assertEqual(
            [section for section in GOLDEN if section.replace("-", " ") not in tests], []
        )

    def test_documents(self):
        self.check_section("documents")

    def test_events(self):
        varying = set(self.current["events"][VARYING_EVENT]["fields"])
        for number, golden in GOLDEN["events"].items():
            with self.subTest(number):
                event = self.current["events"][number]
                self.assertEqual(event["level"], golden["level"])
                self.assertEqual(set(golden["fields"]) - set(event["fields"]) - varying, set())

    def test_statement_lines(self):
        self.assertEqual(self.current["statement lines"], GOLDEN["statement lines"])

    def test_log_values(self):
        for values in GOLDEN["log values"]:
            kept = [
                current for current in self.current["log values"] if set(values) <= set(current)
            ]
            self.assertTrue(kept, f"a value of {values} is missing")

    def test_metrics(self):
        self.check_section("metrics")

    def test_paths(self):
        self.check_section("paths")

    def test_commands(self):
        self.check_section("commands")

    def test_exit_codes(self):
        self.check_section("exit codes")

    def test_program(self):
        self.check_section("program")

    def test_plug_ins(self):
        self.check_section("plug-ins")

    def test_deployed(self):
        self.check_section("deployed")


class ComparisonTest(unittest.TestCase):
    """Checks which changes :func:`find_removed` reports."""

    def test_a_removed_renamed_or_new_required_field(self):
        golden = {"object": [["a", "required", "int"], ["b", [1], "int"]]}
        renamed = {"object": [["a", "required", "int"], ["c", [1], "int"]]}
        extended = {"object": [*golden["object"], ["c", [1], "int"]]}
        with_required = {"object": [*golden["object"], ["c", "required", "int"]]}
        self.assertEqual(find_removed(golden, golden, "x"), [])
        self.assertEqual(find_removed(golden, extended, "x"), [])
        self.assertEqual(find_removed(golden, renamed, "x"), ["x: field 'b' is missing"])
        self.assertEqual(
            find_removed(golden, with_required, "x"), ["x: new field 'c' has no default"]
        )

    def test_a_default_or_type_that_changed(self):
        golden = {"object": [["b", [1], "int"]]}
        self.assertEqual(len(find_removed(golden, {"object": [["b", [2], "int"]]}, "x")), 1)
        self.assertEqual(len(find_removed(golden, {"object": [["b", [1], "str"]]}, "x")), 1)

    def test_lists_and_maps(self):
        self.assertEqual(find_removed({"k": ["a"]}, {"k": ["a", "b"], "l": []}, "x"), [])
        self.assertEqual(find_removed({"k": ["a"]}, {"k": ["b"]}, "x"), ["x: k: 'a' is missing"])
        self.assertEqual(find_removed({"k": []}, {}, "x"), ["x: 'k' is missing"])


if __name__ == "__main__":
    unittest.main()
