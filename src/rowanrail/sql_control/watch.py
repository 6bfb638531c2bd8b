"""Long polls of proxies for a newer configuration, and what the proxies report.

For the configuration service. Owns the newest report of each live proxy, and the
views and deltas that it has made; relies on the replicated state for versions.
"""

import asyncio
from collections import Counter
from typing import TypeVar

import msgspec

from rowanrail.cluster.messages import ProxyReport
from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.config.model import VersionedConfiguration
from rowanrail.sql_control.delta import view_delta, view_for_zone
from rowanrail.sql_control.messages import ConfigurationDelta, WatchReply, WatchRequest
from rowanrail.sql_control.state import ConfigurationState

# Seconds that a long poll waits at most for a change, whatever the proxy asks for. Chosen.
MAXIMUM_POLL_SECONDS = 5.0
# Seconds after which the report of a silent proxy is forgotten. Chosen.
REPORT_EXPIRY_SECONDS = 60.0
# Seconds for which a silent proxy counts as a user of its groups. Chosen.
PROXY_LIVENESS_SECONDS = 15.0
# Views of zones, and as many deltas, that are kept. Chosen.
MAXIMUM_CACHED_VIEWS = 100

Key = TypeVar("Key")
Value = TypeVar("Value")


class _ReceivedReport(msgspec.Struct):
    report: ProxyReport
    at: float


class WatchHub:
    """Answers long polls as soon as a newer version is committed here."""

    def __init__(self, state: ConfigurationState, monotonic: VersionMonotonic) -> None:
        self._state = state
        self._monotonic = monotonic
        self._changed = asyncio.Event()
        self._notified_version = -1
        self._reports: dict[str, _ReceivedReport] = {}
        self._deltas: dict[tuple[str, int, str, int], ConfigurationDelta] = {}
        self._views: dict[tuple[str, int], tuple[VersionedConfiguration, str]] = {}

    def notify_change(self) -> None:
        """Wake the polls that wait if the configuration changed."""
        if self._state.current.version != self._notified_version:
            self._notified_version = self._state.current.version
            self._changed.set()
            self._changed = asyncio.Event()

    async def watch(self, request: WatchRequest, confirmed: bool) -> WatchReply:
        """Return what is newer than the proxy knows, or nothing at the end of the wait."""
        loop = asyncio.get_running_loop()
        self._reports[request.report.proxy] = _ReceivedReport(request.report, loop.time())
        if not self._is_newer(request):
            changed = self._changed
            try:
                async with asyncio.timeout(min(request.hold_seconds, MAXIMUM_POLL_SECONDS)):
                    await changed.wait()
            except TimeoutError:
                pass  # nothing changed meanwhile, which the reply says
        return self._reply(request, confirmed)

    def _is_newer(self, request: WatchRequest) -> bool:
        return self._monotonic.accepts(request.known_version, self._state.current.version)

    def _reply(self, request: WatchRequest, confirmed: bool) -> WatchReply:
        zone = request.report.zone
        current, digest = self._view(zone, self._state.current)
        if not self._is_newer(request):
            return WatchReply(current.version, digest, confirmed, False, None)
        delta = self._delta(zone, request)
        if delta is not None:
            return WatchReply(current.version, digest, confirmed, False, delta)
        full = ConfigurationDelta(
            sites=current.configuration.sites,
            groups=current.configuration.groups,
            users=current.configuration.users,
            drained=current.drained,
        )
        return WatchReply(current.version, digest, confirmed, True, full)

    def _delta(self, zone: str, request: WatchRequest) -> ConfigurationDelta | None:
        """Return what leads to the newest version; None if it is not known any more.

        All proxies of a zone that hold the same version get the same delta, made once.
        """
        current = self._state.current
        key = (zone, request.known_version, request.known_digest, current.version)
        delta = self._deltas.get(key)
        if delta is None:
            delta = self._make_delta(zone, request)
            if delta is not None:
                self._deltas[key] = delta
                _evict_oldest(self._deltas)
        return delta

    def _make_delta(self, zone: str, request: WatchRequest) -> ConfigurationDelta | None:
        for earlier in self._state.earlier:
            if earlier.version == request.known_version:
                known, known_digest = self._view(zone, earlier)
                if known_digest == request.known_digest:
                    return view_delta(known, self._view(zone, self._state.current)[0])
        return None

    def _view(self, zone: str, full: VersionedConfiguration) -> tuple[VersionedConfiguration, str]:
        key = (zone, full.version)
        view = self._views.get(key)
        if view is None:
            part = view_for_zone(full, zone)
            view = (part, part.digest())
            self._views[key] = view
            _evict_oldest(self._views)
        return view

    def proxy_counts(self) -> dict[str, int]:
        """Return how many of the proxies that reported recently use each group."""
        now = asyncio.get_running_loop().time()
        users: Counter[str] = Counter()
        for received in self._reports.values():
            if now - received.at < PROXY_LIVENESS_SECONDS:
                users.update(received.report.used)
        return dict(users)

    def reports(self) -> list[ProxyReport]:
        """Return the newest report of each proxy that reported recently."""
        now = asyncio.get_running_loop().time()
        self._reports = {
            proxy: received
            for proxy, received in self._reports.items()
            if now - received.at < REPORT_EXPIRY_SECONDS
        }
        return [
            msgspec.structs.replace(received.report, seconds_ago=now - received.at)
            for received in self._reports.values()
        ]


def _evict_oldest(remembered: dict[Key, Value]) -> None:
    while len(remembered) > MAXIMUM_CACHED_VIEWS:
        del remembered[next(iter(remembered))]
