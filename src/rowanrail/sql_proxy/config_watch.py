"""Receives configuration changes from the control nodes, and sends them the proxy's reports.

The proxy long-polls its control nodes, one at a time. At startup it requests a version that the
leader confirms. If no control node can confirm one, it applies the highest version that its control
nodes and other proxies have, and logs a warning.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec

from rowanrail.cluster.messages import ProxyReport
from rowanrail.config.model import Configuration, VersionedConfiguration
from rowanrail.kernel.errors import TransportError
from rowanrail.kernel.events import emit
from rowanrail.rpc.network import Network
from rowanrail.sql_control.delta import apply_delta
from rowanrail.sql_control.messages import (
    PeerConfigurationReply,
    PeerConfigurationRequest,
    WatchReply,
    WatchRequest,
)
from rowanrail.sql_proxy.events import CONTROL_UNREACHABLE, UNCONFIRMED_CONFIGURATION

# Seconds that a long poll may wait at the control node for a newer version.
LONG_POLL_SECONDS = 2.0
# Seconds for the round trip of a long poll, in addition to its wait.
POLL_ROUND_TRIP_SECONDS = 1.0
# Timeout of a request to another proxy in seconds.
PEER_CALL_SECONDS = 1.0
# Pause in seconds before the next control node is tried.
CONTROL_RETRY_SECONDS = 0.2


class ConfigurationHolder(Protocol):
    """Interface to the component that applies configurations, such as the proxy's core."""

    in_force: VersionedConfiguration

    def apply(self, offered: VersionedConfiguration) -> bool:
        """Apply a configuration if it is newer than the one in force; return whether it was."""

    def set_proxy_counts(self, counts: dict[str, int]) -> None:
        """Update the number of proxies that use each group."""


class ConfigurationWatch:
    """Keeps the proxy's configuration up to date."""

    def __init__(
        self,
        core: ConfigurationHolder,
        network: Network,
        control_nodes: list[str],
        peers: list[str],
        make_report: Callable[[], ProxyReport],
    ) -> None:
        self._core = core
        self._network = network
        self._control_nodes = control_nodes
        self._peers = peers
        self._make_report = make_report
        self._next_control = 0
        self.set_base(VersionedConfiguration())
        self._task: asyncio.Task[None] | None = None
        self._unreachable_logged = False

    def start(self) -> None:
        """Start the task that polls the control nodes."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    async def handle_peer_request(self, request: msgspec.Struct) -> msgspec.Struct | None:
        """Answer another proxy's request for the configuration in force here."""
        if not isinstance(request, PeerConfigurationRequest):
            raise TransportError(f"unexpected {type(request).__name__}", step="handle")
        current = self._core.in_force
        return PeerConfigurationReply(current.version, current.configuration, current.drained)

    async def _run(self) -> None:
        await self._start_up()
        while True:
            if not await self.poll_once():
                await asyncio.sleep(CONTROL_RETRY_SECONDS)

    async def _start_up(self) -> None:
        """Apply a confirmed version, or the highest version of control nodes and other proxies."""
        while self._core.in_force.version == 0:
            replies = await asyncio.gather(
                *(self._query(address, 0.0) for address in self._control_nodes)
            )
            answered = [reply for reply in replies if reply is not None]
            newest = newest_confirmed(answered)
            if newest is not None:
                self._apply_reply(newest)  # no-op if no version exists yet: polls wait for one
                return
            await self._apply_unconfirmed(answered)
            if self._core.in_force.version == 0:
                await asyncio.sleep(CONTROL_RETRY_SECONDS)

    async def _apply_unconfirmed(self, replies: list[WatchReply]) -> None:
        offers: list[tuple[VersionedConfiguration, str]] = []
        for reply in replies:
            if reply.version and reply.delta is not None:
                offers.append((_from_full_reply(reply), "a control node"))
        request = PeerConfigurationRequest("")
        answers = await asyncio.gather(
            *(self._network.call(peer, request, PEER_CALL_SECONDS) for peer in self._peers),
            return_exceptions=True,
        )
        for peer, answer in zip(self._peers, answers, strict=True):
            if isinstance(answer, PeerConfigurationReply) and answer.version:
                offered = VersionedConfiguration(
                    answer.version, answer.configuration, answer.drained
                )
                offers.append((offered, peer))
        if offers:
            newest, source = max(offers, key=lambda offer: offer[0].version)
            emit(UNCONFIRMED_CONFIGURATION, version=newest.version, source=source)
            self.set_base(newest)
            self._core.apply(newest)

    def set_base(self, configuration: VersionedConfiguration) -> None:
        """Set the configuration to which later polls request changes."""
        self._base = configuration
        self._base_digest = configuration.digest()

    async def poll_once(self) -> bool:
        """Poll one control node for a newer version; return whether it answered."""
        address = self._control_nodes[self._next_control % len(self._control_nodes)]
        reply = await self._query(address, LONG_POLL_SECONDS)
        if reply is None:
            self._next_control += 1
            return False
        self._apply_reply(reply)
        self._core.set_proxy_counts(reply.users)
        return True

    async def _query(self, address: str, wait_seconds: float) -> WatchReply | None:
        request = WatchRequest(
            self._make_report(), self._base.version, self._base_digest, wait_seconds
        )
        try:
            reply = await self._network.call(
                address, request, wait_seconds + POLL_ROUND_TRIP_SECONDS
            )
        except TransportError as error:
            if not self._unreachable_logged:
                emit(CONTROL_UNREACHABLE, peer=address, error=error)
            self._unreachable_logged = True
            return None
        self._unreachable_logged = False
        return reply if isinstance(reply, WatchReply) else None

    def _apply_reply(self, reply: WatchReply) -> None:
        if reply.delta is None or not reply.version:
            return
        offered = _from_full_reply(reply) if reply.whole else _from_delta_reply(self._base, reply)
        if offered.digest() != reply.digest:
            # The delta does not fit: reset the base, so that the next reply is complete.
            self.set_base(VersionedConfiguration())
            return
        if self._core.apply(offered):
            self.set_base(offered)


def newest_confirmed(replies: list[WatchReply]) -> WatchReply | None:
    """Return the newest confirmed reply, with which a proxy starts; None if there is none.

    A confirmed reply covers every version that was accepted before the request. An unconfirmed one
    may be older than the version in force.
    """
    confirmed = [reply for reply in replies if reply.confirmed]
    return max(confirmed, key=lambda reply: reply.version, default=None)


def _from_full_reply(reply: WatchReply) -> VersionedConfiguration:
    assert reply.delta is not None
    configuration = Configuration(reply.delta.sites, reply.delta.groups, reply.delta.users)
    return VersionedConfiguration(reply.version, configuration, reply.delta.drained)


def _from_delta_reply(base: VersionedConfiguration, reply: WatchReply) -> VersionedConfiguration:
    assert reply.delta is not None
    changed = apply_delta(base, reply.delta)
    return VersionedConfiguration(reply.version, changed.configuration, changed.drained)
