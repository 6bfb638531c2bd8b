"""How a proxy gets its configuration, and reports what it has in force.

The proxy asks its control nodes in turn, with long polls. At its start it asks for what
the leader confirms. If no control node can confirm, it takes the highest version that
its control nodes and the other proxies know, and says so.
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

# Seconds that a poll may wait at the control node for a newer version. Chosen.
LONG_POLL_SECONDS = 2.0
# Seconds for the round trip of a poll, on top of its wait. Chosen.
POLL_ROUND_TRIP_SECONDS = 1.0
# Seconds for another proxy's answer. Chosen.
PEER_CALL_SECONDS = 1.0
# Seconds after a control node did not answer until the next is asked. Chosen.
CONTROL_RETRY_SECONDS = 0.2


class ConfigurationHolder(Protocol):
    """Where versions come into force: the proxy's core, or a stub."""

    in_force: VersionedConfiguration

    def apply(self, offered: VersionedConfiguration) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""

    def set_proxy_counts(self, counts: dict[str, int]) -> None:
        """Note how many proxies use each group."""


class ConfigurationWatch:
    """Keeps the core's configuration up to date."""

    def __init__(
        self,
        core: ConfigurationHolder,
        network: Network,
        controls: list[str],
        peers: list[str],
        make_report: Callable[[], ProxyReport],
    ) -> None:
        self._core = core
        self._network = network
        self._controls = controls
        self._peers = peers
        self._make_report = make_report
        self._next_control = 0
        self.set_base(VersionedConfiguration())
        self._task: asyncio.Task[None] | None = None
        self._unreachable_logged = False

    def start(self) -> None:
        """Begin to watch."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()

    async def handle_peer_request(self, request: msgspec.Struct) -> msgspec.Struct | None:
        """Answer another proxy that asks for the configuration in force here."""
        if not isinstance(request, PeerConfigurationRequest):
            raise TransportError(f"unexpected {type(request).__name__}", step="handle")
        held = self._core.in_force
        return PeerConfigurationReply(held.version, held.configuration, held.drained)

    async def _run(self) -> None:
        await self._start_up()
        while True:
            if not await self.poll_once():
                await asyncio.sleep(CONTROL_RETRY_SECONDS)

    async def _start_up(self) -> None:
        """Take the leader's version; without one, the highest that anybody near knows."""
        while self._core.in_force.version == 0:
            replies = await asyncio.gather(
                *(self._query(address, 0.0) for address in self._controls)
            )
            known = [reply for reply in replies if reply is not None]
            newest = newest_confirmed(known)
            if newest is not None:
                self._apply_reply(
                    newest
                )  # nothing, if nothing was ever accepted: polls wait for it
                return
            await self._apply_unconfirmed(known)
            if self._core.in_force.version == 0:
                await asyncio.sleep(CONTROL_RETRY_SECONDS)

    async def _apply_unconfirmed(self, known: list[WatchReply]) -> None:
        offers: list[tuple[VersionedConfiguration, str]] = []
        for reply in known:
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
        """Ask from now on for what is newer than ``configuration``."""
        self._base = configuration
        self._base_digest = configuration.digest()

    async def poll_once(self) -> bool:
        """Ask one control node for what is newer; return whether it answered."""
        address = self._controls[self._next_control % len(self._controls)]
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
            # A gap: forget what is held, so that the next answer is the whole configuration.
            self.set_base(VersionedConfiguration())
            return
        if self._core.apply(offered):
            self.set_base(offered)


def newest_confirmed(replies: list[WatchReply]) -> WatchReply | None:
    """Return the reply with which a proxy starts, None if none is confirmed.

    A confirmed reply covers every version that was accepted before the question; of several the
    newest is taken. Without one, an older version than the one in force may come back.
    """
    confirmed = [reply for reply in replies if reply.confirmed]
    return max(confirmed, key=lambda reply: reply.version, default=None)


def _from_full_reply(reply: WatchReply) -> VersionedConfiguration:
    assert reply.delta is not None
    configuration = Configuration(reply.delta.sites, reply.delta.groups, reply.delta.users)
    return VersionedConfiguration(reply.version, configuration, reply.delta.drained)


def _from_delta_reply(held: VersionedConfiguration, reply: WatchReply) -> VersionedConfiguration:
    assert reply.delta is not None
    changed = apply_delta(held, reply.delta)
    return VersionedConfiguration(reply.version, changed.configuration, changed.drained)
