"""Counters, histograms and gauges on an address of their own, where the settings name one.

``prometheus_client`` is imported only then: it costs a program that has no such address nothing.
"""

from collections.abc import Callable

from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import SettingsError
from rowanrail.kernel.http import HttpRequest, HttpResponse, HttpServer, error_response, serve

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
RETURN_BUCKETS_SECONDS = (0.1, 0.2, 0.4, 0.8, 1.6, 3.0, 6.0)
LEAST_URGENT = 3  # in labels; stands for all that are less urgent, so that their number is bounded
CONTENT_TYPE = "text/plain; version=0.0.4"

GaugeSample = tuple[str, dict[str, str], float]
GaugeReader = Callable[[], list[GaugeSample]]


class Metrics:
    """The metrics of one process.

    :param prefix: begins the name of each metric.
    :param read: gives the gauges at the moment of a question: name, labels, value.
    """

    def __init__(self, prefix: str, read: GaugeReader) -> None:
        from prometheus_client import CollectorRegistry, Counter, Histogram

        self._prefix = prefix
        self._read = read
        self._registry = CollectorRegistry()
        self._outcomes = Counter(
            f"{prefix}_statements",
            "Statements answered, by kind, outcome and how far they came",
            ["kind", "outcome", "stage"],
            registry=self._registry,
        )
        self._latency = Histogram(
            f"{prefix}_statement_seconds",
            "Time from a statement to its answer, by kind",
            ["kind"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )

        self._rejections = Counter(
            f"{prefix}_turned_away",
            "Statements refused as not run, by cause and urgency of their route",
            ["cause", "urgency"],
            registry=self._registry,
        )
        self._returns = Histogram(
            f"{prefix}_return_seconds",
            "Time after which clients were told to come back, by cause",
            ["cause"],
            buckets=RETURN_BUCKETS_SECONDS,
            registry=self._registry,
        )

    def record_rejection(self, cause: str, urgency: int, return_in: float) -> None:
        """Count a rejected statement; its client was told to retry after ``return_in`` ms."""
        self._rejections.labels(cause, str(min(max(urgency, 0), LEAST_URGENT))).inc()
        self._returns.labels(cause).observe(return_in / 1000)

    def record_statement(self, kind: str, outcome: str, stage: str, seconds: float) -> None:
        """Count a statement; ``stage`` says how far it came."""
        self._outcomes.labels(kind, outcome, stage).inc()
        self._latency.labels(kind).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the exposition format."""
        from prometheus_client import CollectorRegistry, Gauge, generate_latest

        registry = CollectorRegistry()
        gauges: dict[str, Gauge] = {}
        for name, labels, value in self._read():
            full = f"{self._prefix}_{name}"
            if full not in gauges:
                gauges[full] = Gauge(full, name.replace("_", " "), list(labels), registry=registry)
            gauge = gauges[full]
            (gauge.labels(**labels) if labels else gauge).set(value)
        rendered: bytes = generate_latest(self._registry) + generate_latest(registry)
        return rendered


def dropped_lines_gauge(decisions: DecisionLog) -> GaugeSample:
    """Return how many lines the decision log has left out since the start."""
    return ("log_lines_left_out", {}, decisions.dropped_total)


async def serve_metrics(host: str, place: str, metrics: Metrics) -> HttpServer:
    """Serve metrics at ``PORT/PATH`` of a host.

    :raises SettingsError: if the place is not of that form.
    """
    port, _, path = place.partition("/")
    if not port.isdigit():
        raise SettingsError(
            [f"metrics: {place!r} is not PORT/PATH; write for example 9100/metrics"]
        )

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.method != "GET" or request.path != f"/{path}":
            return error_response(404, f"ask GET /{path}")
        return HttpResponse(200, metrics.render(), CONTENT_TYPE)

    return await serve(f"{host}:{port}", handle)
