"""A fleet of two checkouts: which process runs from which, at first and when it is started again.

The programs are two lines that say where they stand; what a mixed fleet does is the soak's.
"""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from tests.support import platform_fleet
from tests.support.platform_fleet import PlatformFleet

PROGRAM = "import pathlib, sys\nprint(sys.argv[1], pathlib.Path(__file__).parents[1].name)\n"
HERE, BESIDE = "here", "beside"


class TwoCheckoutsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        for name in (HERE, BESIDE):
            program = self.folder / name / "platform" / "main.py"
            program.parent.mkdir(parents=True)
            program.write_text(PROGRAM)
        patched = mock.patch.object(platform_fleet, "ROOT", self.folder / HERE)
        patched.start()
        self.addCleanup(patched.stop)

    def fleet(self, beside: Path | None) -> PlatformFleet:
        fleet = PlatformFleet(
            3,
            6,
            zones=("a", "b"),
            control_zones=("a", "b"),
            regions={"a": "r1"},
            other_checkout=beside,
        )
        fleet.folder = self.folder
        return fleet

    def started(self, fleet: PlatformFleet, hosts: list[str]) -> list[str]:
        """Start processes and return what each of them said last."""
        for host in hosts:
            fleet.restart(host)
        for host in hosts:
            self.assertEqual(fleet.processes[host].wait(), 0, fleet.log(host))
        return [fleet.log(host).splitlines()[-1] for host in hosts]

    def test_every_other_process_is_from_the_other_checkout_in_each_zone(self):
        fleet = self.fleet(self.folder / BESIDE)
        controls = self.started(fleet, fleet.control_hosts)
        self.assertEqual(controls, [f"control {c}" for c in (HERE, BESIDE, BESIDE)])
        proxies = self.started(fleet, fleet.proxy_hosts)
        zone_a, zone_b = proxies[::2], proxies[1::2]
        self.assertEqual(zone_a, [f"proxy {c}" for c in (HERE, BESIDE, HERE)])
        self.assertEqual(zone_b, [f"proxy {c}" for c in (BESIDE, HERE, BESIDE)])

    def test_a_process_that_is_started_again_changes_sides_every_second_time(self):
        fleet = self.fleet(self.folder / BESIDE)
        host = fleet.proxy_hosts[0]
        said = [self.started(fleet, [host])[0] for _ in range(5)]
        self.assertEqual(said, [f"proxy {c}" for c in (HERE, BESIDE, BESIDE, HERE, HERE)])
        names = [checkout.name for checkout in fleet.started[host]]
        self.assertEqual(names, [HERE, BESIDE, BESIDE, HERE, HERE])

    def test_without_another_checkout_all_are_from_this_one(self):
        fleet = self.fleet(None)
        hosts = [*fleet.control_hosts, *fleet.proxy_hosts]
        said = self.started(fleet, [*hosts, *hosts])
        self.assertEqual({line.split()[1] for line in said}, {HERE})


if __name__ == "__main__":
    unittest.main()
