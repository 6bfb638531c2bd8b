"""A gateway's clock costs little where most services are used by others.

A gateway of a large fleet knows every service, and holds connections to few. Each looked at 20
times a second, 75 of them took 0.7 % of a core.
"""

import unittest
import unittest.mock

from rowanrail.gateway.gateway import TICK_SECONDS, TICKS_OF_IDLE
from rowanrail.gateway.services.service import IN_USE_SECONDS, Service
from tests.support.gateway import PlayedGateway


class IdleServicesTest(unittest.TestCase):
    def setUp(self):
        self.played = PlayedGateway()
        self.service = self.played.gateway.services["db"]

    def ticks(self, seconds):
        """Return how often the service is looked at."""
        with unittest.mock.patch.object(Service, "tick", autospec=True, side_effect=Service.tick):
            self.played.clock.advance(seconds)
            return Service.tick.call_count

    def rest(self):
        """Let time pass until nothing of the service is in use."""
        self.played.clock.advance(IN_USE_SECONDS + 1)
        for pool in self.service.pools.values():
            for channel in list(pool.connections.idle):
                channel.close()
        self.played.clock.advance(1.0)

    def test_a_service_that_nobody_uses_is_looked_at_now_and_then(self):
        self.rest()
        rounds = 1.0 / (TICK_SECONDS * TICKS_OF_IDLE)
        self.assertLessEqual(self.ticks(1.0), rounds + 1)

    def test_a_service_in_use_is_looked_at_at_each_tick(self):
        self.rest()
        self.played.client("reports").run("READ a", seconds=0.2)
        self.assertGreaterEqual(self.ticks(1.0), 1.0 / TICK_SECONDS - 2)

    def test_one_that_holds_connections_is_looked_at_though_it_is_not_used(self):
        self.played.client("reports").run("READ a", seconds=0.2)
        self.service.used_at = -IN_USE_SECONDS
        self.assertGreaterEqual(self.ticks(0.3), 0.3 / TICK_SECONDS - 2)

    def test_one_whose_primary_fails_is_looked_at_though_it_is_not_used(self):
        self.rest()
        self.service.primary.state.failing_since = self.played.clock.time()
        self.assertGreaterEqual(self.ticks(0.3), 0.3 / TICK_SECONDS - 2)
