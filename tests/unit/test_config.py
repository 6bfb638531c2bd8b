"""Loading, validation and comparison of configurations and settings."""

import tempfile
import unittest
from pathlib import Path

from returns.result import Failure, Success

from rowanrail.config.diff import diff_configurations, redact_secrets
from rowanrail.config.load import load_configuration, parse_configuration
from rowanrail.config.settings import Daemon, load_settings

HASH = "0123456789abcdef0123456789abcdef01234567"


def member(number, zone="z1"):
    return {"name": f"m{number}", "zone": zone, "address": f"10.0.0.{number}:3306"}


def valid():
    return {
        "sites": [{"name": "s1", "region": "r1", "zones": ["z1"]}],
        "groups": [
            {"name": "g1", "databases": ["d1"], "members": [member(1), member(2), member(3)]}
        ],
        "users": [{"name": "u1", "password_hash": HASH}],
    }


class ConfigurationTest(unittest.TestCase):
    def problems(self, content):
        result = parse_configuration(content, "file.yaml")
        self.assertIsInstance(result, Failure)
        return "\n".join(result.failure())

    def test_valid_configuration_is_accepted(self):
        self.assertIsInstance(parse_configuration(valid(), "file.yaml"), Success)

    def test_all_problems_are_reported_with_file_path_and_fix(self):
        content = valid()
        content["groups"][0]["databse"] = ["x"]
        content["groups"][0]["limits"] = {"queue_length": "many"}
        content["sites"][0]["zones"] = "z1"
        del content["users"][0]["password_hash"]
        problems = self.problems(content)
        self.assertIn(
            "file.yaml: groups[0].databse: unknown key; did you mean 'databases'?", problems
        )
        self.assertIn("groups[0].limits.queue_length: Expected `int`, got `str`", problems)
        self.assertIn("sites[0].zones: expected a list", problems)
        self.assertIn("users[0].password_hash: missing; add it", problems)

    def test_problems_across_fields_are_reported(self):
        content = valid()
        content["groups"][0]["members"] = [member(1, "nowhere"), member(1)]
        content["groups"][0]["consistency"] = "session"
        content["users"][0]["databases"] = ["d9"]
        problems = self.problems(content)
        for expected in (
            "2 members; an odd number",
            "'nowhere' is in no site",
            "stands twice",
            "d9",
        ):
            self.assertIn(expected, problems)

    def test_an_invalid_enumeration_value_lists_the_valid_ones(self):
        content = valid()
        content["groups"][0]["consistency"] = "eventual"
        self.assertIn("one of: session, strict, bounded", self.problems(content))

    def test_a_redacted_secret_is_rejected_when_applied(self):
        content = valid()
        content["groups"][0]["backend"] = {"password": "secret"}
        redacted = redact_secrets(parse_configuration(content, "f").unwrap())
        self.assertNotIn("secret", str(redacted))
        self.assertIn("in place of a secret", self.problems(redacted))

    def test_a_diff_names_paths_and_redacts_secrets(self):
        before = parse_configuration(valid(), "f").unwrap()
        content = valid()
        content["groups"][0]["limits"] = {"queue_length": 7}
        content["groups"][0]["backend"] = {"password": "secret"}
        changes = diff_configurations(before, parse_configuration(content, "f").unwrap())
        paths = {change.path: change for change in changes}
        self.assertEqual(paths["groups[g1].limits.queue_length"].after, "7")
        self.assertNotIn("secret", str(changes))

    def test_files_of_a_folder_are_merged_and_syntax_errors_name_their_line(self):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "a.yaml").write_text("sites: [{name: s, region: r, zones: [z1]}]\n")
            (folder / "b.yaml").write_text("groups:\n  - name: [\n")
            result = load_configuration(folder)
            self.assertIn("b.yaml: line 3", "\n".join(result.failure()))
            (folder / "b.yaml").write_text("users: []\n")
            self.assertEqual(load_configuration(folder).unwrap().sites[0].name, "s")


class SettingsTest(unittest.TestCase):
    def load(self, daemon, text, **overrides):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "settings.yaml"
            path.write_text(text)
            return load_settings(path, daemon, overrides)

    def test_overrides_take_precedence_over_the_file(self):
        text = (
            "name: p\nzone: z\nlisten: 127.0.0.1:1\nadmin_listen: 127.0.0.1:2\n"
            "rpc_listen: 127.0.0.1:3\ncontrols: [127.0.0.1:4]\n"
        )
        self.assertEqual(self.load(Daemon.PROXY, text, zone="y").unwrap().zone, "y")

    def test_invalid_settings_are_reported(self):
        text = (
            "name: c\nzone: z\ncluster: x\ndata_folder: d\nrpc_listen: host:1\n"
            "http_listen: 127.0.0.1:99999\nnodes: [{name: a, address: 127.0.0.1:1}]\n"
            "operators: []\n"
        )
        problems = "\n".join(self.load(Daemon.CONTROL, text).failure())
        for expected in (
            "rpc_listen: 'host' is not an IP",
            "http_listen",
            "'c' itself",
            "operators",
        ):
            self.assertIn(expected, problems)
