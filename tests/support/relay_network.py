"""In-process links between gateways, with delays, cuts and frozen holders."""

from collections import deque
from collections.abc import Callable

import msgspec

from rowanrail.gateway.relay.link import Link
from rowanrail.gateway.relay.messages import FromGateway, FromHolder
from rowanrail.gateway.relay.neighbours import LinkOpener
from rowanrail.gateway.relay.serving import LinkServer, ServedLink
from rowanrail.kernel.clock import Clock

__all__ = ["RelayNetwork", "RelayOpener", "SimulatedLink"]

Delay = Callable[[], float]

SILENCE_POLL_MS = 20.0  # interval at which blocked messages are retried

# Messages are encoded and decoded so that the two ends share no objects.
_encoder = msgspec.msgpack.Encoder()
_gateway_decoder = msgspec.msgpack.Decoder(FromGateway)
_holder_decoder = msgspec.msgpack.Decoder(FromHolder)


class RelayNetwork:
    """All holders by address, and the links between gateways.

    Parameters
    ----------
    clock : Clock
        Virtual time.
    delay : callable
        Returns the delay of the next message in milliseconds.
    """

    def __init__(self, clock: Clock, delay: Delay = lambda: 0.1) -> None:
        self.clock = clock
        self.delay = delay
        self.holders: dict[str, LinkServer] = {}
        self.frozen: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.links: list[SimulatedLink] = []
        self.sent: list[tuple[str, str, bytes]] = []  # owner, address and bytes of each message

    def opener(self, owner: str) -> "RelayOpener":
        """Return the link opener of one gateway."""
        return RelayOpener(self, owner)

    def is_silent(self, owner: str, address: str) -> bool:
        """Return whether no messages pass between a gateway and a holder."""
        return address in self.frozen or (owner, address) in self.cut


class RelayOpener(LinkOpener):
    """Opens links of one gateway in virtual time."""

    def __init__(self, network: RelayNetwork, owner: str) -> None:
        self._network = network
        self._owner = owner

    def open(self, address: str, link: Link) -> None:
        """Open a link to an address after a delay, and report the result to ``link``."""
        self._network.clock.call_in(self._network.delay(), self._open, address, link)

    def _open(self, address: str, link: Link) -> None:
        holder = self._network.holders.get(address)
        if self._network.is_silent(self._owner, address):
            self._network.clock.call_in(400.0, link.lost, "no connection in time")
        elif holder is None:
            link.lost("refused")
        else:
            simulated = SimulatedLink(self._network, self._owner, address, link)
            link.opened(simulated)
            simulated.serve(holder)


class SimulatedLink:
    """One connection, which delivers messages in the order in which they were sent.

    Messages to or from a frozen or cut-off holder are delivered when it is reachable again,
    as in TCP, unless the connection was closed in the meantime.
    """

    def __init__(self, network: RelayNetwork, owner: str, address: str, link: Link) -> None:
        self._network = network
        self._owner = owner
        self._address = address
        self._link = link
        self._served: ServedLink | None = None
        self._closed = False
        self._due = 0.0
        self._queued: deque[Callable[[], object]] = deque()
        network.links.append(self)

    @property
    def link(self) -> Link:
        """The gateway's end of the connection."""
        return self._link

    @property
    def ends(self) -> tuple[str, str]:
        """Name of the gateway that opened the connection, and address of its holder."""
        return self._owner, self._address

    def serve(self, link_server: LinkServer) -> None:
        """Have the server accept the connection."""
        self._served = link_server.accept(self._to_gateway)

    def send(self, message: FromGateway) -> None:
        """Send a message to the holder."""
        encoded = _encoder.encode(message)
        self._network.sent.append((self._owner, self._address, encoded))
        copy = _gateway_decoder.decode(encoded)
        self._deliver(lambda: self._to_holder(copy))

    def close(self) -> None:
        """Close the connection; the holder learns of it after the delay."""
        if not self._closed:
            self._closed = True
            self._network.clock.call_in(self._network.delay(), self._end_served)

    def disconnect(self, reason: str) -> None:
        """Break the connection at both ends at once."""
        if not self._closed:
            self._closed = True
            self._end_served()
            self._link.lost(reason)

    def _to_holder(self, message: FromGateway) -> None:
        if self._served is not None:
            self._served.receive(message)

    def _to_gateway(self, message: FromHolder) -> None:
        copy = _holder_decoder.decode(_encoder.encode(message))
        self._deliver(lambda: self._link.receive(copy))

    def _deliver(self, arrive: Callable[[], object]) -> None:
        now = self._network.clock.now
        self._due = max(self._due + 1e-3, now + self._network.delay())
        self._network.clock.call_in(self._due - now, self._arrive, arrive)

    def _arrive(self, arrive: Callable[[], object]) -> None:
        """Deliver a message after those that arrived before it."""
        self._queued.append(arrive)
        if len(self._queued) == 1:
            self._deliver_queued()

    def _deliver_queued(self) -> None:
        while self._queued and not self._closed:
            if self._network.is_silent(self._owner, self._address):
                self._network.clock.call_in(SILENCE_POLL_MS, self._deliver_queued)
                return
            self._queued.popleft()()

    def _end_served(self) -> None:
        if self._served is not None:
            served, self._served = self._served, None
            served.lost()
