"""Network over TCP, with length-prefixed frames and one connection per peer address.

A call that times out on a connection that received no data closes that connection and all others
that have been idle since the call began, because a network failure without a reset may have broken
them too.
"""

import asyncio
import struct

import msgspec

from rowanrail.kernel.errors import TransportError
from rowanrail.kernel.lifecycle import listen_error
from rowanrail.kernel.registry import register
from rowanrail.kernel.sockets import set_tcp_timeouts
from rowanrail.rpc.codec import (
    MAXIMUM_RPC_FRAME_BYTES,
    Failure,
    FrameKind,
    decode_frame,
    encode_frame,
)
from rowanrail.rpc.network import Handler, Listener, Network

RPC_CONNECT_SECONDS = 0.3  # less than the second after which TCP retransmits a lost SYN
MAXIMUM_NOTICE_BACKLOG_BYTES = 8 * 1024 * 1024  # unsent data beyond which notices are dropped
_LENGTH = struct.Struct("<I")


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    Raises
    ------
    TransportError
        If the address is malformed.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit():
        raise TransportError(f"{address!r} is not host:port", step="resolve", peer=address)
    return host, int(port)


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAXIMUM_RPC_FRAME_BYTES:
        raise TransportError(f"frame of {length} bytes is too large", step="receive")
    return await reader.readexactly(length)


def _write_frame(writer: asyncio.StreamWriter, frame: bytes) -> None:
    writer.write(_LENGTH.pack(len(frame)) + frame)


