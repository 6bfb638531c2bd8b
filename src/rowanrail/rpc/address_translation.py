"""Network with address translation, for sites where peers are reached at other addresses."""

import msgspec

from rowanrail.rpc.network import Handler, Listener, Network


class AddressTranslatingNetwork(Network):
    """Wraps a network and translates peer addresses by a table; others are left unchanged."""

    def __init__(self, network: Network, routes: dict[str, str]) -> None:
        self._network = network
        self._routes = routes

    async def serve(self, address: str, handler: Handler) -> Listener:
        """Listen on ``address``, which is not translated."""
        return await self._network.serve(address, handler)

    async def call(
        self, address: str, request: msgspec.Struct, timeout_seconds: float
    ) -> msgspec.Struct:
        """Send a request to the translated address and return its reply.

        Raises
        ------
        TransportError
            If there is no reply in time, or the peer reports a failure.
        """
        return await self._network.call(
            self._routes.get(address, address), request, timeout_seconds
        )

    def notify(self, address: str, notice: msgspec.Struct) -> None:
        """Send a one-way message to the translated address."""
        self._network.notify(self._routes.get(address, address), notice)

    async def close(self) -> None:
        """Close all connections of the wrapped network."""
        await self._network.close()
