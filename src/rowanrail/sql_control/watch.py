"""Long polls of proxies for newer configurations, and the proxies' latest reports.

Views of zones and deltas between them are cached, since many proxies need the same ones.
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

MAXIMUM_POLL_SECONDS = 5.0  # upper limit on the wait that a proxy requests
REPORT_EXPIRY_SECONDS = 60.0  # after which the report of a silent proxy is removed
PROXY_LIVENESS_SECONDS = 15.0  # for which a silent proxy still counts as a user of its groups
MAXIMUM_CACHED_VIEWS = 100  # zone views, and as many deltas

Key = TypeVar("Key")
Value = TypeVar("Value")


class _ReceivedReport(msgspec.Struct):
    report: ProxyReport
    at: float


class WatchHub:
    """Answers long polls once this node has applied a newer version.

    :param monotonic: rule by which proxies accept only newer versions.
    """

    def __init__(self, state: ConfigurationState, monotonic: VersionMonotonic) -> None:
        self._state = state
        self._monotonic = monotonic
        self._changed = asyncio.Event()
        self._notified_version = -1
        self._reports: dict[str, _ReceivedReport] = {}
        self._deltas: dict[tuple[str, int, str, int], ConfigurationDelta] = {}
        self._views: dict[tuple[str, int], tuple[VersionedConfiguration, str]] = {}

    def notify_change(self) -> None:
        """Wake the waiting polls if the configuration version changed."""
        if self._state.current.version != self._notified_version:
            self._notified_version = self._state.current.version
            self._changed.set()
            self._changed = asyncio.Event()

    async def watch(self, request: WatchRequest, confirmed: bool) -> WatchReply:
        """Record the proxy's report and return a newer configuration, or none after the wait.

        :param confirmed: whether this node is known to hold the newest accepted version.
        """
        loop = asyncio.get_running_loop()
        self._reports[request.report.proxy] = _ReceivedReport(request.report, loop.time())
        if not self._is_newer(request):
            changed = self._changed
            try:
                async with asyncio.timeout(min(request.hold_seconds, MAXIMUM_POLL_SECONDS)):
                    await changed.wait()
            except TimeoutError:
                pass  # the reply says that nothing changed
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
        """Return the cached or new delta to the current version.

        The result is None if the proxy's version is no longer kept, or has another digest here.
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
        """Return the number of live proxies that use each group."""
        now = asyncio.get_running_loop().time()
        users: Counter[str] = Counter()
        for received in self._reports.values():
            if now - received.at < PROXY_LIVENESS_SECONDS:
                users.update(received.report.used)
        return dict(users)

    def reports(self) -> list[ProxyReport]:
        """Remove expired reports and return the latest one of each remaining proxy."""
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


def _evict_oldest(cache: dict[Key, Value]) -> None:
    while len(cache) > MAXIMUM_CACHED_VIEWS:
        del cache[next(iter(cache))]
