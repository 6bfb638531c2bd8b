"""Raises the log's feature level while its node leads; the rule is in :mod:`feature_level`.

A node that does not answer, or of a version that does not know the question, holds the raise back.
Nothing is kept between two checks but what was logged last.
"""

import asyncio

from rowanrail.consensus.node import ConsensusNode
from rowanrail.coordination.commands import RaiseFeatureLevel
from rowanrail.coordination.events import FEATURE_LEVEL_HELD_BACK
from rowanrail.coordination.feature_level import NEWEST_LEVEL, level_known_to_all
from rowanrail.coordination.messages import FeatureLevelReply, FeatureLevelRequest
from rowanrail.coordination.service import CoordinationService
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import RowanrailError
from rowanrail.rpc.network import Network

__all__ = ["FeatureLevelController"]

CHECK_INTERVAL_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 0.5  # ten round trips between regions


class FeatureLevelController:
    """Asks all control nodes for their feature level, and raises that of the log.

    Parameters
    ----------
    node : ConsensusNode
        Provides whether this node leads, and the control nodes.
    service : CoordinationService
        Holds the level in force and appends the command.
    network : Network
        Transport for the questions.
    decisions : DecisionLog
        Logs which nodes hold the raise back.
    """

    def __init__(
        self,
        node: ConsensusNode,
        service: CoordinationService,
        network: Network,
        decisions: DecisionLog,
    ) -> None:
        self._node = node
        self._service = service
        self._network = network
        self._decisions = decisions
        self._logged_missing: list[str] = []
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the periodic checks."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Cancel the checks."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            try:
                await self.step()
            except RowanrailError:
                continue  # not committed, as far as known; the next check proposes it again

    async def step(self) -> None:
        """Raise the level once if all control nodes know a higher one.

        Raises
        ------
        RowanrailError
            If the command was not, or may not have been, committed.
        """
        state = self._service.state
        if state.feature_level >= NEWEST_LEVEL or not self._node.raft.is_established_leader:
            self._logged_missing = []
            return
        answers = await self._ask(self._node.raft.membership.addresses())
        nodes = self._node.raft.membership.addresses()  # may have changed since they were asked
        level = level_known_to_all(nodes, answers)
        if level > state.feature_level:
            await self._service.propose(RaiseFeatureLevel(level))
        elif self._node.raft.is_established_leader:
            self._log_missing(sorted(node for node in nodes if answers.get(node, 0) < NEWEST_LEVEL))

    async def _ask(self, addresses: dict[str, str]) -> dict[str, int]:
        """Return the levels of the nodes that answer, including this one."""
        others = {node: at for node, at in addresses.items() if node != self._node.identity.node}
        levels = await asyncio.gather(*(self._level_of(address) for address in others.values()))
        return {self._node.identity.node: NEWEST_LEVEL, **dict(zip(others, levels, strict=True))}

    async def _level_of(self, address: str) -> int:
        """Return a node's level, 0 if it doesn't answer the question."""
        try:
            reply = await self._network.call(address, FeatureLevelRequest(), ANSWER_TIMEOUT_SECONDS)
        except RowanrailError:
            return 0
        return reply.level if isinstance(reply, FeatureLevelReply) else 0

    def _log_missing(self, missing: list[str]) -> None:
        if missing != self._logged_missing:
            self._logged_missing = missing
            self._decisions.note(
                FEATURE_LEVEL_HELD_BACK,
                feature_level=self._service.state.feature_level,
                newest=NEWEST_LEVEL,
                nodes=missing,
            )
