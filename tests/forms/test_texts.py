"""External texts must not change: refusals, errors to clients, output of commands.

``data/texts.json`` was written by ``texts.gather_texts`` at revision f5ba2eb.
"""

import unittest

from tests.forms.golden import load_golden
from tests.forms.texts import gather_texts, texts_of

GOLDEN: dict[str, int] = load_golden("texts.json")


class ExternalTextsTest(unittest.TestCase):
    def test_no_text_is_removed(self) -> None:
        now = gather_texts()
        removed = [text for text, count in GOLDEN.items() if now.get(text, 0) < count]
        self.assertEqual(removed, [])

    def test_a_changed_word_or_format_is_detected(self) -> None:
        before = list(texts_of('Answer(message=f"no route for {name:.1f}")'))
        self.assertEqual(before, ["no route for {:.1f}"])
        self.assertEqual(
            list(texts_of('Answer(message=f"no route for {name}")')), ["no route for {}"]
        )
        self.assertEqual(list(texts_of('Answer(message="denied")')), ["denied"])

    def test_a_renamed_variable_is_not_a_change(self) -> None:
        before = list(texts_of('raise NotRunError(f"no route for {name}")'))
        self.assertEqual(list(texts_of('raise NotRunError(f"no route for {host}")')), before)

    def test_docstrings_and_assertions_are_excluded(self) -> None:
        source = (
            '"""A module."""\nassert x, "never seen"\ndef f() -> "dict[str, int]":\n    "Do it."\n'
        )
        self.assertEqual(list(texts_of(source)), [])
