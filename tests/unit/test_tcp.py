"""Calls over TCP to peers that are silent."""

import asyncio
import gc
import unittest

from rowanrail.control.messages import BarrierReply, BarrierRequest
from rowanrail.kernel.errors import TransportError
from rowanrail.rpc.tcp import TcpNetwork


class SilentPeerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_after_a_silent_one_begins_a_new_connection(self):
        # Found on a played day: after a cut had healed, calls still waited on the old
        # connection, whose bytes were sent again only after a growing pause.
        connections = []

        async def accept(reader, writer):
            connections.append(writer)
            await reader.read()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        network = TcpNetwork()
        for _ in range(2):
            with self.assertRaises(TransportError):
                await network.call(f"{host}:{port}", BarrierRequest(), 0.4)
        self.assertEqual(len(connections), 2)
        await network.close()
        server.close()

    async def test_an_attempt_that_outlives_its_caller_ends_without_a_word(self):
        # Found on a played day: "Task exception was never retrieved", with its trace, in the log.
        complaints = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: complaints.append(context))
        network = TcpNetwork()

        async def fails_late(address):
            await asyncio.sleep(0.05)
            raise OSError("unreachable")

        network._open = fails_late
        with self.assertRaises(TransportError):
            await network.call("127.0.0.1:1", BarrierRequest(), 0.01)
        await asyncio.sleep(0.1)
        gc.collect()
        self.assertEqual(complaints, [])

    async def test_a_slow_call_leaves_the_connection_to_the_others(self):
        network = TcpNetwork()

        async def answer(request):
            self.asked += 1
            if self.asked == 1:
                await asyncio.sleep(10)
            return BarrierReply(self.asked)

        self.asked = 0
        listener = await network.serve("127.0.0.1:18977", answer)
        slow = asyncio.ensure_future(network.call("127.0.0.1:18977", BarrierRequest(), 0.2))
        await asyncio.sleep(0.05)
        quick = await network.call("127.0.0.1:18977", BarrierRequest(), 0.2)
        with self.assertRaises(TransportError):
            await slow
        self.assertEqual(quick, BarrierReply(2))
        self.assertEqual((await network.call("127.0.0.1:18977", BarrierRequest(), 0.2)).index, 3)
        await listener.close()
        await network.close()
