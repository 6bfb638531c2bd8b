"""Number of proxies that use each group, summed over all control nodes.

Proxies divide the members' connections by these numbers. Each control node counts the proxies that
poll it and queries the counts of the others. The last count of an unreachable node is kept, since
its proxies may still be alive: a count that is too high only makes the shares smaller.
"""

import asyncio
from collections import Counter

from rowanrail.consensus.node import ConsensusNode
from rowanrail.kernel.errors import RowanrailError
from rowanrail.rpc.network import Network
from rowanrail.sql_control.messages import CensusReply, CensusRequest
from rowanrail.sql_control.watch import WatchHub

CENSUS_INTERVAL_SECONDS = 2.0  # between queries of the other nodes
CENSUS_TIMEOUT_SECONDS = 1.0  # for a node's reply


class ProxyCensus:
    """Proxy counts of this node and the last reported counts of the other nodes."""

    def __init__(self, node: ConsensusNode, hub: WatchHub, network: Network) -> None:
        self._node = node
        self._hub = hub
        self._network = network
        self._remote_counts: dict[str, dict[str, int]] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start querying the other nodes."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop querying the other nodes."""
        if self._task is not None:
            self._task.cancel()

    def reply(self) -> CensusReply:
        """Return this node's counts in answer to :class:`CensusRequest`."""
        return CensusReply(self._hub.proxy_counts())

    def proxy_counts(self, groups: list[str]) -> dict[str, int]:
        """Return the number of proxies that use each of the groups; unused groups are left out.

        The result is empty until every other node has replied once since this node started.
        """
        if any(node not in self._remote_counts for node in self._peers()):
            return {}
        total = Counter(self._hub.proxy_counts())
        for node in self._peers():
            total.update(self._remote_counts[node])
        return {group: total[group] for group in groups if total[group]}

    def _peers(self) -> dict[str, str]:
        own = self._node.identity.node
        addresses = self._node.raft.membership.addresses()
        return {node: address for node, address in addresses.items() if node != own}

    async def _run(self) -> None:
        while True:
            peers = self._peers()
            await asyncio.gather(*(self._query(node, peers[node]) for node in peers))
            self._remote_counts = {
                node: self._remote_counts[node] for node in peers if node in self._remote_counts
            }
            await asyncio.sleep(CENSUS_INTERVAL_SECONDS)

    async def _query(self, node: str, address: str) -> None:
        try:
            reply = await self._network.call(address, CensusRequest(), CENSUS_TIMEOUT_SECONDS)
        except RowanrailError:
            return  # keep the last count
        if isinstance(reply, CensusReply):
            self._remote_counts[node] = reply.users
