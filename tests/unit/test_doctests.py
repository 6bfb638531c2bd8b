"""The examples in the docstrings of the listed modules run and give the stated results."""

import doctest
import importlib
import unittest

MODULES = (
    "rowanrail.cluster.membership",
    "rowanrail.coordination.changes",
    "rowanrail.coordination.gateway_reconciler",
    "rowanrail.coordination.lives",
    "rowanrail.coordination.failover",
    "rowanrail.coordination.orphaned_logs",
    "rowanrail.coordination.lost_logs",
    "rowanrail.directory.digests",
    "rowanrail.directory.health_filter",
    "rowanrail.cli.load_view",
    "rowanrail.explain.rejections",
    "rowanrail.gateway.discovery.control_node_selector",
    "rowanrail.gateway.discovery.provisional",
    "rowanrail.gateway.pools.error_rate",
    "rowanrail.gateway.pools.idle_rules",
    "rowanrail.gateway.pools.idle_transactions",
    "rowanrail.gateway.pools.member_health",
    "rowanrail.gateway.pools.opening_rules",
    "rowanrail.gateway.relay.detour_rules",
    "rowanrail.gateway.relay.forwarding_rules",
    "rowanrail.gateway.relay.holder_choice",
    "rowanrail.gateway.relay.liveness",
    "rowanrail.gateway.relay.serving_rules",
    "rowanrail.gateway.relay.work_routing",
    "rowanrail.gateway.services.service_share",
    "rowanrail.gateway.services.locality",
    "rowanrail.members.monitor_interval",
    "rowanrail.members.primary_state",
    "rowanrail.members.sampling_rules",
    "rowanrail.members.samples",
    "rowanrail.gateway.planned_stop",
    "rowanrail.gateway.work.attempts",
    "rowanrail.gateway.work.refusals",
    "rowanrail.model.members",
    "rowanrail.placement.hashed",
    "rowanrail.scheduling.admission",
    "rowanrail.scheduling.concurrency",
    "rowanrail.scheduling.entry",
    "rowanrail.scheduling.forecast_error",
    "rowanrail.scheduling.load",
    "rowanrail.scheduling.queue",
    "rowanrail.scheduling.retrying",
    "rowanrail.scheduling.choice",
    "rowanrail.scheduling.member_weight",
    "rowanrail.scheduling.lag",
    "rowanrail.scheduling.run_times",
    "rowanrail.scheduling.reported_weights",
    "rowanrail.scheduling.wait_forecast",
    "rowanrail.scheduling.warming",
    "rowanrail.tenants.demand",
    "rowanrail.tenants.model",
    "rowanrail.tenants.priority_classes",
    "rowanrail.tenants.quota",
    "rowanrail.tenants.quota_parameters",
    "rowanrail.tenants.sliding_window",
    "tests.soak.zone_rules",
)


class DoctestsTest(unittest.TestCase):
    def test_every_example_holds(self):
        for name in MODULES:
            with self.subTest(name):
                result = doctest.testmod(importlib.import_module(name))
                self.assertEqual(result.failed, 0)
                self.assertGreater(result.attempted, 0)
