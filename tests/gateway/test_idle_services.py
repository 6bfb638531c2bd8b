"""Unused services must not be checked at every tick of a gateway."""

import unittest
import unittest.mock

from rowanrail.gateway.gateway import IDLE_SERVICE_TICKS, TICK_SECONDS
from rowanrail.gateway.services.service import IN_USE_SECONDS, Service
from tests.support.gateway import GatewayHarness


class IdleServicesTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        self.service = self.harness.gateway.services["db"]

    def count_ticks(self, seconds):
        """Return how often the service is checked."""
        with unittest.mock.patch.object(Service, "tick", autospec=True, side_effect=Service.tick):
            self.harness.clock.advance(seconds)
            return Service.tick.call_count

    def make_idle(self):
        """Advance the clock until the service is unused and has no connections."""
        self.harness.clock.advance(IN_USE_SECONDS + 1)
        for pool in self.service.pools.values():
            for channel in list(pool.connections.idle):
                channel.close()
        self.harness.clock.advance(1.0)

    def test_an_unused_service_is_checked_rarely(self):
        self.make_idle()
        rounds = 1.0 / (TICK_SECONDS * IDLE_SERVICE_TICKS)
        self.assertLessEqual(self.count_ticks(1.0), rounds + 1)

    def test_a_service_in_use_is_checked_at_each_tick(self):
        self.make_idle()
        self.harness.client("reports").run("READ a", seconds=0.2)
        self.assertGreaterEqual(self.count_ticks(1.0), 1.0 / TICK_SECONDS - 2)

    def test_an_unused_service_with_connections_is_checked_at_each_tick(self):
        self.harness.client("reports").run("READ a", seconds=0.2)
        self.service.used_at = -IN_USE_SECONDS
        self.assertGreaterEqual(self.count_ticks(0.3), 0.3 / TICK_SECONDS - 2)

    def test_an_unused_service_with_a_failing_primary_is_checked_at_each_tick(self):
        self.make_idle()
        self.service.primary.state.failing_since = self.harness.clock.time()
        self.assertGreaterEqual(self.count_ticks(0.3), 0.3 / TICK_SECONDS - 2)
