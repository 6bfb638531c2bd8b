"""The load that gateways report, as the leader's plan of holders reads it.

Owns each gateway's latest spans and whether it is slow. It is soft state of one control node: a new
leader begins without it. Relies on the reports of :mod:`rowanrail.directory.messages`.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from rowanrail.directory.messages import GatewayRecord
from rowanrail.scheduling.demand import WINDOW_SPANS, ShardDemand
from rowanrail.scheduling.group_draft import GatewayLoad
from rowanrail.scheduling.load_report import LoadReport

__all__ = ["GatewayLoads"]

# Without a report a gateway's load counts no more; three spans.
FORGET_LOAD_MS = 15_000.0
# Reporting for so long, a gateway may be given shards to hold: as long as demand has to last.
SETTLED_MS = 20_000.0
SLOW_SPANS = 2  # in succession make a gateway slow: one pause doesn't
QUICK_SPANS = 4  # in succession make it quick again


@dataclass(slots=True)
class _Reported:
    """What one gateway reported."""

    heard_since: float
    heard_at: float
    report: LoadReport
    own: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW_SPANS))
    slow: deque[bool] = field(default_factory=lambda: deque(maxlen=QUICK_SPANS))
    is_slow: bool = False

    def take(self, report: LoadReport) -> None:
        self.report = report
        self.own.append(1000 * report.own_count / max(1, report.span_ms))
        self.slow.append(report.is_slow)
        if all(list(self.slow)[-SLOW_SPANS:]) and len(self.slow) >= SLOW_SPANS:
            self.is_slow = True
        elif len(self.slow) == QUICK_SPANS and not any(self.slow):
            self.is_slow = False


class GatewayLoads:
    """Loads of all gateways.

    Parameters
    ----------
    now : callable
        Returns the steady time in milliseconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._reported: dict[str, _Reported] = {}

    def note(self, gateway: str, report: LoadReport | None) -> None:
        """Note what a gateway reported; a span that is reported again counts once."""
        now = self._now()
        reported = self._reported.get(gateway)
        if reported is not None and now - reported.heard_at > FORGET_LOAD_MS:
            reported = None
        if report is None:
            return
        if reported is None:
            reported = self._reported[gateway] = _Reported(now, now, report)
            reported.take(report)
        elif report != reported.report or now - reported.heard_at > report.span_ms / 2:
            reported.take(report)
            reported.heard_at = now

    def _fresh(self) -> dict[str, _Reported]:
        limit = self._now() - FORGET_LOAD_MS
        fresh = {name: one for name, one in self._reported.items() if one.heard_at >= limit}
        self._reported = fresh
        return fresh

    def demand(self, gateways: Iterable[GatewayRecord]) -> dict[str, dict[str, ShardDemand]]:
        """Return the sum of what gateways reported last, by group and shard."""
        reported = self._fresh()
        sums: dict[str, _GroupSum] = defaultdict(_GroupSum)
        for gateway in gateways:
            known = reported.get(gateway.name)
            if known is not None:
                sums[gateway.sharing_group].add(known.report)
        return {group: total.demand() for group, total in sums.items()}

    def loads(self, gateways: Iterable[GatewayRecord]) -> list[GatewayLoad]:
        """Return the load of each gateway that was heard a short while ago."""
        fresh = self._fresh()
        return [self._load(g, fresh[g.name]) for g in gateways if g.name in fresh]

    def _load(self, gateway: GatewayRecord, reported: _Reported) -> GatewayLoad:
        return GatewayLoad(
            gateway.name,
            gateway.sharing_group,
            gateway.relay_address,
            sum(reported.own) / len(reported.own),
            reported.is_slow,
            bool(gateway.relay_address) and self._now() - reported.heard_since >= SETTLED_MS,
        )


class _GroupSum:
    """Statements a second in one group."""

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
