"""The operator's orders to evacuate zones, as requests to one control node."""

import asyncio
import socket
import unittest
from types import SimpleNamespace

from rowanrail.config.settings import CoordinatorSettings
from rowanrail.directory.messages import Evacuations
from rowanrail.kernel.errors import TransportError
from rowanrail.kernel.http import HttpRequest, serve
from tests.support import platform_path  # noqa: F401 - it is imported for its effect
from tests.support.gateway import RecordingLog

from rowanrail_platform.control_api import ControlApi  # isort: skip


class FakeService:
    def __init__(self):
        member = SimpleNamespace(zone="new-zone")
        self.state = SimpleNamespace(members={"m1": member}, evacuations=Evacuations())
        self.orders = []
        self.error = None

    async def set_evacuation(self, zone, is_evacuated):
        if self.error is not None:
            raise self.error
        self.orders.append((zone, is_evacuated))


class EvacuationApiTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.service = FakeService()
        self.log = RecordingLog("n1")
        self.api = self.make_api({"cairo-a": "cairo", "split é": "adr"})

    def make_api(self, regions):
        fields = dict.fromkeys(("name", "zone", "data_folder", "host", "protocol"), "")
        settings = CoordinatorSettings(
            **fields, listen="127.0.0.1:1", control_nodes=[], rpc_port=1, regions=regions
        )
        return ControlApi(self.service, settings, self.log)

    async def status(self, method, path, api=None):
        return (await (api or self.api).handle(HttpRequest(method, path, b""))).status

    async def test_orders_are_acknowledged_after_their_commit(self):
        self.assertEqual(await self.status("POST", "/evacuate/cairo-a"), 200)
        self.assertEqual(await self.status("DELETE", "/evacuate/cairo-a"), 200)
        self.assertEqual(await self.status("POST", "/evacuate/split%20%C3%A9"), 200)
        expected = [("cairo-a", True), ("cairo-a", False), ("split é", True)]
        self.assertEqual(self.service.orders, expected)

    async def test_an_unknown_zone_is_refused_clearly(self):
        answer = await self.api.handle(HttpRequest("POST", "/evacuate/cairo", b""))
        self.assertEqual(answer.status, 422)
        self.assertIn(b"cairo-a", answer.body)
        self.assertEqual(self.service.orders, [])
        self.log.flush()
        self.assertIn(b'"event":478', self.log.written)

    async def test_zones_of_members_and_evacuated_zones_are_known(self):
        self.assertEqual(await self.status("POST", "/evacuate/new-zone"), 200)
        self.service.state.evacuations = Evacuations(3, {"gone": 1})
        self.assertEqual(await self.status("DELETE", "/evacuate/gone"), 200)

    async def test_a_withdrawal_that_was_taken_is_acknowledged_again(self):
        self.service.state.evacuations = Evacuations(4, {}, {"gone": 2})
        self.assertEqual(await self.status("DELETE", "/evacuate/gone"), 200)

    async def test_every_zone_is_known_without_settings(self):
        self.assertEqual(await self.status("POST", "/evacuate/any", self.make_api({})), 200)

    async def test_an_order_that_may_not_be_committed_is_answered_with_503(self):
        self.service.error = TransportError("no majority of the control nodes answers")
        self.assertEqual(await self.status("POST", "/evacuate/cairo-a"), 503)

    async def test_other_requests_are_refused(self):
        for method, path in (("GET", "/evacuate/cairo-a"), ("POST", "/evacuate/")):
            self.assertEqual(await self.status(method, path), 404)

    async def test_an_order_whose_caller_has_gone_is_not_carried_out(self):
        # A node that was frozen reads it late, when later orders may have been acknowledged.
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]
        server = await serve(f"127.0.0.1:{port}", self.api.handle)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"DELETE /evacuate/cairo-a HTTP/1.1\r\nHost: n1\r\n\r\n")
        writer.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.service.orders, [])
        server.close()
