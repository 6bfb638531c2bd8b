"""Output of ``inspect load`` from the metrics of several gateways."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from rowanrail.cli.main import main
from rowanrail.gateway.gauges import gauges, tenant_gauges
from rowanrail.kernel.metrics import Metrics
from rowanrail.tenants.model import Tenant, Tenants
from tests.support.gateway import GatewayHarness


def metrics_of(played, refused):
    """Return the metrics of a gateway that refused a tenant the given number of times."""
    quota = played.gateway.access.quota
    quota.set_tenants(Tenants({"anna": Tenant("anna", rate=1, burst=1)}))
    while quota.admit("anna") is None or sum(one.refused for one in quota.top_tenants(1)) < refused:
        pass
    played.client("reports").run("READ a", seconds=0.1)
    metrics = Metrics(
        "rowanrail_gateway", lambda: [*gauges(played.gateway), *tenant_gauges(played.gateway)]
    )
    metrics.record_statement("read", "busy", "waits-for-connection", 0.2)
    metrics.record_statement("read", "done", "sent", 0.1)
    metrics.record_rejection("crowded", 2, 300.0)
    return metrics.render().decode()


class InspectLoadTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.sources = []
        for name, refused in (("g1", 2), ("g2", 3)):
            source = self.folder / name
            source.write_text(metrics_of(GatewayHarness(), refused))
            self.sources.append(str(source))

    def run_command(self, *arguments):
        return CliRunner().invoke(main, ["inspect", "load", *arguments])

    def test_totals_over_gateways(self):
        result = self.run_command(*self.sources, "--output", "json")
        self.assertEqual(result.exit_code, 0, result.output)
        fleet = json.loads(result.output)
        self.assertEqual(fleet["gateways"], 2)
        (tenant,) = fleet["tenants"]
        self.assertEqual((tenant["tenant"], tenant["limit"], tenant["refused"]), ("anna", 6, 5))
        (refusal,) = fleet["refusals"]
        self.assertEqual((refusal["outcome"], refusal["count"]), ("busy", 2))
        (turned_away,) = fleet["turned_away"]
        self.assertEqual(turned_away, {"cause": "crowded", "urgency": "2", "count": 2})
        members = {member["member"]: member for member in fleet["members"]}
        self.assertEqual(sorted(members), ["m1", "m2", "m3"])
        self.assertEqual(members["m2"]["holders"], 2)

    def test_the_table_lists_members_tenants_and_refusals(self):
        result = self.run_command(*self.sources)
        for word in ("2 gateways", "m2", "anna", "waits-for-connection", "crowded"):
            self.assertIn(word, result.output)

    def test_an_unreachable_gateway_is_reported_and_the_others_are_shown(self):
        result = self.run_command(self.sources[0], "127.0.0.1:1/metrics")
        self.assertEqual(result.exit_code, 0)
        self.assertIn("silent: 127.0.0.1:1/metrics: can't be read", result.output)

    def test_no_reachable_gateway_is_an_error(self):
        result = self.run_command("127.0.0.1:1/metrics")
        self.assertEqual(result.exit_code, 4)

    def test_a_file_without_metrics_is_reported(self):
        broken = self.folder / "broken"
        broken.write_text("not { metrics")
        result = self.run_command(self.sources[0], str(broken))
        self.assertIn(f"silent: {broken}", result.output)
