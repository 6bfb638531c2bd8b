"""Load of a gateway, as a holder and from its own clients, and whether it is overloaded.

Control nodes plan the holders by these reports. Owns the counts of the current window and the
report of the last one. Relies only on a clock.
"""

from collections import Counter
from collections.abc import Callable

from rowanrail.kernel.clock import Clock
from rowanrail.placement.hashed import Shard
from rowanrail.scheduling.load_report import LoadReport, ShardLoad

__all__ = ["WINDOW_MS", "LoadMeter"]

WINDOW_MS = 5000.0  # planners use seven windows; a peak of 10 s affects at most three of them
# How long a window is reported. Reports are sent about every 1 s, with polls, so that at least one
# has it; a planner counts a window that is reported twice only once.
REPORT_TTL_MS = 1400.0
LOOP_CHECK_MS = 500.0  # interval between checks of the event loop and the links
# Average lag of the event loop above which a gateway is slow. A statement passes a holder's loop
# four times: 200 ms of the 500 ms within which the most urgent ones are to be answered.
SLOW_LAG_MS = 50.0
CONGESTED_SHARE = 0.5  # of a window's checks with unsent bytes on a link, above which it is slow
MAX_REPORTED_SHARDS = 8  # the largest ones, in about 150 bytes


class LoadMeter:
    """Counts the statements of one gateway in windows of ``WINDOW_MS``.

    Parameters
    ----------
    clock : Clock
        Time and timers.
    unsent : callable
        Returns the number of bytes that wait for links to other gateways.
    """

    def __init__(self, clock: Clock, unsent: Callable[[], int] = lambda: 0) -> None:
        self._clock = clock
        self._unsent = unsent
        self._shards: Counter[str] = Counter()
        self._tenants: dict[str, Counter[str]] = {}
        self._client_statements = 0
        self._checks = 0
        self._total_lag = 0.0
        self._congested_checks = 0
        self._window_began = clock.now
        self._report: LoadReport | None = None

    @property
    def latest(self) -> LoadReport | None:
        """The report of the last window while it is current, None otherwise."""
        is_due = self._clock.now - self._window_began <= REPORT_TTL_MS
        return self._report if is_due else None

    def start(self) -> None:
        """Start counting and the periodic checks."""
        self._window_began = self._clock.now
        self._check_later()

    def note_held_statement(self, shard: Shard) -> None:
        """Count a statement that this gateway runs as a holder."""
        key = shard.key
        self._shards[key] += 1
        if shard.tenant:
            self._tenants.setdefault(key, Counter())[shard.tenant] += 1

    def note_client_statement(self) -> None:
        """Count a statement of a client of this gateway."""
        self._client_statements += 1

    def _check_later(self) -> None:
        self._clock.call_in(LOOP_CHECK_MS, self._check, self._clock.now + LOOP_CHECK_MS)

    def _check(self, due: float) -> None:
        self._checks += 1
        self._total_lag += self._clock.now - due
        self._congested_checks += self._unsent() > 0
        if self._clock.now - self._window_began >= WINDOW_MS - LOOP_CHECK_MS / 2:
            self._close_window()
        self._check_later()

    @property
    def _is_slow(self) -> bool:
        return (
            self._total_lag > SLOW_LAG_MS * self._checks
            or self._congested_checks > CONGESTED_SHARE * self._checks
        )

    def _close_window(self) -> None:
        window = round(self._clock.now - self._window_began)
        shards = [
            self._shard(key, count) for key, count in self._shards.most_common(MAX_REPORTED_SHARDS)
        ]
        self._report = LoadReport(window, self._client_statements, self._is_slow, shards)
        self._shards.clear()
        self._tenants.clear()
        self._client_statements = self._checks = self._congested_checks = 0
        self._total_lag = 0.0
        self._window_began = self._clock.now

    def _shard(self, key: str, count: int) -> ShardLoad:
        tenants = self._tenants.get(key)
        if not tenants:
            return ShardLoad(key, count)
        ((tenant, largest),) = tenants.most_common(1)
        return ShardLoad(key, count, tenant, largest)
