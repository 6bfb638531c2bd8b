"""A fleet of two checkouts: which checkout each process runs from, at start and after restarts.

The programs only print their checkout; the soak test covers the behaviour of a mixed fleet.
"""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from tests.support import platform_fleet
from tests.support.platform_fleet import PlatformFleet

SCRIPT = "import pathlib, sys\nprint(sys.argv[1], pathlib.Path(__file__).parents[1].name)\n"
OWN, OTHER = "own", "other"


class TwoCheckoutsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        for name in (OWN, OTHER):
            script = self.folder / name / "platform" / "main.py"
            script.parent.mkdir(parents=True)
            script.write_text(SCRIPT)
        patch = mock.patch.object(platform_fleet, "ROOT", self.folder / OWN)
        patch.start()
        self.addCleanup(patch.stop)

    def fleet(self, other_checkout: Path | None) -> PlatformFleet:
        fleet = PlatformFleet(
            3,
            6,
            zones=("a", "b"),
            control_zones=("a", "b"),
            regions={"a": "r1"},
            other_checkout=other_checkout,
        )
        fleet.folder = self.folder
        return fleet

    def run_and_read_logs(self, fleet: PlatformFleet, hosts: list[str]) -> list[str]:
        """Run a process on each host until it exits, and return the last line of each log."""
        for host in hosts:
            fleet.restart(host)
        for host in hosts:
            self.assertEqual(fleet.processes[host].wait(), 0, fleet.log(host))
        return [fleet.log(host).splitlines()[-1] for host in hosts]

    def test_every_other_process_is_from_the_other_checkout_in_each_zone(self):
        fleet = self.fleet(self.folder / OTHER)
        controls = self.run_and_read_logs(fleet, fleet.control_hosts)
        self.assertEqual(controls, [f"control {c}" for c in (OWN, OTHER, OTHER)])
        proxies = self.run_and_read_logs(fleet, fleet.proxy_hosts)
        zone_a, zone_b = proxies[::2], proxies[1::2]
        self.assertEqual(zone_a, [f"proxy {c}" for c in (OWN, OTHER, OWN)])
        self.assertEqual(zone_b, [f"proxy {c}" for c in (OTHER, OWN, OTHER)])

    def test_a_process_that_is_started_again_changes_sides_every_second_time(self):
        fleet = self.fleet(self.folder / OTHER)
        host = fleet.proxy_hosts[0]
        lines = [self.run_and_read_logs(fleet, [host])[0] for _ in range(5)]
        self.assertEqual(lines, [f"proxy {c}" for c in (OWN, OTHER, OTHER, OWN, OWN)])
        checkouts = [checkout.name for checkout in fleet.started[host]]
        self.assertEqual(checkouts, [OWN, OTHER, OTHER, OWN, OWN])

    def test_without_another_checkout_all_are_from_this_one(self):
        fleet = self.fleet(None)
        hosts = [*fleet.control_hosts, *fleet.proxy_hosts]
        lines = self.run_and_read_logs(fleet, [*hosts, *hosts])
        self.assertEqual({line.split()[1] for line in lines}, {OWN})


if __name__ == "__main__":
    unittest.main()
