"""Tables of played days from journal entries."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from rowanlab.rounds import read_journal, rounds_command, rounds_of


def entry(cmd, why, days, score=None):
    return {"cmd": cmd, "site": "cues", "why": why, "score": score, "at": ["t"], "days": days}


def day(name, seed, worth, score=None):
    parts = [["whole day", 1.0, worth]]
    return {"name": name, "seed": seed, "G": worth, "score": score, "gate": True, "parts": parts}


class RoundsTest(unittest.TestCase):
    def setUp(self):
        self.folder = Path(tempfile.mkdtemp())
        self.write("1", entry("run", "sooner [old]", [day("d", 1, 0.5)]))
        self.write("2", entry("run", "sooner [new]", [day("d", 1, 0.7)]))
        self.write("3", entry("score", "last", [day("quiet", None, 0.9, 0.75)], 0.75))
        (self.folder / "4.json").write_text('{"cmd": 4')

    def write(self, name, content):
        (self.folder / f"{name}.json").write_text(json.dumps(content))

    def test_variants_of_a_round_are_paired_by_day_and_seed(self):
        (found,) = rounds_of(read_journal(self.folder)[0])
        self.assertEqual(found.difference("old", "new"), (0.2, 1))

    def test_the_command_shows_scores_and_rounds(self):
        picture = self.folder / "scores.png"
        arguments = ["--journal", str(self.folder), "--picture", str(picture)]
        result = CliRunner().invoke(rounds_command, arguments)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("| t | cues | 0.750 | passed | quiet 0.75 | last |", result.output)
        self.assertIn("1 entry left out: it can't be read", result.output)
        self.assertIn("| sooner | cues | new | 0.7000 | +0.2000 | 1 |", result.output)
        self.assertTrue(picture.read_bytes().startswith(b"\x89PNG"))

    def test_a_folder_that_is_missing_is_told(self):
        result = CliRunner().invoke(rounds_command, ["--journal", str(self.folder / "none")])
        self.assertEqual(result.exit_code, 1)
        self.assertIn("no such folder", result.output)
