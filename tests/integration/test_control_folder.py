"""Data folder of a control node: full disk, backup and restore, with their error messages."""

import unittest

import yaml

from tests.support.control import ControlNodeProcess
from tests.support.fleet import run_command

FILE_LIMIT_BYTES = 64 * 1024


class ControlFolderTest(unittest.TestCase):
    def setUp(self):
        self.control = ControlNodeProcess()
        self.addCleanup(self.control.close)

    def version(self):
        return yaml.safe_load(self.control.command("get").stdout)["version"]

    def apply(self, number):
        return self.control.command("apply", "-f", self.control.configuration_file(number))

    def test_full_folder_refuses_changes_and_keeps_what_was_accepted(self):
        self.control.start("--bootstrap", file_limit_bytes=FILE_LIMIT_BYTES)
        accepted = 0
        for number in range(1, 30):
            result = self.apply(number)
            if result.returncode != 0:
                break
            accepted = number
        self.assertGreater(accepted, 0)
        self.assertEqual(result.returncode, 4, result.stdout)
        self.assertIn("File too large", result.stderr)
        self.assertNotIn("Traceback", result.stderr)
        self.assertIn("RR0122", self.control.log.read_text())
        self.control.stop()
        self.control.start()
        self.assertIn(self.version(), (accepted, accepted + 1))
        self.assertEqual(self.apply(100).returncode, 0)

    def test_backup_and_restore(self):
        self.control.start("--bootstrap")
        self.assertEqual(self.apply(1).returncode, 0)
        self.assertEqual(self.apply(2).returncode, 0)
        before = yaml.safe_load(self.control.command("get").stdout)
        self.control.stop()
        file = str(self.control.folder / "backup")
        backup = run_command("backup", str(self.control.data_folder), file)
        self.assertIn("version 2 of trial", backup.stdout, backup.stderr)
        identity = ["--cluster", "trial", "--name", "n1"]
        address = ["--address", f"{self.control.host}:7000"]
        target = str(self.control.folder / "restored")
        unconfirmed = run_command("restore", file, target, *identity, *address)
        self.assertEqual(unconfirmed.returncode, 2)
        self.assertIn("--confirm trial", unconfirmed.stderr)
        other = ["--cluster", "other", "--name", "n1", "--confirm", "other"]
        mismatched = run_command("restore", file, target, *other, *address)
        self.assertIn("the backup belongs to 'trial', not to 'other'", mismatched.stderr)
        confirmed = [*identity, *address, "--confirm", "trial", "--least-version", "7"]
        restored = run_command("restore", file, target, *confirmed)
        self.assertEqual(restored.returncode, 0, restored.stderr)
        repeated = run_command("restore", file, target, *confirmed)
        self.assertIn("not empty", repeated.stderr)
        self.control.data_folder = self.control.folder / "restored"
        self.control.start()
        after = yaml.safe_load(self.control.command("get").stdout)
        self.assertEqual(after.pop("version"), 8)
        self.assertEqual(before.pop("version"), 2)
        self.assertEqual(after, before)
        self.assertEqual(self.apply(3).returncode, 0)

    def test_folder_that_cannot_be_written(self):
        self.control.data_folder = "/proc/rowanrail"
        settings = str(self.control.write_settings())
        result = run_command("control", "--config", settings, "--bootstrap")
        self.assertEqual(result.returncode, 1)
        self.assertIn("create folder [/proc/rowanrail]", result.stderr)
        self.assertNotIn("Traceback", result.stderr)

    def test_damaged_backup(self):
        path = self.control.folder / "damaged"
        path.write_bytes(b"x" * 100)
        arguments = ["--cluster", "trial", "--name", "n1", "--address", "127.0.0.1:1"]
        target = str(self.control.folder / "restored")
        result = run_command("restore", str(path), target, *arguments, "--confirm", "trial")
        self.assertEqual(result.returncode, 1)
        self.assertIn("the backup's checksum does not match", result.stderr)
