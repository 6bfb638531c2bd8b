"""The simulated network: calls between nodes, and channels between callers and servers."""

import asyncio
import collections
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from rowanlab.simulator.loop import SimulatedProcess, current_process
from rowanlab.simulator.world import World
from rowanrail.kernel.errors import RowanrailError, TransportError
from rowanrail.rpc.codec import Failure, FrameKind, decode_frame, encode_frame
from rowanrail.rpc.network import Handler, Listener, Network

RETRANSMIT_SECONDS = 0.2
REFUSAL_DELAY_SECONDS = 0.003


class SimulatedNetwork(Network):
    """The network of one process. Messages are encoded and decoded as on the wire.

    :param endpoints: registry of served addresses, shared by all processes.
    """

    def __init__(
        self, world: World, process: SimulatedProcess, endpoints: "EndpointRegistry"
    ) -> None:
        self._world = world
        self._process = process
        self._endpoints = endpoints
        self._calls: dict[int, asyncio.Future[msgspec.Struct]] = {}
        self._next_call = 0

    async def serve(self, address: str, handler: Handler) -> Listener:
        """Register the handler for an address."""
        self._endpoints.networks[address] = (self._process.name, self, handler)
        return _SimulatedListener(self._endpoints, address)

    async def call(
        self, address: str, request: msgspec.Struct, timeout_seconds: float
    ) -> msgspec.Struct:
        """Send a request and return its reply.

        :raises TransportError: if the request is refused, fails or is not answered in time.
        """
        self._next_call += 1
        call = self._next_call
        future: asyncio.Future[msgspec.Struct] = asyncio.get_running_loop().create_future()
        self._calls[call] = future
        step = type(request).__name__
        try:
            async with asyncio.timeout(timeout_seconds):
                if self._is_refused(address):
                    await asyncio.sleep(REFUSAL_DELAY_SECONDS)
                    raise TransportError("connection refused", step=step, peer=address)
                self._transmit(address, encode_frame(FrameKind.REQUEST, call, request))
                reply = await future
        except TimeoutError as error:
            raise TransportError("no answer in time", step=step, peer=address) from error
        finally:
            del self._calls[call]
        if isinstance(reply, Failure):
            raise TransportError(reply.reason, step=step, peer=address)
        return reply

    def _is_refused(self, address: str) -> bool:
        """Return whether the machine is reachable but the serving process is dead."""
        endpoint = self._endpoints.networks.get(address)
        if endpoint is None:
            return False
        process = self._world.process(endpoint[0])
        return not process.alive and not self._world.is_cut(self._process, process)

    def notify(self, address: str, notice: msgspec.Struct) -> None:
        """Send a message that expects no reply."""
        self._transmit(address, encode_frame(FrameKind.NOTICE, 0, notice))

    def _transmit(self, address: str, frame: bytes) -> None:
        endpoint = self._endpoints.networks.get(address)
        if endpoint is None:
            return
        name, network, handler = endpoint
        self._world.send(self._process, name, lambda: network._on_frame(self, handler, frame))

    def _on_frame(self, sender: "SimulatedNetwork", handler: Handler, frame: bytes) -> None:
        kind, call, body = decode_frame(frame)
        asyncio.ensure_future(self._handle(sender, handler, kind, call, body))

    async def _handle(
        self,
        sender: "SimulatedNetwork",
        handler: Handler,
        kind: FrameKind,
        call: int,
        body: msgspec.Struct,
    ) -> None:
        try:
            reply = await handler(body)
        except RowanrailError as error:
            reply = Failure(f"{type(error).__name__}: {error}")
        if kind is FrameKind.REQUEST:
            frame = encode_frame(FrameKind.REPLY, call, reply or Failure("no reply"))
            self._world.send(self._process, sender._process.name, lambda: sender._on_reply(frame))

    def _on_reply(self, frame: bytes) -> None:
        _, call, reply = decode_frame(frame)
        future = self._calls.get(call)
        if future is not None and not future.done():
            future.set_result(reply)

    async def close(self) -> None:
        """Do nothing: a simulated network holds no resources."""


class _SimulatedListener(Listener):
    def __init__(self, endpoints: "EndpointRegistry", address: str) -> None:
        self._endpoints = endpoints
        self._address = address

    async def close(self) -> None:
        self._endpoints.networks.pop(self._address, None)


class ChannelServer(Protocol):
    """The server's side of an accepted channel. ``reply`` sends unsolicited answers."""

    reply: Callable[..., None] | None

    async def handle(self, payload: Any) -> Any:
        """Return the answer to a payload."""

    async def closed(self) -> None:
        """Handle that the client closed the channel."""


class EndpointRegistry:
    """The processes that serve each address, for calls and for channels."""

    def __init__(self) -> None:
        self.networks: dict[str, tuple[str, SimulatedNetwork, Handler]] = {}
        self.channels: dict[str, tuple[str, Callable[[], ChannelServer]]] = {}


class ChannelLostError(Exception):
    """The channel's other end refused, reset or closed the connection."""


