"""The sender of a line is found by its connection, else a check would blame no gateway."""

import asyncio
import subprocess
import sys
import unittest

from tests.soak.senders import find_sender

CONNECT = "import socket, sys, time; s = socket.create_connection((sys.argv[1], int(sys.argv[2])))"


class FindSenderTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_process_that_connected(self):
        ports = asyncio.Queue()
        server = await asyncio.start_server(
            lambda _, writer: ports.put_nowait(writer.get_extra_info("peername")[1]), "127.0.0.1", 0
        )
        address = [str(part) for part in server.sockets[0].getsockname()]
        code = f"{CONNECT}; time.sleep(60)"
        with (
            subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"]) as other,
            subprocess.Popen([sys.executable, "-c", code, *address]) as client,
        ):
            processes = {"other": other, "client": client}
            try:
                port = await asyncio.wait_for(ports.get(), 10)
                self.assertEqual(find_sender(port, processes), "client")
                self.assertEqual(find_sender(port, {"other": other}), "")
            finally:
                other.kill()
                client.kill()
                server.close()
