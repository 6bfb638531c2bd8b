"""How many proxies use each group, counted over all control nodes.

For the configuration service, which adds the numbers to its answers to proxies; they share members'
connections by them. Owns the other nodes' counts; relies on the watches for this node's.
Every control node knows the proxies that ask it. The nodes tell each other their counts.
A silent node's last count stays: its proxies may be alive behind the cut with their
connections. Counting too many only makes shares smaller.
"""

import asyncio
from collections import Counter

from rowanrail.consensus.node import ConsensusNode
from rowanrail.kernel.errors import RowanrailError
from rowanrail.rpc.network import Network
from rowanrail.sql_control.messages import CensusReply, CensusRequest
from rowanrail.sql_control.watch import WatchHub

# Seconds between rounds of questions to the other nodes. Chosen.
CENSUS_INTERVAL_SECONDS = 2.0
# Seconds for a node's answer. Chosen.
CENSUS_TIMEOUT_SECONDS = 1.0


class ProxyCensus:
    """Counts of this node and, as last reported, of the others."""

    def __init__(self, node: ConsensusNode, hub: WatchHub, network: Network) -> None:
        self._node = node
        self._hub = hub
        self._network = network
        self._remote_counts: dict[str, dict[str, int]] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to ask the other nodes."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    def reply(self) -> CensusReply:
        """Return this node's own counts."""
        return CensusReply(self._hub.proxy_counts())

    def proxy_counts(self, groups: list[str]) -> dict[str, int]:
        """Return the number of proxies that use each of the groups.

        :returns: nothing as long as a node has not been heard since this one started.
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
            return  # its last count stays
        if isinstance(reply, CensusReply):
            self._remote_counts[node] = reply.users
