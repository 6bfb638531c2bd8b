"""The external names of the programs may be extended, but not removed or changed.

``data/names.json`` was written by ``names.gather_names`` at revision b0400eb, the reference
version. It holds the keys of settings and documents with their defaults, log events with level and
fields, the values of enumerations that appear in logs, metrics, HTTP paths, the command line,
plug-ins, and digests of the deployed files. New names may be added to the file; removing one breaks
a tool or a file of a user.
"""

import unittest
from typing import Any

from tests.forms.golden import load_golden
from tests.forms.names import gather_names

GOLDEN = load_golden("names.json")
VARYING_EVENT = "?"  # fields of calls that log one of several events


def find_removed(golden: Any, now: Any, place: str) -> list[str]:
    """Return what is in golden names and not in today's; a list or an object may be longer."""
    if isinstance(golden, dict) and isinstance(now, dict):
        found = []
        for key, value in golden.items():
            if key not in now:
                found.append(f"{place}: {key!r} is gone")
            elif key == "object":
                found += _find_removed_fields(value, now[key], place)
            else:
                found += find_removed(value, now[key], f"{place}: {key}")
        return found
    if isinstance(golden, list) and isinstance(now, list):
        return [f"{place}: {each!r} is gone" for each in golden if each not in now]
    same = golden == now and type(golden) is type(now)
    return [] if same else [f"{place}: {now!r} in place of {golden!r}"]


def _find_removed_fields(golden: list[Any], now: list[Any], place: str) -> list[str]:
    """Compare fields of objects: name, default, form; a new one must have a default."""
    fields = {name: rest for name, *rest in now}
    found = []
    for name, default, form in golden:
        if name not in fields:
            found.append(f"{place}: field {name!r} is gone")
            continue
        found += _compare_defaults(default, fields[name][0], f"{place}.{name}")
        found += find_removed(form, fields[name][1], f"{place}.{name}")
    known = {name for name, *_ in golden}
    for name, (default, _) in fields.items():
        if name not in known and default == "required":
            found.append(f"{place}: new field {name!r} has no default")
    return found


def _compare_defaults(golden: Any, now: Any, place: str) -> list[str]:
    return [] if golden == now else [f"{place}: default {now!r} in place of {golden!r}"]


class NamesTest(unittest.TestCase):
    maxDiff = None

    @classmethod
    def setUpClass(cls) -> None:
        cls.now = gather_names()

    def check_part(self, part: str) -> None:
        """Hold that nothing of a part of the names is gone or changed."""
        self.assertEqual(find_removed(GOLDEN[part], self.now[part], part), [])

    def test_every_section_has_a_test(self):
        self.assertEqual(sorted(GOLDEN), sorted(self.now))
        tests = {name.removeprefix("test_").replace("_", " ") for name in dir(self)}
        self.assertEqual([part for part in GOLDEN if part.replace("-", " ") not in tests], [])

    def test_documents(self):
        self.check_part("documents")

    def test_events(self):
        varying = set(self.now["events"][VARYING_EVENT]["fields"])
        for number, golden in GOLDEN["events"].items():
            with self.subTest(number):
                event = self.now["events"][number]
                self.assertEqual(event["level"], golden["level"])
                self.assertEqual(set(golden["fields"]) - set(event["fields"]) - varying, set())

    def test_statement_lines(self):
        self.assertEqual(self.now["statement lines"], GOLDEN["statement lines"])

    def test_log_values(self):
        for values in GOLDEN["log values"]:
            kept = [now for now in self.now["log values"] if set(values) <= set(now)]
            self.assertTrue(kept, f"of {values} a value is gone")

    def test_metrics(self):
        self.check_part("metrics")

    def test_paths(self):
        self.check_part("paths")

    def test_commands(self):
        self.check_part("commands")

    def test_exit_codes(self):
        self.check_part("exit codes")

    def test_program(self):
        self.check_part("program")

    def test_plug_ins(self):
        self.check_part("plug-ins")

    def test_deployed(self):
        self.check_part("deployed")


class ComparisonTest(unittest.TestCase):
    """What the comparison above takes for a change."""

    def test_a_field_that_is_gone_renamed_or_new_without_default(self):
        golden = {"object": [["a", "required", "int"], ["b", [1], "int"]]}
        renamed = {"object": [["a", "required", "int"], ["c", [1], "int"]]}
        longer = {"object": [*golden["object"], ["c", [1], "int"]]}
        demanding = {"object": [*golden["object"], ["c", "required", "int"]]}
        self.assertEqual(find_removed(golden, golden, "x"), [])
        self.assertEqual(find_removed(golden, longer, "x"), [])
        self.assertEqual(find_removed(golden, renamed, "x"), ["x: field 'b' is gone"])
        self.assertEqual(find_removed(golden, demanding, "x"), ["x: new field 'c' has no default"])

    def test_a_default_or_type_that_changed(self):
        golden = {"object": [["b", [1], "int"]]}
        self.assertEqual(len(find_removed(golden, {"object": [["b", [2], "int"]]}, "x")), 1)
        self.assertEqual(len(find_removed(golden, {"object": [["b", [1], "str"]]}, "x")), 1)

    def test_lists_and_maps(self):
        self.assertEqual(find_removed({"k": ["a"]}, {"k": ["a", "b"], "l": []}, "x"), [])
        self.assertEqual(find_removed({"k": ["a"]}, {"k": ["b"]}, "x"), ["x: k: 'a' is gone"])
        self.assertEqual(find_removed({"k": []}, {}, "x"), ["x: 'k' is gone"])


if __name__ == "__main__":
    unittest.main()
