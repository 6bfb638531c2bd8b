"""Output of operators' commands and error messages of daemons."""

import tempfile
import unittest
from pathlib import Path

import pymysql
import yaml

from tests.support.fleet import SharedFleet, run_command, wait_until

shared = None


def setUpModule():
    global shared
    shared = SharedFleet()


def tearDownModule():
    shared.close()


class OperatorTest(unittest.TestCase):
    def changed_file(self, queue_length):
        content = yaml.safe_load(Path(shared.file.configuration).read_text())
        content["groups"][0]["limits"]["queue_length"] = queue_length
        path = Path(tempfile.mkdtemp()) / "configuration.yaml"
        path.write_text(yaml.safe_dump(content))
        return str(path)

    def test_apply_with_expected_version_conflict_resend_and_history(self):
        path = self.changed_file(101)
        self.assertEqual(shared.command("diff", "-f", path).returncode, 1)
        version = yaml.safe_load(shared.command("get").stdout)["version"]
        expect = ("--expect-version", str(version))
        first = shared.command("apply", "-f", path, *expect, "--change-id", "one", "--wait")
        self.assertEqual(first.returncode, 0, first.stderr)
        self.assertIn(f"accepted: version {version + 1}", first.stdout)
        for zone in shared.file.zones():
            self.assertIn(f"zone {zone}: version {version + 1} in force", first.stdout)
        resent = shared.command("apply", "-f", path, *expect, "--change-id", "one")
        self.assertIn(f"accepted: version {version + 1}", resent.stdout)
        other = self.changed_file(102)
        conflicting = shared.command("apply", "-f", other, *expect, "--change-id", "two")
        self.assertEqual(conflicting.returncode, 3)
        self.assertIn("by lab (change one)", conflicting.stderr)
        self.assertIn("one", shared.command("history").stdout)
        self.assertEqual(shared.command("diff", "-f", path).returncode, 0)

    def test_invalid_configuration_changes_nothing(self):
        path = Path(tempfile.mkdtemp()) / "configuration.yaml"
        path.write_text("groups: [{name: g, databases: [d], members: []}]\n")
        before = shared.command("get").stdout
        result = shared.command("apply", "-f", str(path))
        self.assertEqual(result.returncode, 1)
        self.assertIn("members: 0 members", result.stderr)
        self.assertNotIn("Traceback", result.stderr)
        self.assertEqual(shared.command("get").stdout, before)

    def test_drain_reaches_every_proxy_and_status_shows_it(self):
        group = shared.file.groups[0]
        # A proxy's first report may precede the first status of its members.
        wait_until(lambda: self.listed_replicas(group))
        replica = self.listed_replicas(group)[0]
        self.assertEqual(shared.command("drain", f"{group.name}/{replica}").returncode, 0)
        wait_until(lambda: "leaving" in shared.command("status").stdout)
        self.assertEqual(shared.command("undrain", f"{group.name}/{replica}").returncode, 0)
        wait_until(lambda: "leaving" not in shared.command("status").stdout)
        unknown = shared.command("drain", "nothing/here")
        self.assertIn("no such member: nothing/here", unknown.stderr)

    def listed_replicas(self, group):
        """Return the names of the group's replicas in the output of ``status``."""
        return [
            line.split()[1]
            for line in shared.command("status").stdout.splitlines()
            if line.startswith(group.name) and " replica " in line
        ]

    def test_wrong_token_and_no_control_node(self):
        denied = shared.command("get", ROWANRAIL_TOKEN="wrong")
        self.assertIn("unknown operator token", denied.stderr)
        unreachable = run_command("status", ROWANRAIL_CONTROL="127.0.0.1:1", ROWANRAIL_TOKEN="x")
        self.assertEqual(unreachable.returncode, 4)
        self.assertIn("no control node could serve", unreachable.stderr)
        self.assertNotIn("Traceback", unreachable.stderr)

    def test_port_in_use_and_wrong_settings(self):
        proxy = shared.fleet.folder / "settings" / f"{shared.file.proxies[0].name}.yaml"
        in_use = run_command("proxy", "--config", str(proxy))
        self.assertEqual(in_use.returncode, 1)
        self.assertIn("address already in use", in_use.stderr)
        self.assertNotIn("Traceback", in_use.stderr)
        checked = run_command("check", str(proxy))
        self.assertIn("valid proxy settings", checked.stdout)
        invalid = Path(tempfile.mkdtemp()) / "proxy.yaml"
        invalid.write_text(proxy.read_text().replace("listen:", "lsten:", 1))
        refused = run_command("proxy", "--config", str(invalid))
        self.assertEqual(refused.returncode, 2)
        self.assertIn("lsten: unknown key; did you mean 'listen'?", refused.stderr)

    def test_secrets_are_in_no_log_and_no_answer(self):
        file = shared.file
        texts = [path.read_text() for path in (shared.fleet.folder / "logs").iterdir()]
        texts.append(shared.command("get").stdout)
        for secret in (file.password, file.token, "lab-member"):
            self.assertFalse(any(secret in text for text in texts), secret)

    def test_planned_stop_of_a_proxy_lets_a_transaction_end(self):
        proxy = shared.file.proxies[2]
        arguments = {
            "host": proxy.host,
            "port": proxy.port,
            "user": shared.file.user,
            "password": shared.file.password,
            "database": shared.file.groups[0].database,
        }
        busy = pymysql.connect(**arguments)
        idle = pymysql.connect(**arguments, autocommit=True)
        cursor = busy.cursor()
        cursor.execute("CREATE TABLE stopping (id INT)")
        cursor.execute("BEGIN")
        cursor.execute("INSERT INTO stopping VALUES (1)")
        shared.command("status")
        import signal

        shared.fleet.signal(proxy.name, signal.SIGTERM)

        def refused():
            try:
                idle.cursor().execute("SELECT 1")
            except pymysql.MySQLError as error:
                return error.args[0]
            return None

        self.assertEqual(wait_until(refused), 30001)
        cursor.execute("INSERT INTO stopping VALUES (2)")
        busy.commit()
        busy.close()
        self.assertEqual(shared.fleet.wait_exit(proxy.name, 20.0), 0)
        shared.fleet.restart(proxy.name)
        other = pymysql.connect(
            **{
                **arguments,
                "host": shared.file.proxies[0].host,
                "port": shared.file.proxies[0].port,
            }
        )
        reader = other.cursor()
        reader.execute("SELECT COUNT(*) FROM stopping")
        self.assertEqual(reader.fetchone(), (2,))
        other.close()
