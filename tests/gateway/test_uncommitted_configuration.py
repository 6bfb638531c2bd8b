"""Tests that a gateway obeys no configuration that the control nodes have not committed.

A change that was only in the logs of some control nodes when all processes were killed may be
lost. A gateway that obeyed it would keep it in place of the one that is committed under its
version.
"""

import asyncio
import unittest
import zlib

from returns.result import Success

from rowanrail.directory.messages import (
    DirectoryReply,
    GatewayReport,
    LoggedDirectoryReply,
    LoggedDirectoryRequest,
)
from rowanrail.gateway.discovery.control_plane_client import ControlPlaneClient
from rowanrail.gateway.discovery.provisional import are_orders_committed
from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.services.locality import Locality
from rowanrail.kernel.registry import Registry
from rowanrail.model.routing import Consistency, Route, RoutingConfiguration, ServiceSpec
from tests.support.gateway import FakeDriver, ManualClock, RecordingLog

VOTERS = ["v1", "v2", "v3"]
OLD, LOST, COMMITTED = (7, b"old"), (8, b"lost"), (8, b"committed")


class OneRouteFormat:
    """Parses ``version:service`` into a configuration that routes one database to the service."""

    def parse(self, document):
        version, service = document.decode().split(":")
        route = Route("orders", "orders", service, Consistency.PRIMARY, 1.0, 0.5, 1.0, 1)
        services = {service: ServiceSpec(service, 30)}
        return Success(RoutingConfiguration(int(version), {"orders": route}, services, 3.0))


def encoded(change):
    """Return the document of a change, a version and the service to which it routes."""
    version, service = change
    return zlib.compress(b"%d:%s" % (version, service))


def reply(change, revision=3, current=True):
    """Return a control node's directory with a configuration."""
    return DirectoryReply(current, change[0], encoded(change), revision, [], 1, 1, [], [])


def logged(node, last, change, term=None):
    """Return a control node's reply; its log ends at ``last``, a term and an index."""
    directory = reply(change, revision=last[1], current=False)
    return LoggedDirectoryReply(node, *last, VOTERS, directory, term or last[0])


class RestartedControls:
    """Control nodes that have no leader, until :meth:`elect` is called."""

    def __init__(self, logs):
        self._logs = logs
        self._elected = asyncio.Event()
        self._change = OLD
        self.logs_told = 0
        self.replies = 0

    def elect(self, change):
        """Have a leader report a configuration."""
        self._change = change
        self._elected.set()

    async def call(self, address, request, timeout_seconds):
        if isinstance(request, LoggedDirectoryRequest):
            self.logs_told += 1
            return self._logs[address]
        async with asyncio.timeout(10.0):
            await self._elected.wait()
        await asyncio.sleep(0.005)
        self.replies += 1
        return reply(self._change)


class StartWithoutLeaderTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *logs):
        """Start a gateway while the control nodes have these logs and no leader."""
        self.controls = RestartedControls({log.node: log for log in logs})
        log = RecordingLog("proxy")
        self.gateway = Gateway(Locality("a", {}), FakeDriver([]), ManualClock(), log, Registry())
        client = ControlPlaneClient(
            self.gateway,
            self.controls,
            [log.node for log in logs],
            OneRouteFormat(),
            lambda: GatewayReport("g1", "a", []),
            log,
            Locality("a", {}),
        )
        client.start()
        self.addCleanup(client.stop)
        await self.wait_until(lambda: self.controls.logs_told == len(logs))
        await asyncio.sleep(0.01)  # until the last one is processed

    async def elect(self, change):
        """Have a leader report a configuration, and wait until the gateway has processed it."""
        self.controls.elect(change)
        already = self.controls.replies
        await self.wait_until(lambda: self.controls.replies >= already + len(VOTERS) + 1)

    async def wait_until(self, condition):
        async with asyncio.timeout(10.0):
            while not condition():
                await asyncio.sleep(0.005)

    def obeyed(self):
        """Return the version and service that the gateway obeys, None without any."""
        configuration = self.gateway.configuration
        if configuration is None:
            return None
        return configuration.version, configuration.routes["orders"].service.encode()

    async def test_change_on_one_disk_is_lost_and_another_one_gets_its_version(self):
        # The gateway would route by the lost change until a higher version comes.
        await self.start(logged("v1", (2, 10), LOST), logged("v2", (2, 9), OLD))
        await self.elect(OLD)
        self.assertEqual(self.obeyed(), OLD)
        await self.elect(COMMITTED)
        self.assertEqual(self.obeyed(), COMMITTED)

    async def test_change_on_one_disk_is_lost_and_never_sent_again(self):
        # The gateway would route by it, or return to the older version, for as long as it runs.
        await self.start(logged("v1", (2, 10), LOST), logged("v2", (2, 9), OLD))
        self.assertIsNone(self.obeyed())
        await self.elect(OLD)
        self.assertEqual(self.obeyed(), OLD)

    async def test_change_on_one_disk_is_committed_in_the_end(self):
        await self.start(logged("v1", (2, 10), LOST), logged("v2", (2, 9), OLD))
        await self.elect(LOST)
        self.assertEqual(self.obeyed(), LOST)

    async def test_another_change_under_the_version_is_elected_at_once(self):
        await self.start(logged("v1", (2, 10), LOST), logged("v2", (1, 10), COMMITTED))
        self.assertIsNone(self.obeyed())
        await self.elect(COMMITTED)
        self.assertEqual(self.obeyed(), COMMITTED)

    async def test_change_that_a_majority_holds_is_obeyed_without_a_leader(self):
        await self.start(logged("v1", (2, 10), LOST), logged("v2", (2, 11), LOST))
        self.assertEqual(self.obeyed(), LOST)

    async def test_entry_of_an_earlier_term_on_a_majority_may_be_overwritten(self):
        # As in figure 8 of the paper: a log that ends in a term between may still be elected.
        await self.start(logged("v1", (2, 10), LOST, term=4), logged("v2", (2, 10), LOST, term=4))
        self.assertIsNone(self.obeyed())


class CommittedOrdersTest(unittest.TestCase):
    def test_node_of_an_earlier_version_proves_nothing(self):
        replies = [
            LoggedDirectoryReply(node, 2, 9, VOTERS, reply(OLD)) for node in ("v1", "v2", "v3")
        ]
        self.assertFalse(are_orders_committed(replies[0], replies))

    def test_learners_and_former_voters_prove_nothing(self):
        replies = [logged(node, (2, 9), OLD) for node in ("v1", "v4", "v5")]
        self.assertFalse(are_orders_committed(replies[0], replies))

    def test_shorter_logs_of_the_term_prove_what_they_hold(self):
        replies = [logged("v1", (2, 20), OLD), logged("v2", (2, 9), OLD)]
        self.assertTrue(are_orders_committed(replies[0], replies))


if __name__ == "__main__":
    unittest.main()
