"""What gateways told of their load: soft state of a control node, of use to the one that leads."""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from rowanrail.directory.messages import GatewayRecord
from rowanrail.scheduling.demand import SPANS, PartDemand
from rowanrail.scheduling.group_draft import GatewayLoad
from rowanrail.scheduling.load_report import LoadReport

__all__ = ["LoadBook"]

# Without word a span counts no more: three of them, as long as a gateway counts as being there.
FORGET_MS = 15_000.0
# Heard for so long, a gateway may be given something to hold: as long as demand has to last.
SETTLED_MS = 20_000.0
SLOW_SPANS = 2  # in succession make a gateway slow: one pause doesn't
QUICK_SPANS = 4  # in succession make it quick again


@dataclass(slots=True)
class _Told:
    """What one gateway told."""

    heard_since: float
    heard_at: float
    report: LoadReport
    own: deque[float] = field(default_factory=lambda: deque(maxlen=SPANS))
    slow: deque[bool] = field(default_factory=lambda: deque(maxlen=QUICK_SPANS))
    is_slow: bool = False

    def take(self, report: LoadReport) -> None:
        self.report = report
        self.own.append(1000 * report.own / max(1, report.span))
        self.slow.append(report.is_slow)
        if all(list(self.slow)[-SLOW_SPANS:]) and len(self.slow) >= SLOW_SPANS:
            self.is_slow = True
        elif len(self.slow) == QUICK_SPANS and not any(self.slow):
            self.is_slow = False


class LoadBook:
    """Loads of all gateways.

    Parameters
    ----------
    now : callable
        Returns the steady time in milliseconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._told: dict[str, _Told] = {}

    def note(self, gateway: str, report: LoadReport | None) -> None:
        """Note what a gateway told; a span that is told again counts once."""
        now = self._now()
        told = self._told.get(gateway)
        if told is not None and now - told.heard_at > FORGET_MS:
            told = None
        if report is None:
            return
        if told is None:
            told = self._told[gateway] = _Told(now, now, report)
            told.take(report)
        elif report != told.report or now - told.heard_at > report.span / 2:
            told.take(report)
            told.heard_at = now

    def _fresh(self) -> dict[str, _Told]:
        limit = self._now() - FORGET_MS
        self._told = {name: told for name, told in self._told.items() if told.heard_at >= limit}
        return self._told

    def demand(self, gateways: Iterable[GatewayRecord]) -> dict[str, dict[str, PartDemand]]:
        """Return the sum of what gateways told last, by group and part."""
        told = self._fresh()
        sums: dict[str, _GroupSum] = defaultdict(_GroupSum)
        for gateway in gateways:
            known = told.get(gateway.name)
            if known is not None:
                sums[gateway.sharing_group].add(known.report)
        return {group: total.demand() for group, total in sums.items()}

    def loads(self, gateways: Iterable[GatewayRecord]) -> list[GatewayLoad]:
        """Return the load of each gateway that was heard a short while ago."""
        fresh = self._fresh()
        return [self._load(g, fresh[g.name]) for g in gateways if g.name in fresh]

    def _load(self, gateway: GatewayRecord, told: _Told) -> GatewayLoad:
        return GatewayLoad(
            gateway.name,
            gateway.sharing_group,
            gateway.relay_address,
            sum(told.own) / len(told.own),
            told.is_slow,
            bool(gateway.relay_address) and self._now() - told.heard_since >= SETTLED_MS,
        )


class _GroupSum:
    """Statements a second in one group."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = defaultdict(float)
        self._tenants: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))

    def add(self, report: LoadReport) -> None:
        for part in report.parts:
            self._rates[part.key] += 1000 * part.count / max(1, report.span)
            if part.tenant:
                self._tenants[part.key][part.tenant] += 1000 * part.largest / max(1, report.span)

    def demand(self) -> dict[str, PartDemand]:
        return {
            key: PartDemand(rate, max(self._tenants[key].values(), default=0.0) / rate)
            for key, rate in self._rates.items()
        }