class _Stream:
    """One direction of a byte stream, which delivers in order and without gaps.

    Data that meets a cut is retransmitted until the cut heals, as in TCP. Data that a process
    has written is delivered even after the process ends, followed by the reset.
    """

    def __init__(self, world: World, source: SimulatedProcess, target: str) -> None:
        self._world = world
        self._source = source
        self._target = target
        self._unsent: collections.deque[Callable[[], None]] = collections.deque()

    def send(self, deliver: Callable[[], None]) -> None:
        """Send a message, unless the process is dead (its tasks may still be cleaned up)."""
        if self._source.alive:
            self._enqueue(deliver)

    def reset(self, deliver: Callable[[], None]) -> None:
        """Send the reset of a process that has died, after the data that it had written."""
        self._enqueue(deliver)

    def _enqueue(self, deliver: Callable[[], None]) -> None:
        self._unsent.append(deliver)
        if len(self._unsent) == 1:
            self._transmit()

    def _transmit(self) -> None:
        world = self._world
        while self._unsent:
            if world.is_cut(self._source, world.process(self._target)):
                world.call_later(RETRANSMIT_SECONDS, self._transmit)
                return
            deliver = self._unsent.popleft()
            world.transmit(self._source, self._target, deliver, in_flight_is_safe=True)


class Channel:
    """The client's end of a byte stream: requests and answers in order, without ids."""

    def __init__(self, world: World, process: SimulatedProcess, peer: str) -> None:
        self._world = world
        self._process = process
        self.peer = peer
        self._answers: asyncio.Queue[Any] = asyncio.Queue()
        self._server: _ServerChannel | None = None
        self._stream = _Stream(world, process, peer)
        self._closed = False
        self._lost = False

    @classmethod
    async def open(cls, world: World, endpoints: EndpointRegistry, address: str) -> "Channel":
        """Connect to an address.

        :raises ChannelLostError: if no running process serves the address.
        """
        process = current_process.get()
        assert process is not None
        known = endpoints.channels.get(address)
        if known is None:
            await asyncio.sleep(0.001)
            raise ChannelLostError("connection refused")
        name, accept = known
        channel = cls(world, process, name)
        if not world.process(name).alive:
            await asyncio.sleep(0.001)
            raise ChannelLostError("connection refused")
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        back = _Stream(world, world.process(name), process.name)

        def refuse() -> None:
            if not future.done():
                future.set_exception(ChannelLostError("connection refused"))

        def arrive() -> None:
            if endpoints.channels.get(address) is not known:  # no longer listening
                back.send(refuse)
                return
            end = _ServerChannel(world, world.process(name), channel, accept(), back)
            back.send(lambda: channel._opened(end, future))

        channel._stream.send(arrive)
        await future
        return channel

    def _opened(self, end: "_ServerChannel", future: "asyncio.Future[None]") -> None:
        self._server = end
        self._world.on_kill(self.peer, self._peer_died)
        if not future.done():
            future.set_result(None)

    def _peer_died(self, peer: SimulatedProcess) -> None:
        assert self._server is not None
        self._server.stream.reset(self._mark_lost)

    def _mark_lost(self) -> None:
        self._lost = True
        self._answers.put_nowait(ChannelLostError("connection reset"))

    def has_unread(self) -> bool:
        """Return whether an answer has arrived that was not read."""
        return not self._answers.empty()

    def send(self, payload: Any) -> None:
        """Send a request.

        :raises ChannelLostError: if the channel is known to be lost.
        """
        if self._lost or self._closed:
            raise ChannelLostError("connection is closed")
        end = self._server
        assert end is not None
        self._stream.send(lambda: end.arrive(payload))

    async def receive(self) -> Any:
        """Return the next answer, whichever request it belongs to.

        :raises ChannelLostError: if the channel is lost.
        """
        answer = await self._answers.get()
        if isinstance(answer, ChannelLostError):
            raise answer
        return answer

    def close(self) -> None:
        """Close the channel and notify the server's end."""
        if not self._closed:
            self._closed = True
            end = self._server
            if end is not None:
                self._stream.send(end.close)


class _ServerChannel:
    """The server's end of a channel, which handles requests sequentially."""

    def __init__(
        self,
        world: World,
        process: SimulatedProcess,
        channel: Channel,
        server: ChannelServer,
        stream: _Stream,
    ) -> None:
        self.stream = stream
        self._channel = channel
        self._server = server
        self._requests: asyncio.Queue[Any] = asyncio.Queue()
        server.reply = self.reply
        self._task = asyncio.ensure_future(self._run())
        world.on_kill(channel._process.name, self._caller_died)

    def _caller_died(self, caller: SimulatedProcess) -> None:
        self._channel._stream.reset(self.close)

    def arrive(self, payload: Any) -> None:
        self._requests.put_nowait(payload)

    def close(self) -> None:
        self._requests.put_nowait(None)

    async def _run(self) -> None:
        while (payload := await self._requests.get()) is not None:
            answer = await self._server.handle(payload)
            if answer is not None:
                self.reply(answer)
        await self._server.closed()

    def reply(self, *answers: Any) -> None:
        """Send one or more answers, which arrive at the same time."""
        channel = self._channel

        def arrive() -> None:
            for answer in answers:
                channel._answers.put_nowait(answer)

        self.stream.send(arrive)
