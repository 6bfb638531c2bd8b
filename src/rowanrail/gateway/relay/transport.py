"""TCP transport of links: one connection per link, with length-prefixed frames.

Owns sockets and framing; the only module of this package that does I/O. Relies on :mod:`link` and
:mod:`serving` to handle messages.
"""

import asyncio
import struct

import msgspec

from rowanrail.gateway.relay.link import Link, LinkState
from rowanrail.gateway.relay.messages import FromGateway, FromHolder
from rowanrail.gateway.relay.neighbours import LinkOpener
from rowanrail.gateway.relay.serving import LinkServer, ServedLink
from rowanrail.kernel.lifecycle import listen_error
from rowanrail.kernel.sockets import set_tcp_timeouts

__all__ = ["TcpLinkServer", "TcpLinkOpener"]

LINK_CONNECT_SECONDS = 0.4  # eight round trips between regions; work goes elsewhere meanwhile
MAX_LINK_FRAME_BYTES = 2 * 1024 * 1024  # a statement of 1 MiB and its metadata
# Unsent bytes above which the connection of a peer that does not read is closed, to bound memory.
MAX_LINK_BACKLOG_BYTES = 8 * 1024 * 1024
_LENGTH = struct.Struct("<I")

_encoder = msgspec.msgpack.Encoder()
_gateway_decoder = msgspec.msgpack.Decoder(FromGateway)
_holder_decoder = msgspec.msgpack.Decoder(FromHolder)


class _Framed(asyncio.Protocol):
    """Base class of both ends: splits the byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_tcp_timeouts(transport)

    def data_received(self, data: bytes) -> None:
        buffer = self._buffer + data if self._buffer else data
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_LINK_FRAME_BYTES:
                self.close()
                return
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            frame = buffer[start + _LENGTH.size : end]
            start = end
            try:
                self.take(frame)
            except msgspec.MsgspecError:
                self.close()  # an invalid message; pending calls fail with the link
                return
        self._buffer = buffer[start:]

    def take(self, frame: bytes) -> None:
        """Handle one frame.

        Raises
        ------
        msgspec.MsgspecError
            If the frame is not a valid message.
        """
        raise NotImplementedError

    def write(self, message: msgspec.Struct) -> None:
        """Send a message; abort the connection if too much is unsent."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_LINK_BACKLOG_BYTES:
            transport.abort()
            return
        frame = _encoder.encode(message)
        transport.write(_LENGTH.pack(len(frame)) + frame)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes in the write buffer."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return 0
        return transport.get_write_buffer_size()

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()


class _LinkProtocol(_Framed):
    """The sender's end of a link."""

    def __init__(self, link: Link) -> None:
        super().__init__()
        self._link = link

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._link.opened(self)

    def send(self, message: FromGateway) -> None:
        """Send a message to the holder."""
        self.write(message)

    def take(self, frame: bytes) -> None:
        self._link.receive(_holder_decoder.decode(frame))

    def connection_lost(self, exc: Exception | None) -> None:
        self._link.lost(str(exc) if exc else "the neighbour closed the connection")


class TcpLinkOpener(LinkOpener):
    """Opens links over TCP."""

    def __init__(self) -> None:
        self._opening: set[asyncio.Task[None]] = set()

    def open(self, address: str, link: Link) -> None:
        """Start to open a connection to ``host:port``; ``link`` is told of the result."""
        task = asyncio.ensure_future(self._open(address, link))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    @staticmethod
    async def _open(address: str, link: Link) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(LINK_CONNECT_SECONDS):
                await loop.create_connection(lambda: _LinkProtocol(link), host, int(port))
        except (OSError, TimeoutError, ValueError) as error:
            if link.state is LinkState.OPENING:
                link.lost(str(error) or "no connection in time")


class _HolderProtocol(_Framed):
    """The holder's end of a link."""

    def __init__(self, server: "TcpLinkServer", link_server: LinkServer) -> None:
        super().__init__()
        self._server = server
        self._link_server = link_server
        self._served: ServedLink | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)
        self._served = self._link_server.accept(self.write)

    def take(self, frame: bytes) -> None:
        if self._served is not None:
            self._served.receive(_gateway_decoder.decode(frame))

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        if self._served is not None:
            self._served.lost()


class TcpLinkServer:
    """Accepts the TCP connections of neighbours, on which a :class:`LinkServer` serves links.

    Parameters
    ----------
    link_server : LinkServer
        Serves the links.
    """

    def __init__(self, link_server: LinkServer) -> None:
        self.connections: set[_HolderProtocol] = set()
        self._link_server = link_server
        self._server: asyncio.Server | None = None

    @property
    def unsent_bytes(self) -> int:
        """Number of unsent bytes on all links."""
        return sum(connection.unsent_bytes for connection in self.connections)

    async def start(self, address: str) -> None:
        """Listen on ``host:port``.

        Raises
        ------
        RowanrailError
            If it can't listen on the address.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: _HolderProtocol(self, self._link_server), host, int(port)
            )
        except OSError as error:
            raise listen_error(address, error) from error

    def close(self) -> None:
        """Stop listening and close all links at once."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()
