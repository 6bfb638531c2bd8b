"""A minimal HTTP/1.1 server and client on ``h11``, for requests with JSON bodies.

For programs that must start quickly: ``aiohttp`` takes 0.28 s of CPU time to import, more than a
third of a gateway's start, and ``h11`` 0.03 s.
"""

import asyncio
from collections.abc import Awaitable, Callable

import h11
import msgspec

from rowanrail.kernel.errors import TransportError
from rowanrail.kernel.lifecycle import listen_error

MAXIMUM_BODY_BYTES = 8 * 1024 * 1024  # holds a configuration with tens of thousands of routes
JSON_TYPE = "application/json"


class HttpRequest(msgspec.Struct, frozen=True):
    """A request as passed to a handler; ``path`` excludes the query string.

    ``is_connected`` returns whether the caller still waits for the answer.
    """

    method: str
    path: str
    body: bytes
    is_connected: Callable[[], bool] = lambda: True


class HttpResponse(msgspec.Struct, frozen=True):
    """A response; an empty body is sent without a content type."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def error_response(status: int, message: str) -> HttpResponse:
    """Return a response with ``message`` as the ``error`` of a JSON body."""
    return HttpResponse(status, msgspec.json.encode({"error": message}))


class _ServerProtocol(asyncio.Protocol):
    """One connection; its requests are served one at a time, in order."""

    def __init__(self, handler: Handler, protocols: "set[_ServerProtocol]") -> None:
        self._handler = handler
        self._protocols = protocols
        self._connection = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._protocols.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._protocols.discard(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._connection.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint or 400, str(error))

    def eof_received(self) -> bool:
        return False

    def _process_events(self) -> None:
        while self._task is None:
            event = self._connection.next_event()
            if isinstance(event, h11.Request):
                self._request = event
                self._body.clear()
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MAXIMUM_BODY_BYTES:
                    self._refuse(413, f"the body is larger than {MAXIMUM_BODY_BYTES} bytes")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._task = asyncio.ensure_future(self._respond())
            else:
                return

    async def _respond(self) -> None:
        assert self._request is not None
        request = HttpRequest(
            self._request.method.decode("ascii"),
            self._request.target.decode("ascii").partition("?")[0],
            bytes(self._body),
            lambda: not self.transport.is_closing(),
        )
        try:
            response = await self._handler(request)
        except Exception as error:  # reported to the client; the server keeps running
            response = error_response(500, f"{type(error).__name__}: {error}")
        self._task = None
        if self.transport.is_closing():
            return
        self._send_response(response)
        if self._connection.our_state is h11.MUST_CLOSE:
            self.transport.close()
            return
        self._connection.start_next_cycle()
        self._process_events()

    def _send_response(self, response: HttpResponse) -> None:
        headers = [("Content-Length", str(len(response.body)))]
        if response.body:
            headers.append(("Content-Type", response.content_type))
        parts = [
            self._connection.send(h11.Response(status_code=response.status, headers=headers)),
            self._connection.send(h11.Data(data=response.body)) if response.body else b"",
            self._connection.send(h11.EndOfMessage()),
        ]
        self.transport.write(b"".join(part for part in parts if part))

    def _refuse(self, status: int, message: str) -> None:
        if self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send_response(error_response(status, message))
        self.transport.close()


class HttpServer:
    """A server that listens on one address."""

    def __init__(self, server: asyncio.Server, protocols: set[_ServerProtocol]) -> None:
        self._server = server
        self._protocols = protocols

    def close(self) -> None:
        """Stop listening and close all connections at once."""
        self._server.close()
        for protocol in list(self._protocols):
            protocol.transport.close()


async def serve(address: str, handler: Handler) -> HttpServer:
    """Start a server on ``host:port``.

    :raises RowanrailError: if the address can't be listened on.
    """
    host, _, port = address.rpartition(":")
    protocols: set[_ServerProtocol] = set()
    loop = asyncio.get_running_loop()
    try:
        server = await loop.create_server(
            lambda: _ServerProtocol(handler, protocols), host, int(port), backlog=256
        )
    except OSError as error:
        raise listen_error(address, error) from error
    return HttpServer(server, protocols)


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    timeout_seconds: float,
) -> HttpResponse:
    """Send a request on a new connection and return the response.

    :raises TransportError: if there is no response in time; the request may have been served.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            return await _call(address, method, path, body, headers)
    except (OSError, TimeoutError, EOFError, h11.ProtocolError) as error:
        reason = str(error) or "no answer in time"
        raise TransportError(reason, step=f"{method} {path}", peer=address) from error


async def _call(
    address: str, method: str, path: str, body: bytes, headers: dict[str, str]
) -> HttpResponse:
    host, _, port = address.rpartition(":")
    connection = h11.Connection(h11.CLIENT)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        all_headers = {
            "Host": address,
            "Content-Type": JSON_TYPE,
            "Content-Length": str(len(body)),
            "Connection": "close",
            **headers,
        }
        request = h11.Request(method=method, target=path, headers=list(all_headers.items()))
        for event in (request, h11.Data(data=body), h11.EndOfMessage()):
            writer.write(connection.send(event) or b"")
        return await _read_response(connection, reader)
    finally:
        writer.close()


async def _read_response(connection: h11.Connection, reader: asyncio.StreamReader) -> HttpResponse:
    status = 0
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return HttpResponse(status, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise EOFError("the connection was closed before the response")
