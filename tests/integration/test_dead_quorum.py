"""Clients and operators' commands while two of three control nodes are down."""

import signal
import tempfile
import unittest
from pathlib import Path

import pymysql
import yaml

from tests.support.fleet import SharedFleet, wait_until


class DeadQuorumTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.shared = SharedFleet()

    @classmethod
    def tearDownClass(cls):
        cls.shared.close()

    def changed_file(self):
        content = yaml.safe_load(Path(self.shared.file.configuration).read_text())
        content["groups"][0]["limits"]["queue_length"] = 77
        path = Path(tempfile.mkdtemp()) / "configuration.yaml"
        path.write_text(yaml.safe_dump(content))
        return str(path)

    def query(self, proxy):
        connection = pymysql.connect(
            host=proxy.host,
            port=proxy.port,
            user=self.shared.file.user,
            password=self.shared.file.password,
            database=self.shared.file.groups[0].database,
            autocommit=True,
        )
        with connection, connection.cursor() as cursor:
            cursor.execute("SELECT 1")
            return cursor.fetchone()

    def test_callers_are_served_and_operators_get_an_error(self):
        shared, path = self.shared, self.changed_file()
        killed = [node.name for node in shared.file.controls[:2]]
        for name in killed:
            shared.fleet.kill(name)
        refused = shared.command("apply", "-f", path, "--change-id", "later")
        self.assertEqual(refused.returncode, 4, refused.stdout)
        self.assertIn("no majority of the control nodes", refused.stderr)
        self.assertIn("send the change again with the same id", refused.stderr)
        self.assertNotIn("Traceback", refused.stderr)
        for proxy in shared.file.proxies:
            self.assertEqual(self.query(proxy), (1,))
        with self.subTest("a restarted proxy takes the configuration of its zone or region"):
            proxy = shared.file.proxies[0]
            shared.fleet.signal(proxy.name, signal.SIGTERM)
            shared.fleet.wait_exit(proxy.name, 20)
            shared.fleet.restart(proxy.name)
            wait_until(lambda: self.serves(proxy))
        for name in killed:
            shared.fleet.restart(name)
        applied = wait_until(lambda: self.applied(path))
        self.assertIn("accepted: version", applied.stdout)

    def serves(self, proxy):
        try:
            return self.query(proxy)
        except pymysql.MySQLError:
            return None

    def applied(self, path):
        result = self.shared.command("apply", "-f", path, "--change-id", "later", "--wait")
        return result if result.returncode == 0 else None
