"""A control node as a separate process, for tests that need no fleet."""

import resource
import subprocess
import sys
import tempfile
from pathlib import Path

import yaml

from rowanlab.fleet.runner import free_subnet
from tests.support.fleet import run_command, wait_until

TOKEN = "trial-operator"
FIRST_SUBNET = 150


class ControlNodeProcess:
    """Settings, folder and process of the only control node of its cluster."""

    def __init__(self):
        self.scratch = tempfile.TemporaryDirectory(prefix="rowanrail-trial-")
        self.folder = Path(self.scratch.name)
        self.host = f"127.{free_subnet(FIRST_SUBNET)}.1.20"
        self.data_folder = self.folder / "data"
        self.log = self.folder / "control.log"
        self._process = None

    def write_settings(self):
        token_hash = run_command("hash-token", ROWANRAIL_PASSWORD=TOKEN).stdout.strip()
        content = {
            "name": "n1",
            "zone": "kingston",
            "cluster": "trial",
            "data_folder": str(self.data_folder),
            "rpc_listen": f"{self.host}:7000",
            "http_listen": f"{self.host}:7080",
            "nodes": [{"name": "n1", "address": f"{self.host}:7000"}],
            "operators": [{"name": "trial", "token_hash": token_hash}],
        }
        path = self.folder / "control.yaml"
        path.write_text(yaml.safe_dump(content))
        return path

    def start(self, *arguments, file_limit_bytes=resource.RLIM_INFINITY):
        """Start the node. Writes beyond ``file_limit_bytes`` fail, as on a full disk."""

        def limit():
            resource.setrlimit(resource.RLIMIT_FSIZE, (file_limit_bytes, resource.RLIM_INFINITY))

        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "rowanrail", "control", "--config", self.write_settings()]
                + list(arguments),
                stdout=subprocess.DEVNULL,
                stderr=log,
                preexec_fn=limit,
            )
        wait_until(lambda: self.command("get").returncode == 0)

    def stop(self):
        if self._process is not None:
            self._process.terminate()
            self._process.wait(10)
            self._process = None

    def close(self):
        self.stop()
        self.scratch.cleanup()

    def command(self, *arguments):
        return run_command(*arguments, ROWANRAIL_CONTROL=f"{self.host}:7080", ROWANRAIL_TOKEN=TOKEN)

    def configuration_file(self, number):
        """Write a configuration that differs from others by several kilobytes."""
        users = [
            {"name": f"user{index}", "password_hash": f"{number * 1000 + index:040x}"}
            for index in range(100)
        ]
        sites = [{"name": "site", "region": "jamaica", "zones": ["kingston"]}]
        path = self.folder / f"configuration-{number}.yaml"
        path.write_text(yaml.safe_dump({"sites": sites, "groups": [], "users": users}))
        return str(path)