class _Connection:
    """Client side of a connection; replies are matched to requests by call id."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self._reader = reader
        self._calls: dict[int, asyncio.Future[msgspec.Struct]] = {}
        self._next_call = 0
        self._task = asyncio.ensure_future(self._receive())
        self.received = 0
        self.closed = False
        self._used_at = asyncio.get_running_loop().time()

    @property
    def used_at(self) -> float:
        """Monotonic time in seconds when data was last sent or received."""
        return self._used_at

    @property
    def has_calls(self) -> bool:
        """Whether any request waits for its reply."""
        return bool(self._calls)

    def send_call(self, request: msgspec.Struct) -> "asyncio.Future[msgspec.Struct]":
        self._next_call += 1
        future: asyncio.Future[msgspec.Struct] = asyncio.get_running_loop().create_future()
        self._calls[self._next_call] = future
        call = self._next_call
        future.add_done_callback(lambda _: self._calls.pop(call, None))
        self._write(encode_frame(FrameKind.REQUEST, call, request))
        return future

    def send_notice(self, notice: msgspec.Struct) -> None:
        if self.writer.transport.get_write_buffer_size() > MAXIMUM_NOTICE_BACKLOG_BYTES:
            return
        self._write(encode_frame(FrameKind.NOTICE, 0, notice))

    def _write(self, frame: bytes) -> None:
        self._used_at = asyncio.get_running_loop().time()
        _write_frame(self.writer, frame)

    async def _receive(self) -> None:
        try:
            while True:
                kind, call, reply = decode_frame(await _read_frame(self._reader))
                self.received += 1
                self._used_at = asyncio.get_running_loop().time()
                future = self._calls.get(call)
                if kind is FrameKind.REPLY and future is not None and not future.done():
                    future.set_result(reply)
        except (OSError, EOFError, TransportError):
            pass  # close() fails all pending calls, and their callers log it
        finally:
            self.close()

    def close(self) -> None:
        self.closed = True
        self.writer.close()
        self._task.cancel()
        for future in list(self._calls.values()):
            if not future.done():
                future.set_exception(TransportError("connection lost", step="receive"))


class _TcpListener(Listener):
    def __init__(self, server: asyncio.Server, writers: set[asyncio.StreamWriter]) -> None:
        self._server = server
        self._writers = writers

    async def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.close()


@register("network", "tcp")
class TcpNetwork(Network):
    """Requests and one-way messages over TCP; see the module docstring."""

    def __init__(self) -> None:
        self._connections: dict[str, _Connection] = {}
        self._opening: dict[str, asyncio.Task[_Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, address: str, handler: Handler) -> Listener:
        """Listen on ``address``; the handler's return value is sent as the reply to a request.

        Raises
        ------
        RowanrailError
            If the address can't be listened on.
        """
        writers: set[asyncio.StreamWriter] = set()

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.add(writer)
            set_tcp_timeouts(writer.transport)
            try:
                await self._serve_connection(reader, writer, handler)
            finally:
                writers.discard(writer)
                writer.close()

        host, port = split_address(address)
        try:
            server = await asyncio.start_server(accept, host, port, backlog=1024)
        except OSError as error:
            raise listen_error(address, error) from error
        return _TcpListener(server, writers)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
    ) -> None:
        try:
            while True:
                kind, call, body = decode_frame(await _read_frame(reader))
                task = asyncio.ensure_future(self._answer(writer, handler, kind, call, body))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (OSError, EOFError, TransportError):
            return  # the client disconnected or sent an invalid frame; it logs the lost connection

    @staticmethod
    async def _answer(
        writer: asyncio.StreamWriter,
        handler: Handler,
        kind: FrameKind,
        call: int,
        body: msgspec.Struct,
    ) -> None:
        try:
            reply = await handler(body)
        except Exception as error:  # reported to the peer; the connection stays open
            reply = Failure(f"{type(error).__name__}: {error}")
        if kind is FrameKind.REQUEST and not writer.is_closing():
            _write_frame(writer, encode_frame(FrameKind.REPLY, call, reply or Failure("no reply")))

    async def call(
        self, address: str, request: msgspec.Struct, timeout_seconds: float
    ) -> msgspec.Struct:
        """Send a request and return its reply.

        Raises
        ------
        TransportError
            If there is no reply in time, or the peer reports a failure.
        """
        step = type(request).__name__
        connection: _Connection | None = None
        received = 0
        started_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_seconds):
                connection = await self._connect(address)
                received = connection.received
                reply = await connection.send_call(request)
        except TimeoutError as error:
            if connection is not None and connection.received == received:
                connection.close()  # no data received: the network path may be broken
                self._close_idle_since(started_at)
            raise TransportError("no answer in time", step=step, peer=address) from error
        except OSError as error:
            raise TransportError(str(error), step=step, peer=address) from error
        if isinstance(reply, Failure):
            raise TransportError(reply.reason, step=step, peer=address)
        return reply

    def _close_idle_since(self, moment: float) -> None:
        """Close the connections that have been idle since a time and have no pending calls.

        They may be broken too, without a reset, and each next call would run into its timeout. A
        new connection costs two round trips.
        """
        for connection in list(self._connections.values()):
            if connection.used_at < moment and not connection.has_calls:
                connection.close()

    def notify(self, address: str, notice: msgspec.Struct) -> None:
        """Send a one-way message; it is dropped if the peer is unreachable or reads too slowly."""
        connection = self._connections.get(address)
        if connection is not None and not connection.closed:
            connection.send_notice(notice)
            return
        task = asyncio.ensure_future(self._connect_and_notify(address, notice))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_and_notify(self, address: str, notice: msgspec.Struct) -> None:
        try:
            connection = await self._connect(address)
            connection.send_notice(notice)
        except (OSError, TimeoutError, TransportError):
            return  # notices may be lost: senders repeat them or poll as well

    async def _connect(self, address: str) -> _Connection:
        connection = self._connections.get(address)
        if connection is not None and not connection.closed:
            return connection
        opening = self._opening.get(address)
        if opening is None:
            opening = asyncio.ensure_future(self._open(address))
            self._opening[address] = opening
            opening.add_done_callback(lambda task: self._finish_opening(address, task))
        return await asyncio.shield(opening)

    def _finish_opening(self, address: str, task: "asyncio.Task[_Connection]") -> None:
        self._opening.pop(address, None)
        if not task.cancelled():
            task.exception()  # retrieved here because all waiting callers may have timed out

    async def _open(self, address: str) -> _Connection:
        host, port = split_address(address)
        async with asyncio.timeout(RPC_CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(host, port)
        set_tcp_timeouts(writer.transport)
        connection = _Connection(reader, writer)
        self._connections[address] = connection
        return connection

    async def close(self) -> None:
        """Close all connections and cancel requests that are being served."""
        for connection in self._connections.values():
            connection.close()
        for task in list(self._tasks):
            task.cancel()
