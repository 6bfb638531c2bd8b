"""The generated pages EVENTS.md and SETTINGS.md are up to date with the code."""

import unittest
from pathlib import Path

from rowanlab.documents import render_events, render_settings

DOCS = Path(__file__).resolve().parents[2] / "docs"


class DocumentsTest(unittest.TestCase):
    def test_event_catalogue_matches_the_code(self):
        self.assertEqual((DOCS / "EVENTS.md").read_text(), render_events())

    def test_settings_reference_matches_the_code(self):
        self.assertEqual((DOCS / "SETTINGS.md").read_text(), render_settings())
