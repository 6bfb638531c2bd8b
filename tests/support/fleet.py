"""A test fleet that the integration tests of a module share."""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

from rowanlab.fleet.layout import FleetOptions
from rowanlab.fleet.profiles import PROFILES
from rowanlab.fleet.runner import Fleet, free_subnet

FIRST_SUBNET = 60


class SharedFleet:
    """Starts a fleet in a scratch folder; ``close`` stops it and removes the folder."""

    def __init__(self, profile="blue-mahoe", **options):
        self._scratch = tempfile.TemporaryDirectory(prefix="rowanrail-test-")
        subnet = free_subnet(FIRST_SUBNET)
        options = FleetOptions(subnet=subnet, **{"groups": 1, **options})
        self.fleet = Fleet(PROFILES[profile], options, Path(self._scratch.name))
        try:
            self.fleet.start()
        except BaseException:
            self.close()
            raise

    @property
    def file(self):
        return self.fleet.file

    def close(self):
        self.fleet.stop()
        self._scratch.cleanup()

    def command(self, *arguments, **variables):
        """Run the ``rowanrail`` command against the fleet's control nodes."""
        controls = ",".join(f"{node.host}:{node.port}" for node in self.file.controls)
        environment = {
            "ROWANRAIL_CONTROL": controls,
            "ROWANRAIL_TOKEN": self.file.token,
            **variables,
        }
        return run_command(*arguments, **environment)


def run_command(*arguments, **environment):
    return subprocess.run(
        [sys.executable, "-m", "rowanrail", *arguments],
        env={"PATH": "", "LANG": "C.UTF-8", **environment},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def wait_until(condition, seconds=20.0):
    """Wait until ``condition()`` returns a true value, and return it."""
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError("condition not met in time")
        time.sleep(0.02)
