"""TCP forwarders that delay traffic and can cut either direction of a link.

Data sent over a cut link is dropped silently. When the link heals, connections that lost
data are aborted, as the operating systems at both ends would do eventually.
"""

import asyncio
import enum

import msgspec

from rowanrail.kernel.lifecycle import wait_for_stop_signal
from rowanrail.rpc.codec import message
from rowanrail.rpc.tcp import TcpNetwork, split_address


class Link(msgspec.Struct, frozen=True):
    """A link between two named processes: forwards from ``listen`` to ``address``."""

    source: str
    target: str
    source_zone: str
    target_zone: str
    listen: str
    address: str
    delay_seconds: float


class ForwarderSettings(msgspec.Struct, frozen=True):
    """Settings of a forwarder process."""

    rpc_listen: str
    links: list[Link]


class Direction(enum.Enum):
    """The direction of traffic that is cut, as seen from the process or zone."""

    BOTH = "both"
    IN = "in"
    OUT = "out"


@message("CutRequest")
class CutRequest(msgspec.Struct, frozen=True):
    """Request to cut a place (a process or zone) off from other zones, or to heal it."""

    place: str
    direction: Direction
    cut: bool


class LinkState:
    """A link's connections, and the cuts of its two directions."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.forward_cuts: set[str] = set()
        self.backward_cuts: set[str] = set()
        self.connections: set[_Endpoint] = set()

    def apply(self, request: CutRequest) -> None:
        """Cut or heal the link if the request's place is at one of its ends."""
        link = self.link
        outward = request.direction in (Direction.BOTH, Direction.OUT)
        inward = request.direction in (Direction.BOTH, Direction.IN)
        if request.place in (link.source, link.source_zone):
            self._set_cut(request, forward=outward, backward=inward)
        elif request.place in (link.target, link.target_zone):
            self._set_cut(request, forward=inward, backward=outward)

    def _set_cut(self, request: CutRequest, forward: bool, backward: bool) -> None:
        if not request.cut:
            self.forward_cuts.discard(request.place)
            self.backward_cuts.discard(request.place)
            for endpoint in list(self.connections):
                endpoint.close_if_data_lost()
            return
        if forward:
            self.forward_cuts.add(request.place)
        if backward:
            self.backward_cuts.add(request.place)


class _Endpoint(asyncio.Protocol):
    """One end of a forwarded connection."""

    def __init__(self, state: LinkState, is_caller: bool) -> None:
        self._state = state
        self._is_caller = is_caller
        self._transport: asyncio.Transport | None = None
        self._peer: _Endpoint | None = None
        self._buffered: list[bytes] = []
        self._data_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._state.connections.add(self)
        if self._is_caller:
            task = asyncio.ensure_future(self._connect())
            task.add_done_callback(lambda done: done.exception())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        link = self._state.link
        await asyncio.sleep(2 * link.delay_seconds)  # the handshake's round trip
        if self._state.forward_cuts or self._state.backward_cuts:
            self._data_lost = True
            return
        host, port = split_address(link.address)
        try:
            _, peer = await loop.create_connection(
                lambda: _Endpoint(self._state, False), host, port
            )
        except OSError:
            self.close()
            return
        peer._peer = self
        self._peer = peer
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            self._forward(data)

    def data_received(self, data: bytes) -> None:
        if self._is_caller and self._peer is None:
            self._buffered.append(data)
        else:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self._state.link.delay_seconds, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        cuts = self._state.forward_cuts if self._is_caller else self._state.backward_cuts
        if cuts or self._data_lost:
            self._data_lost = True
            return
        if self._peer is not None and self._peer._transport is not None:
            self._peer._transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        self._state.connections.discard(self)
        peer = self._peer
        if peer is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self._state.link.delay_seconds, self._close_peer, peer)

    def _close_peer(self, peer: "_Endpoint") -> None:
        if self._state.forward_cuts or self._state.backward_cuts:
            peer._data_lost = True  # the end of the stream is lost as well
        else:
            peer.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def close_if_data_lost(self) -> None:
        """Abort both ends if data was lost."""
        peer = self._peer
        if self._data_lost or (peer is not None and peer._data_lost):
            if peer is not None and peer._transport is not None:
                peer._transport.abort()
            if self._transport is not None:
                self._transport.abort()


async def run_forwarder(settings: ForwarderSettings) -> None:
    """Forward all links until a stop signal."""
    loop = asyncio.get_running_loop()
    states = [LinkState(link) for link in settings.links]

    async def handle(request: msgspec.Struct) -> msgspec.Struct | None:
        if isinstance(request, CutRequest):
            for state in states:
                state.apply(request)
        return request

    network = TcpNetwork()
    await network.serve(settings.rpc_listen, handle)
    for state in states:
        host, port = split_address(state.link.listen)

        def new_endpoint(state: LinkState = state) -> _Endpoint:
            return _Endpoint(state, True)

        await loop.create_server(new_endpoint, host, port, backlog=1024)
    await wait_for_stop_signal()
