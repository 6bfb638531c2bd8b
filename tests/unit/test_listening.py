"""Ports that are opened before the program behind them is ready."""

import asyncio
import socket
import tempfile
import unittest
from pathlib import Path

from returns.result import Success

from rowanrail.config.reader import read_yaml
from rowanrail.kernel.http import HttpResponse, serve
from rowanrail.kernel.listening import open_early, take_listener


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        host, port = server.getsockname()
    return f"{host}:{port}"


class EarlyListeningTest(unittest.IsolatedAsyncioTestCase):
    async def test_who_connects_while_the_program_loads_is_served_once_it_is_ready(self):
        address = free_address()
        open_early([address])
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")

        async def ready(request):
            return HttpResponse(200)

        server = await serve(address, ready)
        line = await asyncio.wait_for(reader.readline(), 2.0)
        self.assertIn(b"200", line)
        writer.close()
        server.close()

    async def test_an_address_that_cannot_be_used_is_told_by_who_serves_it(self):
        address = free_address()
        host, _, port = address.rpartition(":")
        with socket.create_server((host, int(port))):
            open_early([address])
            with self.assertRaises(OSError):
                take_listener(address)

    def test_words_that_are_no_addresses_are_left_alone(self):
        open_early(["", "nowhere", "127.0.0.1:x", "127.0.0.1:99999"])


class JsonSettingsTest(unittest.TestCase):
    def read(self, text):
        path = Path(tempfile.mkdtemp()) / "settings"
        path.write_text(text)
        return read_yaml(path)

    def test_json_is_read_as_the_yaml_that_it_is(self):
        self.assertEqual(self.read(' {"a": [1, "b"]}'), Success({"a": [1, "b"]}))
        self.assertEqual(self.read("{a: [1, b]}"), Success({"a": [1, "b"]}))

    def test_a_broken_file_is_told_with_its_place(self):
        (problem,) = self.read('{"a": [1,}').failure()
        self.assertIn("line 1, column", problem)
