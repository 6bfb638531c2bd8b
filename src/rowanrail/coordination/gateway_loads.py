"""Load that gateways report, as input to the planning of holders.

Keeps each gateway's latest reporting spans and whether it is slow, in memory only: a new leader
starts without it. Relies on the reports of :mod:`rowanrail.directory.messages`.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from rowanrail.directory.messages import GatewayRecord
from rowanrail.scheduling.demand import WINDOW_SPANS, ShardDemand
from rowanrail.scheduling.group_draft import GatewayLoad
from rowanrail.scheduling.load_report import LoadReport

__all__ = ["GatewayLoads"]

LOAD_EXPIRY_MS = 15_000.0  # after the last report; three reporting spans
MIN_REPORTING_MS = 20_000.0  # before a gateway may be assigned shards; the demand window
SLOW_AFTER_SPANS = 2  # consecutive slow spans that mark a gateway as slow; one may be a pause
RECOVERED_AFTER_SPANS = 4  # consecutive normal spans that clear the mark


@dataclass(slots=True)
class _ReportedLoad:
    """The latest load reports of one gateway; times in milliseconds."""

    heard_since: float
    heard_at: float
    report: LoadReport
    own: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW_SPANS))
    slow: deque[bool] = field(default_factory=lambda: deque(maxlen=RECOVERED_AFTER_SPANS))
    is_slow: bool = False

    def add(self, report: LoadReport) -> None:
        self.report = report
        self.own.append(1000 * report.own_count / max(1, report.span_ms))
        self.slow.append(report.is_slow)
        if all(list(self.slow)[-SLOW_AFTER_SPANS:]) and len(self.slow) >= SLOW_AFTER_SPANS:
            self.is_slow = True
        elif len(self.slow) == RECOVERED_AFTER_SPANS and not any(self.slow):
            self.is_slow = False


class GatewayLoads:
    """The reported loads of all gateways.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in milliseconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._reported: dict[str, _ReportedLoad] = {}

    def record(self, gateway: str, report: LoadReport | None) -> None:
        """Record a gateway's load report; a span that is reported twice counts once."""
        now = self._now()
        reported = self._reported.get(gateway)
        if reported is not None and now - reported.heard_at > LOAD_EXPIRY_MS:
            reported = None
        if report is None:
            return
        if reported is None:
            reported = self._reported[gateway] = _ReportedLoad(now, now, report)
            reported.add(report)
        elif report != reported.report or now - reported.heard_at > report.span_ms / 2:
            reported.add(report)
            reported.heard_at = now

    def _unexpired(self) -> dict[str, _ReportedLoad]:
        limit = self._now() - LOAD_EXPIRY_MS
        fresh = {name: one for name, one in self._reported.items() if one.heard_at >= limit}
        self._reported = fresh
        return fresh

    def demand(self, gateways: Iterable[GatewayRecord]) -> dict[str, dict[str, ShardDemand]]:
        """Return the demand that gateways reported last, summed by group and shard."""
        reported = self._unexpired()
        sums: dict[str, _GroupDemand] = defaultdict(_GroupDemand)
        for gateway in gateways:
            known = reported.get(gateway.name)
            if known is not None:
                sums[gateway.sharing_group].add(known.report)
        return {group: total.demand() for group, total in sums.items()}

    def loads(self, gateways: Iterable[GatewayRecord]) -> list[GatewayLoad]:
        """Return the load of each gateway whose last report has not expired."""
        fresh = self._unexpired()
        return [self._load(g, fresh[g.name]) for g in gateways if g.name in fresh]

    def _load(self, gateway: GatewayRecord, reported: _ReportedLoad) -> GatewayLoad:
        return GatewayLoad(
            gateway.name,
            gateway.sharing_group,
            gateway.relay_address,
            sum(reported.own) / len(reported.own),
            reported.is_slow,
            bool(gateway.relay_address) and self._now() - reported.heard_since >= MIN_REPORTING_MS,
        )


class _GroupDemand:
    """Sums the statements per second of one group, by shard and tenant."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = defaultdict(float)
        self._tenants: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))

    def add(self, report: LoadReport) -> None:
        for shard in report.shards:
            self._rates[shard.key] += 1000 * shard.count / max(1, report.span_ms)
            if shard.tenant:
                self._tenants[shard.key][shard.tenant] += (
                    1000 * shard.largest_tenant_count / max(1, report.span_ms)
                )

    def demand(self) -> dict[str, ShardDemand]:
        return {
            key: ShardDemand(rate, max(self._tenants[key].values(), default=0.0) / rate)
            for key, rate in self._rates.items()
        }
