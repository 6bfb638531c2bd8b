"""A network with address translation, for sites whose links do not use the real addresses.

Owns the table. Relies on the network below it for everything else.
"""

import msgspec

from rowanrail.rpc.network import Handler, Listener, Network


class AddressTranslatingNetwork(Network):
    """Sends to ``routes[address]`` where the table names the address."""

    def __init__(self, network: Network, routes: dict[str, str]) -> None:
        self._network = network
        self._routes = routes

    async def serve(self, address: str, handler: Handler) -> Listener:
        """See :meth:`Network.serve`."""
        return await self._network.serve(address, handler)

    async def call(
        self, address: str, request: msgspec.Struct, timeout_seconds: float
    ) -> msgspec.Struct:
        """See :meth:`Network.call`."""
        return await self._network.call(
            self._routes.get(address, address), request, timeout_seconds
        )

    def notify(self, address: str, notice: msgspec.Struct) -> None:
        """See :meth:`Network.notify`."""
        self._network.notify(self._routes.get(address, address), notice)

    async def close(self) -> None:
        """See :meth:`Network.close`."""
        await self._network.close()
