"""Calls over TCP to peers that do not answer."""

import asyncio
import gc
import socket
import unittest

from rowanrail.cluster.messages import BarrierReply, BarrierRequest
from rowanrail.kernel.errors import TransportError
from rowanrail.kernel.sockets import set_tcp_timeouts
from rowanrail.rpc.tcp import TcpNetwork


class SilentPeerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_after_a_timeout_opens_a_new_connection(self):
        # After a partition heals, TCP retransmits on the old connection only after long intervals.
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

    async def test_a_connection_attempt_that_fails_after_its_caller_timed_out_logs_nothing(self):
        # Guards against "Task exception was never retrieved" in the log.
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        network = TcpNetwork()

        async def fails_late(address):
            await asyncio.sleep(0.05)
            raise OSError("unreachable")

        network._open = fails_late
        with self.assertRaises(TransportError):
            await network.call("127.0.0.1:1", BarrierRequest(), 0.01)
        await asyncio.sleep(0.1)
        gc.collect()
        self.assertEqual(errors, [])

    async def test_a_slow_call_does_not_block_others_on_the_connection(self):
        network = TcpNetwork()

        async def answer(request):
            self.asked += 1
            if self.asked == 1:
                await asyncio.sleep(10)
            return BarrierReply(self.asked)

        self.asked = 0
        listener = await network.serve("127.0.0.1:18977", answer)
        slow = asyncio.ensure_future(network.call("127.0.0.1:18977", BarrierRequest(), 2.0))
        while not self.asked:
            await asyncio.sleep(0.01)
        quick = await network.call("127.0.0.1:18977", BarrierRequest(), 10.0)
        self.assertFalse(slow.done())
        with self.assertRaises(TransportError):
            await slow
        self.assertEqual(quick, BarrierReply(2))
        self.assertEqual((await network.call("127.0.0.1:18977", BarrierRequest(), 10.0)).index, 3)
        await listener.close()
        await network.close()


class DroppingRelay:
    """Forwards data between a client and a peer until its open connections are made to drop it."""

    def __init__(self, peer):
        self._peer = peer
        self._dropped_before = 0
        self._tasks = []
        self.connections = 0

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def drop_open_connections(self):
        """Drop all further data of open connections; new connections work."""
        self._dropped_before = self.connections

    def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        number = self.connections
        self.connections += 1
        host, _, port = self._peer.rpartition(":")
        peer_reader, peer_writer = await asyncio.open_connection(host, int(port))
        for source, target in ((reader, peer_writer), (peer_reader, writer)):
            self._tasks.append(asyncio.ensure_future(self._pump(number, source, target)))

    async def _pump(self, number, source, target):
        while data := await source.read(4096):
            if number >= self._dropped_before:
                target.write(data)
        target.close()


class SilentConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """All open connections lose their data from one moment on, without a reset; new ones work.

    Guards against one timeout for each peer in turn, before a peer answers.
    """

    async def asyncSetUp(self):
        self.network = TcpNetwork()
        self.relays, self.addresses, self.listeners = [], [], []
        for number in range(3):
            address = f"127.0.0.1:{18980 + number}"
            self.listeners.append(await self.network.serve(address, self.answer))
            relay = DroppingRelay(address)
            self.relays.append(relay)
            self.addresses.append(await relay.start())
        for address in self.addresses:
            await self.call(address)
        for relay in self.relays:
            relay.drop_open_connections()

    async def asyncTearDown(self):
        await self.network.close()
        for relay in self.relays:
            relay.close()
        for listener in self.listeners:
            await listener.close()

    async def answer(self, request):
        return BarrierReply(1)

    async def call(self, address):
        return await self.network.call(address, BarrierRequest(), 0.3)

    async def test_after_a_timeout_the_next_peer_is_called_on_a_new_connection(self):
        with self.assertRaises(TransportError):
            await self.call(self.addresses[0])
        for address in self.addresses:
            await self.call(address)

    async def test_connections_with_pending_calls_stay_open(self):
        slow = asyncio.Event()
        self.answer = self.answer_slowly(slow)
        listener = await self.network.serve("127.0.0.1:18983", self.answer)
        self.listeners.append(listener)
        held = asyncio.ensure_future(self.network.call("127.0.0.1:18983", BarrierRequest(), 3.0))
        await asyncio.sleep(0.05)
        with self.assertRaises(TransportError):
            await self.call(self.addresses[0])
        slow.set()
        self.assertEqual(await held, BarrierReply(2))

    def answer_slowly(self, event):
        async def answer(request):
            await event.wait()
            return BarrierReply(2)

        return answer


class KeepaliveTest(unittest.IsolatedAsyncioTestCase):
    async def test_keepalive_is_enabled_at_both_ends(self):
        # Otherwise the connection of a client that vanished would keep its file descriptor.
        kept = []

        async def accept(reader, writer):
            set_tcp_timeouts(writer.transport)
            kept.append(writer.get_extra_info("socket"))

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        set_tcp_timeouts(writer.transport)
        kept.append(writer.get_extra_info("socket"))
        await asyncio.sleep(0.05)
        for connection in kept:
            self.assertEqual(connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE), 1)
            limit = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            self.assertEqual(limit, 1500)
        writer.close()
        server.close()
